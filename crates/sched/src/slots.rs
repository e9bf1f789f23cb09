//! The adapter slots of an engine.

use std::ops::Deref;

use base::Map;
use base::Name;

use crate::engine::Slot;

/// The adapters in an engine's slots.
#[derive(Debug, Default)]
pub(crate) struct Slots {
    slots: Map<Name, Slot>,
    /// Grows with each adapter that is added or removed.
    revision: u64,
}

impl Slots {
    pub(crate) fn get_mut(&mut self, adapter: &Name) -> Option<&mut Slot> {
        self.slots.get_mut(adapter)
    }

    pub(crate) fn values_mut(&mut self) -> impl Iterator<Item = &mut Slot> {
        self.slots.values_mut()
    }

    /// Adds an adapter unless it has a slot, and returns its slot.
    pub(crate) fn get_or_insert_with(
        &mut self,
        adapter: &Name,
        slot: impl FnOnce() -> Slot,
    ) -> &mut Slot {
        self.slots.entry(adapter.clone()).or_insert_with(|| {
            self.revision += 1;
            slot()
        })
    }

    pub(crate) fn insert(&mut self, adapter: Name, slot: Slot) {
        self.revision += 1;
        self.slots.insert(adapter, slot);
    }

    pub(crate) fn remove(&mut self, adapter: &Name) -> Option<Slot> {
        self.revision += 1;
        self.slots.remove(adapter)
    }

    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }
}

impl Deref for Slots {
    type Target = Map<Name, Slot>;

    fn deref(&self) -> &Map<Name, Slot> {
        &self.slots
    }
}

impl FromIterator<(Name, Slot)> for Slots {
    fn from_iter<I: IntoIterator<Item = (Name, Slot)>>(slots: I) -> Slots {
        Slots { slots: slots.into_iter().collect(), revision: 0 }
    }
}
