//! Changes of a view, recorded as deltas.

use crate::view::Delta;
use crate::view::Patch;
use crate::view::View;

/// Changes a view and records the changes as deltas.
#[derive(Debug)]
pub(crate) struct Editor<'a> {
    view: &'a mut View,
    deltas: Vec<Delta>,
}

impl<'a> Editor<'a> {
    /// Creates an editor of a view, without changes.
    pub(crate) fn new(view: &'a mut View) -> Editor<'a> {
        Editor { view, deltas: Vec::new() }
    }

    /// Returns the view with all changes applied so far.
    pub(crate) fn view(&self) -> &View {
        self.view
    }

    /// Applies a change that is not part of the configuration.
    pub(crate) fn set(&mut self, patch: Patch) {
        self.push(patch, self.view.configuration);
    }

    /// Applies a change of the configuration, whose revision becomes that of the view.
    pub(crate) fn configure(&mut self, patch: Patch) {
        self.push(patch, self.view.revision + 1);
    }

    /// Returns the recorded deltas in order.
    pub(crate) fn finish(self) -> Vec<Delta> {
        self.deltas
    }

    fn push(&mut self, patch: Patch, configuration: u64) {
        let delta = Delta { revision: self.view.revision + 1, configuration, patch };
        self.view.apply(&delta);
        self.deltas.push(delta);
    }
}
