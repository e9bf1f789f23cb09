//! A replica.

use std::collections::VecDeque;
use std::time::Duration;

use base::Event;
use base::Map;
use bytes::Bytes;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::election::Part;
use crate::log::Log;
use crate::membership::Wish;
use crate::message::Entry;
use crate::message::HardState;
use crate::message::Id;
use crate::message::Index;
use crate::message::Member;
use crate::message::Members;
use crate::message::Message;
use crate::message::Payload;
use crate::message::Snapshot;
use crate::message::Term;
use crate::progress::Progress;
use crate::read::Read;

/// The times of a replica.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// The time between a leader's heartbeats.
    pub heartbeat_interval: Duration,
    /// The shortest time without a leader before an election; the longest is twice that.
    pub election_timeout: Duration,
    /// The most bytes of entries in one message.
    pub max_batch_bytes: usize,
    /// The seed of the election times.
    pub seed: u64,
}

/// What a replica finds when it starts; all empty for a new one.
#[derive(Clone, Debug, Default)]
pub struct PersistentState {
    /// The hard state.
    pub hard_state: HardState,
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
    pub hard_state: Option<HardState>,
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
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not the leader")]
pub struct NotLeader {
    /// The leader, where it is known.
    pub leader: Option<Id>,
}

/// The entries kept in memory behind a snapshot, so that a replica that is a little behind needs no
/// snapshot.
const KEPT: Index = 256;

/// A replica of the log.
#[derive(Debug)]
pub struct Node {
    pub(crate) id: Id,
    pub(crate) config: Config,
    pub(crate) random: SmallRng,
    /// The latest time that the driver told.
    pub(crate) now: Duration,
    /// What the disk must hold; `commit` in it is only as fresh as the last write.
    pub(crate) hard_state: HardState,
    /// Whether `hard_state` differs from what the driver was given.
    pub(crate) hard_state_changed: bool,
    pub(crate) log: Log,
    /// The latest snapshot.
    pub(crate) snapshot: Option<Snapshot>,
    /// Whether the driver must write and load `snapshot`.
    pub(crate) snapshot_changed: bool,
    /// The members from an index on.
    ///
    /// Invariant: never empty; indices grow; only the last one can be uncommitted.
    pub(crate) members: Vec<(Index, Members)>,
    /// Invariant: never shrinks.
    pub(crate) commit: Index,
    /// The last entry given to the driver to apply.
    ///
    /// Invariant: at most `commit`.
    pub(crate) applied: Index,
    pub(crate) part: Part,
    pub(crate) leader: Option<Id>,
    /// When the leader was heard last.
    pub(crate) heard: Duration,
    /// When an election starts unless a leader is heard.
    pub(crate) election_at: Duration,
    /// When a leader sends its next heartbeats.
    pub(crate) beat_at: Duration,
    /// The other members, as a leader sees them; empty otherwise.
    pub(crate) progress: Map<Id, Progress>,
    /// The leader's latest round of heartbeats.
    pub(crate) round: u64,
    /// The leader's first entry of its term.
    pub(crate) first_index: Index,
    pub(crate) reads: VecDeque<Read>,
    pub(crate) wishes: VecDeque<Wish>,
    pub(crate) messages: Vec<(Id, Message)>,
    kept: Index,
}

impl Node {
    /// Starts a replica; `now` is the time since any fixed start, the same for all calls.
    pub fn new(id: Id, config: Config, stored: PersistentState, now: Duration) -> Node {
        let PersistentState { hard_state, snapshot, entries } = stored;
        let start = snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let start_term = snapshot.as_ref().map_or(0, |snapshot| snapshot.term);
        let first = snapshot.as_ref().map(|snapshot| snapshot.members.clone()).unwrap_or_default();
        let mut members = vec![(start, first)];
        let log = Log::new(start, start_term, entries);
        members.extend(log.slice(start + 1, log.last_index()).iter().filter_map(changed_members));
        let mut node = Node {
            id,
            config,
            random: SmallRng::seed_from_u64(config.seed ^ id),
            now,
            hard_state,
            hard_state_changed: false,
            commit: hard_state.commit.clamp(start, log.last_index()),
            applied: start,
            log,
            snapshot,
            snapshot_changed: false,
            members,
            part: Part::Follower,
            leader: None,
            heard: now,
            election_at: now,
            beat_at: now,
            progress: Map::default(),
            round: 0,
            first_index: 0,
            reads: VecDeque::new(),
            wishes: VecDeque::new(),
            messages: Vec::new(),
            kept: KEPT,
        };
        // A leader, if there is one, is heard within a heartbeat of the first connection.
        node.set_retry_time();
        node
    }

