//! Transfer of a large snapshot or entry in parts of bounded size.
//!
//! The sender keeps at most a window of parts without a response, so that heartbeats wait only for
//! those on the link. The receiver keeps the parts that it has across lost links and changes of the
//! leader, and each response names the offset from which it continues.

use std::fmt;
use std::time::Duration;

use base::Event;
use bytes::Bytes;

use crate::follower::Batch;
use crate::message::Body;
use crate::message::Entry;
use crate::message::Id;
use crate::message::Index;
use crate::message::Object;
use crate::message::Part;
use crate::message::Payload;
use crate::message::Snapshot;
use crate::message::Term;
use crate::node::Node;

/// Upper bound of the window, in parts.
const MAX_WINDOW_PARTS: usize = 16;
/// Upper bound of the delay before parts without a response are sent again, in election timeouts.
/// A link must carry a part within it.
const MAX_RESEND_ELECTION_TIMEOUTS: u32 = 8;

/// The sender's side of a transfer. Its `Debug` output has no data, which may contain secrets.
pub(crate) struct Transfer {
    object: Object,
    data: Bytes,
    digest: u64,
    /// The bytes that the receiver has.
    acknowledged: usize,
    /// The bytes that were sent. Invariant: at least `acknowledged`.
    sent: usize,
    /// The number of parts that may be without a response.
    window: usize,
    /// Time at which the parts without a response are sent again.
    resend_at: Duration,
    /// The delay that led to `resend_at`. It doubles with each attempt.
    resend_delay: Duration,
    /// The offset whose receipt ends the measurement of a round trip, and the time at which it
    /// began.
    timed: Option<(usize, Duration)>,
    /// The heartbeat round of the last part that was sent.
    last_round: u64,
    /// Whether parts are being sent again after a gap. Further responses that tell of the same gap
    /// are ignored.
    recovering: bool,
}

impl fmt::Debug for Transfer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Transfer")
            .field("object", &self.object)
            .field("total", &self.data.len())
            .field("acknowledged", &self.acknowledged)
            .field("sent", &self.sent)
            .field("window", &self.window)
            .finish_non_exhaustive()
    }
}

impl Transfer {
    pub(crate) fn snapshot(snapshot: Snapshot, resend_delay: Duration, now: Duration) -> Transfer {
        let Snapshot { index, term, members, data } = snapshot;
        Transfer::new(Object::Snapshot { index, term, members }, data, resend_delay, now)
    }

    pub(crate) fn new(
        object: Object,
        data: Bytes,
        resend_delay: Duration,
        now: Duration,
    ) -> Transfer {
        Transfer {
            digest: base::digest(&data),
            object,
            data,
            acknowledged: 0,
            sent: 0,
            window: 1,
            resend_at: now + resend_delay,
            resend_delay,
            timed: None,
            last_round: 0,
            recovering: false,
        }
    }

    /// Returns the index of the entry, or of the last one that the snapshot includes.
    pub(crate) fn index(&self) -> Index {
        self.object.index()
    }

    /// Returns the next part to send, if the window allows one.
    fn next_part(&mut self, part_bytes: usize, round: u64, now: Duration) -> Option<Part> {
        let in_flight = self.sent - self.acknowledged;
        if self.sent == self.data.len() || in_flight >= self.window * part_bytes {
            return None;
        }
        let offset = self.sent;
        self.sent = self.data.len().min(offset + part_bytes);
        self.timed = self.timed.or(Some((self.sent, now)));
        self.last_round = round;
        Some(Part {
            object: self.object.clone(),
            digest: self.digest,
            total: self.data.len() as u64,
            offset: offset as u64,
            data: self.data.slice(offset..self.sent),
        })
    }

    /// Goes back to the last part that the receiver has.
    fn rewind(&mut self, window: usize) {
        self.sent = self.acknowledged;
        self.window = window.max(1);
        self.timed = None;
    }

    /// Goes back if there was no response in time.
    fn check_timeout(&mut self, max_delay: Duration, now: Duration) {
        if now < self.resend_at {
            return;
        }
        self.rewind(1);
        self.recovering = false;
        self.resend_delay = (self.resend_delay * 2).min(max_delay);
        self.resend_at = now + self.resend_delay;
    }

