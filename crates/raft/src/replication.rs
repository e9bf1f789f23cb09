//! The leader's side of replication: entries, heartbeats and snapshots, and the commit index.

use base::Map;

use crate::message::Body;
use crate::message::Entry;
use crate::message::Id;
use crate::message::Index;
use crate::message::Payload;
use crate::node::Node;
use crate::progress::Mode;
use crate::progress::Progress;
use crate::read::majority_value;

/// Size counted for an entry in addition to its data, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 32;
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
        self.send_snapshot_if_needed(to, progress);
        while progress.can_send() && progress.next <= self.log.last_index() {
            self.send_entries(to, progress);
        }
        if progress.heartbeat_due {
            self.send_heartbeat(to, progress);
        }
    }

    /// Sends a snapshot if the needed entries are gone, and again if there was no response in time.
    fn send_snapshot_if_needed(&mut self, to: Id, progress: &mut Progress) {
        let (due, resend_delay) = match progress.mode {
            Mode::Snapshot { resend_at, resend_delay, .. } => {
                (self.now >= resend_at, resend_delay * 2)
            }
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
        self.send_append(to, progress.next - 1, entries);
        progress.record_sent(last);
        progress.heartbeat_due = false;
    }

    /// Sends a message without entries. During a snapshot transfer it refers to index 0, which
    /// matches any log.
    fn send_heartbeat(&mut self, to: Id, progress: &mut Progress) {
        let prev_index = match progress.mode {
            Mode::Snapshot { .. } => 0,
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

/// Returns the size that an entry counts in a batch, in bytes.
fn entry_bytes(entry: &Entry) -> usize {
    match &entry.payload {
        Payload::Data(data) => ENTRY_OVERHEAD_BYTES + data.len(),
        Payload::Empty | Payload::Members(_) => ENTRY_OVERHEAD_BYTES,
    }
}
