//! The latest changes of the view.

use std::collections::VecDeque;

use state::Delta;
use state::View;
use wire::keeper::Update;

/// The changes kept for gates that are a little behind.
const LIMIT: usize = 4_096;
/// The most changes in one answer; the whole view is shorter than more.
const ANSWER: usize = 1_024;

/// The latest changes of the view in order.
///
/// Invariant: without gaps; the last one leads to the view's revision.
#[derive(Debug, Default)]
pub struct Ring {
    deltas: VecDeque<Delta>,
}

impl Ring {
    /// Adds changes.
    pub fn extend(&mut self, deltas: impl IntoIterator<Item = Delta>) {
        self.deltas.extend(deltas);
        let excess = self.deltas.len().saturating_sub(LIMIT);
        self.deltas.drain(..excess);
    }

    /// Forgets all changes, because the view was replaced.
    pub fn clear(&mut self) {
        self.deltas.clear();
    }

    /// Returns what leads from the revision `applied` to `view`.
    pub fn update(&self, applied: u64, view: &View) -> Update {
        if applied == view.revision && applied > 0 {
            return Update::Deltas(Vec::new());
        }
        let first = self.deltas.front().map_or(u64::MAX, |delta| delta.revision);
        let known = applied > 0 && applied < view.revision && first <= applied + 1;
        if !known || view.revision - applied > ANSWER as u64 {
            return Update::Whole(Box::new(view.clone()));
        }
        let skip = (applied + 1 - first) as usize;
        Update::Deltas(self.deltas.iter().skip(skip).cloned().collect())
    }
}
