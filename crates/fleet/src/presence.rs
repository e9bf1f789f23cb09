//! How long a fact that an endpoint has told about itself is kept.

use std::time::Duration;

/// Whether the endpoint that told a fact is known, and for how long it has not been. It may not be known to a leader that
/// has just started.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Presence {
    absent_since: Option<Duration>,
}

impl Presence {
    /// Updates the presence of an endpoint that started at `born`; `known` is the start time of the known incarnation, if
    /// there is one. Returns whether the fact is to be kept; `retention` is the time for which it is while the endpoint
    /// is not known.
    pub fn update(
        &mut self,
        born: u64,
        known: Option<u64>,
        retention: Duration,
        now: Duration,
    ) -> bool {
        if known.is_some() {
            self.absent_since = None;
            return known == Some(born);
        }
        now < *self.absent_since.get_or_insert(now) + retention
    }
}
