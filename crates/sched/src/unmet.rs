//! Demand that was refused: the adapters whose requests were refused since one of them was last granted.

use std::time::Duration;

use base::Map;
use base::Name;

/// The time without a refusal after which an adapter is forgotten.
const RETENTION: Duration = Duration::from_secs(30);
/// The number of adapters from which forgotten ones are dropped.
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

    /// Drops the forgotten adapters and, if that is not enough, those that were refused once.
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
