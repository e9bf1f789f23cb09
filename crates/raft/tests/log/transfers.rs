//! Replicas that are behind catch up, whatever the size of the state, the speed of the links and
//! what the links lose. Guards against transfers that delay heartbeats, begin again or never end.

use std::time::Duration;

use raft::message::Body;
use raft::message::Id;
use raft::message::Payload;
use raft::node::Config;

use super::sim::network::Faults;
use super::sim::network::Network;
use super::sim::replica::CONFIG;

const KB: usize = 1 << 10;
const MB: usize = 1 << 20;
/// The sizes that a keeper uses.
const SIZES: Config = Config {
    heartbeat_interval: ms(100),
    election_timeout: ms(400),
    max_batch_bytes: 256 * KB,
    part_bytes: 64 * KB,
    max_object_bytes: 64 * MB,
    max_in_flight_bytes: MB,
    retained_bytes: MB,
    ..CONFIG
};
/// Half a heartbeat interval above the interval: the longest time without a message of the leader
/// at a replica to which nothing is sent in parts.
const MAX_SILENCE: Duration = ms(150);

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns a network of three voters with a state of this size and no entries behind it.
fn network(state_bytes: usize, link_bytes_per_s: usize) -> Network {
    let mut network = Network::new(3, SIZES, link_bytes_per_s);
    network.run_until(ms(10_000), |network| network.voters() == 3);
    network.compact_all(state_bytes);
    network
}

/// Replaces the first follower by an empty replica; returns its id.
fn replace_follower(network: &mut Network) -> Id {
    let lost = network.followers()[0];
    network.stop(lost);
    network.join()
}

fn index_of(network: &Network) -> u64 {
    network.nodes[&network.leader].commit()
}

/// Runs until a replica has applied all entries; returns the time that this took.
fn catch_up(network: &mut Network, id: Id, timeout: Duration) -> Duration {
    let start = network.now;
    network.run_until(timeout, |network| network.nodes[&id].applied() >= index_of(network));
    network.now - start
}

#[test]
fn an_empty_replica_catches_up_whatever_the_size_of_the_state_and_the_speed_of_its_links() {
    for bytes in [0, 1, 64 * KB, 256 * KB + 1, 3 * MB, 16 * MB, 64 * MB] {
        for speed in [500 * KB, 5 * MB, 100 * MB] {
            if bytes > 3 * MB && speed < MB {
                continue;
            }
            let mut network = network(bytes, speed);
            let (leader, term) = (network.leader, network.term());
            let id = replace_follower(&mut network);
            network.max_silence.clear();
            let least = Duration::from_secs_f64(bytes as f64 / speed as f64);
            let took = catch_up(&mut network, id, least * 3 + ms(3_000));
            assert_eq!((network.leader, network.term()), (leader, term), "{bytes} at {speed}");
            assert_eq!(network.states[&id].len(), bytes, "{bytes} bytes at {speed} a second");
            for (other, silence) in &network.max_silence {
                let limit = if *other == id { SIZES.election_timeout } else { MAX_SILENCE };
                assert!(*silence <= limit, "{bytes} at {speed}: {silence:?} without a message");
            }
            println!("{bytes} bytes at {speed} a second: {took:?}");
        }
    }
}

#[test]
fn a_transfer_is_resumed_after_a_lost_link() {
    let mut network = network(16 * MB, 10 * MB);
    let id = replace_follower(&mut network);
    let leader = network.leader;
    for _ in 0..4 {
        network.run_for(ms(300));
        network.cut(leader, id);
        network.run_for(ms(700));
        network.restore(leader, id);
    }
    catch_up(&mut network, id, ms(10_000));
    let sent = network.sent_bytes[&(leader, id)];
    // Of each lost link, the parts of one window are sent again.
    assert!(sent < 16 * MB + 5 * MB, "{sent} bytes for a state of {}", 16 * MB);
    assert_eq!(network.states[&id].len(), 16 * MB);
}

#[test]
fn a_transfer_ends_over_links_that_lose_repeat_and_reorder_messages() {
    for seed in 0..20 {
        let mut network = network(2 * MB, 20 * MB);
        network.faults = Faults { loss: 50, repeat: 50, delay: 100 };
        network.seed(seed);
        let id = replace_follower(&mut network);
        network.run_until(ms(60_000), |network| {
            network.states.get(&id).is_some_and(|state| state.len() == 2 * MB)
        });
    }
}

