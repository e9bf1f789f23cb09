//! The rate that an endpoint names.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// The lowest rate, in requests per second. An endpoint that names less still gets a request now and then, since only
/// its responses tell that the limit has ended.
const MIN: f64 = 0.1;
/// The highest rate, in requests per second.
const MAX: f64 = 1e6;

/// A rate in requests per second, from 0.1 to a million.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Rate(f64);

impl Rate {
    /// Creates the nearest valid rate; `None` if the number is negative or not a number.
    pub fn new(per_second: f64) -> Option<Rate> {
        (per_second >= 0.0).then(|| Rate(per_second.clamp(MIN, MAX)))
    }

    /// Returns the requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// Returns the mean time between two requests.
    pub fn interval(self) -> Duration {
        Duration::from_secs_f64(1.0 / self.0)
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The notice on its endpoint's limit that a response carries.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Notice {
    /// No limit is named.
    #[default]
    Absent,
    /// A limit is named that is not a rate; it changes nothing.
    Invalid,
    /// The endpoint takes no more than this from all nodes together.
    Named(Rate),
}

impl Notice {
    /// Parses the values of a response's headers, decimal numbers of requests per second. Of several rates the lowest
    /// holds.
    pub fn parse<'a>(values: impl Iterator<Item = &'a str>) -> Notice {
        let mut notice = Notice::Absent;
        for value in values.flat_map(|value| value.split(',')) {
            let rate = value.trim().parse().ok().and_then(Rate::new);
            notice = match (notice, rate) {
                (Notice::Named(known), Some(rate)) if known <= rate => notice,
                (_, Some(rate)) => Notice::Named(rate),
                (Notice::Named(_), None) => notice,
                (_, None) => Notice::Invalid,
            };
        }
        notice
    }
}
