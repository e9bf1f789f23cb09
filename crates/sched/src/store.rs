//! An adaptive limit on concurrent adapter loads from the weight store, which slows down under
//! contention.

use std::collections::VecDeque;
use std::time::Duration;

/// The lowest limit.
const MIN_LIMIT: f64 = 4.0;
/// The highest limit.
const MAX_LIMIT: f64 = 512.0;
/// The number of concurrent adapter loads that a store is expected to bear for each load of a base model that it allows
/// per second.
const LOADS_PER_BASE_RATE: f64 = 1.5;
/// The share of an expected limit with which the slow start begins.
const EXPECTED_SHARE: f64 = 0.5;
/// The share of the limit from which a load says whether more would run at full speed.
const AT_LIMIT_SHARE: f64 = 0.9;
/// The change of the limit after a load.
const LIMIT_STEP: f64 = 0.1;
/// The growth of the limit after a load, until the first slow one. The limit doubles in the time of a load.
const SLOW_START_STEP: f64 = 1.0;
/// The time after which a load is first checked for its end, relative to an uncontended load.
const FIRST_POLL_SHARE: f64 = 0.95;
/// The same for the first [`MAX_UNCONTENDED`] loads without contention, which may take less than expected.
const LEARNING_POLL_SHARE: f64 = 0.3;
/// The time of a load, relative to an uncontended one, below which the limit grows.
const FAST_RATIO: f64 = 1.25;
/// The time of a load, relative to an uncontended one, above which the limit shrinks.
const SLOW_RATIO: f64 = 1.5;

/// The number of loads without contention whose times are kept.
const MAX_UNCONTENDED: usize = 8;

/// The limit on concurrent loads and the loads in progress.
#[derive(Debug)]
pub(crate) struct Limiter {
    /// The time of a load without contention, in ms: the shortest of `uncontended`, or what is expected before the first
    /// of these loads has ended.
    uncontended_ms: f64,
    /// The times of the latest loads that began without contention, in ms, the latest last.
    uncontended: VecDeque<f64>,
    /// The number of loads that run at full speed together, as estimated.
    limit: f64,
    /// The lowest value of `limit`: [`MIN_LIMIT`], or the initial limit if that is lower.
    min_limit: f64,
    /// The loads in progress.
    pub(crate) loading: usize,
    /// Whether a load has ended, so that the limit follows what is observed.
    observed: bool,
    /// Whether the limit grows fast, because no load has been slow yet and the store may bear far more.
    slow_start: bool,
    /// The limit at which the slow start ends.
    slow_start_end: f64,
}

impl Limiter {
    pub(crate) fn new(uncontended_ms: f64, limit: usize) -> Limiter {
        let limit = limit as f64;
        Limiter {
            uncontended_ms,
            uncontended: VecDeque::with_capacity(MAX_UNCONTENDED),
            limit,
            min_limit: MIN_LIMIT.min(limit),
            loading: 0,
            observed: false,
            slow_start: true,
            slow_start_end: MAX_LIMIT,
        }
    }

    /// Raises the limit for a store that allows `base_rate` loads of base models per second: the slow start begins at a
    /// share of what such a store is expected to bear, and ends there. Ignored once a load has been observed.
    pub(crate) fn expect(&mut self, base_rate: f64) {
        let expected = (base_rate * LOADS_PER_BASE_RATE).min(MAX_LIMIT);
        if !self.observed && expected > self.limit {
            self.limit = self.limit.max(expected * EXPECTED_SHARE);
            self.slow_start_end = expected;
        }
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

    /// Returns the time after which a load is first checked for its end, in ms; `uncontended` if it began without
    /// contention.
    pub(crate) fn first_poll_ms(&self, uncontended: bool) -> f64 {
        let learns = uncontended && self.uncontended.len() < MAX_UNCONTENDED;
        self.uncontended_ms * if learns { LEARNING_POLL_SHARE } else { FIRST_POLL_SHARE }
    }

    /// Records the start of a load; returns whether it begins without contention.
    pub(crate) fn load_started(&mut self) -> bool {
        self.loading += 1;
        self.loading as f64 <= self.min_limit
    }

    /// Records the time of a load that began without contention.
    pub(crate) fn record_uncontended(&mut self, took: Duration) {
        if self.uncontended.len() == MAX_UNCONTENDED {
            self.uncontended.pop_front();
        }
        self.uncontended.push_back(took.as_secs_f64() * 1e3);
        self.uncontended_ms = self.uncontended.iter().copied().fold(f64::MAX, f64::min);
    }

    /// Records the end of a load, with its duration if it succeeded, and adapts the limit.
    pub(crate) fn load_ended(&mut self, took: Option<Duration>) {
        let loading = self.loading as f64;
        // While the limit grows fast, the loads in progress follow it with a delay.
        let at_limit = if self.slow_start {
            loading * 2.0 >= self.limit
        } else {
            loading + 1.0 >= (self.limit * AT_LIMIT_SHARE).floor()
        };
        self.loading = self.loading.saturating_sub(1);
        let Some(took) = took else { return };
        self.observed = true;
        let ratio = took.as_secs_f64() * 1e3 / self.uncontended_ms;
        if at_limit && ratio < FAST_RATIO {
            let step = if self.slow_start { SLOW_START_STEP } else { LIMIT_STEP };
            self.limit = (self.limit + step).min(MAX_LIMIT);
            self.slow_start &= self.limit < self.slow_start_end;
        } else if ratio > SLOW_RATIO && self.slow_start {
            // Loads share the store, so each takes longer in proportion to the number beyond what it bears.
            self.slow_start = false;
            self.limit = (self.limit / ratio).max(self.min_limit);
        } else if ratio > SLOW_RATIO {
            self.limit = (self.limit - LIMIT_STEP).max(self.min_limit);
        }
    }
}
