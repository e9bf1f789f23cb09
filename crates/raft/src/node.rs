//! A Raft replica as a state machine.

use std::collections::VecDeque;
use std::time::Duration;

use base::Event;
use base::Map;
use bytes::Bytes;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::election::State;
use crate::log::Log;
use crate::membership::Change;
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
use crate::transfer::Assembly;

/// Timing and limits of a replica.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Interval between the leader's heartbeats.
    pub heartbeat_interval: Duration,
    /// Minimum election timeout. The actual one is random, below twice this value.
    pub election_timeout: Duration,
    /// Maximum size of the entries in one message, in bytes. A larger entry or snapshot is sent in
    /// parts.
    pub max_batch_bytes: usize,
    /// Size of a part, in bytes.
    pub part_bytes: usize,
    /// Maximum size of an entry or snapshot that this replica accepts in parts, in bytes.
    pub max_object_bytes: usize,
    /// Maximum size of the entries that wait for a response, per replica and in bytes; one message
    /// is always allowed.
    pub max_in_flight_bytes: usize,
    /// Maximum size of the entries behind the latest snapshot that stay in memory, in bytes.
    pub retained_bytes: usize,
    /// Seed of the randomized timeouts.
    pub seed: u64,
}

/// The persistent state of a replica. All fields are empty for a new one.
#[derive(Clone, Debug, Default)]
pub struct PersistentState {
    /// The hard state.
    pub hard_state: HardState,
    /// The snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// The role of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Receives the log but does not vote.
    Learner,
    /// Receives the log and votes.
    Follower,
    /// Requests votes.
    Candidate,
    /// Appends entries and replicates them.
    Leader,
}

/// Output for the driver, to be carried out in the order of the fields.
#[derive(Clone, Debug, Default)]
pub struct Ready {
    /// Snapshot to write. It replaces the whole log up to its index.
    pub snapshot: Option<Snapshot>,
    /// Entries to write, after truncating the stored log from the first one's index on.
    pub entries: Vec<Entry>,
    /// Hard state to write.
    pub hard_state: Option<HardState>,
    /// Messages to send once all of the above is synced.
    pub messages: Vec<(Id, Message)>,
    /// Snapshot to load into the driver's state before `committed`.
    pub install: Option<Snapshot>,
    /// Entries to apply.
    pub committed: Vec<Entry>,
    /// Tokens of reads that may be answered once everything in `committed` is applied.
    pub reads: Vec<u64>,
}

/// Error of calls that only the leader accepts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not the leader")]
pub struct NotLeader {
    /// The leader, if known.
    pub leader: Option<Id>,
}

/// Default number of entries covered by the latest snapshot that stay in memory at most, so that a
/// replica that lags a little needs no snapshot.
const RETAINED_ENTRIES: Index = 256;

/// A Raft replica.
#[derive(Debug)]
pub struct Node {
    pub(crate) id: Id,
    pub(crate) config: Config,
    pub(crate) random: SmallRng,
    /// The latest time passed in by the driver.
    pub(crate) now: Duration,
    /// The hard state that must be on disk. Its `commit` is only updated when it is written.
    pub(crate) hard_state: HardState,
    /// Whether `hard_state` has changed since it was handed to the driver.
    pub(crate) hard_state_changed: bool,
    pub(crate) log: Log,
    /// The latest snapshot.
    pub(crate) snapshot: Option<Snapshot>,
    /// Whether the driver still has to write and load `snapshot`.
    pub(crate) snapshot_changed: bool,
    /// Member lists, each with the index from which it is in force.
    ///
    /// Invariant: never empty; indices increase; only the last one can be uncommitted.
    pub(crate) members: Vec<(Index, Members)>,
    /// The commit index. Invariant: never decreases.
    pub(crate) commit: Index,
    /// The last entry handed to the driver for applying.
    ///
    /// Invariant: at most `commit`.
    pub(crate) applied: Index,
    pub(crate) state: State,
    pub(crate) leader: Option<Id>,
    /// Time of the last contact with a leader.
    pub(crate) last_contact: Duration,
    /// Time at which an election starts, unless a leader makes contact before.
    pub(crate) election_at: Duration,
    /// Time of the next heartbeats if this replica leads.
    pub(crate) heartbeat_at: Duration,
    /// Replication progress of the other members. Empty unless this replica leads.
    pub(crate) progress: Map<Id, Progress>,
    /// The latest heartbeat round of this leader.
    pub(crate) round: u64,
    /// Index of the first entry that this leader appended in its term.
    pub(crate) term_start_index: Index,
    pub(crate) reads: VecDeque<Read>,
    pub(crate) pending_changes: VecDeque<Change>,
    /// Number of voters above which a lost one is removed without a replacement.
    pub(crate) min_voters: usize,
    /// Number of voters up to which learners are promoted.
    pub(crate) max_voters: usize,
    pub(crate) messages: Vec<(Id, Message)>,
    retained_entries: Index,
    /// The replicas that know [`crate::message::Body::Part`].
    pub(crate) part_receivers: Vec<Id>,
    /// The object that this replica is receiving in parts.
    pub(crate) assembly: Option<Assembly>,
}

