//! Tests of a group that keeps a number of voters and standbys.

use std::time::Duration;

use bytes::Bytes;
use raft::message::Index;
use raft::message::Member;
use raft::message::Members;

use super::sim::Cluster;

/// Number of random schedules for each group size.
const SEEDS: u64 = 60;
/// Steps with faults in each schedule; 2000 steps are 10 s.
const STEPS: usize = 2_000;
/// Time in which a lost voter is replaced, in ms: the timeout of the simulated driver and some
/// rounds.
const REPLACEMENT_MS: u64 = 1_500;

/// Returns a converged cluster that keeps a number of voters, and its leader.
fn group(seed: u64, hosts: usize, voters: usize) -> (Cluster, usize) {
    let mut cluster = Cluster::with_voters(seed, hosts, Some(voters));
    cluster.heal();
    let leader = cluster.leader().expect("a leader");
    (cluster, leader)
}

fn members(cluster: &mut Cluster) -> Members {
    let leader = cluster.leader().expect("a leader");
    cluster.node(leader).members().clone()
}

fn host(member: &Member) -> usize {
    member.host[1..].parse().expect("a host number")
}

/// Returns the hosts of the voters that do not lead.
fn other_voters(cluster: &mut Cluster) -> Vec<usize> {
    let leader = cluster.leader();
    let voters = members(cluster).voters;
    voters.iter().map(host).filter(|host| Some(*host) != leader).collect()
}

/// Proposes entries and runs until the leader has applied them, for at most 2 s; returns the last
/// one's index.
fn commit(cluster: &mut Cluster, leader: usize, count: usize) -> Option<Index> {
    let mut last = 0;
    for _ in 0..count {
        last = cluster.node(leader).propose(Bytes::from_static(b"data")).ok()?;
    }
    for _ in 0..400 {
        if cluster.replicas[leader].applied >= last {
            return Some(last);
        }
        cluster.step();
    }
    None
}

#[test]
fn founders_grow_to_the_number_of_voters_and_not_beyond() {
    for (hosts, voters) in [(3, 3), (5, 3), (9, 5), (9, 9)] {
        let (mut cluster, leader) = group(1, hosts, voters);
        cluster.run_for(3_000);
        let found = members(&mut cluster);
        assert_eq!((found.voters.len(), found.learners.len()), (voters, hosts - voters));
        let last = commit(&mut cluster, leader, 5).expect("committed");
        cluster.run_for(500);
        assert!((0..hosts).all(|host| cluster.replicas[host].applied >= last), "{hosts} hosts");
    }
}

#[test]
fn a_lost_voter_is_replaced_by_a_standby() {
    let (mut cluster, _) = group(1, 5, 3);
    let lost = other_voters(&mut cluster)[0];
    cluster.crash(lost, false);
    cluster.run_for(REPLACEMENT_MS);
    let found = members(&mut cluster);
    assert_eq!((found.voters.len(), found.learners.len()), (3, 1));
    assert!(found.voters.iter().all(|member| host(member) != lost));
    // The former voter comes back as a standby.
    cluster.heal();
    let found = members(&mut cluster);
    assert!(found.learners.iter().any(|member| host(member) == lost));
}

#[test]
fn a_standby_is_promoted_before_the_lost_voter_is_removed() {
    let (mut cluster, _) = group(1, 5, 3);
    let lost = other_voters(&mut cluster)[0];
    cluster.crash(lost, false);
    let mut sizes = Vec::new();
    for _ in 0..REPLACEMENT_MS / 5 {
        cluster.step();
        sizes.push(members(&mut cluster).voters.len());
    }
    sizes.dedup();
    assert_eq!(sizes, [3, 4, 3]);
}

#[test]
fn a_disk_lost_during_a_replacement_does_not_stop_the_group() {
    for (hosts, voters) in [(5, 3), (7, 5)] {
        let (mut cluster, _) = group(1, hosts, voters);
        let others = other_voters(&mut cluster);
        let silent = others[0];
        cluster.crash(silent, false);
        while members(&mut cluster).voters.len() == voters {
            cluster.step();
        }
        for host in others.into_iter().skip(1).take(voters / 2) {
            cluster.crash(host, true);
        }
        cluster.heal();
    }
}

