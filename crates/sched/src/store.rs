//! An adaptive limit on concurrent adapter loads from the weight store, which slows down under
//! contention.

use std::time::Duration;

/// The lowest limit.
const MIN_LIMIT: f64 = 4.0;
/// The highest limit.
const MAX_LIMIT: f64 = 512.0;
/// The change of the limit after a load.
const LIMIT_STEP: f64 = 0.1;
/// The time after which a load is first checked for its end, relative to an uncontended load.
const FIRST_POLL_SHARE: f64 = 0.95;
/// The time of a load, relative to an uncontended one, below which the limit grows.
const FAST_RATIO: f64 = 1.25;
/// The time of a load, relative to an uncontended one, above which the limit shrinks.
const SLOW_RATIO: f64 = 1.5;

/// The limit on concurrent loads and the loads in progress.
#[derive(Debug)]
pub(crate) struct Limiter {
    /// The time of a load without contention, in ms.
    uncontended_ms: f64,
    /// The number of loads that run at full speed together, as estimated.
    limit: f64,
    /// The lowest value of `limit`: [`MIN_LIMIT`], or the initial limit if that is lower.
    min_limit: f64,
    /// The loads in progress.
    pub(crate) loading: usize,
}

impl Limiter {
    pub(crate) fn new(uncontended_ms: f64, limit: usize) -> Limiter {
        let limit = limit as f64;
        Limiter { uncontended_ms, limit, min_limit: MIN_LIMIT.min(limit), loading: 0 }
    }

    /// Returns whether one more load is likely to run at full speed.
    pub(crate) fn has_capacity(&self) -> bool {
        (self.loading as f64) < self.limit.floor()
    }

    /// Returns the expected time of one more load behind `queued` others, in ms.
    pub(crate) fn expected_ms(&self, queued: usize) -> f64 {
        let ahead = (self.loading + queued) as f64;
        self.uncontended_ms * (1.0 + (ahead + 1.0 - self.limit).max(0.0) / self.limit)
    }

    /// Returns the number of running and queued loads relative to the limit, capped at 2.
    pub(crate) fn utilization(&self, queued: usize) -> f64 {
        ((self.loading + queued) as f64 / self.limit).min(2.0)
    }

    /// Returns the time after which a load is first checked for its end, in ms.
    pub(crate) fn first_poll_ms(&self) -> f64 {
        self.uncontended_ms * FIRST_POLL_SHARE
    }

    /// Records the end of a load, with its duration if it succeeded, and adapts the limit.
    pub(crate) fn load_ended(&mut self, took: Option<Duration>) {
        let at_limit = self.loading as f64 + 1.0 >= self.limit.floor();
        self.loading = self.loading.saturating_sub(1);
        let Some(took) = took else { return };
        let ratio = took.as_secs_f64() * 1e3 / self.uncontended_ms;
        if at_limit && ratio < FAST_RATIO {
            self.limit = (self.limit + LIMIT_STEP).min(MAX_LIMIT);
        } else if ratio > SLOW_RATIO {
            self.limit = (self.limit - LIMIT_STEP).max(self.min_limit);
        }
    }
}
