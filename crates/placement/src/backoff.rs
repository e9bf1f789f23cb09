//! Exponential backoff of failed loads.

use std::time::Duration;

use base::Map;
use wire::endpoint::Model;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The delay after the first failure.
const INITIAL_DELAY: Duration = Duration::from_millis(500);
/// The longest delay, without jitter.
const MAX_DELAY: Duration = Duration::from_secs(30);
/// The largest jitter, as a percentage of the delay.
const MAX_JITTER_PERCENT: u64 = 25;
/// The maximum number of times that the delay is doubled.
const MAX_DOUBLINGS: u32 = 6;
/// The number of adapters below which nothing is pruned.
const PRUNE_THRESHOLD: usize = 1_024;

/// The adapters whose last load failed.
#[derive(Clone, Debug, Default)]
pub struct Backoff {
    failures: Map<Model, Failure>,
    /// The number of adapters at which entries are pruned next.
    prune_at: usize,
}

/// The failures of one adapter since its last successful load.
#[derive(Clone, Copy, Debug)]
struct Failure {
    count: u32,
    retry_at: Duration,
}

impl Backoff {
    /// Records a failed load and returns the time from which it may be retried.
    pub fn record_failure(&mut self, model: &Model, now: Duration) -> Duration {
        self.prune(now);
        let count = self.failures.get(model).map_or(0, |failure| failure.count) + 1;
        let retry_at = now + delay(model, count);
        self.failures.insert(model.clone(), Failure { count, retry_at });
        retry_at
    }

    /// Records a successful load, which resets the backoff of the adapter.
    pub fn record_success(&mut self, model: &Model) {
        self.failures.remove(model);
    }

    /// Returns the time from which a load may be retried, or `None` if it may start now.
    pub fn retry_at(&self, model: &Model, now: Duration) -> Option<Duration> {
        let failure = self.failures.get(model)?;
        (failure.retry_at > now).then_some(failure.retry_at)
    }

    /// Removes the adapters whose delay ended more than [`MAX_DELAY`] ago.
    fn prune(&mut self, now: Duration) {
        if self.failures.len() < self.prune_at.max(PRUNE_THRESHOLD) {
            return;
        }
        self.failures.retain(|_, failure| failure.retry_at + MAX_DELAY > now);
        self.prune_at = self.failures.len() * 2;
    }
}

/// Returns the delay after `count` failures.
///
/// The jitter depends on the adapter, so that adapters that failed together are not retried together.
fn delay(model: &Model, count: u32) -> Duration {
    let doublings = count.saturating_sub(1).min(MAX_DOUBLINGS);
    let delay = (INITIAL_DELAY * 2_u32.pow(doublings)).min(MAX_DELAY);
    let digest = xxh3_64_with_seed(model.adapter.as_bytes(), u64::from(count));
    let permille = digest % (MAX_JITTER_PERCENT * 10 + 1);
    delay + delay * permille as u32 / 1_000
}
