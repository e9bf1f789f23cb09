//! Wall time that follows the runtime's clock.

use std::sync::LazyLock;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use tokio::time::Instant;

static START: LazyLock<(Instant, u64)> = LazyLock::new(|| {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    (Instant::now(), millis(since))
});

/// Returns the time in milliseconds since 1970; it advances with the runtime's clock.
pub fn now() -> u64 {
    let (start, unix) = *START;
    unix + millis(start.elapsed())
}

/// Returns a duration in whole milliseconds.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
