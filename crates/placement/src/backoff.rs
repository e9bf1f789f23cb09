//! Failed loads are tried again later and later.

use std::time::Duration;

use base::Map;
use wire::endpoint::Model;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The wait after the first failure.
const FIRST: Duration = Duration::from_millis(500);
/// The longest wait.
const LONGEST: Duration = Duration::from_secs(30);
/// The share of a wait, in percent, that the jitter adds at most.
const JITTER_PERCENT: u64 = 25;
/// The failures after which the wait grows no more.
const MOST_DOUBLINGS: u32 = 6;
/// The adapters above which those whose wait is long over are forgotten.
const PRUNE_ABOVE: usize = 1_024;

/// The adapters whose last load failed.
#[derive(Clone, Debug, Default)]
pub struct Backoff {
    failures: Map<Model, Failure>,
    /// The number of adapters at which forgotten ones are searched for next.
    prune_at: usize,
}

/// The failures of one adapter since its last success.
#[derive(Clone, Copy, Debug)]
struct Failure {
    count: u32,
    until: Duration,
}

impl Backoff {
    /// Notes a failed load and returns the time from which it may be tried again.
    pub fn fail(&mut self, model: &Model, now: Duration) -> Duration {
        self.prune(now);
        let count = self.failures.get(model).map_or(0, |failure| failure.count) + 1;
        let until = now + wait(model, count);
        self.failures.insert(model.clone(), Failure { count, until });
        until
    }

    /// Notes a load that succeeded.
    pub fn succeed(&mut self, model: &Model) {
        self.failures.remove(model);
    }

    /// Returns the time from which a load may be tried again, if that is later than now.
    pub fn until(&self, model: &Model, now: Duration) -> Option<Duration> {
        let failure = self.failures.get(model)?;
        (failure.until > now).then_some(failure.until)
    }

    /// Forgets the adapters that have not failed for long.
    fn prune(&mut self, now: Duration) {
        if self.failures.len() < self.prune_at.max(PRUNE_ABOVE) {
            return;
        }
        self.failures.retain(|_, failure| failure.until + LONGEST > now);
        self.prune_at = self.failures.len() * 2;
    }
}

/// The wait after a number of failures; adapters that failed together do not come back together.
fn wait(model: &Model, count: u32) -> Duration {
    let doublings = count.saturating_sub(1).min(MOST_DOUBLINGS);
    let wait = (FIRST * 2_u32.pow(doublings)).min(LONGEST);
    let digest = xxh3_64_with_seed(model.adapter.as_bytes(), u64::from(count));
    let permille = digest % (JITTER_PERCENT * 10 + 1);
    wait + wait * permille as u32 / 1_000
}
