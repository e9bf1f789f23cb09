//! The part of the state that every gate keeps a copy of.

use base::Map;
use base::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::command::Incarnation;

/// Everything gates need: the configuration, the endpoints with their owners, the gates.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// Counts the deltas applied; it never goes back.
    pub revision: u64,
    /// The revision of the last change by an operator: what commands expect.
    ///
    /// Invariant: `configuration <= revision`.
    pub configuration: u64,
    /// The adapters by name.
    pub adapters: Map<Name, Adapter>,
    /// The defaults of the fleet.
    pub defaults: Defaults,
    /// The exceptions by adapter.
    ///
    /// Invariant: each names an adapter in `adapters` and has a reason.
    pub exceptions: Map<Name, Exception>,
    /// The plain services by kind.
    pub services: Map<Name, Service>,
    /// The hosts that drain.
    pub draining: base::Set<Name>,
    /// The endpoints by name.
    pub endpoints: Map<Name, Ownership>,
    /// The gates that hold a lease, by the name of their host.
    pub gates: Map<Name, Gate>,
    /// The fingerprints of quarantined requests, each with the time in milliseconds since 1970.
    pub quarantine: Map<u64, u64>,
    /// The fingerprints of requests that were in progress when an endpoint crashed; each runs alone
    /// until it ran to its end, another one explains the crash, or it is quarantined.
    ///
    /// Invariant: none of them is in `quarantine`.
    pub suspects: base::Set<u64>,
}

/// A numbered change of the view.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The revision of the view after this change.
    pub revision: u64,
    /// The revision of the configuration after this change.
    pub configuration: u64,
    /// The change.
    pub patch: Patch,
}

/// One object of the view set or removed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Patch {
    /// Sets or removes an adapter.
    Adapter(Name, Option<Adapter>),
    /// Sets the defaults.
    Defaults(Defaults),
    /// Sets or removes an exception.
    Exception(Name, Option<Exception>),
    /// Sets or removes a plain service.
    Service(Name, Option<Service>),
    /// Starts or ends the drain of a host.
    Draining(Name, bool),
    /// Sets or removes an endpoint.
    Endpoint(Name, Option<Ownership>),
    /// Sets or removes a gate.
    Gate(Name, Option<Gate>),
    /// Sets or removes a quarantined fingerprint.
    Quarantine(u64, Option<u64>),
    /// Sets or removes a suspect fingerprint.
    Suspect(u64, bool),
}

/// An adapter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Adapter {
    /// The base model.
    pub base: Name,
    /// The versions in the order of their creation.
    pub versions: Vec<Version>,
    /// The version used when a request names none.
    ///
    /// Invariant: one of `versions`, or none if there are none.
    pub default: Option<Name>,
}

/// A version of an adapter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Version {
    /// The name of the version.
    pub name: Name,
    /// Whether callers are warned that it will go away.
    pub deprecated: bool,
}

/// The defaults of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Defaults {
    /// The deadline of a request that states none, in milliseconds.
    pub deadline_ms: u64,
    /// The requests of one caller that may be in progress at one gate.
    pub caller_limit: u32,
    /// The requests that may wait for one adapter at its owner.
    pub queue_limit: u32,
    /// The weight of load stalls against batch efficiency, from 0 (batches) to 100 (stalls).
    pub stall_weight: u8,
}

impl Default for Defaults {
    fn default() -> Defaults {
        Defaults { deadline_ms: 30_000, caller_limit: 256, queue_limit: 64, stall_weight: 50 }
    }
}

/// One default of the fleet, as an operator sets it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Setting {
    /// Sets [`Defaults::deadline_ms`].
    DeadlineMs(u64),
    /// Sets [`Defaults::caller_limit`].
    CallerLimit(u32),
    /// Sets [`Defaults::queue_limit`].
    QueueLimit(u32),
    /// Sets [`Defaults::stall_weight`].
    StallWeight(u8),
}

/// An exception from the defaults.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Exception {
    /// What is excepted.
    pub rule: Rule,
    /// Why; never empty.
    pub reason: Name,
    /// The operator who set it.
    pub author: Name,
    /// When it was set, in milliseconds since 1970.
    pub created_ms: u64,
}

/// What an exception says of its adapter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// The adapter stays loaded at one endpoint at least.
    Pinned,
    /// The adapter is never loaded and its requests are refused.
    Never,
    /// The adapter has its own limit of waiting requests.
    QueueLimit(u32),
}

/// A plain service that radishbank routes to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The kind, the part of the path behind `/v1/services/`.
    pub kind: Name,
    /// The calls that may not be repeated: `METHOD /path-prefix`; `*` stands for any method.
    pub non_idempotent: Vec<Name>,
}

/// An endpoint: a model engine or a process of a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The name.
    pub name: Name,
    /// The address of its HTTP face, `IP:PORT`.
    pub address: Name,
    /// The host that it runs on.
    pub host: Name,
    /// The failure domain of the host.
    pub domain: Name,
    /// What it serves.
    pub role: Role,
    /// Whether it refuses orders with an old fencing number.
    pub fenced: bool,
    /// The number of its run; a restart has a higher one.
    pub generation: u64,
}

/// What an endpoint serves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Adapters of a base model.
    Engine {
        /// The base model.
        base: Name,
        /// The adapters it holds at once.
        slots: u32,
        /// The requests of a full batch.
        batch: u32,
    },
    /// A plain service.
    Service {
        /// The kind of the service.
        kind: Name,
        /// The requests it takes at once.
        batch: u32,
    },
}

/// An endpoint and the gate that owns it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ownership {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The gate that owns it; none while there is no gate.
    pub owner: Option<Name>,
    /// The fencing number of the owner.
    ///
    /// Invariant: grows with each change of owner and is never given twice in the fleet.
    pub fence: u64,
}

/// A gate that holds a lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Gate {
    /// The name of its host.
    pub name: Name,
    /// The number of its run.
    pub incarnation: Incarnation,
    /// The failure domain of its host.
    pub domain: Name,
    /// The address for callers and endpoints, `IP:PORT`.
    pub address: Name,
    /// The address for other gates' calls.
    pub peer: Name,
    /// The address for requests that other gates pass on.
    pub relay: Name,
}
