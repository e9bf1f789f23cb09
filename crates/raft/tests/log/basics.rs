//! Tests of individual rules in small clusters without random faults.

use std::time::Duration;

use bytes::Bytes;
use raft::Message;
use raft::message::Body;
use raft::message::Entry;
use raft::message::Member;
use raft::message::Payload;
use raft::node::Role;

use super::sim::Cluster;

/// Returns a cluster whose hosts all vote and know the commit index, and its leader.
fn group(hosts: usize) -> (Cluster, usize) {
    let mut cluster = Cluster::new(1, hosts);
    cluster.heal();
    cluster.run_for(500);
    let leader = cluster.leader().expect("a leader");
    (cluster, leader)
}

/// Returns a host that does not lead.
fn follower(cluster: &Cluster) -> usize {
    usize::from(cluster.leader() == Some(0))
}

fn propose(cluster: &mut Cluster, host: usize, count: usize) {
    for _ in 0..count {
        cluster.node(host).propose(Bytes::from_static(b"data")).expect("leads");
    }
}

#[test]
fn single_voter_commits_immediately() {
    let (mut cluster, leader) = group(1);
    let data = Bytes::from_static(b"x");
    let index = cluster.node(leader).propose(data.clone()).expect("leads");
    cluster.node(leader).read(7).expect("leads");
    let ready = cluster.node(leader).ready();
    let last = ready.committed.last().expect("committed");
    assert_eq!((last.index, &last.payload), (index, &Payload::Data(data)));
    assert!(ready.reads.contains(&7));
    assert!(ready.entries.contains(last), "it is written before it is applied");
}

#[test]
fn replicas_with_lost_disks_are_replaced_by_new_voters() {
    let (mut cluster, leader) = group(5);
    let former = cluster.node(leader).members().clone();
    for host in [(leader + 1) % 5, (leader + 2) % 5] {
        cluster.crash(host, true);
    }
    cluster.heal();
    let leader = cluster.leader().expect("a leader");
    let members = cluster.node(leader).members();
    let kept = members.voters.iter().filter(|member| former.voters.contains(member));
    assert_eq!((members.voters.len(), kept.count()), (5, 3));
}

#[test]
fn three_disks_of_five_hosts_restore_a_stopped_group() {
    let (mut cluster, leader) = group(5);
    propose(&mut cluster, leader, 10);
    cluster.run_for(500);
    let last = cluster.replicas[leader].applied;
    for host in 0..5 {
        cluster.crash(host, host >= 3);
    }
    cluster.heal();
    assert!((0..5).all(|host| cluster.replicas[host].applied > last));
}

#[test]
fn lagging_replica_gets_a_snapshot_only_if_entries_are_gone() {
    for (count, installs) in [(200, 1), (5, 0)] {
        let (mut cluster, leader) = group(3);
        let lagging = follower(&cluster);
        let before = cluster.replicas[lagging].installed;
        cluster.isolate(lagging);
        propose(&mut cluster, leader, count);
        cluster.run_for(500);
        cluster.reconnect_all();
        cluster.run_for(500);
        assert_eq!(cluster.replicas[lagging].installed - before, installs, "{count} entries");
        assert_eq!(cluster.replicas[lagging].applied, cluster.replicas[leader].applied);
    }
}

#[test]
fn isolated_leader_steps_down_and_confirms_no_read() {
    for wait in (0..200).step_by(20) {
        let (mut cluster, leader) = group(3);
        cluster.run_for(wait);
        cluster.isolate(leader);
        cluster.run_for(50);
        let confirmed = cluster.replicas[leader].confirmed;
        cluster.run_for(200);
        assert_ne!(
            cluster.node(leader).role(),
            Role::Leader,
            "250 ms after isolation at {wait} ms"
        );
        cluster.run_for(1_000);
        assert_eq!(cluster.replicas[leader].confirmed, confirmed);
        assert!(cluster.node(leader).read(1).is_err());
        assert_ne!(cluster.leader().expect("another leader"), leader);
    }
}

#[test]
fn isolated_replica_does_not_raise_the_term() {
    let (mut cluster, leader) = group(3);
    let term = cluster.node(leader).term();
    let isolated = follower(&cluster);
    cluster.isolate(isolated);
    cluster.run_for(5_000);
    cluster.reconnect_all();
    cluster.run_for(1_000);
    assert_eq!((cluster.node(leader).term(), cluster.node(leader).role()), (term, Role::Leader));
}

