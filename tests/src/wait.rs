//! Polls for conditions.

use std::future::Future;
use std::time::Duration;

use tokio::time::Instant;

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until `condition` returns a value; panics with `what` after `timeout`.
pub async fn until<T, F>(what: &str, timeout: Duration, mut condition: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    let deadline = Instant::now() + timeout;
    loop {
        if let Some(value) = condition().await {
            return value;
        }
        assert!(Instant::now() < deadline, "timed out after {timeout:?}: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
