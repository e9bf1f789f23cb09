//! The settings and their defaults.

use std::path::PathBuf;
use std::time::Duration;

use base::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::keys::Keys;
use crate::table::section;

/// The description of [`Config::site`] in the table of settings.
pub(crate) const SITE_DOC: &str = "The name of the site.";

/// All settings of a site. All programs of the site read the same file; each uses a part of it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Config {
    /// The name of the site.
    pub site: Name,
    /// The entry hosts.
    pub entries: Vec<Entry>,
    /// The access tokens.
    pub tokens: Tokens,
    /// The tenants. Without any, callers need no API key.
    pub tenants: Vec<Tenant>,
    /// Intervals and timeouts of leases, elections, announcements and calls.
    pub timing: Timing,
    /// The weight store and its load limits.
    pub store: Store,
    /// Limits of requests.
    pub limits: Limits,
    /// The journal of non-idempotent requests.
    pub journal: Journal,
    /// Routing and placement of adapters.
    pub placement: Placement,
    /// The certificate of the APIs for callers and operators. Must be `None`: the gate serves plain HTTP only
    /// and does not start otherwise.
    pub tls: Option<Tls>,
    /// Logging.
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
        /// The gate's address for RPC calls from other gates.
        peer: Name = Name::default(),
        /// The gate's address for requests relayed by other gates.
        relay: Name = Name::default(),
        /// The gate's address for operators: metrics, health, status and configuration.
        gate_admin: Name = Name::default(),
        /// The keeper's address for RPC calls from gates and other keepers.
        keeper: Name = Name::default(),
        /// The keeper's address for operators: metrics and health.
        keeper_admin: Name = Name::default(),
        /// The keeper's data directory. Without one the replica is kept in memory and lost on restart.
        data: Option<PathBuf> = None,
    }
}

section! {
    /// The access tokens. An API without a token is open to everyone who can reach it.
    Tokens {
        /// The token that operators send as `Authorization: Bearer`.
        operator: Option<Name> = None,
        /// The token that endpoints send as `Authorization: Bearer`.
        endpoint: Option<Name> = None,
        /// The token that gates send each other.
        site: Option<Name> = None,
    }
}

section! {
    /// A tenant. Once there is one, requests need the API key of a tenant.
    Tenant {
        /// The name, which replaces what callers send as `X-Caller`.
        name: Name = Name::default(),
        /// The keys, of which callers send one as `Authorization: Bearer`. Whoever can read the file knows them.
        keys: Keys = Keys::default(),
    }
}

section! {
    /// Intervals and timeouts. The heartbeat interval must be shorter than the election timeout, the
    /// election timeout shorter than the lease, and the lease with drift and one renewal shorter than 3 s.
    Timing {
        /// The heartbeat interval of the leading keeper, in milliseconds.
        heartbeat_ms: u64 = 100,
        /// The minimum election timeout of a keeper without heartbeats, in milliseconds.
        election_ms: u64 = 400,
        /// The duration of a gate's lease, in milliseconds.
        lease_ms: u64 = 2_000,
        /// The renewal interval of a gate's lease, in milliseconds.
        renew_ms: u64 = 400,
        /// The maximum clock drift between two hosts, in parts per thousand.
        drift_permille: u64 = 50,
        /// The announcement interval of an endpoint, in milliseconds.
        announce_ms: u64 = 500,
        /// The time without announcements after which an endpoint gets no new requests, in milliseconds.
        silent_ms: u64 = 1_800,
        /// The time without announcements after which an endpoint is removed, in milliseconds.
        forget_ms: u64 = 600_000,
        /// The time for which callers may cache the list of gate addresses, in milliseconds.
        addresses_ms: u64 = 5_000,
        /// The interval at which a gate sends its summary to the other gates, in milliseconds.
        summary_ms: u64 = 100,
        /// The timeout of an RPC call, in milliseconds.
        call_ms: u64 = 800,
    }
}

impl Timing {
    /// Returns the time since the last renewal after which the leader may expire a lease: the duration of
    /// the lease plus the maximum clock drift over it.
    pub fn lease_timeout(&self) -> Duration {
        let drift = self.lease_ms.saturating_mul(self.drift_permille) / 1_000;
        Duration::from_millis(self.lease_ms.saturating_add(drift))
    }
}

section! {
    /// The weight store and its load limits.
    Store {
        /// The address of the weight store, `IP:PORT`. Gates and keepers do not use it; tests start the stub
        /// store at it.
        address: Name = Name::default(),
        /// The rate limit of the store, in loads per second.
        loads_per_second: f64 = 5.0,
        /// The maximum number of concurrent loads; the store runs this many at full speed.
        in_flight: u32 = 8,
    }
}

