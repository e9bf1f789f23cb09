//! Recent changes of the view.

use std::collections::VecDeque;

use state::Delta;
use state::View;
use wire::keeper::Update;

/// The maximum number of changes kept for gates that lag behind.
const MAX_CHANGES: usize = 4_096;
/// The maximum number of changes in one update; beyond it the whole view is shorter.
const MAX_UPDATE_CHANGES: usize = 1_024;

/// The most recent changes of the view, in order.
///
/// Invariant: the revisions have no gaps, and the last one is the revision of the view.
#[derive(Debug, Default)]
pub struct History {
    deltas: VecDeque<Delta>,
}

impl History {
    /// Appends changes and drops the oldest ones above the limit.
    pub fn extend(&mut self, deltas: impl IntoIterator<Item = Delta>) {
        self.deltas.extend(deltas);
        let excess = self.deltas.len().saturating_sub(MAX_CHANGES);
        self.deltas.drain(..excess);
    }

    /// Removes all changes, after the view was replaced by a snapshot.
    pub fn clear(&mut self) {
        self.deltas.clear();
    }

    /// Returns the changes from the revision `applied` to `view`, or the whole view if `applied` is 0 or the
    /// changes are too old or too many.
    pub fn update(&self, applied: u64, view: &View) -> Update {
        if applied == view.revision && applied > 0 {
            return Update::Deltas(Vec::new());
        }
        let first = self.deltas.front().map_or(u64::MAX, |delta| delta.revision);
        let is_covered = applied > 0 && applied < view.revision && first <= applied + 1;
        if !is_covered || view.revision - applied > MAX_UPDATE_CHANGES as u64 {
            return Update::Whole(Box::new(view.clone()));
        }
        let skip = (applied + 1 - first) as usize;
        Update::Deltas(self.deltas.iter().skip(skip).cloned().collect())
    }
}
