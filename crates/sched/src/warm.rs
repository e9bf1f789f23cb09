//! The adapters that an engine caches in addition to those in its adapter slots.

use std::collections::VecDeque;

use base::Name;
use base::Set;

/// The recently unloaded adapters that an engine is assumed to cache.
#[derive(Debug, Default)]
pub(crate) struct Cache {
    /// The adapters, the latest last.
    order: VecDeque<Name>,
    /// The same adapters.
    names: Set<Name>,
    /// Grows with each adapter that is added or removed.
    revision: u64,
}

impl Cache {
    pub(crate) fn contains(&self, adapter: &Name) -> bool {
        self.names.contains(adapter)
    }

    /// Adds an adapter as the latest one, and drops the oldest beyond `max`.
    pub(crate) fn insert(&mut self, adapter: &Name, max: usize) {
        self.remove(adapter);
        self.revision += 1;
        self.order.push_back(adapter.clone());
        self.names.insert(adapter.clone());
        if self.order.len() > max
            && let Some(oldest) = self.order.pop_front()
        {
            self.names.remove(&oldest);
        }
    }

    pub(crate) fn remove(&mut self, adapter: &Name) {
        if self.names.remove(adapter) {
            self.revision += 1;
            self.order.retain(|name| name != adapter);
        }
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Name> {
        self.order.iter()
    }

    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }
}
