//! The faults that a stand-in injects on demand.

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
/// Percentages are of the requests (or loads) and are drawn from the stand-in's seed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Answers with another version of the adapter.
    pub wrong_version_percent: u8,
    /// Answers with what belongs to another request.
    pub crossed_percent: u8,
    /// Resets the connection before the end of the answer; at a service, after the call has run.
    pub cut_percent: u8,
    /// Ends the answer cleanly but before its end mark.
    pub short_percent: u8,
    /// Delays the first byte by `late_ms`.
    pub late_percent: u8,
    /// The delay of a late answer, in milliseconds.
    pub late_ms: u64,
    /// Takes the request and never answers; at a service, after the call has run.
    pub hang_percent: u8,
    /// Takes connections and never answers anything but control.
    pub deaf: bool,
    /// How slow tokens are: 100 is normal, 300 three times slower.
    pub slow_percent: u32,
    /// Fails loads half way.
    pub load_fail_percent: u8,
    /// Refuses everything: at the store with 503, elsewhere with `busy`.
    pub refuse: bool,
    /// Reports a state that is so old, in milliseconds.
    pub report_lag_ms: u64,
    /// Leaves out so many of the loaded adapters in a report.
    pub report_gap_percent: u8,
    /// Stops announcing.
    pub silent: bool,
    /// How many more percentage faults strike; no end if missing.
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
            let value = serde_json::from_str(value)
                .map_err(|_| format!("fault '{name}' has no number or truth value: '{value}'"))?;
            fields.insert(name.to_owned(), value);
        }
        serde_json::from_value(Value::Object(fields)).map_err(|error| format!("fault: {error}"))
    }
}

/// Decides which requests a fault strikes.
#[derive(Debug)]
pub struct Injector {
    inner: Mutex<(Faults, StdRng)>,
}

impl Injector {
    /// Makes an injector whose draws follow from `seed`.
    pub fn new(faults: Faults, seed: u64) -> Injector {
        Injector { inner: Mutex::new((faults, StdRng::seed_from_u64(seed))) }
    }

    /// Returns the faults in force.
    pub fn faults(&self) -> Faults {
        self.inner.lock().0.clone()
    }

    /// Replaces the faults in force.
    pub fn set(&self, faults: Faults) {
        self.inner.lock().0 = faults;
    }

    /// Draws whether the fault with the percentage that `pick` returns strikes now.
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

    /// Draws with a percentage, not counted by [`Faults::times`].
    pub fn chance(&self, percent: u8) -> bool {
        percent > 0 && self.inner.lock().1.random_range(0..100) < percent
    }
}
