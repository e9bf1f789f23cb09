//! Applies changes to a gate's copy of the view.

use std::hash::Hash;

use base::Map;
use state::Delta;
use state::View;
use state::view::Patch;

/// Applies `delta` unless the view has it already; returns false if a change before it is missing.
pub fn apply(view: &mut View, delta: &Delta) -> bool {
    if delta.revision <= view.revision {
        return true;
    }
    if delta.revision != view.revision + 1 {
        return false;
    }
    set(view, delta.patch.clone());
    view.revision = delta.revision;
    view.configuration = delta.configuration;
    true
}

fn set(view: &mut View, patch: Patch) {
    match patch {
        Patch::Adapter(name, adapter) => put(&mut view.adapters, name, adapter),
        Patch::Defaults(defaults) => view.defaults = defaults,
        Patch::Exception(name, exception) => put(&mut view.exceptions, name, exception),
        Patch::Service(name, service) => put(&mut view.services, name, service),
        Patch::Draining(host, true) => {
            view.draining.insert(host);
        }
        Patch::Draining(host, false) => {
            view.draining.remove(&host);
        }
        Patch::Endpoint(name, ownership) => put(&mut view.endpoints, name, ownership),
        Patch::Gate(name, gate) => put(&mut view.gates, name, gate),
        Patch::Quarantine(fingerprint, since) => put(&mut view.quarantine, fingerprint, since),
        // A change of an object that gates make no use of yet.
        #[allow(unreachable_patterns, reason = "the state may have more objects than gates read")]
        _ => {}
    }
}

fn put<K: Eq + Hash, V>(map: &mut Map<K, V>, key: K, value: Option<V>) {
    match value {
        Some(value) => {
            map.insert(key, value);
        }
        None => {
            map.remove(&key);
        }
    }
}
