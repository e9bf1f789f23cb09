//! The requests that wait for one adapter.

use std::time::Duration;

use wire::endpoint::Model;

/// The requests that wait for one adapter at this gate.
#[derive(Clone, Debug, PartialEq)]
pub struct Waiting {
    /// The adapter and version.
    pub model: Model,
    /// The number of requests.
    pub requests: u32,
    /// The sum of the requests' weights by priority, of each caller four at most; see
    /// [`Waiting::weight`].
    pub weight: u32,
    /// When the oldest of them arrived.
    pub oldest: Duration,
    /// The latest of their deadlines.
    pub deadline: Duration,
}

/// The weight of a request of the middle priority, 5.
pub(crate) const MIDDLE_WEIGHT: u32 = 6;

impl Waiting {
    /// Returns the weight of a request with a priority from 0 (low) to 9 (high).
    pub fn weight(priority: u8) -> u32 {
        u32::from(priority.min(9)) + 1
    }
}
