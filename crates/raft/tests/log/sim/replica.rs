//! A simulated replica whose disk keeps only synced data.

use std::collections::VecDeque;
use std::time::Duration;

use base::Map;
use bytes::Bytes;
use raft::Message;
use raft::Node;
use raft::message::Entry;
use raft::message::Id;
use raft::message::Index;
use raft::message::Member;
use raft::message::Members;
use raft::message::Payload;
use raft::message::Snapshot;
use raft::message::Term;
use raft::node::Config;
use raft::node::PersistentState;
use raft::node::Ready;
use raft::node::Role;
use rand::RngExt;
use rand::rngs::SmallRng;

use super::check::Checker;
use super::check::state_of;
use super::files::Disk;

/// Number of applied entries after which a snapshot is taken.
const SNAPSHOT_EVERY: Index = 40;
/// Number of entries covered by the latest snapshot that stay in memory.
const RETAINED_ENTRIES: Index = 10;

/// A replica on a host.
pub(crate) struct Replica {
    pub(crate) id: Id,
    pub(crate) host: usize,
    pub(crate) node: Option<Node>,
    /// The synced state.
    pub(crate) stored: PersistentState,
    /// A real store, which must hold the same state; used in half of the schedules.
    disk: Option<Disk>,
    /// The output being written, and the time at which its sync completes.
    pub(crate) writing: Option<(Duration, Ready)>,
    /// The time until which the process is suspended.
    pub(crate) paused_until: Duration,
    pub(crate) inbox: VecDeque<(Id, Message)>,
    pub(crate) state: u64,
    pub(crate) applied: Index,
    /// Pending reads, with the commit index at the time of the request.
    pub(crate) reads: Map<u64, Index>,
    pub(crate) confirmed: usize,
    pub(crate) installed: usize,
    pub(crate) config: Config,
    /// The size of a snapshot beyond the state, in bytes.
    pub(crate) snapshot_padding: usize,
}

impl Replica {
    pub(crate) fn new(id: Id, host: usize, with_disk: bool, config: Config) -> Replica {
        Replica {
            id,
            host,
            node: None,
            stored: PersistentState::default(),
            disk: with_disk.then(Disk::new),
            writing: None,
            paused_until: Duration::ZERO,
            inbox: VecDeque::new(),
            state: 0,
            applied: 0,
            reads: Map::default(),
            confirmed: 0,
            installed: 0,
            config,
            snapshot_padding: 0,
        }
    }

    pub(crate) fn member(&self) -> Member {
        Member { id: self.id, host: format!("h{}", self.host) }
    }

    pub(crate) fn start(&mut self, seed: u64, now: Duration) {
        let mut node = Node::new(self.id, Config { seed, ..self.config }, self.stored.clone(), now);
        node.set_retained_entries(RETAINED_ENTRIES);
        self.state = self.stored.snapshot.as_ref().map_or(0, state_of);
        self.applied = self.stored.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        self.node = Some(node);
    }

    /// Passes the time and the received messages to the node.
    pub(crate) fn receive(&mut self, now: Duration) {
        let node = self.node.as_mut().expect("a running node");
        node.tick(now);
        for (from, message) in self.inbox.drain(..) {
            node.step(from, message, now);
        }
    }

    /// Crashes the replica. A write in progress reaches the disk only in part.
    pub(crate) fn crash(&mut self, random: &mut SmallRng) {
        self.node = None;
        self.inbox.clear();
        self.reads.clear();
        let writing = self.writing.take().map(|(_, ready)| ready);
        if let Some(disk) = &mut self.disk {
            let stored = disk.crash(writing.as_ref(), random);
            assert!(
                writing.is_some() || is_same(&stored, &self.stored),
                "the files lost synced data"
            );
            self.stored = stored;
        } else if let Some(ready) = writing {
            self.tear(ready, random.random_range(0..6));
        }
    }

    fn tear(&mut self, ready: Ready, mut writes: usize) {
        if let Some(snapshot) = ready.snapshot {
            if writes == 0 {
                return;
            }
            writes -= 1;
            self.write_snapshot(snapshot);
        }
        let whole = writes > ready.entries.len();
        let torn = ready.entries.into_iter().take(writes).collect::<Vec<Entry>>();
        self.write_entries(&torn);
        if whole {
            self.stored.hard_state = ready.hard_state.unwrap_or(self.stored.hard_state);
        }
    }