section! {
    /// Limits of requests.
    Limits {
        /// The maximum size of a request body, in bytes.
        body_bytes: usize = 1 << 20,
        /// The maximum deadline of a request, in milliseconds.
        deadline_ms: u64 = 300_000,
        /// The maximum number of requests in progress at one gate.
        in_progress: usize = 10_000,
        /// The retry budget, in retries per hundred requests.
        retry_percent: u32 = 10,
    }
}

section! {
    /// The journal of non-idempotent requests.
    Journal {
        /// The retention time of responses, in milliseconds.
        retention_ms: u64 = 86_400_000,
        /// The maximum size of a stored response, in bytes.
        answer_bytes: usize = 64 << 10,
        /// The maximum number of stored keys; requests with further keys are refused.
        keys: usize = 1_000_000,
    }
}

section! {
    /// Routing and placement of adapters.
    Placement {
        /// The half-life of an adapter's popularity, in milliseconds.
        half_life_ms: u64 = 120_000,
        /// The number of slots of each engine that adapters may take from more popular ones, so that
        /// adapters requested only once do not displace all others. Reloads into empty slots leave as many
        /// slots free. 0 for no limit: eviction depends on popularity alone.
        spare_slots: u32 = 0,
        /// The batch fill, in percent, that every engine with the adapter must reach before a further copy
        /// may be loaded.
        full_percent: u32 = 90,
        /// The age of the oldest request that waits for a load, in milliseconds, above which requests for
        /// further adapters that are not loaded are refused at once; 0 leaves their deadlines as the
        /// only limit.
        stall_limit_ms: u64 = 4_000,
        /// The policy of routing and placement: `worth`, or one of the baselines for experiments:
        /// `least_lru` (engine with the fewest requests in flight, longest-waiting load first, eviction
        /// of the least recently used adapter) or `random_lru` (random engine, otherwise as `least_lru`).
        policy: Strategy = Strategy::Worth,
        /// The features of the policy `worth` that are turned off, for experiments: `fill`, `affinity`,
        /// `worth`, `aging`, `popularity`, `spare_slots`, `copies`, `reload`, `prefetch`,
        /// `stall_limit`.
        off: Vec<Feature> = Vec::new(),
    }
}

/// A policy of routing and placement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Strategy {
    /// Fills batches, loads the adapter whose waiting requests are worth most, evicts the least popular
    /// adapter.
    #[default]
    Worth,
    /// Selects the engine with the fewest requests in flight, loads the adapter that has waited longest,
    /// evicts the least recently used one.
    LeastLru,
    /// Selects a random engine, loads the adapter that has waited longest, evicts the least recently used
    /// one.
    RandomLru,
}

/// A feature of the policy `worth` that can be turned off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Feature {
    /// Routes to the fullest batch below the knee; if off, to the engine with the fewest requests in flight.
    Fill,
    /// Breaks ties by the prefix cache.
    Affinity,
    /// Loads the adapter whose waiting requests are worth most; if off, the one that has waited longest.
    Worth,
    /// Raises the worth of a request with its waiting time.
    Aging,
    /// Evicts by decayed popularity; if off, the least recently used adapter.
    Popularity,
    /// Limits the slots of each engine that adapters may take from more popular ones.
    SpareSlots,
    /// Loads further copies of adapters whose engines are full.
    Copies,
    /// Loads popular adapters into empty slots.
    Reload,
    /// Loads adapters that are requested again after an idle period before their next request.
    Prefetch,
    /// Refuses requests that need a further load while another request has waited too long for one.
    StallLimit,
}

section! {
    /// The certificate of the APIs for callers and operators. The gate does not support TLS yet.
    Tls {
        /// The PEM file with the certificate chain. The gate does not support TLS yet and does not start if
        /// `tls` is set.
        certificate: PathBuf = PathBuf::new(),
        /// The PEM file with the private key.
        key: PathBuf = PathBuf::new(),
    }
}

section! {
    /// Logging.
    Log {
        /// The format of log lines, `json` or `text`.
        format: base::Format = base::Format::Json,
        /// The log filter, in the syntax of `RUST_LOG`.
        filter: Name = Name::from("info"),
    }
}

impl Config {
    /// Returns the entry host with a name, or `None` if there is none.
    pub fn entry(&self, host: &str) -> Option<&Entry> {
        self.entries.iter().find(|entry| entry.host.as_str() == host)
    }
}