#[test]
fn vote_is_refused_while_the_leader_is_in_contact() {
    let (mut cluster, leader) = group(3);
    let host = follower(&cluster);
    let now = cluster.now();
    let id = cluster.replicas[leader].id;
    let (term, last_index) = (cluster.node(host).term(), cluster.node(host).last_index());
    for pre in [true, false] {
        let body = Body::Vote { last_index, last_term: term, pre };
        cluster.node(host).step(99, Message { term: term + 5, body }, now);
    }
    assert_eq!((cluster.node(host).term(), cluster.node(host).leader()), (term, Some(id)));
    let granted = |message: &Message| matches!(message.body, Body::Voted { granted: true, .. });
    assert!(!cluster.node(host).ready().messages.iter().any(|(_, message)| granted(message)));
}

#[test]
fn vote_is_granted_once_per_term_and_persisted() {
    let (mut cluster, _) = group(3);
    let host = follower(&cluster);
    let now = Duration::from_secs(60);
    cluster.node(host).tick(now);
    cluster.node(host).ready();
    let term = cluster.node(host).term() + 1;
    let body = Body::Vote { last_index: 1_000, last_term: term, pre: false };
    for (candidate, granted, vote) in [(11, true, Some(11)), (12, false, None), (11, true, None)] {
        cluster.node(host).step(candidate, Message { term, body: body.clone() }, now);
        let ready = cluster.node(host).ready();
        let answer = Message { term, body: Body::Voted { granted, pre: false } };
        assert!(ready.messages.contains(&(candidate, answer)), "{:?}", ready.messages);
        assert_eq!(
            ready.hard_state.and_then(|hard_state| hard_state.vote),
            vote,
            "the vote is written once"
        );
    }
}

#[test]
fn removed_leader_steps_down_after_the_commit() {
    let (mut cluster, leader) = group(3);
    let id = cluster.replicas[leader].id;
    cluster.node(leader).remove(id).expect("leads");
    let mut led = Vec::new();
    for _ in 0..400 {
        cluster.step();
        led.extend(cluster.leader());
    }
    assert!(led.iter().any(|host| *host != leader), "another replica led");
}

#[test]
fn removal_without_a_responsive_majority_is_refused() {
    let (mut cluster, leader) = group(5);
    cluster.crash((leader + 1) % 5, false);
    cluster.crash((leader + 2) % 5, false);
    cluster.run_for(1_000);
    let id = cluster.replicas[(leader + 3) % 5].id;
    cluster.node(leader).remove(id).expect("leads");
    cluster.run_for(1_000);
    assert_eq!(cluster.node(leader).members().voters.len(), 5);
    assert_eq!(cluster.node(leader).role(), Role::Leader);
}

#[test]
fn members_change_only_after_a_commit_in_the_leaders_term() {
    let (mut cluster, former) = group(3);
    cluster.crash(former, false);
    while cluster.leader().is_none() {
        cluster.step();
    }
    let leader = cluster.leader().expect("a leader");
    let stranger = Member { id: 77, host: "h9".into() };
    cluster.node(leader).add_learner(stranger.clone()).expect("leads");
    assert!(!cluster.node(leader).members().learners.contains(&stranger));
    cluster.run_for(200);
    assert!(cluster.node(leader).members().learners.contains(&stranger));
}

#[test]
fn entries_are_pipelined_in_batches() {
    let (mut cluster, leader) = group(2);
    let data = Bytes::from(vec![0; 50]);
    for _ in 0..20 {
        cluster.node(leader).propose(data.clone()).expect("leads");
    }
    let ready = cluster.node(leader).ready();
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
    let (mut cluster, leader) = group(5);
    propose(&mut cluster, leader, 10);
    cluster.run_for(500);
    let last = cluster.replicas[leader].applied;
    let survivor = follower(&cluster);
    for host in 0..5 {
        cluster.crash(host, host != survivor);
    }
    let replica = &mut cluster.replicas[survivor];
    let state = replica.stored.clone();
    replica.id = 4_242;
    let (entry, hard_state) = raft::recover(&state, replica.member());
    assert_eq!((entry.index, entry.term), (last + 1, state.hard_state.term + 1));
    replica.stored.entries.push(entry);
    replica.stored.hard_state = hard_state;
    cluster.heal();
    let leader = cluster.leader().expect("a leader");
    assert!(cluster.replicas[leader].applied > last);
    assert_eq!(cluster.node(leader).members().voters[0].id, 4_242);
}

