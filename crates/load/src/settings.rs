//! The settings of a run, in JSON with comments.

use std::fs;
use std::path::Path;

use base::Name;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

/// Maximum number of requests of a run.
pub const MAX_REQUESTS: u64 = 10_000_000;

/// Maximum duration of a run.
pub const MAX_SECONDS: f64 = 86_400.0;

/// The settings of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Run {
    /// The gates to request `/v1/addresses` from, `IP:PORT`.
    pub gates: Vec<Name>,
    /// Whether requests go directly to `gates`, without requesting addresses.
    pub direct: bool,
    /// The seed of the workload.
    pub seed: u64,
    /// The mean request rate, in requests per second.
    pub rate: f64,
    /// The duration of arrivals including the warm-up, in seconds.
    pub seconds: f64,
    /// The time at the start that is not measured, in seconds.
    pub warmup_seconds: f64,
    /// The maximum number of requests.
    pub requests: u64,
    /// The maximum number of requests in progress; further arrivals are counted as unsent.
    pub in_progress: usize,
    /// The adapters to request.
    pub adapters: Adapters,
    /// The times at which the popularity ranks are shuffled, in seconds from the start.
    pub flips: Vec<f64>,
    /// The share of completions that are streamed.
    pub stream_percent: u8,
    /// The share of completions that are chat completions.
    pub chat_percent: u8,
    /// The value of `max_tokens`.
    pub tokens: u32,
    /// The length of a prompt, in bytes.
    pub prompt_bytes: usize,
    /// The number of prompt prefixes per adapter that requests share.
    pub prefixes: u32,
    /// The deadline of a request, in milliseconds.
    pub deadline_ms: u64,
    /// The number of callers that send requests.
    pub callers: u32,
    /// The service calls in the workload.
    pub service: Option<Service>,
    /// The retry budget, in percent of the requests.
    pub retry_percent: f64,
    /// The stub engines whose `/control/record` is read.
    pub engines: Vec<Name>,
    /// The stub weight store whose `/control/record` is read.
    pub store: Option<Name>,
    /// HTTP requests sent at given times, for example to set faults.
    pub actions: Vec<Action>,
}

impl Default for Run {
    fn default() -> Run {
        Run {
            gates: Vec::new(),
            direct: false,
            seed: 1,
            rate: 5.0,
            seconds: 10.0,
            warmup_seconds: 0.0,
            requests: 1_000_000,
            in_progress: 5_000,
            adapters: Adapters::default(),
            flips: Vec::new(),
            stream_percent: 50,
            chat_percent: 0,
            tokens: 16,
            prompt_bytes: 200,
            prefixes: 4,
            deadline_ms: 10_000,
            callers: 20,
            service: None,
            retry_percent: 10.0,
            engines: Vec::new(),
            store: None,
            actions: Vec::new(),
        }
    }
}

/// The adapters of a run, named by `prefix` and a number from 1 with `digits` digits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Adapters {
    /// The prefix of the names.
    pub prefix: Name,
    /// The number of digits, padded with zeros.
    pub digits: usize,
    /// The number of adapters.
    pub count: usize,
    /// The version to request; `None` for the default version.
    pub version: Option<Name>,
    /// The exponent of the Zipf distribution of their popularity; 0 makes it uniform.
    pub zipf: f64,
}

impl Default for Adapters {
    fn default() -> Adapters {
        Adapters { prefix: Name::from("adapter-"), digits: 5, count: 200, version: None, zipf: 1.1 }
    }
}

/// Non-idempotent calls to a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The kind of the service.
    pub kind: Name,
    /// The path after the kind, `/…`.
    pub path: Name,
    /// The share of requests that are calls to the service.
    pub percent: u8,
    /// The share of calls whose key is sent twice.
    #[serde(default)]
    pub repeat_percent: u8,
}

/// An HTTP request sent at a given time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Action {
    /// The time, in seconds from the start.
    pub at_seconds: f64,
    /// The method.
    pub method: Name,
    /// The target, `IP:PORT`.
    pub address: Name,
    /// The path.
    pub path: Name,
    /// The JSON body, if any.
    #[serde(default)]
    pub body: Option<Value>,
    /// The token to send as `Authorization: Bearer`, if any.
    #[serde(default)]
    pub token: Option<Name>,
}

impl Run {
    /// Validates the values; the error names the setting.
    pub fn check(&self) -> Result<(), String> {
        if self.gates.is_empty() {
            return Err("gates: at least one address is needed".to_owned());
        }
        if !(self.rate > 0.0 && self.rate.is_finite()) {
            return Err("rate: must be above 0".to_owned());
        }
        if !(self.seconds > 0.0 && self.seconds <= MAX_SECONDS) {
            return Err(format!("seconds: must be above 0 and at most {MAX_SECONDS}"));
        }
        if !(0.0..self.seconds).contains(&self.warmup_seconds) {
            return Err("warmup_seconds: must be less than seconds".to_owned());
        }
        if self.requests > MAX_REQUESTS {
            return Err(format!("requests: must be at most {MAX_REQUESTS}"));
        }
        if self.adapters.count == 0 || self.adapters.zipf < 0.0 {
            return Err("adapters: count must be above 0 and zipf at least 0".to_owned());
        }
        if self.tokens == 0 || self.deadline_ms == 0 || self.callers == 0 || self.prefixes == 0 {
            return Err("tokens, deadline_ms, callers and prefixes must be above 0".to_owned());
        }
        Ok(())
    }
}

/// Reads and validates the settings of a run; the error names the file and the position.
pub fn read(path: &Path) -> Result<Run, String> {
    let run: Run = parse(path)?;
    run.check().map_err(|error| format!("{}: {error}", path.display()))?;
    Ok(run)
}

/// Parses a file of JSON with comments; the error names the file and the position.
pub fn parse<T: serde::de::DeserializeOwned>(path: &Path) -> Result<T, String> {
    let text = fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let options = jsonc_parser::ParseOptions::default();
    jsonc_parser::parse_to_serde_value(&text, &options)
        .map_err(|error| format!("{}: {error}", path.display()))
}
