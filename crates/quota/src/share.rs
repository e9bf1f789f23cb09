//! A gate's share of a limit while no leader answers.

use std::time::Duration;

/// The time for which a turn can be used. Turns that are not used lapse, so that many idle gates do not use several at
/// the same time later.
const VALIDITY: Duration = Duration::from_secs(2);

/// A gate's share of a limit. Units accrue with time. If the share is less than a request, the gate has turns instead,
/// each for one request, at equal intervals.
#[derive(Clone, Debug)]
pub(crate) struct Share {
    /// The units for each window.
    units: f64,
    /// The units that remain when the share lapses.
    equal: f64,
    window: Duration,
    /// Invariant: at most `units`.
    level: f64,
    /// When `level` was updated.
    at: Duration,
    /// The next turn, if turns are used.
    turn: Option<Duration>,
}

impl Share {
    /// Creates a share of `units` for each window, of which `equal` remain when it lapses. It had `level` of them at a
    /// time.
    pub(crate) fn new(
        units: f64,
        equal: f64,
        window: Duration,
        (level, at): (f64, Duration),
    ) -> Share {
        Share { units, equal, window, level: level.min(units), at, turn: None }
    }

    /// Returns the units for each window.
    pub(crate) fn units(&self) -> f64 {
        self.units
    }

    /// Reduces the share, because the gate has had no leader for long.
    pub(crate) fn lapse(&mut self) {
        self.units = self.units.min(self.equal);
    }

    /// Uses units; returns the time until there are enough if there are not. `phase`, from 0 to 1, places the first
    /// turn within the first interval; it should be random.
    pub(crate) fn try_take(
        &mut self,
        units: u64,
        phase: f64,
        now: Duration,
    ) -> Result<(), Duration> {
        let needed = units as f64;
        let rate = self.units / self.window.as_secs_f64();
        let began = self.at;
        let accrued = now.saturating_sub(self.at).as_secs_f64() * rate;
        self.level = (self.level + accrued).min(self.units);
        self.at = self.at.max(now);
        if self.level >= needed {
            self.level -= needed;
            return Ok(());
        }
        if self.units >= needed {
            return Err(Duration::from_secs_f64((needed - self.level) / rate));
        }
        let interval = Duration::from_secs_f64(needed / rate);
        let mut turn = self.turn.unwrap_or(began + interval.mul_f64(phase.clamp(0.0, 1.0)));
        if now > turn + VALIDITY {
            let lapsed = (now - VALIDITY - turn).div_duration_f64(interval).ceil();
            turn += interval.mul_f64(lapsed);
        }
        if now < turn {
            self.turn = Some(turn);
            return Err(turn - now);
        }
        self.turn = Some(turn + interval);
        self.level = 0.0;
        Ok(())
    }

    /// Returns units of a request that did not run.
    pub(crate) fn give_back(&mut self, units: u64) {
        self.level = (self.level + units as f64).min(self.units);
    }
}
