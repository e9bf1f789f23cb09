//! Application of deltas to a view.

use std::hash::Hash;

use base::Map;

use crate::view::Delta;
use crate::view::Patch;
use crate::view::View;

impl View {
    /// Applies a delta if it is the next revision, and returns whether it was applied.
    pub fn apply(&mut self, delta: &Delta) -> bool {
        if delta.revision != self.revision + 1 {
            return false;
        }
        self.revision = delta.revision;
        self.configuration = delta.configuration;
        self.patch(&delta.patch);
        true
    }

    fn patch(&mut self, patch: &Patch) {
        match patch {
            Patch::Adapter(name, value) => set(&mut self.adapters, name, value),
            Patch::Defaults(defaults) => self.defaults = defaults.clone(),
            Patch::Exception(name, value) => set(&mut self.exceptions, name, value),
            Patch::Service(name, value) => set(&mut self.services, name, value),
            Patch::Draining(host, true) => drop(self.draining.insert(host.clone())),
            Patch::Draining(host, false) => drop(self.draining.remove(host)),
            Patch::Endpoint(name, value) => set(&mut self.endpoints, name, value),
            Patch::Gate(name, value) => set(&mut self.gates, name, value),
            Patch::Quarantine(fingerprint, value) => set(&mut self.quarantine, fingerprint, value),
            Patch::Suspect(fingerprint, true) => drop(self.suspects.insert(*fingerprint)),
            Patch::Suspect(fingerprint, false) => drop(self.suspects.remove(fingerprint)),
        }
    }
}

fn set<K: Clone + Eq + Hash, V: Clone>(map: &mut Map<K, V>, key: &K, value: &Option<V>) {
    match value {
        Some(value) => map.insert(key.clone(), value.clone()),
        None => map.remove(key),
    };
}
