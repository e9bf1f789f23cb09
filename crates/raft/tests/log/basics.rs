//! Single rules, each in a small group without random faults.

use std::time::Duration;

use bytes::Bytes;
use raft::Message;
use raft::message::Body;
use raft::message::Entry;
use raft::message::Member;
use raft::message::Payload;
use raft::node::Role;

use super::sim::World;

/// A group whose hosts all vote and know what is committed, and its leader.
fn group(hosts: usize) -> (World, usize) {
    let mut world = World::new(1, hosts);
    world.heal();
    world.run_for(500);
    let leader = world.leader().expect("one leads");
    (world, leader)
}

/// A host that does not lead.
fn follower(world: &World) -> usize {
    usize::from(world.leader() == Some(0))
}

fn propose(world: &mut World, host: usize, count: usize) {
    for _ in 0..count {
        world.node(host).propose(Bytes::from_static(b"data")).expect("leads");
    }
}

#[test]
fn a_group_of_one_commits_at_once() {
    let (mut world, leader) = group(1);
    let data = Bytes::from_static(b"x");
    let index = world.node(leader).propose(data.clone()).expect("leads");
    world.node(leader).read(7).expect("leads");
    let ready = world.node(leader).ready();
    let last = ready.committed.last().expect("committed");
    assert_eq!((last.index, &last.payload), (index, &Payload::Data(data)));
    assert!(ready.reads.contains(&7));
    assert!(ready.entries.contains(last), "it is written before it is applied");
}

#[test]
fn two_lost_disks_come_back_as_other_voters() {
    let (mut world, leader) = group(5);
    let former = world.node(leader).members().clone();
    for host in [(leader + 1) % 5, (leader + 2) % 5] {
        world.crash(host, true);
    }
    world.heal();
    let leader = world.leader().expect("one leads");
    let members = world.node(leader).members();
    let kept = members.voters.iter().filter(|member| former.voters.contains(member));
    assert_eq!((members.voters.len(), kept.count()), (5, 3));
}

#[test]
fn after_all_hosts_stop_the_three_disks_are_enough() {
    let (mut world, leader) = group(5);
    propose(&mut world, leader, 10);
    world.run_for(500);
    let last = world.replicas[leader].applied;
    for host in 0..5 {
        world.crash(host, host >= 3);
    }
    world.heal();
    assert!((0..5).all(|host| world.replicas[host].applied > last));
}

#[test]
fn a_replica_far_behind_gets_a_snapshot_and_a_near_one_entries() {
    for (count, installs) in [(200, 1), (5, 0)] {
        let (mut world, leader) = group(3);
        let behind = follower(&world);
        let before = world.replicas[behind].installed;
        world.cut(behind);
        propose(&mut world, leader, count);
        world.run_for(500);
        world.join();
        world.run_for(500);
        assert_eq!(world.replicas[behind].installed - before, installs, "{count} entries");
        assert_eq!(world.replicas[behind].applied, world.replicas[leader].applied);
    }
}

#[test]
fn a_leader_without_majority_steps_down_and_answers_no_read() {
    for wait in (0..200).step_by(20) {
        let (mut world, leader) = group(3);
        world.run_for(wait);
        world.cut(leader);
        world.run_for(50);
        let confirmed = world.replicas[leader].confirmed;
        world.run_for(200);
        assert_ne!(world.node(leader).role(), Role::Leader, "250 ms after a cut at {wait} ms");
        world.run_for(1_000);
        assert_eq!(world.replicas[leader].confirmed, confirmed);
        assert!(world.node(leader).read(1).is_err());
        assert_ne!(world.leader().expect("another one leads"), leader);
    }
}

#[test]
fn a_cut_off_replica_does_not_raise_the_term() {
    let (mut world, leader) = group(3);
    let term = world.node(leader).term();
    let away = follower(&world);
    world.cut(away);
    world.run_for(5_000);
    world.join();
    world.run_for(1_000);
    assert_eq!((world.node(leader).term(), world.node(leader).role()), (term, Role::Leader));
}

