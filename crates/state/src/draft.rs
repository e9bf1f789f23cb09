//! A view under change, with the deltas that lead to it.

use crate::view::Delta;
use crate::view::Patch;
use crate::view::View;

/// A view under change, with the deltas that lead to it.
#[derive(Debug)]
pub(crate) struct Draft<'a> {
    view: &'a mut View,
    deltas: Vec<Delta>,
}

impl<'a> Draft<'a> {
    /// Starts to change a view.
    pub(crate) fn new(view: &'a mut View) -> Draft<'a> {
        Draft { view, deltas: Vec::new() }
    }

    /// Returns the view with all changes so far.
    pub(crate) fn view(&self) -> &View {
        self.view
    }

    /// Changes the view without an operator's doing.
    pub(crate) fn set(&mut self, patch: Patch) {
        self.push(patch, self.view.configuration);
    }

    /// Changes the view as an operator asked.
    pub(crate) fn configure(&mut self, patch: Patch) {
        self.push(patch, self.view.revision + 1);
    }

    /// Returns the changes in order.
    pub(crate) fn finish(self) -> Vec<Delta> {
        self.deltas
    }

    fn push(&mut self, patch: Patch, configuration: u64) {
        let delta = Delta { revision: self.view.revision + 1, configuration, patch };
        self.view.apply(&delta);
        self.deltas.push(delta);
    }
}
