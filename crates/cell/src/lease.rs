//! The lease of the keeper that orders the engines.
//!
//! Each leader orders the engines under its term as fencing token, so an engine that checks the
//! token refuses a former leader. In addition, no process orders again within a lease of its last
//! order if another keeper may have ordered in between. A process that was restarted knows the term of
//! the orders before its start, and takes its start for the time of the last one.

use std::time::Duration;

/// When this keeper may order the engines.
#[derive(Debug)]
pub struct Lease {
    duration: Duration,
    /// Whether engines refuse orders with an outdated fencing token. Otherwise a new leader also
    /// waits until the orders of its predecessor must have ended.
    fenced: bool,
    /// The last term in which this keeper led.
    last_term: Option<u64>,
    /// Whether another keeper may have led between this process's last two terms.
    superseded: bool,
    /// When this keeper last sent an order or got the answer to one; its start if that was before it.
    last_order_at: Duration,
    /// Invariant: never decreases.
    not_before: Duration,
}

impl Lease {
    /// Creates the lease of a keeper that has not led since its start. `last_term` is the term in which the process before
    /// it may have ordered within a lease of its end.
    pub fn new(duration: Duration, fenced: bool, last_term: Option<u64>) -> Lease {
        Lease {
            duration,
            fenced,
            last_term,
            superseded: false,
            last_order_at: Duration::ZERO,
            not_before: Duration::ZERO,
        }
    }

    /// Starts a term of this keeper at `now`. Returns when it may order the engines.
    pub fn start(&mut self, term: u64, now: Duration) -> Duration {
        self.superseded = self.last_term.is_some_and(|last| last + 1 < term);
        self.last_term = Some(term);
        let not_before = match (self.fenced, self.superseded) {
            (false, _) => now + self.duration,
            (true, true) => self.last_order_at + self.duration,
            (true, false) => now,
        };
        self.not_before = self.not_before.max(not_before);
        self.not_before
    }

    /// Returns whether no order of this keeper is within its lease at `now`.
    pub fn has_ended(&self, now: Duration) -> bool {
        now >= self.last_order_at + self.duration
    }

    /// Records that an order of `term` is sent or answered at `now`. Returns when this keeper may
    /// order the engines in its present term, which the late answer to an order of an earlier term
    /// postpones.
    pub fn record_order(&mut self, term: u64, now: Duration) -> Duration {
        self.last_order_at = now;
        if self.superseded && self.last_term != Some(term) {
            self.not_before = self.not_before.max(now + self.duration);
        }
        self.not_before
    }
}
