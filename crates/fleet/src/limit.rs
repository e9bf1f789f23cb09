//! Limits on the request rates of endpoints, as nodes tell each other.

use std::time::Duration;

use base::Name;
use limit::Rate;
use serde::Deserialize;
use serde::Serialize;

/// The limit that an incarnation of an endpoint has named.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limit {
    /// The endpoint.
    pub endpoint: Name,
    /// The start time of the endpoint, as in [`crate::endpoint::Announcement::born`].
    pub born: u64,
    /// The rate; `None` if the endpoint has lifted the limit.
    pub rate: Option<Rate>,
}

/// The time for which a limit is kept while its endpoint is not known, which it may not be to a leader that has just
/// started.
const RETENTION: Duration = Duration::from_secs(60);

/// Whether the endpoint of a limit is known, and for how long it has not been.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Presence {
    absent_since: Option<Duration>,
}

impl Presence {
    /// Updates the presence of an endpoint that started at `born`; `known` is the start time of the known incarnation, if
    /// there is one. Returns whether the limit is to be kept.
    pub fn update(&mut self, born: u64, known: Option<u64>, now: Duration) -> bool {
        if known.is_some() {
            self.absent_since = None;
            return known == Some(born);
        }
        now < *self.absent_since.get_or_insert(now) + RETENTION
    }
}
