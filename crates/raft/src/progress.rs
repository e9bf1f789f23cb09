//! What a leader knows of another replica.

use std::collections::VecDeque;
use std::time::Duration;

use crate::message::Index;

/// The most messages with entries that one replica has not answered.
const IN_FLIGHT: usize = 64;

/// How entries are sent.
#[derive(Debug)]
pub(crate) enum Mode {
    /// One message at a time, until the end of the common part is known.
    Probe {
        /// Whether the answer is outstanding.
        waiting: bool,
    },
    /// Many messages at once; holds the last entry of each that is not answered.
    Pipeline(VecDeque<Index>),
    /// A snapshot is on its way.
    Snapshot {
        /// The last entry in the snapshot.
        index: Index,
        /// When it is sent again unless there is an answer.
        again: Duration,
        /// How long that is after the last time.
        patience: Duration,
    },
}

/// What a leader knows of another replica.
#[derive(Debug)]
pub(crate) struct Progress {
    /// The last entry known to be equal to the leader's.
    pub(crate) matched: Index,
    /// The entry to send next.
    ///
    /// Invariant: greater than `matched`.
    pub(crate) next: Index,
    /// How entries are sent.
    pub(crate) mode: Mode,
    /// When the replica was heard last in this term.
    pub(crate) heard: Duration,
    /// The latest round of heartbeats that it answered.
    pub(crate) round: u64,
    /// Whether a message is due even without entries.
    pub(crate) due: bool,
}

impl Progress {
    /// Starts for a replica whose log is unknown; it counts as heard at `now`.
    pub(crate) fn new(next: Index, now: Duration) -> Progress {
        let mode = Mode::Probe { waiting: false };
        Progress { matched: 0, next, mode, heard: now, round: 0, due: true }
    }

    /// Returns whether entries may be sent now.
    pub(crate) fn open(&self) -> bool {
        match &self.mode {
            Mode::Probe { waiting } => !waiting,
            Mode::Pipeline(sent) => sent.len() < IN_FLIGHT,
            Mode::Snapshot { .. } => false,
        }
    }

    /// Notes that entries up to `last` were sent.
    pub(crate) fn sent(&mut self, last: Index) {
        match &mut self.mode {
            Mode::Probe { waiting } => *waiting = true,
            Mode::Pipeline(sent) => {
                sent.push_back(last);
                self.next = last + 1;
            }
            Mode::Snapshot { .. } => {}
        }
    }

    /// Notes that the replica holds the leader's entries up to `index`.
    pub(crate) fn accepted(&mut self, index: Index) {
        self.matched = self.matched.max(index);
        let caught_up = self.matched + 1 >= self.next;
        self.next = self.next.max(self.matched + 1);
        match &mut self.mode {
            Mode::Probe { .. } if caught_up => self.mode = Mode::Pipeline(VecDeque::new()),
            Mode::Snapshot { index, .. } if self.matched >= *index => {
                self.next = self.matched + 1;
                self.mode = Mode::Pipeline(VecDeque::new());
            }
            Mode::Pipeline(sent) => sent.retain(|last| *last > index),
            _ => {}
        }
    }

    /// Notes that the replica's log did not fit and may be equal up to `hint`.
    pub(crate) fn rejected(&mut self, hint: Index) {
        let next = hint.max(self.matched) + 1;
        let stale = next >= self.next;
        if stale || matches!(self.mode, Mode::Snapshot { .. }) {
            return;
        }
        self.next = next;
        self.mode = Mode::Probe { waiting: false };
    }

    /// Notes that a round of heartbeats begins; a lost probe is sent again with it.
    pub(crate) fn beat(&mut self) {
        self.due = true;
        if let Mode::Probe { waiting } = &mut self.mode {
            *waiting = false;
        }
    }
}
