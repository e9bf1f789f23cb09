//! The faults that a stub injects on demand.

use parking_lot::Mutex;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

/// The faults to inject; the default injects none.
///
/// A percentage is the probability per request (or load), sampled from the stub's seeded generator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Responds with another version of the adapter.
    pub wrong_version_percent: u8,
    /// Responds with the id and the text of another request.
    pub crossed_percent: u8,
    /// Resets the connection before the end of the response; at a service, after the call has run.
    pub cut_percent: u8,
    /// Ends the response cleanly but without its last tokens and its end marker.
    pub short_percent: u8,
    /// Delays the first byte by `late_ms`.
    pub late_percent: u8,
    /// The delay of a late response, in milliseconds.
    pub late_ms: u64,
    /// Accepts the request and never responds; at a service, after the call has run.
    pub hang_percent: u8,
    /// Accepts connections but responds only on the control API.
    pub deaf: bool,
    /// The time per token as a percentage of the normal time: 300 is three times slower.
    pub slow_percent: u32,
    /// Fails loads after half of their time.
    pub load_fail_percent: u8,
    /// Refuses every request: the store with status 503, engines and services with `busy`.
    pub refuse: bool,
    /// The age of the announced state, in milliseconds.
    pub report_lag_ms: u64,
    /// Omits loaded adapters from the announced state.
    pub report_gap_percent: u8,
    /// Stops announcing.
    pub silent: bool,
    /// The number of percentage faults still to be injected; unlimited if missing.
    pub times: Option<u32>,
}

impl Default for Faults {
    fn default() -> Faults {
        Faults {
            wrong_version_percent: 0,
            crossed_percent: 0,
            cut_percent: 0,
            short_percent: 0,
            late_percent: 0,
            late_ms: 0,
            hang_percent: 0,
            deaf: false,
            slow_percent: 100,
            load_fail_percent: 0,
            refuse: false,
            report_lag_ms: 0,
            report_gap_percent: 0,
            silent: false,
            times: None,
        }
    }
}

impl Faults {
    /// Parses `NAME=VALUE` pairs, the names being the fields of [`Faults`].
    pub fn parse(pairs: impl IntoIterator<Item = String>) -> Result<Faults, String> {
        let mut fields = Map::new();
        for pair in pairs {
            let Some((name, value)) = pair.split_once('=') else {
                return Err(format!("fault '{pair}' is not NAME=VALUE"));
            };
            let value = serde_json::from_str(value).map_err(|_| {
                format!("fault '{name}' needs a number or a boolean, not '{value}'")
            })?;
            fields.insert(name.to_owned(), value);
        }
        serde_json::from_value(Value::Object(fields)).map_err(|error| format!("fault: {error}"))
    }
}

/// Decides which requests get a fault.
#[derive(Debug)]
pub struct Injector {
    inner: Mutex<(Faults, StdRng)>,
}

impl Injector {
    /// Creates an injector whose random choices are determined by `seed`.
    pub fn new(faults: Faults, seed: u64) -> Injector {
        Injector { inner: Mutex::new((faults, StdRng::seed_from_u64(seed))) }
    }

    /// Returns the current faults.
    pub fn faults(&self) -> Faults {
        self.inner.lock().0.clone()
    }

    /// Replaces the current faults.
    pub fn set(&self, faults: Faults) {
        self.inner.lock().0 = faults;
    }

    /// Returns whether to inject the fault whose percentage `pick` selects, and counts it in
    /// [`Faults::times`].
    pub fn should_inject(&self, pick: impl Fn(&Faults) -> u8) -> bool {
        let (faults, rng) = &mut *self.inner.lock();
        let percent = pick(faults);
        if percent == 0 || faults.times == Some(0) || rng.random_range(0..100) >= percent {
            return false;
        }
        if let Some(times) = &mut faults.times {
            *times -= 1;
        }
        true
    }

    /// Returns true with a probability of `percent`, without counting in [`Faults::times`].
    pub fn chance(&self, percent: u8) -> bool {
        percent > 0 && self.inner.lock().1.random_range(0..100) < percent
    }
}
