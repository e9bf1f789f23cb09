//! The settings and their defaults.

use std::path::PathBuf;
use std::time::Duration;

use base::Name;
use serde::Deserialize;
use serde::Serialize;

/// All settings of a site; each program reads what it needs, so that one file serves all.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    /// The name of the site.
    pub site: Name,
    /// The entry hosts.
    pub entries: Vec<Entry>,
    /// The secrets.
    pub tokens: Tokens,
    /// The times of leases, elections and announcements.
    pub timing: Timing,
    /// The weight store's limits.
    pub store: Store,
    /// The limits of requests.
    pub limits: Limits,
    /// The journal of non-idempotent requests.
    pub journal: Journal,
    /// The weights of placement.
    pub placement: Placement,
    /// The certificate of the callers' and operators' face; plain HTTP without it.
    pub tls: Option<Tls>,
    /// The log.
    pub log: Log,
}

/// An entry host.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Entry {
    /// The name of the host.
    pub host: Name,
    /// The failure domain of the host.
    pub domain: Name,
    /// The gate's address for callers and endpoints, `IP:PORT`.
    pub gate: Name,
    /// The gate's address for calls of other gates.
    pub peer: Name,
    /// The gate's address for requests that other gates pass on.
    pub relay: Name,
    /// The gate's address for operators: metrics, health, explain.
    pub gate_admin: Name,
    /// The keeper's address for calls.
    pub keeper: Name,
    /// The keeper's address for operators: metrics, health.
    pub keeper_admin: Name,
    /// The keeper's data folder; without one its replica lasts as long as its process.
    pub data: Option<PathBuf>,
}

/// The secrets; a face without a token is open to all who reach it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tokens {
    /// What operators send as `Authorization: Bearer`.
    pub operator: Option<Name>,
    /// What endpoints send as `Authorization: Bearer`.
    pub endpoint: Option<Name>,
    /// What gates send each other.
    pub site: Option<Name>,
}

/// Times that must fit each other: heartbeat < election < lease, and lease with drift < 3 s.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// The time between heartbeats of the leading keeper, in milliseconds.
    pub heartbeat_ms: u64,
    /// The shortest time without heartbeats before an election, in milliseconds.
    pub election_ms: u64,
    /// How long a gate's lease lasts, in milliseconds.
    pub lease_ms: u64,
    /// The time between renewals of a gate's lease, in milliseconds.
    pub renew_ms: u64,
    /// The bound on the drift between two hosts' clocks, in parts of a thousand.
    pub drift_permille: u64,
    /// The time between announcements of an endpoint, in milliseconds.
    pub announce_ms: u64,
    /// The time after which a silent endpoint gets no new work, in milliseconds.
    pub silent_ms: u64,
    /// The time after which a silent endpoint is forgotten, in milliseconds.
    pub forget_ms: u64,
    /// How long callers may keep a list of addresses, in milliseconds.
    pub addresses_ms: u64,
    /// The time between a gate's summaries for the other gates, in milliseconds.
    pub summary_ms: u64,
    /// How long a call between processes may take, in milliseconds.
    pub call_ms: u64,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            heartbeat_ms: 100,
            election_ms: 400,
            lease_ms: 2_000,
            renew_ms: 400,
            drift_permille: 50,
            announce_ms: 500,
            silent_ms: 1_800,
            forget_ms: 600_000,
            addresses_ms: 5_000,
            summary_ms: 100,
            call_ms: 800,
        }
    }
}

impl Timing {
    /// Returns the time after which the leader may end a lease: its length plus the drift.
    pub fn lease_end(&self) -> Duration {
        Duration::from_millis(self.lease_ms + self.lease_ms * self.drift_permille / 1_000)
    }
}

/// The weight store's limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Store {
    /// The address of the weight store, `IP:PORT`; only stand-ins use it.
    pub address: Name,
    /// The loads a second that the store allows.
    pub loads_per_second: f64,
    /// The loads in flight that run at full speed.
    pub in_flight: u32,
}

impl Default for Store {
    fn default() -> Store {
        Store { address: Name::default(), loads_per_second: 5.0, in_flight: 8 }
    }
}

/// The limits of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The largest body of a request, in bytes.
    pub body_bytes: usize,
    /// The longest deadline that a caller may ask for, in milliseconds.
    pub deadline_ms: u64,
    /// The requests in progress at one gate.
    pub in_progress: usize,
    /// The retries allowed for each hundred requests.
    pub retry_percent: u32,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { body_bytes: 1 << 20, deadline_ms: 300_000, in_progress: 10_000, retry_percent: 10 }
    }
}

/// The journal of non-idempotent requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Journal {
    /// How long answers are kept, in milliseconds.
    pub retention_ms: u64,
    /// The largest answer that is kept, in bytes.
    pub answer_bytes: usize,
    /// The keys that are kept at once; more are refused.
    pub keys: usize,
}

impl Default for Journal {
    fn default() -> Journal {
        Journal { retention_ms: 86_400_000, answer_bytes: 64 << 10, keys: 1_000_000 }
    }
}

/// The weights of placement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Placement {
    /// The half-life of an adapter's popularity, in milliseconds.
    pub half_life_ms: u64,
    /// The slots of each engine kept for adapters that are asked for once.
    pub spare_slots: u32,
    /// The share of a batch, in percent, from which a second copy of an adapter is worth a load.
    pub full_percent: u32,
    /// The policy; all but `worth` are baselines for experiments.
    pub policy: Scheme,
    /// The parts of the policy `worth` that are turned off, for experiments.
    pub off: Vec<Part>,
}

impl Default for Placement {
    fn default() -> Placement {
        Placement {
            half_life_ms: 300_000,
            spare_slots: 1,
            full_percent: 90,
            policy: Scheme::Worth,
            off: Vec::new(),
        }
    }
}

/// A policy of routing and placement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scheme {
    /// Fills batches, loads what has the most waiting worth, evicts the least popular.
    #[default]
    Worth,
    /// Takes the engine with the least in flight, loads the oldest first, evicts the least recent.
    LeastLru,
    /// Draws the engine, loads the oldest first, evicts the least recent.
    RandomLru,
}

/// A part of the policy `worth` that can be turned off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Part {
    /// The fullest batch below the knee; without it the engine with the least in flight.
    Fill,
    /// Ties broken by the prefix cache.
    Affinity,
    /// Loads by waiting worth; without it the oldest first.
    Worth,
    /// Worth that grows with the wait.
    Aging,
    /// Eviction by decayed popularity; without it the least recently used.
    Popularity,
    /// Slots kept for adapters that are asked for once.
    SpareSlots,
    /// Second copies of adapters whose engines are full.
    Copies,
    /// Loads of hot adapters into empty slots.
    Reload,
    /// Loads of adapters that wake.
    Prefetch,
}

/// The certificate of the callers' and operators' face.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tls {
    /// The file with the certificates, PEM.
    pub certificate: PathBuf,
    /// The file with the key, PEM.
    pub key: PathBuf,
}

/// The log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// The form of the lines.
    pub format: base::Format,
    /// The filter, in the syntax of `RUST_LOG`.
    pub filter: Name,
}

impl Default for Log {
    fn default() -> Log {
        Log { format: base::Format::Json, filter: Name::from("info") }
    }
}

impl Config {
    /// Finds an entry host by its name.
    pub fn entry(&self, host: &str) -> Option<&Entry> {
        self.entries.iter().find(|entry| entry.host.as_str() == host)
    }
}
