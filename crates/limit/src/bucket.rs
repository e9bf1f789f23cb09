//! Token buckets, by which the only node that admits requests to an endpoint keeps its rate.

use std::time::Duration;

use crate::rate::Rate;

/// The time for whose requests a bucket holds tokens, so that requests need not be evenly spaced at high rates.
const BURST_S: f64 = 0.25;

/// The tokens by which a bucket may be short of one because of rounding.
const ROUNDING: f64 = 1e-6;
/// The shortest time after which an endpoint that got no request is idle.
const MIN_IDLE: Duration = Duration::from_secs(1);

/// A token bucket. It starts empty.
#[derive(Clone, Debug)]
pub struct Bucket {
    rate: Rate,
    /// Invariant: at most [`Bucket::capacity`].
    tokens: f64,
    /// When `tokens` was updated.
    at: Duration,
    /// When a token was last taken, or when the bucket was created.
    taken: Duration,
}

impl Bucket {
    /// Creates an empty bucket.
    pub fn new(rate: Rate, now: Duration) -> Bucket {
        Bucket { rate, tokens: 0.0, at: now, taken: now }
    }

    /// Returns the rate.
    pub fn rate(&self) -> Rate {
        self.rate
    }

    /// Changes the rate; the tokens so far are kept.
    pub fn set_rate(&mut self, rate: Rate, now: Duration) {
        self.tokens = self.level(now);
        self.at = now;
        self.rate = rate;
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Takes a token; returns the time until there is one if there is none.
    pub fn try_take(&mut self, now: Duration) -> Result<(), Duration> {
        self.tokens = self.level(now);
        self.at = now;
        let wait = self.wait(now);
        if !wait.is_zero() {
            return Err(wait);
        }
        self.tokens = (self.tokens - 1.0).max(0.0);
        self.taken = now;
        Ok(())
    }

    /// Returns a token of a request that was not sent.
    pub fn give_back(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.capacity());
    }

    /// Returns whether there is a token and none has been taken for a while. Only the responses of an endpoint tell that
    /// its limit has ended, so it should get a request now.
    pub fn is_idle(&self, now: Duration) -> bool {
        let idle = now.saturating_sub(self.taken) >= self.rate.interval().max(MIN_IDLE);
        idle && self.wait(now).is_zero()
    }

    /// Returns the time until there is a token.
    pub fn wait(&self, now: Duration) -> Duration {
        let missing = 1.0 - self.level(now);
        if missing <= ROUNDING {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(missing / self.rate.per_second())
    }

    fn level(&self, now: Duration) -> f64 {
        let gained = now.saturating_sub(self.at).as_secs_f64() * self.rate.per_second();
        (self.tokens + gained).min(self.capacity())
    }

    fn capacity(&self) -> f64 {
        (self.rate.per_second() * BURST_S).max(1.0)
    }
}
