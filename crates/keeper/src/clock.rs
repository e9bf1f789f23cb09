//! The clock of a keeper process.

use std::time::Duration;
use std::time::SystemTime;

use tokio::time::Instant;

/// A monotonic clock. The wall clock is read only once, so that later adjustments of it have no effect.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
    /// The wall clock time at `start`, since the Unix epoch.
    wall_at_start: Duration,
}

impl Clock {
    /// Starts the clock and reads the wall clock.
    pub(crate) fn start() -> Clock {
        let wall_at_start =
            SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), wall_at_start }
    }

    /// Returns the time since the start.
    pub(crate) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Returns the time since the Unix epoch, in milliseconds.
    pub(crate) fn wall_ms(&self) -> u64 {
        (self.wall_at_start + self.now()).as_millis() as u64
    }
}
