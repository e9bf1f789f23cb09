//! The part of the log that a replica holds in memory.

use crate::message::Entry;
use crate::message::Index;
use crate::message::Term;

/// Consecutive entries after a start position whose term is known.
#[derive(Debug, Default)]
pub(crate) struct Log {
    /// The index before the first entry held; 0 if the log is complete.
    start: Index,
    /// The term of the entry at `start`.
    start_term: Term,
    /// Invariant: the entry at position `i` has the index `start + 1 + i`; terms never decrease.
    entries: Vec<Entry>,
    /// The first entry not yet handed to the driver for writing.
    ///
    /// Invariant: `start < unstable <= last_index() + 1`.
    unstable: Index,
}

impl Log {
    /// Creates a log that starts after `start`. Stored entries that are not consecutive are
    /// ignored.
    pub(crate) fn new(start: Index, start_term: Term, stored: Vec<Entry>) -> Log {
        let mut log = Log { start, start_term, entries: Vec::new(), unstable: 0 };
        for entry in stored {
            if entry.index == log.last_index() + 1 {
                log.entries.push(entry);
            }
        }
        log.unstable = log.last_index() + 1;
        log
    }

    /// Returns the index before the first entry held.
    pub(crate) fn start(&self) -> Index {
        self.start
    }

    /// Returns the index of the last entry; `start` if the log is empty.
    pub(crate) fn last_index(&self) -> Index {
        self.start + self.entries.len() as Index
    }

    /// Returns the term of the last entry.
    pub(crate) fn last_term(&self) -> Term {
        self.entries.last().map_or(self.start_term, |entry| entry.term)
    }

    /// Returns the term at `index`, or `None` if it is neither held nor equal to `start`.
    pub(crate) fn term(&self, index: Index) -> Option<Term> {
        if index == self.start {
            return Some(self.start_term);
        }
        let position = index.checked_sub(self.start + 1)?;
        self.entries.get(position as usize).map(|entry| entry.term)
    }

    /// Returns the entries from `first` to `last` inclusive, clamped to those held.
    pub(crate) fn slice(&self, first: Index, last: Index) -> &[Entry] {
        let end = last.min(self.last_index()).saturating_sub(self.start) as usize;
        let begin = first.saturating_sub(self.start + 1) as usize;
        &self.entries[begin.min(end)..end]
    }

    /// Returns the last index before the run of entries that have the same term as the one at
    /// `index`.
    pub(crate) fn before_term_of(&self, index: Index) -> Index {
        let term = self.term(index);
        let mut before = index;
        while before > self.start && self.term(before) == term {
            before -= 1;
        }
        before
    }

    /// Appends an entry, whose index must be the next one.
    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.entries.push(entry);
    }

    /// Drops the entries from `index` on.
    pub(crate) fn truncate(&mut self, index: Index) {
        self.entries.truncate(index.saturating_sub(self.start + 1) as usize);
        self.unstable = self.unstable.min(index);
    }

    /// Drops the entries up to `index`. No-op if `index` is not held.
    pub(crate) fn compact(&mut self, index: Index) {
        let Some(term) = self.term(index) else { return };
        self.entries.drain(..(index - self.start) as usize);
        self.start = index;
        self.start_term = term;
        self.unstable = self.unstable.max(index + 1);
    }

    /// Empties the log and moves its start.
    pub(crate) fn reset(&mut self, start: Index, start_term: Term) {
        *self = Log { start, start_term, entries: Vec::new(), unstable: start + 1 };
    }

    /// Takes the entries not yet handed to the driver for writing.
    pub(crate) fn take_unstable(&mut self) -> Vec<Entry> {
        let entries = self.slice(self.unstable, self.last_index()).to_vec();
        self.unstable = self.last_index() + 1;
        entries
    }
}