impl Node {
    /// Creates a replica. `now` is the time since an arbitrary origin, which must be the same for
    /// all calls.
    pub fn new(id: Id, config: Config, stored: PersistentState, now: Duration) -> Node {
        let PersistentState { hard_state, snapshot, entries } = stored;
        let start = snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let start_term = snapshot.as_ref().map_or(0, |snapshot| snapshot.term);
        let initial =
            snapshot.as_ref().map(|snapshot| snapshot.members.clone()).unwrap_or_default();
        let mut members = vec![(start, initial)];
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
            state: State::Follower,
            leader: None,
            last_contact: now,
            election_at: now,
            heartbeat_at: now,
            progress: Map::default(),
            round: 0,
            term_start_index: 0,
            reads: VecDeque::new(),
            pending_changes: VecDeque::new(),
            min_voters: 1,
            max_voters: usize::MAX,
            messages: Vec::new(),
            retained_entries: RETAINED_ENTRIES,
            part_receivers: Vec::new(),
            assembly: None,
        };
        // A live leader makes contact within a heartbeat interval of the first connection, so the
        // full election timeout is not needed.
        node.set_retry_time();
        node
    }

    /// Sets the number of entries covered by the latest snapshot that stay in memory.
    pub fn set_retained_entries(&mut self, entries: Index) {
        self.retained_entries = entries;
    }

    /// Makes an empty replica the only voter of a new group.
    pub fn bootstrap(&mut self, member: Member) {
        self.hard_state = HardState { term: 1, vote: Some(self.id), commit: 0 };
        self.hard_state_changed = true;
        self.append(Payload::Members(Members { voters: vec![member], learners: Vec::new() }));
        self.become_leader();
    }

    /// Appends a command and returns its index. The command is committed if the entry applied at
    /// that index has the leader's current term; otherwise it was lost.
    pub fn propose(&mut self, data: Bytes) -> Result<Index, NotLeader> {
        self.check_leader()?;
        Ok(self.append(Payload::Data(data)))
    }

    /// Returns the pending output. The caller must carry it out before the next call.
    pub fn ready(&mut self) -> Ready {
        self.drop_needless_parts();
        if self.is_leader() {
            self.update_commit();
            self.advance_membership();
            self.start_read_round();
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

    /// Returns the hard state if it must be written. A new commit index alone causes no write.
    fn take_hard_state(&mut self, writes: bool) -> Option<HardState> {
        let due = self.hard_state_changed || (writes && self.hard_state.commit != self.commit);
        if !due {
            return None;
        }
        self.hard_state.commit = self.commit;
        self.hard_state_changed = false;
        Some(self.hard_state)
    }

    /// Takes the driver's snapshot of its state at `index` and drops earlier entries, except for
    /// the retained ones. Returns the snapshot, which the driver must write and sync, or `None` if
    /// `index` is not applied yet or not newer than the latest snapshot.
    pub fn compact(&mut self, index: Index, data: Bytes) -> Option<Snapshot> {
        let newest = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        if index > self.applied || index <= newest {
            return None;
        }
        let term = self.log.term(index)?;
        let members = self.members_at(index).clone();
        let snapshot = Snapshot { index, term, members, data };
        self.snapshot = Some(snapshot.clone());
        let retained = self.log.retained_from(index, self.config.retained_bytes);
        self.log.compact(retained.max(index.saturating_sub(self.retained_entries)));
        self.drop_replaced_members(index);
        base::event!(INFO, Event::SnapshotTaken, replica = self.id, index = index);
        Some(snapshot)
    }

    /// Drops member lists that were replaced at or before `index`.
    fn drop_replaced_members(&mut self, index: Index) {
        let replaced = self.members.iter().filter(|(from, _)| *from <= index).count();
        self.members.drain(..replaced.saturating_sub(1));
    }

    /// Returns an error unless this replica leads.
    pub(crate) fn check_leader(&self) -> Result<(), NotLeader> {
        if self.is_leader() { Ok(()) } else { Err(NotLeader { leader: self.leader }) }
    }

    /// Returns the current term.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Returns the leader, if known.
    pub fn leader(&self) -> Option<Id> {
        self.leader
    }

    /// Returns the commit index.
    pub fn commit(&self) -> Index {
        self.commit
    }

    /// Returns the index of the last entry handed to the driver for applying.
    pub fn applied(&self) -> Index {
        self.applied
    }

    /// Returns the index of the last log entry.
    pub fn last_index(&self) -> Index {
        self.log.last_index()
    }

    /// Returns the size of the entries in memory, in bytes.
    pub fn log_bytes(&self) -> usize {
        self.log.bytes()
    }

    /// Returns the id of this replica.
    pub fn id(&self) -> Id {
        self.id
    }
}

/// Returns the index and members of an entry that changes the members.
fn changed_members(entry: &Entry) -> Option<(Index, Members)> {
    match &entry.payload {
        Payload::Members(members) => Some((entry.index, members.clone())),
        Payload::Empty | Payload::Data(_) => None,
    }
}