    /// Applies a node's output and returns the messages to send.
    pub(crate) fn finish(&mut self, ready: Ready, check: &mut Checker) -> Vec<(Id, Message)> {
        if let Some(disk) = &mut self.disk {
            disk.write(&ready).expect("no write fails");
        }
        if let Some(snapshot) = ready.snapshot {
            self.write_snapshot(snapshot);
        }
        for entry in &ready.entries {
            self.write_entries(std::slice::from_ref(entry));
            check.check_written(entry, self.term_at(entry.index - 1));
        }
        self.stored.hard_state = ready.hard_state.unwrap_or(self.stored.hard_state);
        if let Some(snapshot) = ready.install {
            self.state = check.check_installed(&snapshot);
            self.applied = snapshot.index;
            self.installed += 1;
        }
        for entry in &ready.committed {
            assert_eq!(entry.index, self.applied + 1, "entries are applied in order");
            self.state = check.check_applied(self.state, entry);
            self.applied = entry.index;
        }
        for token in ready.reads {
            let before = self.reads.remove(&token).expect("a pending read");
            assert!(self.applied >= before, "a read at {} misses {before}", self.applied);
            self.confirmed += 1;
        }
        self.check_members();
        self.compact();
        ready.messages
    }

    /// Checks that the last members in the log are in force, and that a leader starts a change only
    /// when all earlier ones are committed. A new leader may find two uncommitted changes of former
    /// leaders; the first one is then committed without its knowledge.
    fn check_members(&self) {
        let node = self.node.as_ref().expect("a running node");
        assert_eq!(*node.members(), self.stored_members().unwrap_or_default());
        let changes = self.stored.entries.iter().filter(|entry| {
            entry.index > node.commit() && matches!(entry.payload, Payload::Members(_))
        });
        let terms: Vec<Term> = changes.map(|entry| entry.term).collect();
        let started = node.role() == Role::Leader && terms.contains(&node.term());
        assert!(!started || terms.len() == 1, "{} changes at once", terms.len());
    }

    fn compact(&mut self) {
        let index = self.stored.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        if self.applied < index + SNAPSHOT_EVERY {
            return;
        }
        let mut data = self.state.to_le_bytes().to_vec();
        data.resize(data.len() + self.snapshot_padding, self.state as u8);
        let data = Bytes::from(data);
        let node = self.node.as_mut().expect("a running node");
        let snapshot = node.compact(self.applied, data).expect("a later snapshot");
        if let Some(disk) = &mut self.disk {
            let ready = Ready { snapshot: Some(snapshot.clone()), ..Ready::default() };
            disk.write(&ready).expect("no write fails");
        }
        self.write_snapshot(snapshot);
    }

    fn write_snapshot(&mut self, snapshot: Snapshot) {
        if self.term_at(snapshot.index) != Some(snapshot.term) {
            self.stored.entries.clear();
        }
        self.stored.entries.retain(|entry| entry.index > snapshot.index);
        self.stored.snapshot = Some(snapshot);
    }

    fn write_entries(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else { return };
        self.stored.entries.retain(|entry| entry.index < first.index);
        self.stored.entries.extend_from_slice(entries);
    }

    /// Returns the members known to the replica, read from its disk if it is down.
    pub(crate) fn known_members(&self) -> Option<Members> {
        if let Some(node) = &self.node {
            return Some(node.members().clone());
        }
        self.stored_members()
    }

    fn stored_members(&self) -> Option<Members> {
        let latest = self.stored.entries.iter().rev().find_map(|entry| match &entry.payload {
            Payload::Members(members) => Some(members.clone()),
            _ => None,
        });
        latest.or_else(|| Some(self.stored.snapshot.as_ref()?.members.clone()))
    }

    fn term_at(&self, index: Index) -> Option<Term> {
        if index == 0 {
            return Some(0);
        }
        let snapshot = self.stored.snapshot.as_ref();
        if let Some(snapshot) = snapshot.filter(|snapshot| snapshot.index == index) {
            return Some(snapshot.term);
        }
        let found = self.stored.entries.iter().find(|entry| entry.index == index);
        found.map(|entry| entry.term)
    }
}

fn is_same(one: &PersistentState, other: &PersistentState) -> bool {
    (&one.hard_state, &one.snapshot, &one.entries)
        == (&other.hard_state, &other.snapshot, &other.entries)
}

/// The timing and sizes of most tests.
pub(crate) const CONFIG: Config = Config {
    heartbeat_interval: Duration::from_millis(50),
    election_timeout: Duration::from_millis(200),
    max_batch_bytes: 200,
    part_bytes: 64,
    max_object_bytes: 1 << 30,
    max_in_flight_bytes: 1 << 20,
    retained_bytes: 1 << 20,
    seed: 0,
};
