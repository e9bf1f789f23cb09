//! Unmet demand: how many requests for each adapter were refused since one was last granted.

use std::time::Duration;

use base::Map;
use base::Name;

/// The time after the last refusal of an adapter when its entry expires.
const RETENTION: Duration = Duration::from_secs(30);
/// The number of adapters from which expired entries are removed.
const MAX_ADAPTERS: usize = 16_384;

#[derive(Clone, Copy, Debug)]
struct Entry {
    /// The refused requests; retries of the same request count once.
    refusals: u32,
    refused_at: Duration,
}

/// The refusals of each adapter since its last grant.
#[derive(Debug, Default)]
pub(crate) struct Unmet {
    adapters: Map<Name, Entry>,
}

impl Unmet {
    /// Records the refusal of a request; `retry` if it was refused before.
    pub(crate) fn record_refusal(&mut self, adapter: &Name, retry: bool, now: Duration) {
        if adapter.is_empty() {
            return;
        }
        if self.adapters.len() >= MAX_ADAPTERS && !self.adapters.contains_key(adapter) {
            self.shrink(now);
        }
        let refusals = self.refusals(adapter, now);
        let refusals = if retry { refusals.max(1) } else { refusals + 1 };
        self.adapters.insert(adapter.clone(), Entry { refusals, refused_at: now });
    }

    /// Records that a request for an adapter was granted.
    pub(crate) fn record_grant(&mut self, adapter: &Name) {
        self.adapters.remove(adapter);
    }

    /// Returns the number of requests for an adapter that were refused since the last grant.
    pub(crate) fn refusals(&self, adapter: &Name, now: Duration) -> u32 {
        let entry = self.adapters.get(adapter);
        let entry = entry.filter(|entry| now < entry.refused_at + RETENTION);
        entry.map_or(0, |entry| entry.refusals)
    }

    /// Removes the expired entries and, if that is not enough, those with a single refusal.
    fn shrink(&mut self, now: Duration) {
        self.adapters.retain(|_, entry| now < entry.refused_at + RETENTION);
        if self.adapters.len() >= MAX_ADAPTERS {
            self.adapters.retain(|_, entry| entry.refusals > 1);
        }
        if self.adapters.len() >= MAX_ADAPTERS {
            self.adapters.clear();
        }
    }
}
