//! The leader's side: entries, heartbeats and snapshots to the others, and what is committed.

use base::Map;

use crate::message::Body;
use crate::message::Entry;
use crate::message::Id;
use crate::message::Index;
use crate::message::Payload;
use crate::node::Node;
use crate::progress::Mode;
use crate::progress::Progress;
use crate::read::majority;

/// The bytes that count for an entry besides its data.
const ENTRY_BYTES: usize = 32;
/// The election times after which a snapshot without an answer is sent again; each time twice as long,
/// so that one that takes long to transfer is not begun anew for ever.
const SNAPSHOT_PATIENCE: u32 = 4;
/// The most election times after which it is sent again.
const SNAPSHOT_PATIENCE_MOST: u32 = 256;

impl Node {
    /// Begins a round of heartbeats.
    pub(crate) fn beat(&mut self) {
        self.round += 1;
        self.progress.values_mut().for_each(Progress::beat);
    }

    /// Queues what each other replica is to be sent now.
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

    /// Queues what a replica is to be sent now.
    fn flush_to(&mut self, to: Id, progress: &mut Progress) {
        self.check_snapshot(to, progress);
        while progress.open() && progress.next <= self.log.last_index() {
            self.send_entries(to, progress);
        }
        if progress.due {
            self.send_heartbeat(to, progress);
        }
    }

    /// Sends a snapshot if the entries are gone, again after a time without an answer.
    fn check_snapshot(&mut self, to: Id, progress: &mut Progress) {
        let (due, patience) = match progress.mode {
            Mode::Snapshot { again, patience, .. } => (self.now >= again, patience * 2),
            _ => {
                let first = self.config.election_timeout * SNAPSHOT_PATIENCE;
                (progress.next <= self.log.start(), first)
            }
        };
        let Some(snapshot) = self.snapshot.clone().filter(|_| due) else { return };
        let patience = patience.min(self.config.election_timeout * SNAPSHOT_PATIENCE_MOST);
        let again = self.now + patience;
        progress.mode = Mode::Snapshot { index: snapshot.index, again, patience };
        progress.due = false;
        self.send(to, Body::Install { snapshot, round: self.round });
    }

    /// Sends one batch of entries.
    fn send_entries(&mut self, to: Id, progress: &mut Progress) {
        let entries = self.batch(progress.next);
        let last = progress.next + entries.len() as Index - 1;
        self.send_append(to, progress.next - 1, entries);
        progress.sent(last);
        progress.due = false;
    }

    /// Sends a message without entries; while a snapshot is on its way it claims nothing of the log.
    fn send_heartbeat(&mut self, to: Id, progress: &mut Progress) {
        let prev_index = match progress.mode {
            Mode::Snapshot { .. } => 0,
            _ => progress.next - 1,
        };
        self.send_append(to, prev_index, Vec::new());
        progress.due = false;
    }

    /// Queues a message with entries behind `prev_index`.
    fn send_append(&mut self, to: Id, prev_index: Index, entries: Vec<Entry>) {
        let prev_term = self.log.term(prev_index).unwrap_or(0);
        let commit = self.commit;
        let round = self.round;
        self.send(to, Body::Append { prev_index, prev_term, entries, commit, round });
    }

    /// Returns entries from `first` on, at least one, up to the bound on bytes.
    fn batch(&self, first: Index) -> Vec<Entry> {
        let mut bytes = 0;
        let mut entries = Vec::new();
        for entry in self.log.slice(first, self.log.last_index()) {
            bytes += size(entry);
            if bytes > self.config.max_batch_bytes && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
        }
        entries
    }

    /// Takes the answer of a replica in this term.
    pub(crate) fn appended(&mut self, from: Id, success: bool, index: Index, round: u64) {
        let last = self.log.last_index();
        let Some(progress) = self.progress.get_mut(&from) else { return };
        progress.heard = self.now;
        progress.round = progress.round.max(round);
        if success {
            progress.accepted(index.min(last));
            self.count_matches();
            self.follow_up();
        } else {
            progress.rejected(index.min(last));
        }
    }

    /// Commits what a majority holds, if its last entry is of this term.
    pub(crate) fn count_matches(&mut self) {
        if !self.is_leader() {
            return;
        }
        let matches = self.members().voters.iter().map(|member| self.match_index(member.id));
        let index = majority(matches.collect());
        if self.log.term(index) == Some(self.hard_state.term) {
            self.advance_commit(index);
        }
    }

    /// Raises the committed index.
    pub(crate) fn advance_commit(&mut self, index: Index) {
        self.commit = self.commit.max(index.min(self.log.last_index()));
    }

    /// Returns the last entry that the replica `id` is known to hold; 0 if this replica doesn't lead.
    pub fn match_index(&self, id: Id) -> Index {
        if !self.is_leader() {
            return 0;
        }
        if id == self.id {
            return self.log.last_index();
        }
        self.progress.get(&id).map_or(0, |progress| progress.matched)
    }

    /// Brings the table of progress in line with the members.
    pub(crate) fn refresh_progress(&mut self) {
        let members = self.members().clone();
        let next = self.log.last_index() + 1;
        let mut former = std::mem::take(&mut self.progress);
        let mut progress = Map::default();
        for member in members.voters.iter().chain(&members.learners) {
            if member.id != self.id {
                let kept = former.remove(&member.id);
                let peer = kept.unwrap_or_else(|| Progress::new(next, self.now));
                progress.insert(member.id, peer);
            }
        }
        self.progress = progress;
    }
}

/// Returns the bytes that an entry counts in a batch.
fn size(entry: &Entry) -> usize {
    match &entry.payload {
        Payload::Data(data) => ENTRY_BYTES + data.len(),
        Payload::Empty | Payload::Members(_) => ENTRY_BYTES,
    }
}
