//! The leader's side of replication: entries, heartbeats and snapshots, and the commit index.

use base::Map;

use crate::log::entry_bytes;
use crate::message::Body;
use crate::message::Entry;
use crate::message::Id;
use crate::message::Index;
use crate::message::Object;
use crate::message::Payload;
use crate::node::Node;
use crate::progress::Mode;
use crate::progress::Progress;
use crate::read::majority_value;
use crate::transfer::Transfer;

/// Delay before an unanswered snapshot is sent again, in election timeouts. It doubles with each
/// attempt, so that a transfer that takes long is not restarted forever.
const SNAPSHOT_RESEND_ELECTION_TIMEOUTS: u32 = 4;
/// Upper bound of that delay, in election timeouts.
const SNAPSHOT_RESEND_MAX_ELECTION_TIMEOUTS: u32 = 256;

impl Node {
    pub(crate) fn start_heartbeat_round(&mut self) {
        self.round += 1;
        self.progress.values_mut().for_each(Progress::start_heartbeat_round);
    }

    /// Queues the messages due to the other replicas.
    pub(crate) fn flush(&mut self) {
        let mut all = std::mem::take(&mut self.progress);
        let mut ids: Vec<Id> = all.keys().copied().collect();
        ids.sort_unstable();
        for id in ids {
            let Some(progress) = all.get_mut(&id) else { continue };
            self.flush_to(id, progress);
        }
        self.progress = all;
    }

    /// Queues the messages due to a replica.
    fn flush_to(&mut self, to: Id, progress: &mut Progress) {
        self.start_transfer_if_needed(to, progress);
        self.send_snapshot_if_needed(to, progress);
        let max_bytes = self.config.max_in_flight_bytes;
        while progress.can_send(max_bytes) && progress.next <= self.log.last_index() {
            if self.next_needs_parts(to, progress) {
                if !progress.is_probing() {
                    break;
                }
                // Only a replica whose log is known to match gets a large entry.
                self.send_heartbeat(to, progress);
                progress.record_sent(progress.next - 1, 0);
                break;
            }
            self.send_entries(to, progress);
        }
        if let Mode::Transfer(transfer) = &mut progress.mode {
            self.send_parts(to, transfer);
        }
        if progress.heartbeat_due {
            self.send_heartbeat(to, progress);
        }
    }

    /// Returns whether the next entry for a replica must be sent in parts.
    fn next_needs_parts(&self, to: Id, progress: &Progress) -> bool {
        let next = self.log.slice(progress.next, progress.next).first();
        next.is_some_and(|entry| match &entry.payload {
            Payload::Data(data) => self.needs_parts(to, data.len()),
            Payload::Empty | Payload::Members(_) => false,
        })
    }

    /// Starts a transfer if the needed entries are gone and the snapshot is large, or if all entries
    /// sent before were acknowledged and the next one is large.
    fn start_transfer_if_needed(&mut self, to: Id, progress: &mut Progress) {
        if matches!(progress.mode, Mode::Transfer(_)) {
            if !self.part_receivers.contains(&to) {
                // The replica was replaced by one of a former release.
                progress.mode = Mode::Probe { awaiting_response: false };
            }
            return;
        }
        let resend_delay = self.config.election_timeout;
        if progress.next <= self.log.start() {
            let whole = matches!(progress.mode, Mode::Snapshot { .. });
            let snapshot = self.snapshot.as_ref().filter(|_| !whole);
            let snapshot = snapshot.filter(|snapshot| self.needs_parts(to, snapshot.data.len()));
            if let Some(snapshot) = snapshot.cloned() {
                let transfer = Transfer::snapshot(snapshot, resend_delay, self.now);
                progress.mode = Mode::Transfer(Box::new(transfer));
            }
        } else if progress.is_pipeline_empty() && self.next_needs_parts(to, progress) {
            let prev_term = self.log.term(progress.next - 1);
            let entry = self.log.slice(progress.next, progress.next).first();
            let (Some(prev_term), Some(entry)) = (prev_term, entry) else { return };
            let Payload::Data(data) = &entry.payload else { return };
            let object = Object::Entry { index: entry.index, term: entry.term, prev_term };
            let transfer = Transfer::new(object, data.clone(), resend_delay, self.now);
            progress.mode = Mode::Transfer(Box::new(transfer));
        }
    }