#[test]
fn unanswered_snapshot_is_resent_with_growing_delays() {
    let (mut cluster, leader) = group(3);
    let slow = follower(&cluster);
    cluster.isolate(slow);
    propose(&mut cluster, leader, 200);
    cluster.run_for(500);
    let to = cluster.replicas[slow].id;
    let mut now = cluster.now();
    let mut sent = Vec::new();
    for _ in 0..10_000 {
        now += Duration::from_millis(10);
        let node = cluster.node(leader);
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
fn invalid_messages_change_nothing() {
    let (mut cluster, leader) = group(3);
    let host = follower(&cluster);
    let (now, from) = (cluster.now(), cluster.replicas[leader].id);
    let term = cluster.node(host).term();
    let last = cluster.node(host).last_index();
    let entry = |index| Entry { index, term, payload: Payload::Empty };
    for entries in [vec![entry(last + 2)], vec![entry(last + 1), entry(last + 1)], vec![entry(1)]] {
        for prev_index in [last, u64::MAX] {
            let entries = entries.clone();
            let prev_term = cluster.node(host).term();
            let body = Body::Append { prev_index, prev_term, entries, commit: u64::MAX, round: 1 };
            cluster.node(host).step(from, Message { term, body }, now);
            assert_eq!(cluster.node(host).last_index(), last);
        }
    }
    let other = cluster.replicas[host].id;
    for success in [true, false] {
        let body = Body::Appended { success, index: u64::MAX, round: 1 };
        cluster.node(leader).step(other, Message { term, body }, now);
    }
    cluster.heal();
}

/// Time within which a leader must be elected once the replicas know that there is none: the
/// minimum election timeout, plus the messages and writes of the votes.
const PROMPT_ELECTION_MS: u64 = 200 + 40;

#[test]
fn a_replica_without_a_majority_elects_a_leader_once_a_majority_is_reachable() {
    for seed in 0..20 {
        let mut cluster = Cluster::new(seed, 3);
        cluster.heal();
        for host in 0..3 {
            cluster.crash(host, false);
        }
        cluster.start(0);
        cluster.run_for(1_000 + seed * 37);
        cluster.start(1);
        cluster.run_for(PROMPT_ELECTION_MS);
        assert!(cluster.leader().is_some(), "seed {seed}: no leader after {PROMPT_ELECTION_MS} ms");
    }
}

/// Returns the mean time without a leader after a crash of the leader, in ms. With `disconnected`,
/// the other replicas see their connections to it break.
fn mean_leaderless_ms(disconnected: bool) -> u128 {
    let mut total = Duration::ZERO;
    for seed in 0..20 {
        let mut cluster = Cluster::new(seed, 3);
        cluster.heal();
        cluster.run_for(500);
        let former = cluster.leader().expect("a leader");
        let id = cluster.node(former).id();
        cluster.crash(former, false);
        if disconnected {
            for host in (0..3).filter(|host| *host != former) {
                cluster.node(host).peer_disconnected(id);
            }
        }
        let from = cluster.now();
        while cluster.leader().is_none() {
            cluster.step();
        }
        total += cluster.now() - from;
    }
    total.as_millis() / 20
}

#[test]
fn a_broken_connection_to_the_leader_starts_an_election_before_the_timeout() {
    let (disconnected, connected) = (mean_leaderless_ms(true), mean_leaderless_ms(false));
    assert!(
        disconnected <= u128::from(PROMPT_ELECTION_MS),
        "{disconnected} ms after a broken connection, {connected} ms without one"
    );
}

#[test]
fn a_broken_connection_to_a_live_leader_causes_no_election() {
    let (mut cluster, leader) = group(3);
    let id = cluster.node(leader).id();
    let term = cluster.node(leader).term();
    for host in (0..3).filter(|host| *host != leader) {
        cluster.node(host).peer_disconnected(id);
    }
    cluster.run_for(1_000);
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(cluster.node(leader).term(), term);
}
