//! The retention of what is known about an incarnation of an endpoint.

use std::time::Duration;

/// Whether an endpoint is known, and since when it has not been. A leader that has just started may not know it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Presence {
    absent_since: Option<Duration>,
}

impl Presence {
    /// Updates the presence of an endpoint that started at `born`; `known` is the start time of the known incarnation, if
    /// there is one. Returns whether the entry for the incarnation is to be kept; `retention` is the time for which it is
    /// kept while the endpoint is not known.
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
