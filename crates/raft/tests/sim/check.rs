//! What must hold in every schedule.

use std::collections::BTreeMap;

use base::Map;
use raft::message::Entry;
use raft::message::Id;
use raft::message::Index;
use raft::message::Snapshot;
use raft::message::Term;

/// Remembers all that was ever led, written and applied, and panics at a contradiction.
#[derive(Default)]
pub(crate) struct Check {
    leaders: Map<Term, Id>,
    written: Map<(Index, Term), (u64, Term)>,
    applied: BTreeMap<Index, u64>,
}

impl Check {
    /// One leader a term.
    pub(crate) fn leads(&mut self, term: Term, id: Id) {
        let first = *self.leaders.entry(term).or_insert(id);
        assert_eq!(first, id, "two leaders in term {term}");
    }

    /// Log matching: an entry of an index and a term is the same in all logs, and so is the one before.
    pub(crate) fn writes(&mut self, entry: &Entry, before: Option<Term>) {
        let Some(before) = before else { return };
        let found = (digest(entry), before);
        let first = *self.written.entry((entry.index, entry.term)).or_insert(found);
        assert_eq!(first, found, "logs differ at {} of term {}", entry.index, entry.term);
    }

    /// State machine safety: at an index all replicas apply the same; returns the new state.
    pub(crate) fn applies(&mut self, state: u64, entry: &Entry) -> u64 {
        let bytes = [state.to_le_bytes(), digest(entry).to_le_bytes()].concat();
        let state = base::digest(&bytes);
        self.reaches(entry.index, state);
        state
    }

    /// A snapshot holds what the entries up to it make.
    pub(crate) fn installs(&mut self, snapshot: &Snapshot) -> u64 {
        let state = state_of(snapshot);
        self.reaches(snapshot.index, state);
        state
    }

    fn reaches(&mut self, index: Index, state: u64) {
        let first = *self.applied.entry(index).or_insert(state);
        assert_eq!(first, state, "states differ at {index}");
    }

    /// Returns the last entry that any replica has applied.
    pub(crate) fn committed(&self) -> Index {
        self.applied.last_key_value().map_or(0, |(index, _)| *index)
    }

    /// Returns how many terms had a leader.
    pub(crate) fn terms(&self) -> usize {
        self.leaders.len()
    }
}

/// Returns the state in a snapshot.
pub(crate) fn state_of(snapshot: &Snapshot) -> u64 {
    u64::from_le_bytes(snapshot.data.as_ref().try_into().expect("eight bytes"))
}

fn digest(entry: &Entry) -> u64 {
    base::digest(format!("{entry:?}").as_bytes())
}
