//! The way from the weight store, which slows down when it is crowded.

use std::time::Duration;

/// The fewest loads at once that are tried.
const FEWEST: f64 = 4.0;
/// The most loads at once that are tried.
const MOST: f64 = 512.0;
/// The loads at once by which the limit changes after a load.
const GROWTH: f64 = 0.1;
/// The part of an undisturbed load's time after which it may have ended.
const ASK_AT: f64 = 0.95;
/// The time of a load, relative to an undisturbed one, below which one more load is tried.
const FAST: f64 = 1.25;
/// The time of a load, relative to an undisturbed one, above which fewer are tried.
const SLOW: f64 = 1.5;

/// How many adapters are on their way from the store, and how many may be.
#[derive(Debug)]
pub(crate) struct Store {
    usual_ms: f64,
    limit: f64,
    floor: f64,
    /// The loads on their way.
    pub(crate) loading: usize,
}

impl Store {
    pub(crate) fn new(usual_ms: f64, limit: usize) -> Store {
        let limit = limit as f64;
        Store { usual_ms, limit, floor: FEWEST.min(limit), loading: 0 }
    }

    /// Returns whether one more load is likely to run at full speed.
    pub(crate) fn has_room(&self) -> bool {
        (self.loading as f64) < self.limit.floor()
    }

    /// Returns the time that one more load is expected to take, in ms.
    pub(crate) fn expected_ms(&self, queued: usize) -> f64 {
        let before = (self.loading + queued) as f64;
        self.usual_ms * (1.0 + (before + 1.0 - self.limit).max(0.0) / self.limit)
    }

    /// Returns how full the way from the store is, 1 with all that run at full speed.
    pub(crate) fn use_share(&self, queued: usize) -> f64 {
        ((self.loading + queued) as f64 / self.limit).min(2.0)
    }

    /// Returns the time after which it is worth asking whether a load has ended, in ms.
    pub(crate) fn least_ms(&self) -> f64 {
        self.usual_ms * ASK_AT
    }

    /// Notes a load that has ended and, if it went well, how long it took.
    pub(crate) fn ended(&mut self, took: Option<Duration>) {
        let crowded = self.loading as f64 + 1.0 >= self.limit.floor();
        self.loading = self.loading.saturating_sub(1);
        let Some(took) = took else { return };
        let ratio = took.as_secs_f64() * 1e3 / self.usual_ms;
        if crowded && ratio < FAST {
            self.limit = (self.limit + GROWTH).min(MOST);
        } else if ratio > SLOW {
            self.limit = (self.limit - GROWTH).max(self.floor);
        }
    }
}