    /// Sends a snapshot in one message if the needed entries are gone, and again if there was no response in time.
    fn send_snapshot_if_needed(&mut self, to: Id, progress: &mut Progress) {
        let (due, resend_delay) = match progress.mode {
            Mode::Snapshot { resend_at, resend_delay, .. } => {
                (self.now >= resend_at, resend_delay * 2)
            }
            Mode::Transfer(_) => return,
            _ => {
                let first = self.config.election_timeout * SNAPSHOT_RESEND_ELECTION_TIMEOUTS;
                (progress.next <= self.log.start(), first)
            }
        };
        let Some(snapshot) = self.snapshot.clone().filter(|_| due) else { return };
        let resend_delay =
            resend_delay.min(self.config.election_timeout * SNAPSHOT_RESEND_MAX_ELECTION_TIMEOUTS);
        let resend_at = self.now + resend_delay;
        progress.mode = Mode::Snapshot { index: snapshot.index, resend_at, resend_delay };
        progress.heartbeat_due = false;
        self.send(to, Body::Install { snapshot, round: self.round });
    }

    /// Sends one batch of entries.
    fn send_entries(&mut self, to: Id, progress: &mut Progress) {
        let entries = self.batch(progress.next);
        let last = progress.next + entries.len() as Index - 1;
        let bytes = entries.iter().map(entry_bytes).sum();
        self.send_append(to, progress.next - 1, entries);
        progress.record_sent(last, bytes);
        progress.heartbeat_due = false;
    }

    /// Sends a message without entries. While a snapshot is sent in one message it refers to index 0,
    /// which matches any log, and during a transfer to the last index known to match.
    fn send_heartbeat(&mut self, to: Id, progress: &mut Progress) {
        let prev_index = match progress.mode {
            Mode::Snapshot { .. } => 0,
            Mode::Transfer(_) => match self.log.term(progress.matched) {
                Some(_) => progress.matched,
                None => 0,
            },
            _ => progress.next - 1,
        };
        self.send_append(to, prev_index, Vec::new());
        progress.heartbeat_due = false;
    }

    /// Queues an append message with entries after `prev_index`.
    fn send_append(&mut self, to: Id, prev_index: Index, entries: Vec<Entry>) {
        let prev_term = self.log.term(prev_index).unwrap_or(0);
        let commit = self.commit;
        let round = self.round;
        self.send(to, Body::Append { prev_index, prev_term, entries, commit, round });
    }

    /// Returns entries from `first` on: at least one, up to `max_batch_bytes`.
    fn batch(&self, first: Index) -> Vec<Entry> {
        let mut bytes = 0;
        let mut entries = Vec::new();
        for entry in self.log.slice(first, self.log.last_index()) {
            bytes += entry_bytes(entry);
            if bytes > self.config.max_batch_bytes && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
        }
        entries
    }

    /// Records a replica's response to an append message or snapshot.
    pub(crate) fn record_append_response(
        &mut self,
        from: Id,
        success: bool,
        index: Index,
        round: u64,
    ) {
        let last = self.log.last_index();
        let Some(progress) = self.progress.get_mut(&from) else { return };
        progress.last_contact = self.now;
        progress.round = progress.round.max(round);
        if let Some(transfer) = progress.transfer() {
            transfer.record_heartbeat(round);
        }
        if success {
            progress.record_accepted(index.min(last));
            self.update_commit();
            self.advance_membership();
        } else {
            progress.record_rejected(index.min(last));
        }
    }

    /// Advances the commit index to the highest index held by a majority, if its entry is of the
    /// current term.
    pub(crate) fn update_commit(&mut self) {
        if !self.is_leader() {
            return;
        }
        let matches = self.members().voters.iter().map(|member| self.match_index(member.id));
        let index = majority_value(matches.collect());
        if self.log.term(index) == Some(self.hard_state.term) {
            self.advance_commit(index);
        }
    }

    /// Raises the commit index, at most to the last entry.
    pub(crate) fn advance_commit(&mut self, index: Index) {
        self.commit = self.commit.max(index.min(self.log.last_index()));
    }

    /// Returns the highest index at which a replica is known to match the leader; 0 if this replica
    /// doesn't lead.
    pub fn match_index(&self, id: Id) -> Index {
        if !self.is_leader() {
            return 0;
        }
        if id == self.id {
            return self.log.last_index();
        }
        self.progress.get(&id).map_or(0, |progress| progress.matched)
    }

    /// Adds and removes progress entries to match the members.
    pub(crate) fn refresh_progress(&mut self) {
        let members = self.members().clone();
        let next = self.log.last_index() + 1;
        let mut former = std::mem::take(&mut self.progress);
        let mut progress = Map::default();
        for member in members.voters.iter().chain(&members.learners) {
            if member.id != self.id {
                let existing = former.remove(&member.id);
                let peer = existing.unwrap_or_else(|| Progress::new(next, self.now));
                progress.insert(member.id, peer);
            }
        }
        self.progress = progress;
    }
}
