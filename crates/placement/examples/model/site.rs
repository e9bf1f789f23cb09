//! The sizes of the sites.

use std::time::Duration;

/// A site of the model.
pub(crate) struct Site {
    pub(crate) name: &'static str,
    pub(crate) engines: usize,
    pub(crate) gates: usize,
    pub(crate) loads_per_second: f64,
    pub(crate) stall_weight: u8,
    /// The exponent of the popularity of adapters.
    pub(crate) skew: f64,
}

/// The adapters of a site.
pub(crate) const ADAPTERS: usize = 3_000;
/// The adapters that an engine holds.
pub(crate) const SLOTS: u32 = 6;
/// The requests of a full batch.
pub(crate) const BATCH: u32 = 8;
/// The loads in flight that run at full speed.
pub(crate) const FULL_SPEED_LOADS: usize = 8;
/// The time of a load at full speed.
pub(crate) const LOAD: Duration = Duration::from_millis(250);
/// The time in which a caller needs the answer to start.
pub(crate) const DEADLINE: Duration = Duration::from_secs(10);
/// The time until the first token.
const FIRST_TOKEN_MS: u64 = 200;
/// The time between tokens in a batch of none.
const TOKEN_MS: f64 = 15.0;
/// The time that each request in the batch adds between tokens.
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

    /// The weights of the adapters, the hottest first; their sum is 1.
    pub(crate) fn weights(&self) -> Vec<f64> {
        let weights = (1..=ADAPTERS).map(|rank| (rank as f64).powf(-self.skew));
        let weights: Vec<f64> = weights.collect();
        let sum: f64 = weights.iter().sum();
        weights.into_iter().map(|weight| weight / sum).collect()
    }

    /// The requests a second at which the store is busy if the hottest adapters stay loaded and
    /// each request for another one needs a load of its own.
    pub(crate) fn load_capacity(&self) -> f64 {
        let slots = self.engines * SLOTS as usize;
        let missed: f64 = self.weights()[slots..].iter().sum();
        self.loads_per_second / missed
    }

    /// The requests a second at which all batches are full.
    pub(crate) fn batch_capacity(&self) -> f64 {
        let service = service_ms(TOKENS, BATCH) as f64 / 1_000.0;
        self.engines as f64 * f64::from(BATCH) / service
    }
}

/// The time that a request takes in a batch.
pub(crate) fn service_ms(tokens: u64, in_flight: u32) -> u64 {
    let token = TOKEN_MS + TOKEN_BATCH_MS * f64::from(in_flight);
    FIRST_TOKEN_MS + (tokens as f64 * token) as u64
}
