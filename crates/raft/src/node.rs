//! A replica.

use std::time::Duration;

use bytes::Bytes;

use crate::message::Entry;
use crate::message::Hard;
use crate::message::Id;
use crate::message::Index;
use crate::message::Member;
use crate::message::Members;
use crate::message::Message;
use crate::message::Snapshot;

/// The times of a replica.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// The time between a leader's heartbeats.
    pub heartbeat: Duration,
    /// The shortest time without a leader before an election; the longest is twice that.
    pub election: Duration,
    /// The most bytes of entries in one message.
    pub batch_bytes: usize,
    /// The seed of the election times.
    pub seed: u64,
}

/// What a replica finds when it starts; all empty for a new one.
#[derive(Clone, Debug, Default)]
pub struct Stored {
    /// The hard state.
    pub hard: Hard,
    /// The snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries behind the snapshot.
    pub entries: Vec<Entry>,
}

/// A replica's part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Receives the log and does not vote.
    Learner,
    /// Receives the log and votes.
    Follower,
    /// Seeks votes.
    Candidate,
    /// Leads.
    Leader,
}

/// What the driver must carry out, in the order of the fields.
#[derive(Clone, Debug, Default)]
pub struct Ready {
    /// The snapshot to write; it replaces the whole log up to its index.
    pub snapshot: Option<Snapshot>,
    /// The entries to write; those on disk from the first one's index on are cut before.
    pub entries: Vec<Entry>,
    /// The hard state to write.
    pub hard: Option<Hard>,
    /// The messages to send after all of the above is synced.
    pub messages: Vec<(Id, Message)>,
    /// The snapshot to load into the driver's state before `committed`.
    pub install: Option<Snapshot>,
    /// The entries to apply.
    pub committed: Vec<Entry>,
    /// The reads that may be answered once everything in `committed` is applied.
    pub reads: Vec<u64>,
}

/// Only the leader takes this call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotLeader {
    /// The leader, where it is known.
    pub leader: Option<Id>,
}

/// A replica of the log.
#[derive(Debug)]
pub struct Node {
    id: Id,
}

// The calls below fix the shape that drivers build against.
#[allow(unused_variables, clippy::todo)]
impl Node {
    /// Starts a replica; `now` is the time since any fixed start, the same for all calls.
    pub fn new(id: Id, config: Config, stored: Stored, now: Duration) -> Node {
        todo!()
    }

    /// Makes an empty replica the only voter of a new group.
    pub fn bootstrap(&mut self, member: Member) {
        todo!()
    }

    /// Lets time pass: elections and heartbeats.
    pub fn tick(&mut self, now: Duration) {
        todo!()
    }

    /// Takes a message from another replica.
    pub fn step(&mut self, from: Id, message: Message, now: Duration) {
        todo!()
    }

    /// Appends a command; its outcome is known when the entry at the returned index is applied with
    /// the term that the leader has now.
    pub fn propose(&mut self, data: Bytes) -> Result<Index, NotLeader> {
        todo!()
    }

    /// Asks to be told in [`Ready::reads`] when it is certain that this replica was the leader after
    /// this call and has applied all that was committed before it. Dropped on loss of leadership.
    pub fn read(&mut self, token: u64) -> Result<(), NotLeader> {
        todo!()
    }

    /// Adds a learner; the same host's former learner goes. No-op if it is a member.
    pub fn add_learner(&mut self, member: Member) -> Result<(), NotLeader> {
        todo!()
    }

    /// Removes a member.
    pub fn remove(&mut self, id: Id) -> Result<(), NotLeader> {
        todo!()
    }

    /// Takes what is to be carried out. The caller must carry it out before the next call.
    pub fn ready(&mut self) -> Ready {
        todo!()
    }

    /// Tells that the driver has a snapshot at `index`; entries up to it are dropped.
    pub fn compact(&mut self, index: Index, data: Bytes) -> Option<Snapshot> {
        todo!()
    }

    /// Returns the replica's part.
    pub fn role(&self) -> Role {
        todo!()
    }

    /// Returns the current term.
    pub fn term(&self) -> u64 {
        todo!()
    }

    /// Returns the leader, where it is known.
    pub fn leader(&self) -> Option<Id> {
        todo!()
    }

    /// Returns the members in force.
    pub fn members(&self) -> &Members {
        todo!()
    }

    /// Returns the committed index.
    pub fn commit(&self) -> Index {
        todo!()
    }

    /// Returns the id of this replica.
    pub fn id(&self) -> Id {
        self.id
    }
}
