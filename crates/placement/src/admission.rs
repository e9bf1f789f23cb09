//! Admission control: rejects requests early while loads are slow.

use std::time::Duration;

use wire::endpoint::Model;

use crate::engine::Engine;
use crate::policy::Policy;
use crate::queue::Queue;

/// Loads are too slow for another request to wait for one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("adapter loads take too long; no further load is queued")]
pub struct Overload {
    /// The time after which the caller should retry.
    pub retry_after: Duration,
}

/// Decides at arrival whether a request may wait for its adapter to be loaded.
///
/// The age of the oldest request that waits for a load estimates how long a load takes now. While it
/// exceeds the policy's limit, requests that need an additional load are rejected, because they would
/// only lengthen the wait; requests that share a pending load are admitted. Callers report
/// [`Overload`] as [`Code::DeadlineUnreachable`](base::Code::DeadlineUnreachable).
pub fn admit<T>(
    model: &Model,
    engines: &[Engine],
    queue: &Queue<Model, T>,
    policy: &Policy,
    now: Duration,
) -> Result<(), Overload> {
    let Some(limit) = policy.stall_limit else { return Ok(()) };
    let resident = |model: &Model| engines.iter().any(|engine| engine.find(model).is_some());
    if queue.count(model) > 0 || resident(model) {
        return Ok(());
    }
    let ages = queue.oldest_arrivals().map(|(model, oldest)| (model, now.saturating_sub(oldest)));
    let above = ages.filter(|(model, age)| *age > limit && !resident(model)).map(|(_, age)| age);
    above.max().map_or(Ok(()), |age| Err(Overload { retry_after: age }))
}
