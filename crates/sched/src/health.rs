//! Whether an engine may be trusted with requests, seen from how they end.

use std::time::Duration;

/// The weight of the latest outcome in the share of failures.
const WEIGHT: f64 = 0.2;
/// The share of failures from which an engine gets no work for a while.
const SUSPECT: f64 = 0.3;
/// The first time without work.
const PAUSE: Duration = Duration::from_secs(1);
/// The longest time without work.
const PAUSE_MAX: Duration = Duration::from_secs(8);

/// How an engine did lately.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    /// The share of requests that failed, the latest ones weighing most.
    failures: f64,
    /// Until when the engine gets no work.
    paused: Duration,
    /// How long the last pause was.
    pause: Duration,
}

impl Health {
    /// Notes a request that was answered; returns whether the engine is trusted again.
    pub(crate) fn succeeded(&mut self) -> bool {
        let suspected = self.failures >= SUSPECT;
        self.failures *= 1.0 - 2.0 * WEIGHT;
        let trusted = suspected && self.failures < SUSPECT;
        if self.failures < WEIGHT / 4.0 {
            self.pause = Duration::ZERO;
        }
        trusted
    }

    /// Notes a request that failed; returns whether a pause begins.
    pub(crate) fn failed(&mut self, now: Duration) -> bool {
        self.failures += WEIGHT * (1.0 - self.failures);
        if self.failures < SUSPECT || now < self.paused {
            return false;
        }
        self.pause = (self.pause * 2).clamp(PAUSE, PAUSE_MAX);
        self.paused = now + self.pause;
        true
    }

    /// Returns whether an engine with that many requests may get one more: one at a time while it is
    /// suspected.
    pub(crate) fn admits(&self, running: u32, now: Duration) -> bool {
        now >= self.paused && (self.failures < SUSPECT || running == 0)
    }

    /// Returns what a request risks at the engine, as a share.
    pub(crate) fn risk(&self) -> f64 {
        self.failures
    }
}
