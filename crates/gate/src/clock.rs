//! The wall clock.

use std::time::SystemTime;

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub(crate) fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
