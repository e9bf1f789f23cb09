//! Waiting for conditions.

use std::future::Future;
use std::time::Duration;

use tokio::time::Instant;

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until `condition` gives a value; panics with `what` after `limit`.
pub async fn until<T, F>(what: &str, limit: Duration, mut condition: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    let end = Instant::now() + limit;
    loop {
        if let Some(value) = condition().await {
            return value;
        }
        assert!(Instant::now() < end, "timed out after {limit:?}: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
