//! Safety properties that must hold in every schedule.

use std::collections::BTreeMap;

use base::Map;
use raft::message::Entry;
use raft::message::Id;
use raft::message::Index;
use raft::message::Snapshot;
use raft::message::Term;

/// Records all leaders, written entries and applied states, and panics on a contradiction.
#[derive(Default)]
pub(crate) struct Checker {
    leaders: Map<Term, Id>,
    written: Map<(Index, Term), (u64, Term)>,
    applied: BTreeMap<Index, u64>,
}

impl Checker {
    /// Election safety: at most one leader per term.
    pub(crate) fn check_leader(&mut self, term: Term, id: Id) {
        let first = *self.leaders.entry(term).or_insert(id);
        assert_eq!(first, id, "two leaders in term {term}");
    }

    /// Log matching: entries with the same index and term are equal in all logs, and so are the
    /// entries before them.
    pub(crate) fn check_written(&mut self, entry: &Entry, before: Option<Term>) {
        let Some(before) = before else { return };
        let found = (digest(entry), before);
        let first = *self.written.entry((entry.index, entry.term)).or_insert(found);
        assert_eq!(first, found, "logs differ at {} of term {}", entry.index, entry.term);
    }

    /// State machine safety: all replicas apply the same entry at an index. Returns the new state.
    pub(crate) fn check_applied(&mut self, state: u64, entry: &Entry) -> u64 {
        let bytes = [state.to_le_bytes(), digest(entry).to_le_bytes()].concat();
        let state = base::digest(&bytes);
        self.check_state(entry.index, state);
        state
    }

    /// A snapshot contains the state that results from the entries up to its index.
    pub(crate) fn check_installed(&mut self, snapshot: &Snapshot) -> u64 {
        let state = state_of(snapshot);
        self.check_state(snapshot.index, state);
        state
    }

    fn check_state(&mut self, index: Index, state: u64) {
        let first = *self.applied.entry(index).or_insert(state);
        assert_eq!(first, state, "states differ at {index}");
    }

    /// Returns the highest index that any replica has applied.
    pub(crate) fn committed(&self) -> Index {
        self.applied.last_key_value().map_or(0, |(index, _)| *index)
    }

    /// Returns the number of terms that had a leader.
    pub(crate) fn terms(&self) -> usize {
        self.leaders.len()
    }
}

/// Returns the state contained in a snapshot.
pub(crate) fn state_of(snapshot: &Snapshot) -> u64 {
    let (state, padding) = snapshot.data.split_first_chunk().expect("eight bytes");
    let state = u64::from_le_bytes(*state);
    assert!(padding.iter().all(|byte| *byte == state as u8), "a snapshot is damaged");
    state
}

fn digest(entry: &Entry) -> u64 {
    base::digest(format!("{entry:?}").as_bytes())
}
