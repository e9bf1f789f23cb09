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
pub const RETENTION: Duration = Duration::from_secs(60);
