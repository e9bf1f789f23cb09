//! The follower's side: messages, entries and snapshots of the leader.

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

/// A message of a leader with entries.
struct Batch {
    prev_index: Index,
    prev_term: Term,
    entries: Vec<Entry>,
    commit: Index,
}

impl Batch {
    /// Returns whether the entries follow each other behind `prev_index`.
    fn is_consecutive(&self) -> bool {
        let mut before = Some(self.prev_index);
        self.entries.iter().all(|entry| {
            before = before.and_then(|index| index.checked_add(1));
            before == Some(entry.index)
        })
    }
}

impl Node {
    /// Takes a message from another replica.
    pub fn step(&mut self, from: Id, message: Message, now: Duration) {
        self.now = self.now.max(now);
        let term = message.term;
        match message.body {
            Body::Vote { last_index, last_term, pre: true } => {
                self.pre_vote(from, term, (last_term, last_index));
            }
            Body::Vote { last_index, last_term, pre: false } => {
                self.step_vote(from, term, (last_term, last_index));
            }
            Body::Voted { granted, pre } => self.step_voted(from, term, granted, pre),
            Body::Append { prev_index, prev_term, entries, commit, round } => {
                let batch = Batch { prev_index, prev_term, entries, commit };
                self.step_append(from, term, batch, round);
            }
            Body::Appended { success, index, round } => {
                self.step_appended(from, term, success, index, round);
            }
            Body::Install { snapshot, round } => self.step_install(from, term, snapshot, round),
        }
    }

    /// Takes a request for a vote.
    fn step_vote(&mut self, from: Id, term: Term, last: (Term, Index)) {
        if self.sticky() && term > self.hard_state.term {
            return;
        }
        if term > self.hard_state.term {
            self.follow(term, None);
        }
        if term == self.hard_state.term {
            self.vote(from, last);
        } else {
            self.send(from, Body::Voted { granted: false, pre: false });
        }
    }

    /// Takes the answer to a request for a vote.
    fn step_voted(&mut self, from: Id, term: Term, granted: bool, pre: bool) {
        if term > self.hard_state.term {
            return self.follow_stranger(from, term);
        }
        if pre || term == self.hard_state.term {
            self.voted(from, granted, pre);
        }
    }

    /// Takes entries of a leader.
    fn step_append(&mut self, from: Id, term: Term, batch: Batch, round: u64) {
        if term < self.hard_state.term {
            return self.send(from, Body::Appended { success: false, index: 0, round });
        }
        self.hear(from, term);
        if !batch.is_consecutive() {
            return;
        }
        let (success, index) = self.store(batch);
        self.send(from, Body::Appended { success, index, round });
    }

    /// Takes an answer to entries.
    fn step_appended(&mut self, from: Id, term: Term, success: bool, index: Index, round: u64) {
        if term > self.hard_state.term {
            return self.follow_stranger(from, term);
        }
        if term == self.hard_state.term && self.is_leader() {
            self.appended(from, success, index, round);
        }
    }

    /// Takes a snapshot of a leader.
    fn step_install(&mut self, from: Id, term: Term, snapshot: Snapshot, round: u64) {
        if term < self.hard_state.term {
            return self.send(from, Body::Appended { success: false, index: 0, round });
        }
        self.hear(from, term);
        let index = snapshot.index;
        self.install(snapshot);
        self.send(from, Body::Appended { success: true, index, round });
    }

    /// Notes that the leader of a term was heard.
    fn hear(&mut self, from: Id, term: Term) {
        if term > self.hard_state.term || self.leader != Some(from) || !self.is_following() {
            self.follow(term, Some(from));
        }
        self.heard = self.now;
        self.set_election_time();
    }

    /// Returns whether this replica follows or learns.
    fn is_following(&self) -> bool {
        matches!(self.part, crate::election::Part::Follower)
    }

    /// Moves to a later term of a replica that is no leader; a removed one doesn't disturb a leader.
    fn follow_stranger(&mut self, from: Id, term: Term) {
        let removed = self.is_leader() && !self.progress.contains_key(&from);
        if !removed {
            self.follow(term, None);
        }
    }

    /// Stores entries if they fit; returns whether they do, and the last equal entry or a hint.
    fn store(&mut self, batch: Batch) -> (bool, Index) {
        let Batch { prev_index, prev_term, entries, commit } = batch;
        // What is before the log's start is committed and so equal to the leader's.
        let known = prev_index < self.log.start() || self.log.term(prev_index) == Some(prev_term);
        if !known {
            return (false, self.hint(prev_index));
        }
        let last = prev_index + entries.len() as Index;
        for entry in entries {
            self.store_entry(entry);
        }
        self.advance_commit(commit.min(last));
        (true, last)
    }

    /// Returns the last entry that may be equal to the leader's, if the one at `index` is not.
    fn hint(&self, index: Index) -> Index {
        if self.log.last_index() < index {
            return self.log.last_index();
        }
        self.log.before_term_of(index).max(self.commit)
    }

    /// Stores an entry; one that differs is cut with all behind it.
    fn store_entry(&mut self, entry: Entry) {
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

    /// Replaces the log by a snapshot unless it holds all of it.
    fn install(&mut self, snapshot: Snapshot) {
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