#[test]
fn a_vote_is_refused_while_a_leader_is_heard() {
    let (mut world, leader) = group(3);
    let host = follower(&world);
    let now = world.now();
    let id = world.replicas[leader].id;
    let (term, last_index) = (world.node(host).term(), world.node(host).last_index());
    for pre in [true, false] {
        let body = Body::Vote { last_index, last_term: term, pre };
        world.node(host).step(99, Message { term: term + 5, body }, now);
    }
    assert_eq!((world.node(host).term(), world.node(host).leader()), (term, Some(id)));
    let granted = |message: &Message| matches!(message.body, Body::Voted { granted: true, .. });
    assert!(!world.node(host).ready().messages.iter().any(|(_, message)| granted(message)));
}

#[test]
fn a_vote_is_given_once_a_term_and_written_with_the_answer() {
    let (mut world, _) = group(3);
    let host = follower(&world);
    let now = Duration::from_secs(60);
    world.node(host).tick(now);
    world.node(host).ready();
    let term = world.node(host).term() + 1;
    let body = Body::Vote { last_index: 1_000, last_term: term, pre: false };
    for (candidate, granted, vote) in [(11, true, Some(11)), (12, false, None), (11, true, None)] {
        world.node(host).step(candidate, Message { term, body: body.clone() }, now);
        let ready = world.node(host).ready();
        let answer = Message { term, body: Body::Voted { granted, pre: false } };
        assert!(ready.messages.contains(&(candidate, answer)), "{:?}", ready.messages);
        assert_eq!(ready.hard_state.and_then(|hard_state| hard_state.vote), vote, "written once");
    }
}

#[test]
fn a_removed_leader_steps_down_after_the_commit() {
    let (mut world, leader) = group(3);
    let id = world.replicas[leader].id;
    world.node(leader).remove(id).expect("leads");
    let mut led = Vec::new();
    for _ in 0..400 {
        world.step();
        led.extend(world.leader());
    }
    assert!(led.iter().any(|host| *host != leader), "another one led");
}

#[test]
fn a_removal_that_would_leave_no_majority_is_not_made() {
    let (mut world, leader) = group(5);
    world.crash((leader + 1) % 5, false);
    world.crash((leader + 2) % 5, false);
    world.run_for(1_000);
    let id = world.replicas[(leader + 3) % 5].id;
    world.node(leader).remove(id).expect("leads");
    world.run_for(1_000);
    assert_eq!(world.node(leader).members().voters.len(), 5);
    assert_eq!(world.node(leader).role(), Role::Leader);
}

#[test]
fn members_stay_until_the_leader_has_committed_in_its_term() {
    let (mut world, former) = group(3);
    world.crash(former, false);
    while world.leader().is_none() {
        world.step();
    }
    let leader = world.leader().expect("one leads");
    let stranger = Member { id: 77, host: "h9".into() };
    world.node(leader).add_learner(stranger.clone()).expect("leads");
    assert!(!world.node(leader).members().learners.contains(&stranger));
    world.run_for(200);
    assert!(world.node(leader).members().learners.contains(&stranger));
}

#[test]
fn entries_are_sent_in_batches_ahead_of_their_answers() {
    let (mut world, leader) = group(2);
    let data = Bytes::from(vec![0; 50]);
    for _ in 0..20 {
        world.node(leader).propose(data.clone()).expect("leads");
    }
    let ready = world.node(leader).ready();
    let sizes = ready.messages.iter().map(|(_, message)| match &message.body {
        Body::Append { entries, .. } => entries.len(),
        _ => 0,
    });
    let sizes: Vec<usize> = sizes.collect();
    assert_eq!(sizes.iter().sum::<usize>(), 20);
    assert!(sizes.iter().all(|size| *size <= 2), "a batch has 200 bytes: {sizes:?}");
}

#[test]
fn one_replica_of_five_can_start_a_new_group() {
    let (mut world, leader) = group(5);
    propose(&mut world, leader, 10);
    world.run_for(500);
    let last = world.replicas[leader].applied;
    let left = follower(&world);
    for host in 0..5 {
        world.crash(host, host != left);
    }
    let replica = &mut world.replicas[left];
    let state = replica.stored.clone();
    replica.id = 4_242;
    let (entry, hard_state) = raft::recover(&state, replica.member());
    assert_eq!((entry.index, entry.term), (last + 1, state.hard_state.term + 1));
    replica.stored.entries.push(entry);
    replica.stored.hard_state = hard_state;
    world.heal();
    let leader = world.leader().expect("one leads");
    assert!(world.replicas[leader].applied > last);
    assert_eq!(world.node(leader).members().voters[0].id, 4_242);
}