    /// Goes back if the receiver has responded to a heartbeat that was sent after all parts: a link
    /// keeps the order, so the parts without a response were lost with a former link.
    pub(crate) fn record_heartbeat(&mut self, round: u64) {
        if round > self.last_round && self.sent > self.acknowledged {
            self.rewind(self.window / 2);
        }
    }

    /// Records that the receiver has `received` bytes after the part at `offset`.
    fn record_received(
        &mut self,
        offset: usize,
        received: usize,
        heartbeat_interval: Duration,
        resend_delay: Duration,
        now: Duration,
    ) {
        let received = received.min(self.data.len());
        if received > self.acknowledged {
            self.acknowledged = received;
            self.sent = self.sent.max(received);
            self.recovering = false;
            // A delay that was doubled because the link is slow stays above a round trip.
            self.resend_delay = (self.resend_delay / 2).max(resend_delay);
            self.resend_at = now + self.resend_delay;
            self.adjust_window(heartbeat_interval, now);
        } else if received < offset && offset >= self.acknowledged && !self.recovering {
            // Less than acknowledged if the receiver has restarted.
            self.acknowledged = received;
            self.rewind(self.window / 2);
            self.recovering = true;
        }
    }

    /// Widens the window while parts delay a heartbeat by less than half its interval, and narrows
    /// it if they delay it by more than an interval.
    fn adjust_window(&mut self, heartbeat_interval: Duration, now: Duration) {
        let Some((end, since)) = self.timed else { return };
        if self.acknowledged < end {
            return;
        }
        self.timed = None;
        let round_trip = now.saturating_sub(since);
        if round_trip <= heartbeat_interval / 2 {
            self.window = (self.window * 2).min(MAX_WINDOW_PARTS);
        } else if round_trip > heartbeat_interval {
            self.window = (self.window / 2).max(1);
        }
    }
}

/// The receiver's side of a transfer. Its `Debug` output has no data, which may contain secrets.
pub(crate) struct Assembly {
    /// The term of the leader that sent the last part.
    term: Term,
    object: Object,
    digest: u64,
    total: usize,
    data: Vec<u8>,
}

impl fmt::Debug for Assembly {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Assembly")
            .field("term", &self.term)
            .field("object", &self.object)
            .field("total", &self.total)
            .field("received", &self.data.len())
            .finish_non_exhaustive()
    }
}

impl Assembly {
    fn is_of(&self, part: &Part) -> bool {
        self.object == part.object && self.digest == part.digest && self.total as u64 == part.total
    }
}

impl Node {
    /// Sets the replicas whose release knows [`Body::Part`]. The others get each snapshot and entry
    /// in one message.
    pub fn set_part_receivers(&mut self, receivers: Vec<Id>) {
        self.part_receivers = receivers;
    }

    /// Returns whether data of this size is sent to a replica in parts.
    pub(crate) fn needs_parts(&self, to: Id, bytes: usize) -> bool {
        bytes > self.config.max_batch_bytes && self.part_receivers.contains(&to)
    }

    /// Queues the parts that the window of a transfer allows.
    pub(crate) fn send_parts(&mut self, to: Id, transfer: &mut Transfer) {
        let max_delay = self.config.election_timeout * MAX_RESEND_ELECTION_TIMEOUTS;
        transfer.check_timeout(max_delay, self.now);
        let round = self.round;
        while let Some(part) = transfer.next_part(self.config.part_bytes, round, self.now) {
            self.send(to, Body::Part { part, round });
        }
    }

    /// Handles the response to a part.
    pub(crate) fn handle_part_response(
        &mut self,
        from: Id,
        term: Term,
        (digest, offset, received): (u64, u64, u64),
        round: u64,
    ) {
        if term > self.hard_state.term {
            return self.observe_higher_term(from, term);
        }
        if term != self.hard_state.term || !self.is_leader() {
            return;
        }
        let (heartbeat, delay, now) =
            (self.config.heartbeat_interval, self.config.election_timeout, self.now);
        let Some(progress) = self.progress.get_mut(&from) else { return };
        progress.last_contact = now;
        progress.round = progress.round.max(round);
        if let Some(transfer) = progress.transfer().filter(|transfer| transfer.digest == digest) {
            transfer.record_received(offset as usize, received as usize, heartbeat, delay, now);
        }
    }

