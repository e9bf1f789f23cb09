//! The time of a process.

use std::time::Duration;
use std::time::SystemTime;

use tokio::time::Instant;

/// The time of a process; it goes on with the runtime's clock, whatever happens to the wall clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
    /// The wall clock at `start`, since 1970.
    wall: Duration,
}

impl Clock {
    /// Reads the wall clock once.
    pub(crate) fn start() -> Clock {
        let wall = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), wall }
    }

    /// Returns the time since the start.
    pub(crate) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Returns the time in milliseconds since 1970.
    pub(crate) fn wall_ms(&self) -> u64 {
        (self.wall + self.now()).as_millis() as u64
    }
}