#[test]
fn two_replicas_that_are_replaced_at_the_same_time_catch_up() {
    let mut network = network(8 * MB, 5 * MB);
    let first = replace_follower(&mut network);
    network.run_for(ms(600));
    let second = network.join();
    catch_up(&mut network, first, ms(8_000));
    catch_up(&mut network, second, ms(8_000));
    assert_eq!(network.states[&second].len(), 8 * MB);
}

#[test]
fn a_transfer_begins_again_at_a_new_leader_and_ends() {
    let mut network = network(8 * MB, 5 * MB);
    let id = network.join();
    network.run_for(ms(600));
    let leader = network.leader;
    network.stop(leader);
    network.run_until(ms(3_000), |network| network.leader != leader);
    catch_up(&mut network, id, ms(8_000));
    assert_eq!(network.states[&id].len(), 8 * MB);
}

#[test]
fn large_entries_are_committed_without_a_lost_lead_and_with_bounded_queues() {
    let mut network = network(0, 20 * MB);
    let (leader, term) = (network.leader, network.term());
    for _ in 0..12 {
        network.propose(3 * MB);
        network.run_for(ms(100));
    }
    let last = network.nodes[&leader].last_index();
    network.run_until(ms(10_000), |network| network.nodes[&leader].commit() >= last);
    assert_eq!((network.leader, network.term()), (leader, term));
    // A window of 16 parts and a batch of entries.
    assert!(network.max_queued_bytes <= 2 * MB, "{} bytes in a queue", network.max_queued_bytes);
}

#[test]
fn the_entries_behind_a_snapshot_are_bounded_in_bytes() {
    let mut network = network(0, 100 * MB);
    for _ in 0..20 {
        network.propose(300 * KB);
        network.run_for(ms(100));
    }
    network.retained_entries = 256;
    network.compact_all(0);
    for (id, node) in &network.nodes {
        let bytes = node.log_bytes();
        assert!(bytes <= SIZES.retained_bytes, "replica {id} keeps {bytes} bytes");
        assert!(bytes > 600 * KB, "replica {id} keeps only {bytes} bytes");
    }
}

#[test]
fn entries_without_a_response_are_bounded_in_bytes() {
    let mut network = network(0, 100 * MB);
    let follower = network.followers()[0];
    let leader = network.leader;
    network.cut(follower, leader);
    let before = network.sent_bytes[&(leader, follower)];
    for _ in 0..60 {
        network.propose(100 * KB);
    }
    network.run_for(ms(300));
    let sent = network.sent_bytes[&(leader, follower)] - before;
    assert!(sent <= SIZES.max_in_flight_bytes + 256 * KB, "{sent} bytes without a response");
}

#[test]
fn replicas_of_a_former_release_get_whole_snapshots_and_entries() {
    let mut network = network(3 * MB, 100 * MB);
    network.knows_parts = false;
    let id = replace_follower(&mut network);
    network.propose(3 * MB);
    catch_up(&mut network, id, ms(5_000));
    assert_eq!(network.part_messages, 0);
    assert_eq!(network.states[&id].len(), 3 * MB);
}

#[test]
fn a_damaged_part_is_noticed_and_the_transfer_begins_again() {
    let mut network = network(MB, 100 * MB);
    let id = replace_follower(&mut network);
    let mut damaged = false;
    network.run_until(ms(10_000), |network| {
        for message in network.in_transit_to(id) {
            if let Body::Part { part, .. } = &mut message.body
                && !damaged
            {
                damaged = true;
                part.data = vec![1; part.data.len()].into();
            }
        }
        network.states.get(&id).is_some_and(|state| state.len() == MB)
    });
    assert!(damaged);
    assert!(network.states[&id].iter().all(|byte| *byte == 0));
}

#[test]
fn an_object_above_the_limit_of_the_receiver_is_not_accepted() {
    let mut network = network(MB, 100 * MB);
    network.config.max_object_bytes = MB - 1;
    let id = replace_follower(&mut network);
    network.run_for(ms(3_000));
    assert!(network.nodes[&id].applied() == 0, "it waits for a snapshot that it can hold");
    assert_eq!(network.nodes[&id].leader(), Some(network.leader));
    let command = |body: &Body| match body {
        Body::Append { entries, .. } => {
            entries.iter().any(|entry| matches!(entry.payload, Payload::Data(_)))
        }
        _ => false,
    };
    assert!(!network.in_transit_to(id).any(|message| command(&message.body)));
}
