//! The lease under which a gate serves.

use std::time::Duration;

use nix::time::ClockId;
use nix::time::clock_gettime;
use state::command::Incarnation;
use tokio::time::Instant;

/// A point in time on the runtime's clock and on the boot-time clock, which also advances while the
/// system is suspended.
#[derive(Clone, Copy, Debug)]
pub struct Timestamp {
    instant: Instant,
    boot: Duration,
}

impl Timestamp {
    /// Returns the current time.
    pub fn now() -> Timestamp {
        let boot = clock_gettime(ClockId::CLOCK_BOOTTIME);
        Timestamp { instant: Instant::now(), boot: boot.map(Duration::from).unwrap_or_default() }
    }

    /// Returns the timestamp that is `time` later.
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
    /// The incarnation of the gate that requests the lease.
    pub incarnation: Incarnation,
    /// The expiry of the lease by this host's clocks; `None` before the first grant.
    ///
    /// Invariant: at most the lease duration after the time taken before the renewal was sent.
    expiry: Option<Timestamp>,
}

impl Lease {
    /// Returns whether the lease holds now.
    pub fn holds(&self) -> bool {
        self.expiry.is_some_and(|expiry| Timestamp::now().before(expiry))
    }

    /// Extends the lease to `expiry`; never shortens it.
    pub fn extend(&mut self, expiry: Timestamp) {
        if self.expiry.is_none_or(|current| current.before(expiry)) {
            self.expiry = Some(expiry);
        }
    }

    /// Ends the lease.
    pub fn end(&mut self) {
        self.expiry = None;
    }
}