#[test]
fn a_snapshot_without_answer_is_sent_again_ever_more_seldom() {
    let (mut world, leader) = group(3);
    let slow = follower(&world);
    world.cut(slow);
    propose(&mut world, leader, 200);
    world.run_for(500);
    let to = world.replicas[slow].id;
    let mut now = world.now();
    let mut sent = Vec::new();
    for _ in 0..10_000 {
        now += Duration::from_millis(10);
        let node = world.node(leader);
        node.tick(now);
        let (term, round) = (node.term(), u64::MAX);
        let ids: Vec<u64> = node.members().voters.iter().map(|member| member.id).collect();
        for from in ids {
            let body = Body::Appended { success: from != to, index: 0, round };
            node.step(from, Message { term, body }, now);
        }
        let messages = node.ready().messages;
        let installs = messages
            .iter()
            .filter(|(id, message)| *id == to && matches!(message.body, Body::Install { .. }));
        sent.extend(installs.map(|_| now));
    }
    let waits: Vec<Duration> = sent.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(sent.len() > 4, "{sent:?}");
    assert!(waits.windows(2).all(|pair| pair[1] >= pair[0].mul_f64(1.9)), "{waits:?}");
}

#[test]
fn messages_that_make_no_sense_change_nothing() {
    let (mut world, leader) = group(3);
    let host = follower(&world);
    let (now, from) = (world.now(), world.replicas[leader].id);
    let term = world.node(host).term();
    let last = world.node(host).last_index();
    let entry = |index| Entry { index, term, payload: Payload::Empty };
    for entries in [vec![entry(last + 2)], vec![entry(last + 1), entry(last + 1)], vec![entry(1)]] {
        for prev_index in [last, u64::MAX] {
            let entries = entries.clone();
            let prev_term = world.node(host).term();
            let body = Body::Append { prev_index, prev_term, entries, commit: u64::MAX, round: 1 };
            world.node(host).step(from, Message { term, body }, now);
            assert_eq!(world.node(host).last_index(), last);
        }
    }
    let other = world.replicas[host].id;
    for success in [true, false] {
        let body = Body::Appended { success, index: u64::MAX, round: 1 };
        world.node(leader).step(other, Message { term, body }, now);
    }
    world.heal();
}

/// The time in which a leader is to be elected once there is no doubt that there is none: the shortest
/// time of silence before an election, without its random part, and the messages and writes of the votes.
const PROMPT: u64 = 200 + 40;

#[test]
fn a_replica_that_waited_alone_elects_as_soon_as_a_majority_is_there() {
    for seed in 0..20 {
        let mut world = World::new(seed, 3);
        world.heal();
        for host in 0..3 {
            world.crash(host, false);
        }
        world.start(0);
        world.run_for(1_000 + seed * 37);
        world.start(1);
        world.run_for(PROMPT);
        assert!(world.leader().is_some(), "seed {seed}: no leader after {PROMPT} ms");
    }
}

/// Returns the mean time without a leader after one crashed, in ms; `noticed` if connections to it break.
fn leaderless(noticed: bool) -> u128 {
    let mut total = Duration::ZERO;
    for seed in 0..20 {
        let mut world = World::new(seed, 3);
        world.heal();
        world.run_for(500);
        let former = world.leader().expect("one leads");
        let id = world.node(former).id();
        world.crash(former, false);
        if noticed {
            for host in (0..3).filter(|host| *host != former) {
                world.node(host).peer_disconnected(id);
            }
        }
        let from = world.now();
        while world.leader().is_none() {
            world.step();
        }
        total += world.now() - from;
    }
    total.as_millis() / 20
}

#[test]
fn a_broken_connection_to_the_leader_starts_an_election_before_the_timeout() {
    let (noticed, silent) = (leaderless(true), leaderless(false));
    assert!(noticed <= u128::from(PROMPT), "{noticed} ms after a break, {silent} ms of silence");
}

#[test]
fn a_broken_connection_to_a_leader_that_goes_on_changes_nothing() {
    let (mut world, leader) = group(3);
    let id = world.node(leader).id();
    let term = world.node(leader).term();
    for host in (0..3).filter(|host| *host != leader) {
        world.node(host).peer_disconnected(id);
    }
    world.run_for(1_000);
    assert_eq!(world.leader(), Some(leader));
    assert_eq!(world.node(leader).term(), term);
}
