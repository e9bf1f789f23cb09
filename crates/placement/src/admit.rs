//! Refusals at once while loads take too long.

use std::time::Duration;

use wire::endpoint::Model;

use crate::engine::Engine;
use crate::policy::Policy;
use crate::queue::Queue;

/// Loads take too long to queue for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("loads take too long now")]
pub struct Late {
    /// When the caller should come back.
    pub retry_after: Duration,
}

/// Decides at arrival whether a request may wait for its adapter to be loaded.
///
/// The age of the oldest request that waits for a load is what a load takes now. Above the limit of
/// the policy, requests that need one more load are refused, because their wait would only grow;
/// those that share a load go on. Answer [`Late`] by
/// [`Code::DeadlineUnreachable`](base::Code::DeadlineUnreachable).
pub fn admit<T>(
    model: &Model,
    engines: &[Engine],
    queue: &Queue<Model, T>,
    policy: &Policy,
    now: Duration,
) -> Result<(), Late> {
    let Some(limit) = policy.stall_limit else { return Ok(()) };
    let held = |model: &Model| engines.iter().any(|engine| engine.find(model).is_some());
    if queue.count(model) > 0 || held(model) {
        return Ok(());
    }
    let ages = queue.oldest().map(|(model, oldest)| (model, now.saturating_sub(oldest)));
    let late = ages.filter(|(model, age)| *age > limit && !held(model)).map(|(_, age)| age).max();
    late.map_or(Ok(()), |age| Err(Late { retry_after: age }))
}
