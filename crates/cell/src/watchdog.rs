//! Detects that the main thread has stopped responding. The replica of such a keeper must not keep
//! the lead, because nothing else of a leader would work.

use std::sync::Arc;
use std::time::Duration;

use base::Event;
use parking_lot::Mutex;
use tokio::time::Instant;

use crate::settings::MAIN_THREAD_TIMEOUT;

/// The time of the main thread's last sign of life.
#[derive(Clone, Debug)]
pub(crate) struct Pulse(Arc<Mutex<Instant>>);

impl Pulse {
    pub(crate) fn new() -> Pulse {
        Pulse(Arc::new(Mutex::new(Instant::now())))
    }

    /// Records a sign of life.
    pub(crate) fn beat(&self) {
        *self.0.lock() = Instant::now();
    }

    fn age(&self) -> Duration {
        self.0.lock().elapsed()
    }
}

/// Watches the main thread.
#[derive(Debug)]
pub(crate) struct Watchdog {
    pulse: Pulse,
    stalled: bool,
}

impl Watchdog {
    pub(crate) fn new(pulse: Pulse) -> Watchdog {
        Watchdog { pulse, stalled: false }
    }

    /// Returns whether the main thread has stopped responding, and logs each change.
    pub(crate) fn is_stalled(&mut self) -> bool {
        let age = self.pulse.age();
        let stalled = age >= MAIN_THREAD_TIMEOUT;
        if stalled && !self.stalled {
            base::event!(ERROR, Event::MainThreadStalled, ms = age.as_millis() as u64);
        } else if self.stalled && !stalled {
            base::event!(WARN, Event::MainThreadResumed);
        }
        self.stalled = stalled;
        stalled
    }
}
