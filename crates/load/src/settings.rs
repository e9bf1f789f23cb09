//! The settings of a run, in JSON with comments.

use std::fs;
use std::path::Path;

use base::Name;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

/// The most requests that a run may send.
pub const MAX_REQUESTS: u64 = 10_000_000;

/// The longest run, in seconds.
pub const MAX_SECONDS: f64 = 86_400.0;

/// The settings of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Run {
    /// The addresses that are asked for `/v1/addresses`, `IP:PORT`.
    pub gates: Vec<Name>,
    /// Whether requests go straight to `gates`, in turn, without asking for addresses.
    pub direct: bool,
    /// The seed of arrivals and choices.
    pub seed: u64,
    /// The requests a second, on average.
    pub rate: f64,
    /// How long arrivals go on, in seconds, the warm-up included.
    pub seconds: f64,
    /// The time at the beginning that is not counted, in seconds.
    pub warmup_seconds: f64,
    /// The requests after which arrivals end.
    pub requests: u64,
    /// The requests that may be in progress; arrivals beyond are counted as unsent.
    pub in_progress: usize,
    /// The adapters asked for.
    pub adapters: Adapters,
    /// The times in seconds at which popularity is dealt out anew.
    pub flips: Vec<f64>,
    /// The completions that are streamed.
    pub stream_percent: u8,
    /// The completions in the shape of a chat.
    pub chat_percent: u8,
    /// The tokens asked for.
    pub tokens: u32,
    /// The length of a prompt, in bytes.
    pub prompt_bytes: usize,
    /// The beginnings of prompts that requests for one adapter share.
    pub prefixes: u32,
    /// The deadline of a request, in milliseconds.
    pub deadline_ms: u64,
    /// The callers that requests are spread over.
    pub callers: u32,
    /// The calls of a plain service in the mix.
    pub service: Option<Service>,
    /// The retries allowed for each hundred requests.
    pub retry_percent: f64,
    /// The engines whose `/control/record` is read.
    pub engines: Vec<Name>,
    /// The weight store whose `/control/record` is read.
    pub store: Option<Name>,
    /// HTTP requests sent at set times, such as faults.
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

/// The adapters of a run: `PREFIX` and a number from 1 of `digits` digits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Adapters {
    /// What their names begin with.
    pub prefix: Name,
    /// The digits of the number, zeros first.
    pub digits: usize,
    /// How many they are.
    pub count: usize,
    /// The version asked for; none leaves it to the default.
    pub version: Option<Name>,
    /// The exponent of the Zipf law of their popularity; 0 makes all equal.
    pub zipf: f64,
}

impl Default for Adapters {
    fn default() -> Adapters {
        Adapters { prefix: Name::from("adapter-"), digits: 5, count: 200, version: None, zipf: 1.1 }
    }
}

/// Non-idempotent calls of a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The kind of the service.
    pub kind: Name,
    /// The path behind the kind, `/…`.
    pub path: Name,
    /// The share of all requests that are such calls.
    pub percent: u8,
    /// The share of the keys that are sent twice.
    #[serde(default)]
    pub repeat_percent: u8,
}

/// An HTTP request sent at a set time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Action {
    /// When, in seconds from the start.
    pub at_seconds: f64,
    /// The method.
    pub method: Name,
    /// The target, `IP:PORT`.
    pub address: Name,
    /// The path.
    pub path: Name,
    /// The body, where it has one.
    #[serde(default)]
    pub body: Option<Value>,
    /// What is sent as `Authorization: Bearer`, where the target wants it.
    #[serde(default)]
    pub token: Option<Name>,
}

impl Run {
    /// Checks the values; the error names the setting.
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

/// Reads the settings of a run and checks them; the error names the file and the place.
pub fn read(path: &Path) -> Result<Run, String> {
    let run: Run = parse(path)?;
    run.check().map_err(|error| format!("{}: {error}", path.display()))?;
    Ok(run)
}

/// Reads a file of JSON with comments.
pub fn parse<T: serde::de::DeserializeOwned>(path: &Path) -> Result<T, String> {
    let text = fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let options = jsonc_parser::ParseOptions::default();
    jsonc_parser::parse_to_serde_value(&text, &options)
        .map_err(|error| format!("{}: {error}", path.display()))
}
