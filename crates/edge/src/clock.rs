//! A clock that also counts the time in which the host was suspended.

use std::time::Duration;
use std::time::Instant;

/// The time by which the steady clock lags behind the time since the host's boot, which includes its suspensions.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lag {
    started: Instant,
    booted: Option<Duration>,
}

impl Lag {
    pub(crate) fn new() -> Lag {
        Lag { started: Instant::now(), booted: since_boot() }
    }

    /// Returns the time since the creation that the steady clock has not counted; zero where the host does not tell.
    pub(crate) fn elapsed(&self) -> Duration {
        let Some((booted, now)) = self.booted.zip(since_boot()) else { return Duration::ZERO };
        now.saturating_sub(booted).saturating_sub(self.started.elapsed())
    }
}

#[cfg(target_os = "linux")]
fn since_boot() -> Option<Duration> {
    nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME).ok().map(Duration::from)
}

#[cfg(not(target_os = "linux"))]
fn since_boot() -> Option<Duration> {
    None
}
