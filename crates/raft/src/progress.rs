//! Replication progress of one replica, as tracked by the leader.

use std::collections::VecDeque;
use std::time::Duration;

use crate::message::Index;
use crate::transfer::Transfer;

/// Maximum number of messages with entries that wait for a response, per replica.
const MAX_IN_FLIGHT_MESSAGES: usize = 64;

/// How the leader sends entries to a replica.
#[derive(Debug)]
pub(crate) enum Mode {
    /// One message at a time, until the last matching index is known.
    Probe {
        /// Whether a response is outstanding.
        awaiting_response: bool,
    },
    /// Many messages at once. Contains the last index and the size in bytes of each message without
    /// a response.
    Pipeline(VecDeque<(Index, usize)>),
    /// A snapshot or entry is being sent in parts.
    Transfer(Box<Transfer>),
    /// A snapshot was sent in one message.
    Snapshot {
        /// The index of the snapshot.
        index: Index,
        /// Time at which the snapshot is sent again if there is no response.
        resend_at: Duration,
        /// The delay that led to `resend_at`; doubles with each attempt.
        resend_delay: Duration,
    },
}

/// Replication progress of one replica.
#[derive(Debug)]
pub(crate) struct Progress {
    /// The highest index known to match the leader's log.
    pub(crate) matched: Index,
    /// The next index to send.
    ///
    /// Invariant: greater than `matched`.
    pub(crate) next: Index,
    pub(crate) mode: Mode,
    /// Time of the last response in this term.
    pub(crate) last_contact: Duration,
    /// The latest heartbeat round to which it responded.
    pub(crate) round: u64,
    /// Whether a message must be sent even without entries.
    pub(crate) heartbeat_due: bool,
}

impl Progress {
    /// Creates the progress of a replica whose log is unknown. `now` counts as its last contact.
    pub(crate) fn new(next: Index, now: Duration) -> Progress {
        let mode = Mode::Probe { awaiting_response: false };
        Progress { matched: 0, next, mode, last_contact: now, round: 0, heartbeat_due: true }
    }

    /// Returns whether more entries may be sent now, with at most `max_bytes` in messages without a
    /// response.
    pub(crate) fn can_send(&self, max_bytes: usize) -> bool {
        match &self.mode {
            Mode::Probe { awaiting_response } => !awaiting_response,
            Mode::Pipeline(in_flight) => {
                let bytes = in_flight.iter().map(|(_, bytes)| bytes).sum::<usize>();
                in_flight.len() < MAX_IN_FLIGHT_MESSAGES && bytes < max_bytes
            }
            Mode::Transfer(_) | Mode::Snapshot { .. } => false,
        }
    }

    /// Returns whether the last matching index is unknown.
    pub(crate) fn is_probing(&self) -> bool {
        matches!(self.mode, Mode::Probe { .. })
    }

    /// Returns whether the log matches up to `next` and all messages were answered.
    pub(crate) fn is_pipeline_empty(&self) -> bool {
        let Mode::Pipeline(in_flight) = &self.mode else { return false };
        in_flight.is_empty() && self.matched + 1 == self.next
    }

    /// Returns the transfer in progress.
    pub(crate) fn transfer(&mut self) -> Option<&mut Transfer> {
        match &mut self.mode {
            Mode::Transfer(transfer) => Some(transfer),
            _ => None,
        }
    }

    /// Records that entries up to `last` of this size were sent.
    pub(crate) fn record_sent(&mut self, last: Index, bytes: usize) {
        match &mut self.mode {
            Mode::Probe { awaiting_response } => *awaiting_response = true,
            Mode::Pipeline(in_flight) => {
                in_flight.push_back((last, bytes));
                self.next = last + 1;
            }
            Mode::Transfer(_) | Mode::Snapshot { .. } => {}
        }
    }

    /// Records that the replica's log matches the leader's up to `index`.
    pub(crate) fn record_accepted(&mut self, index: Index) {
        self.matched = self.matched.max(index);
        let caught_up = self.matched + 1 >= self.next;
        self.next = self.next.max(self.matched + 1);
        match &mut self.mode {
            Mode::Probe { .. } if caught_up => self.mode = Mode::Pipeline(VecDeque::new()),
            Mode::Snapshot { index, .. } if self.matched >= *index => {
                self.next = self.matched + 1;
                self.mode = Mode::Pipeline(VecDeque::new());
            }
            Mode::Transfer(transfer) if self.matched >= transfer.index() => {
                self.next = self.matched + 1;
                self.mode = Mode::Pipeline(VecDeque::new());
            }
            Mode::Pipeline(in_flight) => in_flight.retain(|(last, _)| *last > index),
            _ => {}
        }
    }

    /// Records a mismatch; the logs may match up to `hint`. Ignores outdated responses.
    pub(crate) fn record_rejected(&mut self, hint: Index) {
        let next = hint.max(self.matched) + 1;
        let stale = next >= self.next;
        if stale || matches!(self.mode, Mode::Transfer(_) | Mode::Snapshot { .. }) {
            return;
        }
        self.next = next;
        self.mode = Mode::Probe { awaiting_response: false };
    }

    /// Makes a heartbeat due. A probe without a response is sent again with it.
    pub(crate) fn start_heartbeat_round(&mut self) {
        self.heartbeat_due = true;
        if let Mode::Probe { awaiting_response } = &mut self.mode {
            *awaiting_response = false;
        }
    }
}
