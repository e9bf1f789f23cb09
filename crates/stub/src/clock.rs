//! Wall-clock time derived from the Tokio clock.

use std::sync::LazyLock;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use tokio::time::Instant;

static START: LazyLock<(Instant, u64)> = LazyLock::new(|| {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    (Instant::now(), millis(since_epoch))
});

/// Returns the Unix time in milliseconds; it advances with the Tokio clock.
pub fn now() -> u64 {
    let (start, start_ms) = *START;
    start_ms + millis(start.elapsed())
}

/// Returns a duration in whole milliseconds.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