    /// Handles a part from a leader.
    pub(crate) fn handle_part(&mut self, from: Id, term: Term, part: Part, round: u64) {
        if term < self.hard_state.term {
            return self.send(from, Body::Appended { success: false, index: 0, round });
        }
        self.record_leader_contact(from, term);
        let index = part.object.index();
        if self.has_object(&part.object) {
            return self.send(from, Body::Appended { success: true, index, round });
        }
        let (digest, offset) = (part.digest, part.offset);
        let Some(received) = self.add_part(term, part) else { return };
        if received.is_complete {
            let Some((success, index)) = self.complete_transfer() else {
                return self.send(from, Body::PartReceived { digest, offset, received: 0, round });
            };
            return self.send(from, Body::Appended { success, index, round });
        }
        let received = received.bytes as u64;
        self.send(from, Body::PartReceived { digest, offset, received, round });
    }

    /// Returns whether the log contains an object already.
    fn has_object(&self, object: &Object) -> bool {
        match object {
            Object::Snapshot { index, .. } => *index <= self.commit,
            Object::Entry { index, term, .. } => {
                *index <= self.log.start() || self.log.term(*index) == Some(*term)
            }
        }
    }

    /// Adds a part to those received, if it is the next one. Returns what was received of its
    /// object; `None` if the part is late and of an earlier object, or the object is too large.
    fn add_part(&mut self, term: Term, part: Part) -> Option<Received> {
        let current = self.assembly.as_ref();
        let is_late = |current: &Assembly| {
            current.term == term && current.object.index() > part.object.index()
        };
        if current.is_some_and(is_late) {
            return None;
        }
        let total = usize::try_from(part.total).ok()?;
        if !current.is_some_and(|current| current.is_of(&part)) {
            if total > self.config.max_object_bytes {
                base::event!(
                    ERROR,
                    Event::ObjectTooLarge,
                    replica = self.id,
                    index = part.object.index(),
                    bytes = total,
                    limit = self.config.max_object_bytes
                );
                return None;
            }
            let (object, digest) = (part.object.clone(), part.digest);
            let data = Vec::with_capacity(total);
            self.assembly = Some(Assembly { term, object, digest, total, data });
        }
        let assembly = self.assembly.as_mut()?;
        assembly.term = term;
        let is_next = part.offset == assembly.data.len() as u64;
        if is_next && assembly.data.len() + part.data.len() <= total {
            assembly.data.extend_from_slice(&part.data);
        }
        let bytes = assembly.data.len();
        Some(Received { bytes, is_complete: bytes == total })
    }

    /// Applies a completely received object. Returns the response, or `None` if its content is not
    /// what its sender has.
    fn complete_transfer(&mut self) -> Option<(bool, Index)> {
        let Assembly { object, digest, data, .. } = self.assembly.take()?;
        let data = Bytes::from(data);
        if base::digest(&data) != digest {
            let index = object.index();
            base::event!(ERROR, Event::TransferDamaged, replica = self.id, index = index);
            return None;
        }
        match object {
            Object::Snapshot { index, term, members } => {
                self.install_snapshot(Snapshot { index, term, members, data });
                Some((true, index))
            }
            Object::Entry { index, term, prev_term } => {
                let entries = vec![Entry { index, term, payload: Payload::Data(data) }];
                let prev_index = index.checked_sub(1)?;
                Some(self.append_batch(Batch { prev_index, prev_term, entries, commit: 0 }))
            }
        }
    }

    /// Drops received parts of an object that is no longer needed.
    pub(crate) fn drop_needless_parts(&mut self) {
        let is_needless = |assembly: &Assembly| self.has_object(&assembly.object);
        if self.is_leader() || self.assembly.as_ref().is_some_and(is_needless) {
            self.assembly = None;
        }
    }
}

/// What a replica has of an object.
struct Received {
    bytes: usize,
    is_complete: bool,
}
