//! The queued demand for one adapter.

use std::time::Duration;

use wire::endpoint::Model;

/// The requests that wait for one adapter at this gate.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// The adapter and version.
    pub model: Model,
    /// The number of requests.
    pub requests: u32,
    /// The sum of the requests' [priority weights](Demand::priority_weight), counting at most four
    /// requests per caller.
    pub weight: u32,
    /// The arrival of the oldest request.
    pub oldest_arrival: Duration,
    /// The latest deadline of the requests.
    pub latest_deadline: Duration,
}

/// The weight of a request of the default priority, 5.
pub(crate) const DEFAULT_WEIGHT: u32 = 6;

impl Demand {
    /// Returns the weight of a request with a priority from 0 (low) to 9 (high).
    pub fn priority_weight(priority: u8) -> u32 {
        u32::from(priority.min(9)) + 1
    }
}
