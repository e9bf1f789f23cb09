//! Request rates of adapters, as exponentially decayed counts.

use std::time::Duration;

use base::Map;
use base::Name;

/// The limit on counted adapters; beyond it the less popular half is dropped.
const MAX_ADAPTERS: usize = 16_384;

/// Decayed request counts by adapter.
#[derive(Debug)]
pub(crate) struct Popularity {
    half_life_s: f64,
    /// The count of each adapter and when it was updated.
    counts: Map<Name, (f64, Duration)>,
}

impl Popularity {
    pub(crate) fn new(half_life: Duration) -> Popularity {
        Popularity { half_life_s: half_life.as_secs_f64(), counts: Map::default() }
    }

    /// Counts a request. Returns whether counts were dropped; otherwise no score falls except with
    /// time.
    pub(crate) fn record(&mut self, adapter: &Name, now: Duration) -> bool {
        let count = self.score(adapter, now) + 1.0;
        self.counts.insert(adapter.clone(), (count, now));
        let excess = self.counts.len() > MAX_ADAPTERS;
        if excess {
            self.shrink(now);
        }
        excess
    }

    /// Returns the decayed count of an adapter.
    pub(crate) fn score(&self, adapter: &Name, now: Duration) -> f64 {
        self.counts.get(adapter).map_or(0.0, |count| self.decayed(*count, now))
    }

    /// Returns the value that a count from an earlier time has now.
    pub(crate) fn decayed(&self, (count, at): (f64, Duration), now: Duration) -> f64 {
        let age = now.saturating_sub(at).as_secs_f64();
        count * (-age / self.half_life_s).exp2()
    }

    /// Drops the adapters below the median.
    fn shrink(&mut self, now: Duration) {
        let mut counts: Vec<f64> = self.counts.keys().map(|name| self.score(name, now)).collect();
        let middle = counts.len() / 2;
        let (_, median, _) = counts.select_nth_unstable_by(middle, f64::total_cmp);
        let median = *median;
        let cold: Vec<Name> =
            self.counts.keys().filter(|name| self.score(name, now) < median).cloned().collect();
        for name in cold {
            self.counts.remove(&name);
        }
    }
}
