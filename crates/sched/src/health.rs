//! Engine health, derived from the outcomes of requests.

use std::time::Duration;

/// The weight of the latest outcome in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.2;
/// The failure rate at which an engine becomes suspected and gets no requests for a backoff.
const SUSPECT_RATE: f64 = 0.3;
/// The first backoff; each further one in a row is twice as long.
const MIN_BACKOFF: Duration = Duration::from_secs(1);
/// The longest backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// The time without an outcome and after a backoff from which the failure rate decays.
const DECAY_DELAY: Duration = MAX_BACKOFF;
/// The half-life of the failure rate from then on.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// The recent outcomes at an engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    /// The exponentially weighted share of requests that failed, as of `updated`.
    failure_rate: f64,
    /// When the latest outcome was recorded.
    updated: Duration,
    /// Whether the failure rate reached [`SUSPECT_RATE`] and no request has succeeded since that lowered it.
    suspected: bool,
    /// When the engine may get requests again.
    backoff_until: Duration,
    /// The length of the latest backoff; doubles with each one in a row.
    backoff: Duration,
}

impl Health {
    /// Records a successful request; returns whether the engine is trusted again.
    pub(crate) fn record_success(&mut self, now: Duration) -> bool {
        self.failure_rate = self.failure_rate(now) * (1.0 - 2.0 * FAILURE_WEIGHT);
        self.updated = now;
        let trusted = self.suspected && self.failure_rate < SUSPECT_RATE;
        self.suspected &= !trusted;
        if self.failure_rate < FAILURE_WEIGHT / 4.0 {
            self.backoff = Duration::ZERO;
        }
        trusted
    }

    /// Records a failed request; returns whether a backoff begins.
    pub(crate) fn record_failure(&mut self, now: Duration) -> bool {
        let rate = self.failure_rate(now);
        self.failure_rate = rate + FAILURE_WEIGHT * (1.0 - rate);
        self.updated = now;
        self.suspected |= self.failure_rate >= SUSPECT_RATE;
        if !self.suspected || now < self.backoff_until {
            return false;
        }
        self.backoff = (self.backoff * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
        self.backoff_until = now + self.backoff;
        true
    }

    /// Returns whether an engine with `running` requests may get one more. A suspected engine gets
    /// one request at a time.
    pub(crate) fn admits(&self, running: u32, now: Duration) -> bool {
        now >= self.backoff_until && (!self.suspected || running == 0)
    }

    /// Returns whether [`Health::admits`] is true at any time and with any number of requests.
    pub(crate) fn admits_always(&self) -> bool {
        self.backoff_until.is_zero() && !self.suspected
    }

    /// Returns the share of requests that are expected to fail, from 0 to 1.
    ///
    /// It decays while there are no outcomes, because an engine that is avoided has no requests that
    /// could succeed.
    pub(crate) fn failure_rate(&self, now: Duration) -> f64 {
        let decays_from = self.updated.max(self.backoff_until) + DECAY_DELAY;
        if self.failure_rate == 0.0 || now <= decays_from {
            return self.failure_rate;
        }
        let half_lives = (now - decays_from).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.failure_rate * (-half_lives).exp2()
    }
}
