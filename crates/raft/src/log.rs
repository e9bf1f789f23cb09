//! The part of the log that a replica holds in memory.

use crate::message::Entry;
use crate::message::Index;
use crate::message::Payload;
use crate::message::Term;

/// Size counted for an entry in addition to its data, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// Consecutive entries after a start position whose term is known.
#[derive(Debug, Default)]
pub(crate) struct Log {
    /// The index before the first entry held; 0 if the log is complete.
    start: Index,
    /// The term of the entry at `start`.
    start_term: Term,
    /// Invariant: the entry at position `i` has the index `start + 1 + i`; terms never decrease.
    entries: Vec<Entry>,
    /// The size of `entries`, in bytes.
    bytes: usize,
    /// The first entry not yet handed to the driver for writing.
    ///
    /// Invariant: `start < unstable <= last_index() + 1`.
    unstable: Index,
}

impl Log {
    /// Creates a log that starts after `start`. Stored entries that are not consecutive are
    /// ignored.
    pub(crate) fn new(start: Index, start_term: Term, stored: Vec<Entry>) -> Log {
        let mut log = Log { start, start_term, entries: Vec::new(), bytes: 0, unstable: 0 };
        for entry in stored {
            if entry.index == log.last_index() + 1 {
                log.push(entry);
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

    /// Returns the size of the entries held, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the lowest index after which the entries up to `index` have at most `max_bytes`.
    pub(crate) fn retained_from(&self, index: Index, max_bytes: usize) -> Index {
        let covered = self.slice(self.start + 1, index);
        let mut bytes = 0;
        let retained = covered.iter().rev().take_while(|entry| {
            bytes += entry_bytes(entry);
            bytes <= max_bytes
        });
        index - retained.count() as Index
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
        self.bytes += entry_bytes(&entry);
        self.entries.push(entry);
    }

    /// Drops the entries from `index` on.
    pub(crate) fn truncate(&mut self, index: Index) {
        let kept = index.saturating_sub(self.start + 1) as usize;
        let dropped = self.entries.drain(kept.min(self.entries.len())..);
        self.bytes -= dropped.map(|entry| entry_bytes(&entry)).sum::<usize>();
        self.unstable = self.unstable.min(index);
    }

    /// Drops the entries up to `index`. No-op if `index` is not held.
    pub(crate) fn compact(&mut self, index: Index) {
        let Some(term) = self.term(index) else { return };
        let dropped = self.entries.drain(..(index - self.start) as usize);
        self.bytes -= dropped.map(|entry| entry_bytes(&entry)).sum::<usize>();
        self.start = index;
        self.start_term = term;
        self.unstable = self.unstable.max(index + 1);
    }

    /// Empties the log and moves its start.
    pub(crate) fn reset(&mut self, start: Index, start_term: Term) {
        *self = Log { start, start_term, entries: Vec::new(), bytes: 0, unstable: start + 1 };
    }

    /// Takes the entries not yet handed to the driver for writing.
    pub(crate) fn take_unstable(&mut self) -> Vec<Entry> {
        let entries = self.slice(self.unstable, self.last_index()).to_vec();
        self.unstable = self.last_index() + 1;
        entries
    }
}

/// Returns the size that an entry counts, in bytes.
pub(crate) fn entry_bytes(entry: &Entry) -> usize {
    match &entry.payload {
        Payload::Data(data) => ENTRY_OVERHEAD_BYTES + data.len(),
        Payload::Empty | Payload::Members(_) => ENTRY_OVERHEAD_BYTES,
    }
}