    /// Sets the entries kept in memory behind a snapshot.
    pub fn set_retained_entries(&mut self, entries: Index) {
        self.kept = entries;
    }

    /// Makes an empty replica the only voter of a new group.
    pub fn bootstrap(&mut self, member: Member) {
        self.hard_state = HardState { term: 1, vote: Some(self.id), commit: 0 };
        self.hard_state_changed = true;
        self.append(Payload::Members(Members { voters: vec![member], learners: Vec::new() }));
        self.lead();
    }

    /// Appends a command; its outcome is known when the entry at the returned index is applied with
    /// the term that the leader has now.
    pub fn propose(&mut self, data: Bytes) -> Result<Index, NotLeader> {
        self.check_leader()?;
        Ok(self.append(Payload::Data(data)))
    }

    /// Takes what is to be carried out. The caller must carry it out before the next call.
    pub fn ready(&mut self) -> Ready {
        if self.is_leader() {
            self.count_matches();
            self.follow_up();
            self.begin_round();
            self.flush();
        }
        let snapshot = self.snapshot.clone().filter(|_| self.snapshot_changed);
        self.snapshot_changed = false;
        let entries = self.log.take_unstable();
        let hard_state = self.take_hard_state(!entries.is_empty() || snapshot.is_some());
        let messages = std::mem::take(&mut self.messages);
        let committed = self.log.slice(self.applied + 1, self.commit).to_vec();
        self.applied = self.commit;
        let reads = self.take_reads();
        Ready {
            install: snapshot.clone(),
            snapshot,
            entries,
            hard_state,
            messages,
            committed,
            reads,
        }
    }

    /// Returns the hard state to write; a committed index alone is worth no write of its own.
    fn take_hard_state(&mut self, writes: bool) -> Option<HardState> {
        let due = self.hard_state_changed || (writes && self.hard_state.commit != self.commit);
        if !due {
            return None;
        }
        self.hard_state.commit = self.commit;
        self.hard_state_changed = false;
        Some(self.hard_state)
    }

    /// Tells that the driver has a snapshot at `index`; entries up to it are dropped, but for some
    /// kept in memory. Returns the snapshot, which the driver must write and sync; none if `index` is
    /// not applied or an equal or later snapshot is there.
    pub fn compact(&mut self, index: Index, data: Bytes) -> Option<Snapshot> {
        let newest = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        if index > self.applied || index <= newest {
            return None;
        }
        let term = self.log.term(index)?;
        let members = self.members_at(index).clone();
        let snapshot = Snapshot { index, term, members, data };
        self.snapshot = Some(snapshot.clone());
        self.log.compact(index.saturating_sub(self.kept));
        self.forget_members(index);
        base::event!(INFO, Event::SnapshotTaken, replica = self.id, index = index);
        Some(snapshot)
    }

    /// Drops the members that were replaced before `index`.
    fn forget_members(&mut self, index: Index) {
        let replaced = self.members.iter().filter(|(from, _)| *from <= index).count();
        self.members.drain(..replaced.saturating_sub(1));
    }

    /// Returns the error of calls that only the leader takes.
    pub(crate) fn check_leader(&self) -> Result<(), NotLeader> {
        if self.is_leader() { Ok(()) } else { Err(NotLeader { leader: self.leader }) }
    }

    /// Returns the current term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Returns the leader, where it is known.
    pub fn leader(&self) -> Option<Id> {
        self.leader
    }

    /// Returns the committed index.
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// Returns the last entry that the driver was given to apply.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// Returns the last entry of the log.
    pub fn last_index(&self) -> Index {
        self.log.last_index()
    }

    /// Returns the id of this replica.
    pub fn id(&self) -> Id {
        self.id
    }
}

/// Returns the members that an entry brings into force.
fn changed_members(entry: &Entry) -> Option<(Index, Members)> {
    match &entry.payload {
        Payload::Members(members) => Some((entry.index, members.clone())),
        Payload::Empty | Payload::Data(_) => None,
    }
}
