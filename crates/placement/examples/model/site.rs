//! The simulated sites.

use std::time::Duration;

/// A simulated site.
pub(crate) struct Site {
    pub(crate) name: &'static str,
    pub(crate) engines: usize,
    pub(crate) gates: usize,
    /// The rate of load permits.
    pub(crate) loads_per_second: f64,
    pub(crate) stall_weight: u8,
    /// The Zipf exponent of the adapters' popularity.
    pub(crate) skew: f64,
}

/// The number of adapters of a site.
pub(crate) const ADAPTERS: usize = 3_000;
/// The maximum number of adapters on an engine.
pub(crate) const SLOTS: u32 = 6;
/// The maximum batch size, in requests.
pub(crate) const BATCH: u32 = 8;
/// The number of concurrent loads up to which each runs at full speed.
pub(crate) const FULL_SPEED_LOADS: usize = 8;
/// The duration of a load at full speed.
pub(crate) const LOAD_TIME: Duration = Duration::from_millis(250);
/// The deadline for the start of an answer, from the arrival of the request.
pub(crate) const DEADLINE: Duration = Duration::from_secs(10);
/// The time to the first token.
const FIRST_TOKEN_MS: u64 = 200;
/// The time per token in an empty batch.
const TOKEN_MS: f64 = 15.0;
/// The time per token added by each request in the batch.
const TOKEN_BATCH_MS: f64 = 1.5;
/// The mean number of tokens of an answer.
pub(crate) const TOKENS: u64 = 100;

impl Site {
    pub(crate) fn hsinchu() -> Site {
        Site {
            name: "hsinchu",
            engines: 18,
            gates: 5,
            loads_per_second: 5.0,
            stall_weight: 80,
            skew: 1.1,
        }
    }

    pub(crate) fn selat() -> Site {
        Site {
            name: "selat",
            engines: 9,
            gates: 5,
            loads_per_second: 2.5,
            stall_weight: 20,
            skew: 1.1,
        }
    }

    /// Returns the request shares of the adapters in descending order; their sum is 1.
    pub(crate) fn weights(&self) -> Vec<f64> {
        let weights = (1..=ADAPTERS).map(|rank| (rank as f64).powf(-self.skew));
        let weights: Vec<f64> = weights.collect();
        let sum: f64 = weights.iter().sum();
        weights.into_iter().map(|weight| weight / sum).collect()
    }

    /// Returns the request rate per second that saturates the weight store, if the most popular adapters
    /// stay loaded and each request for another adapter needs its own load.
    pub(crate) fn load_capacity(&self) -> f64 {
        let slots = self.engines * SLOTS as usize;
        let missed: f64 = self.weights()[slots..].iter().sum();
        self.loads_per_second / missed
    }

    /// Returns the request rate per second that fills all batches.
    pub(crate) fn batch_capacity(&self) -> f64 {
        let service = service_ms(TOKENS, BATCH) as f64 / 1_000.0;
        self.engines as f64 * f64::from(BATCH) / service
    }
}

/// Returns the service time of a request in a batch.
pub(crate) fn service_ms(tokens: u64, in_flight: u32) -> u64 {
    let token = TOKEN_MS + TOKEN_BATCH_MS * f64::from(in_flight);
    FIRST_TOKEN_MS + (tokens as f64 * token) as u64
}
