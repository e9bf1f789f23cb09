//! The settings and their defaults.

use std::path::PathBuf;
use std::time::Duration;

use base::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::table::section;

/// The meaning of [`Config::site`] in the table of settings.
pub(crate) const SITE: &str = "The name of the site.";

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

section! {
    /// An entry host.
    Entry {
        /// The name of the host.
        host: Name = Name::default(),
        /// The failure domain of the host.
        domain: Name = Name::default(),
        /// The gate's address for callers and endpoints, `IP:PORT`.
        gate: Name = Name::default(),
        /// The gate's address for calls of other gates.
        peer: Name = Name::default(),
        /// The gate's address for requests that other gates pass on.
        relay: Name = Name::default(),
        /// The gate's address for operators: metrics, health, explain.
        gate_admin: Name = Name::default(),
        /// The keeper's address for calls.
        keeper: Name = Name::default(),
        /// The keeper's address for operators: metrics, health.
        keeper_admin: Name = Name::default(),
        /// The keeper's data folder; without one its replica lasts as long as its process.
        data: Option<PathBuf> = None,
    }
}

section! {
    /// The secrets; a face without a token is open to all who reach it.
    Tokens {
        /// What operators send as `Authorization: Bearer`.
        operator: Option<Name> = None,
        /// What endpoints send as `Authorization: Bearer`.
        endpoint: Option<Name> = None,
        /// What gates send each other.
        site: Option<Name> = None,
    }
}

section! {
    /// Times that must fit each other: heartbeat < election < lease, and lease with drift < 3 s.
    Timing {
        /// The time between heartbeats of the leading keeper, in milliseconds.
        heartbeat_ms: u64 = 100,
        /// The shortest time without heartbeats before an election, in milliseconds.
        election_ms: u64 = 400,
        /// How long a gate's lease lasts, in milliseconds.
        lease_ms: u64 = 2_000,
        /// The time between renewals of a gate's lease, in milliseconds.
        renew_ms: u64 = 400,
        /// The bound on the drift between two hosts' clocks, in parts of a thousand.
        drift_permille: u64 = 50,
        /// The time between announcements of an endpoint, in milliseconds.
        announce_ms: u64 = 500,
        /// The time after which a silent endpoint gets no new work, in milliseconds.
        silent_ms: u64 = 1_800,
        /// The time after which a silent endpoint is forgotten, in milliseconds.
        forget_ms: u64 = 600_000,
        /// How long callers may keep a list of addresses, in milliseconds.
        addresses_ms: u64 = 5_000,
        /// The time between a gate's summaries for the other gates, in milliseconds.
        summary_ms: u64 = 100,
        /// How long a call between processes may take, in milliseconds.
        call_ms: u64 = 800,
    }
}

impl Timing {
    /// Returns the time after which the leader may end a lease: its length plus the drift.
    pub fn lease_timeout(&self) -> Duration {
        let drift = self.lease_ms.saturating_mul(self.drift_permille) / 1_000;
        Duration::from_millis(self.lease_ms.saturating_add(drift))
    }
}

section! {
    /// The weight store's limits.
    Store {
        /// The address of the weight store, `IP:PORT`; only stand-ins use it.
        address: Name = Name::default(),
        /// The loads a second that the store allows.
        loads_per_second: f64 = 5.0,
        /// The loads in flight that run at full speed.
        in_flight: u32 = 8,
    }
}

section! {
    /// The limits of requests.
    Limits {
        /// The largest body of a request, in bytes.
        body_bytes: usize = 1 << 20,
        /// The longest deadline that a caller may ask for, in milliseconds.
        deadline_ms: u64 = 300_000,
        /// The requests in progress at one gate.
        in_progress: usize = 10_000,
        /// The retries allowed for each hundred requests.
        retry_percent: u32 = 10,
    }
}

section! {
    /// The journal of non-idempotent requests.
    Journal {
        /// How long answers are kept, in milliseconds.
        retention_ms: u64 = 86_400_000,
        /// The largest answer that is kept, in bytes.
        answer_bytes: usize = 64 << 10,
        /// The keys that are kept at once; more are refused.
        keys: usize = 1_000_000,
    }
}

section! {
    /// The weights of placement.
    Placement {
        /// The half-life of an adapter's popularity, in milliseconds.
        half_life_ms: u64 = 120_000,
        /// The slots of each engine to which adapters asked for once are confined while others are
        /// more popular; 0 leaves the choice to the popularity of what is evicted.
        spare_slots: u32 = 0,
        /// The share of a batch, in percent, from which a second copy of an adapter is worth a load.
        full_percent: u32 = 90,
        /// The wait for loads, in milliseconds, from which requests for further adapters that are not
        /// loaded are refused at once; 0 for no limit but their deadlines.
        stall_limit_ms: u64 = 4_000,
        /// The policy of routing and placement: `worth`, or for experiments the baselines `least_lru`
        /// (least in flight, oldest load first, least recently used evicted) and `random_lru`
        /// (random engine, the rest as before).
        policy: Strategy = Strategy::Worth,
        /// The parts of the policy `worth` that are turned off, for experiments: `fill`, `affinity`,
        /// `worth`, `aging`, `popularity`, `spare_slots`, `copies`, `reload`, `prefetch`,
        /// `stall_limit`.
        off: Vec<Feature> = Vec::new(),
    }
}

/// A policy of routing and placement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Strategy {
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
pub enum Feature {
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
    /// Refusals at once while loads take too long.
    StallLimit,
}

section! {
    /// The certificate of the callers' and operators' face.
    Tls {
        /// The file with the certificates, PEM.
        certificate: PathBuf = PathBuf::new(),
        /// The file with the key, PEM.
        key: PathBuf = PathBuf::new(),
    }
}

section! {
    /// The log.
    Log {
        /// The form of the lines.
        format: base::Format = base::Format::Json,
        /// The filter, in the syntax of `RUST_LOG`.
        filter: Name = Name::from("info"),
    }
}

impl Config {
    /// Finds an entry host by its name.
    pub fn entry(&self, host: &str) -> Option<&Entry> {
        self.entries.iter().find(|entry| entry.host.as_str() == host)
    }
}
