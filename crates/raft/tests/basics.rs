//! Single rules, each in the smallest group that shows it.

mod group;

use std::time::Duration;

use bytes::Bytes;
use group::Group;
use raft::Message;
use raft::message::Body;
use raft::message::Member;
use raft::message::Payload;
use raft::node::Role;

#[test]
fn a_group_of_one_commits_at_once() {
    let mut group = Group::new(1);
    let index = group.node(0).propose(Bytes::from_static(b"x")).expect("leads");
    group.node(0).read(7).expect("leads");
    let ready = group.node(0).ready();
    let last = ready.committed.last().expect("committed");
    assert_eq!((last.index, &last.payload), (index, &Payload::Data(Bytes::from_static(b"x"))));
    assert_eq!(ready.reads, [7]);
    assert!(ready.entries.contains(last), "it is written before it is applied");
}

#[test]
fn hosts_join_as_learners_and_become_voters() {
    let mut group = Group::new(5);
    let members = group.node(0).members().clone();
    assert_eq!((members.voters.len(), members.learners.len()), (5, 0));
    assert!((0..5).all(|host| group.applied(host) == group.applied(0)));
}

#[test]
fn a_lost_disk_comes_back_as_another_voter() {
    let mut group = Group::new(5);
    group.replace(3);
    group.replace(4);
    group.enroll(3);
    group.enroll(4);
    let ids: Vec<u64> = group.node(0).members().voters.iter().map(|member| member.id).collect();
    assert_eq!(ids.len(), 5);
    assert!(ids.contains(&group.id(3)) && ids.contains(&group.id(4)), "{ids:?}");
}

#[test]
fn a_replica_that_is_behind_the_log_gets_a_snapshot() {
    let mut group = Group::new(3);
    group.cut(2);
    group.propose(600);
    let state = Bytes::from_static(b"state");
    let applied = group.applied(0);
    let snapshot = group.node(0).compact(applied, state.clone()).expect("applied");
    assert_eq!((snapshot.index, &snapshot.data), (applied, &state));
    group.join();
    group.run(1_000);
    assert_eq!(group.installed(2), 1);
    assert_eq!(group.applied(2), group.applied(0));
}

#[test]
fn a_replica_that_is_a_little_behind_gets_entries() {
    let mut group = Group::new(3);
    group.cut(2);
    group.propose(10);
    let applied = group.applied(0);
    group.node(0).compact(applied, Bytes::new()).expect("applied");
    group.join();
    group.run(1_000);
    assert_eq!((group.installed(2), group.applied(2)), (0, group.applied(0)));
}

#[test]
fn a_leader_without_majority_steps_down_and_answers_no_read() {
    let mut group = Group::new(3);
    group.cut(0);
    group.node(0).read(1).expect("still leads");
    group.run(500);
    assert_ne!(group.node(0).role(), Role::Leader);
    assert!(group.reads(0).is_empty(), "the read is dropped");
    assert!(group.node(0).read(2).is_err());
}

#[test]
fn a_cut_off_replica_does_not_raise_the_term() {
    let mut group = Group::new(3);
    let term = group.node(0).term();
    group.cut(2);
    group.run(5_000);
    group.join();
    group.run(1_000);
    assert_eq!((group.node(0).term(), group.node(0).role()), (term, Role::Leader));
}

#[test]
fn a_vote_is_refused_while_a_leader_is_heard() {
    let mut group = Group::new(3);
    let now = group.now();
    let (term, last_index) = (group.node(1).term(), group.node(1).last_index());
    for pre in [true, false] {
        let body = Body::Vote { last_index, last_term: term, pre };
        group.node(1).step(99, Message { term: term + 5, body }, now);
    }
    assert_eq!((group.node(1).term(), group.node(1).leader()), (term, Some(group.id(0))));
    let granted = |message: &Message| matches!(message.body, Body::Voted { granted: true, .. });
    assert!(!group.node(1).ready().messages.iter().any(|(_, message)| granted(message)));
}

#[test]
fn a_vote_is_given_once_a_term_and_written_before_it_is_sent() {
    let mut group = Group::new(3);
    group.node(1).tick(Duration::from_secs(60));
    group.node(1).ready();
    let term = group.node(1).term() + 1;
    let vote = Body::Vote { last_index: 1_000, last_term: term, pre: false };
    let now = Duration::from_secs(60);
    for (candidate, expected) in [(11, true), (12, false), (11, true)] {
        group.node(1).step(candidate, Message { term, body: vote.clone() }, now);
        let ready = group.node(1).ready();
        let answer = Message { term, body: Body::Voted { granted: expected, pre: false } };
        assert!(ready.messages.contains(&(candidate, answer)), "{:?}", ready.messages);
    }
    group.node(1).step(13, Message { term: term + 1, body: vote }, now);
    let hard = group.node(1).ready().hard.expect("to be written with the vote");
    assert_eq!((hard.term, hard.vote), (term + 1, Some(13)));
}

#[test]
fn a_removed_leader_steps_down_after_the_commit() {
    let mut group = Group::new(3);
    let id = group.id(0);
    group.node(0).remove(id).expect("leads");
    group.run(3_000);
    assert_eq!(group.node(0).role(), Role::Learner);
    let leader = group.leader().expect("another one leads");
    assert_ne!(leader, 0);
    assert_eq!(group.node(leader).members().voters.len(), 2);
}

#[test]
fn a_removal_that_would_leave_no_majority_is_not_made() {
    let mut group = Group::new(5);
    group.crash(3);
    group.crash(4);
    group.run(1_000);
    let id = group.id(2);
    group.node(0).remove(id).expect("leads");
    group.run(1_000);
    assert_eq!(group.node(0).members().voters.len(), 5);
    assert_eq!(group.node(0).role(), Role::Leader);
}

#[test]
fn members_are_unchanged_until_the_leader_has_committed_in_its_term() {
    let mut group = Group::new(3);
    group.crash(0);
    group.run(2_000);
    let leader = group.leader().expect("another one leads");
    group.cut(leader);
    group.restart(0);
    let before = group.node(leader).members().clone();
    let stranger = Member { id: 77, host: "h9".into() };
    group.node(leader).add_learner(stranger.clone()).expect("leads");
    assert!(group.node(leader).members().learners.contains(&stranger), "committed in its term");
    group.join();
    group.run(3_000);
    let now_leads = group.leader().expect("one leads");
    assert!(now_leads != leader || *group.node(leader).members() != before);
}

#[test]
fn entries_are_sent_in_batches_ahead_of_their_answers() {
    let mut group = Group::new(2);
    let bytes = Bytes::from(vec![0; 50]);
    for _ in 0..100 {
        group.node(0).propose(bytes.clone()).expect("leads");
    }
    let ready = group.node(0).ready();
    let sizes = ready.messages.iter().map(|(_, message)| match &message.body {
        Body::Append { entries, .. } => entries.len(),
        _ => 0,
    });
    let sizes: Vec<usize> = sizes.collect();
    assert_eq!(sizes.iter().sum::<usize>(), 100);
    assert!(sizes.len() > 1 && sizes.iter().all(|size| *size <= 2), "200 bytes each: {sizes:?}");
}