#[test]
fn a_group_without_a_standby_keeps_its_lost_voters() {
    let (mut cluster, _) = group(1, 5, 5);
    let before = members(&mut cluster);
    for lost in other_voters(&mut cluster).into_iter().take(2) {
        cluster.crash(lost, false);
        cluster.run_for(5_000);
        assert_eq!(members(&mut cluster), before);
    }
}

#[test]
fn an_unresponsive_standby_replaces_no_voter() {
    let (mut cluster, _) = group(1, 4, 3);
    let before = members(&mut cluster);
    cluster.crash(host(&before.learners[0]), false);
    cluster.run_for(500);
    let lost = other_voters(&mut cluster)[0];
    cluster.crash(lost, false);
    cluster.run_for(5_000);
    assert_eq!(members(&mut cluster), before);
}

#[test]
fn surplus_voters_become_standbys_one_at_a_time_while_all_respond() {
    let mut cluster = Cluster::new(1, 5);
    cluster.heal();
    let silent = other_voters(&mut cluster)[0];
    cluster.isolate(silent);
    cluster.run_for(500);
    for host in 0..5 {
        cluster.node(host).set_voters(3, 3);
    }
    cluster.run_for(1_000);
    assert_eq!(members(&mut cluster).voters.len(), 5, "one voter does not respond");
    cluster.reconnect_all();
    let mut sizes = Vec::new();
    for _ in 0..400 {
        cluster.step();
        sizes.push(members(&mut cluster).voters.len());
    }
    sizes.dedup();
    assert_eq!(sizes, [5, 4, 3]);
    let leader = cluster.leader().expect("a leader");
    assert_eq!(cluster.node(leader).members().learners.len(), 2);
    assert!(commit(&mut cluster, leader, 5).is_some());
}

/// Runs a group of which two voters lose their disks right after a commit. Returns an error if no
/// leader has all committed entries afterwards.
fn lose_two_disks(seed: u64, hosts: usize, voters: usize) -> Result<(), String> {
    let (mut cluster, leader) = group(seed, hosts, voters);
    cluster.run_for(seed * 7 % 100);
    let last = commit(&mut cluster, leader, 3).expect("committed");
    let state = cluster.replicas[leader].state;
    let mut lost = other_voters(&mut cluster);
    if seed.is_multiple_of(2) {
        lost.insert(0, leader);
    }
    for host in lost.into_iter().take(2) {
        cluster.crash(host, true);
    }
    let end = cluster.now() + Duration::from_secs(10);
    while cluster.now() < end {
        cluster.step();
        let Some(next) = cluster.leader() else { continue };
        if !cluster.node(next).is_caught_up_leader() {
            continue;
        }
        let applied = cluster.replicas[next].applied;
        assert!(applied >= last, "seed {seed}: the leader has applied {applied} of {last}");
        assert!(applied > last || cluster.replicas[next].state == state, "seed {seed}");
        if commit(&mut cluster, next, 1).is_some() {
            cluster.heal();
            return Ok(());
        }
    }
    Err(format!("seed {seed}: nothing committed within 10 s"))
}

#[test]
fn five_voters_keep_committed_entries_when_two_disks_are_lost_at_once() {
    let runs = (0..40).flat_map(|seed| [5, 9].map(|hosts| (seed, hosts)));
    for (seed, hosts) in runs {
        assert_eq!(lose_two_disks(seed, hosts, 5), Ok(()), "{hosts} hosts");
    }
}

#[test]
fn four_voters_stop_when_two_disks_are_lost_at_once() {
    for seed in 0..40 {
        assert!(lose_two_disks(seed, 4, 4).is_err(), "seed {seed}");
    }
}

#[test]
fn random_faults_with_standbys() {
    for (hosts, voters) in [(5, 3), (7, 5)] {
        for seed in 0..SEEDS {
            println!("{hosts} hosts, {voters} voters, seed {seed}");
            let mut cluster = Cluster::with_voters(seed, hosts, Some(voters));
            cluster.heal();
            cluster.run_with_faults(STEPS);
            cluster.heal();
            let report = cluster.report();
            println!("{report:?}");
            assert!(report.committed > 0 && report.reads > 0);
        }
    }
}
