//! The lease under which a gate serves.

use state::command::Incarnation;
use tokio::time::Instant;

/// The lease of this gate.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    /// The run of the gate under which the lease was asked for.
    pub incarnation: Incarnation,
    /// When the lease ends by this process's clock; none before the first grant.
    ///
    /// Invariant: never later than the time before the renewal was sent plus the lease's length.
    pub until: Option<Instant>,
}

impl Lease {
    /// Returns whether the lease holds at `now`.
    pub fn holds(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}
