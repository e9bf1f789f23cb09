//! Benchmarks the replicated log: `measure FOLDER` prints the duration of elections in simulated
//! time, the throughput with three disks in entries per second, and the time to reopen a replica.

use std::env;
use std::error::Error;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use disk::Store;
use raft::Message;
use raft::Node;
use raft::message::Id;
use raft::message::Member;
use raft::node::Config;
use raft::node::PersistentState;
use raft::node::Ready;
use raft::node::Role;

// The timing of a keeper.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
const ELECTION_TIMEOUT: Duration = Duration::from_millis(400);
/// One-way message delay in steps of 1 ms, as between failure domains.
const DELAY_STEPS: u64 = 2;
const HOSTS: usize = 5;
const DISKS: usize = 3;
const ELECTIONS: u64 = 1_000;
const ENTRY_BYTES: usize = 200;
/// Number of entries in the log of the reopened replica.
const RECOVERED_ENTRIES: usize = 100_000;

struct Replica {
    node: Node,
    store: Option<Store>,
    up: bool,
}

struct Group {
    replicas: Vec<Replica>,
    /// Messages in transit: step of delivery, sender, receiver, message.
    in_transit: Vec<(u64, Id, Id, Message)>,
    step: u64,
    applied: usize,
}

impl Group {
    fn new(seed: u64, folder: Option<&Path>) -> Result<Group, Box<dyn Error>> {
        let mut replicas = Vec::new();
        for host in 0..HOSTS {
            let path = folder.filter(|_| host < DISKS).map(|folder| folder.join(host.to_string()));
            let store = path.map(Store::open).transpose()?.map(|(store, ..)| store);
            let node =
                Node::new(host as Id, config(seed), PersistentState::default(), Duration::ZERO);
            replicas.push(Replica { node, store, up: true });
        }
        let mut group = Group { replicas, in_transit: Vec::new(), step: 0, applied: 0 };
        group.replicas[0].node.bootstrap(member(0));
        for host in 1..HOSTS {
            group.replicas[0].node.add_learner(member(host))?;
        }
        while group.replicas[0].node.members().voters.len() < HOSTS {
            group.step()?;
        }
        Ok(group)
    }

    fn now(&self) -> Duration {
        Duration::from_millis(self.step)
    }

    /// Advances the simulation by one step of 1 ms.
    fn step(&mut self) -> Result<(), Box<dyn Error>> {
        self.step += 1;
        let (now, step) = (self.now(), self.step);
        let (due, later) = self.in_transit.drain(..).partition(|(at, ..)| *at <= step);
        self.in_transit = later;
        let due: Vec<(u64, Id, Id, Message)> = due;
        for (_, from, to, message) in due {
            let replica = &mut self.replicas[to as usize];
            if replica.up {
                replica.node.step(from, message, now);
            }
        }
        for host in 0..HOSTS {
            let replica = &mut self.replicas[host];
            if !replica.up {
                continue;
            }
            replica.node.tick(now);
            let ready = replica.node.ready();
            write(replica.store.as_mut(), &ready)?;
            let leads = replica.node.role() == Role::Leader;
            self.applied += if leads { ready.committed.len() } else { 0 };
            let messages = ready.messages.into_iter();
            let at = step + DELAY_STEPS;
            self.in_transit.extend(messages.map(|(to, message)| (at, host as Id, to, message)));
        }
        Ok(())
    }
}

fn write(store: Option<&mut Store>, ready: &Ready) -> Result<(), disk::Error> {
    let Some(store) = store else { return Ok(()) };
    store.append(ready.entries.iter().cloned());
    if let Some(hard_state) = ready.hard_state {
        store.set_hard_state(hard_state);
    }
    store.sync()
}

fn member(host: usize) -> Member {
    Member { id: host as Id, host: format!("h{host}") }
}

fn config(seed: u64) -> Config {
    Config {
        heartbeat_interval: HEARTBEAT_INTERVAL,
        election_timeout: ELECTION_TIMEOUT,
        max_batch_bytes: 1 << 20,
        part_bytes: 64 << 10,
        max_object_bytes: 64 << 20,
        max_in_flight_bytes: 64 << 20,
        retained_bytes: 64 << 20,
        seed,
    }
}

/// Stops the leader at different moments and prints the time until an entry is committed again.
fn elections() -> Result<(), Box<dyn Error>> {
    let mut times = Vec::new();
    for seed in 0..ELECTIONS {
        let mut group = Group::new(seed, None)?;
        for _ in 0..1_000 + seed * 37 % 100 {
            group.step()?;
        }
        group.replicas[0].up = false;
        let start = group.step;
        let before = group.replicas[1..].iter().map(|replica| replica.node.last_index()).max();
        let before = before.unwrap_or(0);
        while !group.replicas[1..].iter().any(|replica| replica.node.commit() > before) {
            group.step()?;
        }
        times.push(group.step - start);
    }
    times.sort_unstable();
    let at = |percent: usize| times[(times.len() - 1) * percent / 100];
    println!("leader lost to first commit, simulated ms, {ELECTIONS} runs:");
    println!("  p50 {} p95 {} p99 {} max {}", at(50), at(95), at(99), at(100));
    Ok(())
}

/// Appends batches and prints the throughput. The three disks are synced one after the other.
fn throughput(folder: &Path, batch: usize, total: usize) -> Result<(), Box<dyn Error>> {
    let mut group = Group::new(1, Some(folder))?;
    let data = Bytes::from(vec![7; ENTRY_BYTES]);
    let start = Instant::now();
    group.applied = 0;
    let mut sent = 0;
    while group.applied < total {
        if sent < total {
            for _ in 0..batch {
                group.replicas[0].node.propose(data.clone())?;
            }
            sent += batch;
        }
        group.step()?;
    }
    let seconds = start.elapsed().as_secs_f64();
    let rate = total as f64 / seconds;
    println!("{batch} entries of {ENTRY_BYTES} bytes per write: {rate:.0} entries per second");
    Ok(())
}

/// Prints the time to reopen a replica from its files.
fn recovery(folder: &Path) -> Result<(), Box<dyn Error>> {
    let start = Instant::now();
    let (_, stored, _) = Store::open(folder)?;
    let count = stored.entries.len();
    let node = Node::new(0, config(1), stored, Duration::ZERO);
    let millis = start.elapsed().as_millis();
    println!("start with {count} entries on disk, last {}: {millis} ms", node.last_index());
    Ok(())
}

fn main() -> Result<(), Box<dyn Error>> {
    let folder = env::args().nth(1).ok_or("usage: measure FOLDER")?;
    let folder = Path::new(&folder);
    elections()?;
    for (batch, total) in
        [(1, 1_000), (10, 10_000), (100, RECOVERED_ENTRIES), (1_000, RECOVERED_ENTRIES)]
    {
        throughput(&folder.join(format!("round-{batch}")), batch, total)?;
    }
    recovery(&folder.join("round-100").join("0"))
}
