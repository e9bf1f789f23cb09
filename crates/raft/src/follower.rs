//! Handling of received messages, and the follower's side of replication.

use std::time::Duration;

use base::Event;

use crate::message::Body;
use crate::message::Entry;
use crate::message::Id;
use crate::message::Index;
use crate::message::Message;
use crate::message::Payload;
use crate::message::Snapshot;
use crate::message::Term;
use crate::node::Node;

/// The log part of an append message.
pub(crate) struct Batch {
    pub(crate) prev_index: Index,
    pub(crate) prev_term: Term,
    pub(crate) entries: Vec<Entry>,
    pub(crate) commit: Index,
}

impl Batch {
    /// Returns whether the entries are consecutive, starting after `prev_index`.
    fn is_consecutive(&self) -> bool {
        let mut before = Some(self.prev_index);
        self.entries.iter().all(|entry| {
            before = before.and_then(|index| index.checked_add(1));
            before == Some(entry.index)
        })
    }
}

impl Node {
    /// Handles a message from another replica.
    pub fn step(&mut self, from: Id, message: Message, now: Duration) {
        self.now = self.now.max(now);
        let term = message.term;
        match message.body {
            Body::Vote { last_index, last_term, pre: true } => {
                self.answer_pre_vote(from, term, (last_term, last_index));
            }
            Body::Vote { last_index, last_term, pre: false } => {
                self.handle_vote_request(from, term, (last_term, last_index));
            }
            Body::Voted { granted, pre } => self.handle_vote_response(from, term, granted, pre),
            Body::Append { prev_index, prev_term, entries, commit, round } => {
                let batch = Batch { prev_index, prev_term, entries, commit };
                self.handle_append(from, term, batch, round);
            }
            Body::Appended { success, index, round } => {
                self.handle_append_response(from, term, success, index, round);
            }
            Body::Install { snapshot, round } => self.handle_install(from, term, snapshot, round),
            Body::Part { part, round } => self.handle_part(from, term, part, round),
            Body::PartReceived { digest, offset, received, round } => {
                self.handle_part_response(from, term, (digest, offset, received), round);
            }
        }
    }

    fn handle_vote_request(&mut self, from: Id, term: Term, last: (Term, Index)) {
        if self.has_recent_leader() && term > self.hard_state.term {
            return;
        }
        if term > self.hard_state.term {
            self.become_follower(term, None);
        }
        if term == self.hard_state.term {
            self.answer_vote(from, last);
        } else {
            self.send(from, Body::Voted { granted: false, pre: false });
        }
    }

    /// Handles the response to a vote or pre-vote request.
    fn handle_vote_response(&mut self, from: Id, term: Term, granted: bool, pre: bool) {
        if term > self.hard_state.term {
            return self.observe_higher_term(from, term);
        }
        if pre || term == self.hard_state.term {
            self.record_vote(from, granted, pre);
        }
    }

    /// Handles an append message or heartbeat of a leader.
    fn handle_append(&mut self, from: Id, term: Term, batch: Batch, round: u64) {
        if term < self.hard_state.term {
            return self.send(from, Body::Appended { success: false, index: 0, round });
        }
        self.record_leader_contact(from, term);
        if !batch.is_consecutive() {
            return;
        }
        let (success, index) = self.append_batch(batch);
        self.send(from, Body::Appended { success, index, round });
    }

    /// Handles the response to an append message or a snapshot.
    fn handle_append_response(
        &mut self,
        from: Id,
        term: Term,
        success: bool,
        index: Index,
        round: u64,
    ) {
        if term > self.hard_state.term {
            return self.observe_higher_term(from, term);
        }
        if term == self.hard_state.term && self.is_leader() {
            self.record_append_response(from, success, index, round);
        }
    }

    /// Handles a snapshot from a leader.
    fn handle_install(&mut self, from: Id, term: Term, snapshot: Snapshot, round: u64) {
        if term < self.hard_state.term {
            return self.send(from, Body::Appended { success: false, index: 0, round });
        }
        self.record_leader_contact(from, term);
        let index = snapshot.index;
        self.install_snapshot(snapshot);
        self.send(from, Body::Appended { success: true, index, round });
    }

    /// Records contact with the leader of a term and follows it.
    pub(crate) fn record_leader_contact(&mut self, from: Id, term: Term) {
        if term > self.hard_state.term || self.leader != Some(from) || !self.is_following() {
            self.become_follower(term, Some(from));
        }
        self.last_contact = self.now;
        self.set_election_time();
    }

    /// Returns whether this replica is a follower or learner.
    fn is_following(&self) -> bool {
        matches!(self.state, crate::election::State::Follower)
    }

    /// Follows a higher term seen in a response. A leader ignores replicas that are no longer
    /// members, so that a removed replica can't depose it.
    pub(crate) fn observe_higher_term(&mut self, from: Id, term: Term) {
        let removed = self.is_leader() && !self.progress.contains_key(&from);
        if !removed {
            self.become_follower(term, None);
        }
    }

    /// Appends a batch if the log matches at `prev_index`. Returns whether it does, and the last
    /// matching index or else a hint for the leader's next attempt.
    pub(crate) fn append_batch(&mut self, batch: Batch) -> (bool, Index) {
        let Batch { prev_index, prev_term, entries, commit } = batch;
        // Entries before the log's start are committed, so they match the leader's.
        let known = prev_index < self.log.start() || self.log.term(prev_index) == Some(prev_term);
        if !known {
            return (false, self.conflict_hint(prev_index));
        }
        let last = prev_index + entries.len() as Index;
        for entry in entries {
            self.append_entry(entry);
        }
        self.advance_commit(commit.min(last));
        (true, last)
    }

    /// Returns the highest index that may still match the leader's log, given a mismatch at
    /// `index`.
    fn conflict_hint(&self, index: Index) -> Index {
        if self.log.last_index() < index {
            return self.log.last_index();
        }
        self.log.before_term_of(index).max(self.commit)
    }

    /// Appends an entry. A conflicting entry and all entries after it are truncated first.
    fn append_entry(&mut self, entry: Entry) {
        if entry.index <= self.log.start() || self.log.term(entry.index) == Some(entry.term) {
            return;
        }
        if entry.index <= self.log.last_index() {
            assert!(entry.index > self.commit, "a committed entry would be replaced");
            self.log.truncate(entry.index);
            self.members.retain(|(index, _)| *index < entry.index);
        }
        if let Payload::Members(members) = &entry.payload {
            self.members.push((entry.index, members.clone()));
        }
        self.log.push(entry);
    }

    /// Replaces the log by a snapshot, unless the log already contains the snapshot's last entry.
    pub(crate) fn install_snapshot(&mut self, snapshot: Snapshot) {
        if snapshot.index <= self.commit {
            return;
        }
        if self.log.term(snapshot.index) == Some(snapshot.term) {
            return self.advance_commit(snapshot.index);
        }
        base::event!(INFO, Event::SnapshotInstalled, replica = self.id, index = snapshot.index);
        self.log.reset(snapshot.index, snapshot.term);
        self.members = vec![(snapshot.index, snapshot.members.clone())];
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        self.snapshot = Some(snapshot);
        self.snapshot_changed = true;
    }
}
