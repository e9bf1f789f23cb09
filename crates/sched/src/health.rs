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

/// The recent outcomes at an engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    /// The exponentially weighted share of requests that failed.
    failure_rate: f64,
    /// When the engine may get requests again.
    backoff_until: Duration,
    /// The length of the latest backoff; doubles with each one in a row.
    backoff: Duration,
}

impl Health {
    /// Records a successful request; returns whether the engine is trusted again.
    pub(crate) fn record_success(&mut self) -> bool {
        let suspected = self.failure_rate >= SUSPECT_RATE;
        self.failure_rate *= 1.0 - 2.0 * FAILURE_WEIGHT;
        let trusted = suspected && self.failure_rate < SUSPECT_RATE;
        if self.failure_rate < FAILURE_WEIGHT / 4.0 {
            self.backoff = Duration::ZERO;
        }
        trusted
    }

    /// Records a failed request; returns whether a backoff begins.
    pub(crate) fn record_failure(&mut self, now: Duration) -> bool {
        self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate);
        if self.failure_rate < SUSPECT_RATE || now < self.backoff_until {
            return false;
        }
        self.backoff = (self.backoff * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
        self.backoff_until = now + self.backoff;
        true
    }

    /// Returns whether an engine with `running` requests may get one more. A suspected engine gets
    /// one request at a time.
    pub(crate) fn admits(&self, running: u32, now: Duration) -> bool {
        now >= self.backoff_until && (self.failure_rate < SUSPECT_RATE || running == 0)
    }

    /// Returns whether [`Health::admits`] is true at any time and with any number of requests.
    pub(crate) fn admits_always(&self) -> bool {
        self.backoff_until.is_zero() && self.failure_rate < SUSPECT_RATE
    }

    /// Returns the share of recent requests that failed, from 0 to 1.
    pub(crate) fn failure_rate(&self) -> f64 {
        self.failure_rate
    }
}
