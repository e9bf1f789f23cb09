//! The lease under which a gate serves.

use std::time::Duration;

use nix::time::ClockId;
use nix::time::clock_gettime;
use state::command::Incarnation;
use tokio::time::Instant;

/// A point of time on the runtime's clock and on the system's, which also counts suspension.
#[derive(Clone, Copy, Debug)]
pub struct Timestamp {
    instant: Instant,
    boot: Duration,
}

impl Timestamp {
    /// Returns the time now.
    pub fn now() -> Timestamp {
        let boot = clock_gettime(ClockId::CLOCK_BOOTTIME);
        Timestamp { instant: Instant::now(), boot: boot.map(Duration::from).unwrap_or_default() }
    }

    /// Returns the point of time that is `time` later.
    pub fn after(self, time: Duration) -> Timestamp {
        Timestamp { instant: self.instant + time, boot: self.boot + time }
    }

    /// Returns the time on the runtime's clock.
    pub fn instant(self) -> Instant {
        self.instant
    }

    /// Returns whether this comes before `other` on both clocks.
    fn before(self, other: Timestamp) -> bool {
        self.instant < other.instant && self.boot < other.boot
    }
}

/// The lease of this gate.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    /// The run of the gate under which the lease was asked for.
    pub incarnation: Incarnation,
    /// When the lease ends by this host's clocks; none before the first grant.
    ///
    /// Invariant: never later than the time before the renewal was sent plus the lease's length.
    until: Option<Timestamp>,
}

impl Lease {
    /// Returns whether the lease holds now.
    pub fn holds(&self) -> bool {
        self.until.is_some_and(|until| Timestamp::now().before(until))
    }

    /// Makes the lease last until `until`, unless it lasts longer already.
    pub fn extend(&mut self, until: Timestamp) {
        if self.until.is_none_or(|known| known.before(until)) {
            self.until = Some(until);
        }
    }

    /// Ends the lease.
    pub fn end(&mut self) {
        self.until = None;
    }
}
