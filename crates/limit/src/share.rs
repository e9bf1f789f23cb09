//! Shares of a rate, by which each of several nodes keeps to it without coordination.

use std::time::Duration;

use crate::rate::Rate;

/// The part of the rate that all nodes use together, since some of them may reach the node that keeps the whole rate.
const PART: f64 = 0.5;
/// The time for which a turn can be used.
const VALIDITY: Duration = Duration::from_secs(1);

/// A node's share of a rate: turns at equal intervals, each for one request. A turn that is not used lapses, so that
/// many idle nodes do not send at the same time later.
#[derive(Clone, Debug)]
pub struct Share {
    interval: Duration,
    next: Duration,
}

impl Share {
    /// Creates one of `nodes` equal shares. `phase`, from 0 to 1, places the first turn within the first interval; it
    /// should be random.
    pub fn new(rate: Rate, nodes: u32, phase: f64, now: Duration) -> Share {
        let interval = rate.interval().mul_f64(f64::from(nodes.max(1)) / PART);
        Share { interval, next: now + interval.mul_f64(phase.clamp(0.0, 1.0)) }
    }

    /// Uses a turn; returns the time until the next one if there is none now.
    pub fn try_take(&mut self, now: Duration) -> Result<(), Duration> {
        if now > self.next + VALIDITY {
            let lapsed = (now - VALIDITY - self.next).div_duration_f64(self.interval).ceil();
            self.next += self.interval.mul_f64(lapsed);
        }
        if now < self.next {
            return Err(self.next - now);
        }
        self.next += self.interval;
        Ok(())
    }
}
