//! The part of the state that is replicated to every gate.

use base::Map;
use base::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::command::Incarnation;

/// The state that gates need: the configuration, the endpoints with their owners, and the gates.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// The number of applied deltas; never decreases.
    pub revision: u64,
    /// The revision of the last change by an operator, to which commands can be made conditional.
    ///
    /// Invariant: `configuration <= revision`.
    pub configuration: u64,
    /// The adapters by name.
    pub adapters: Map<Name, Adapter>,
    /// The fleet-wide defaults.
    pub defaults: Defaults,
    /// The exceptions by adapter.
    ///
    /// Invariant: each belongs to an adapter in `adapters` and has a reason.
    pub exceptions: Map<Name, Exception>,
    /// The plain services by kind.
    pub services: Map<Name, Service>,
    /// The draining hosts.
    pub draining: base::Set<Name>,
    /// The endpoints by name.
    pub endpoints: Map<Name, Ownership>,
    /// The gates that hold a lease, by host name.
    pub gates: Map<Name, Gate>,
    /// The fingerprints of quarantined requests with the time of the quarantine, in milliseconds since the
    /// Unix epoch.
    pub quarantine: Map<u64, u64>,
    /// The fingerprints of requests that were in progress when an endpoint crashed. Each runs alone until it
    /// completes, another request explains the crash, or it is quarantined.
    ///
    /// Invariant: none of them is in `quarantine`.
    pub suspects: base::Set<u64>,
}

/// A numbered change of the view.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// The view revision after the change.
    pub revision: u64,
    /// The configuration revision after the change.
    pub configuration: u64,
    /// The change.
    pub patch: Patch,
}

/// A change of one object of the view.
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

/// An adapter and its versions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Adapter {
    /// The base model.
    pub base: Name,
    /// The versions in order of creation.
    pub versions: Vec<Version>,
    /// The version used for requests that name none.
    ///
    /// Invariant: one of `versions`, or `None` if there are none.
    pub default: Option<Name>,
}

/// A version of an adapter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Version {
    /// The name of the version.
    pub name: Name,
    /// Whether answers warn callers that the version will be removed.
    pub deprecated: bool,
}

/// The fleet-wide defaults.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Defaults {
    /// The deadline of requests that specify none, in milliseconds.
    pub deadline_ms: u64,
    /// The maximum number of requests in progress per caller at one gate.
    pub caller_limit: u32,
    /// The maximum number of queued requests per adapter at one gate.
    pub queue_limit: u32,
    /// The weight of load stalls against batch efficiency, from 0 (batches) to 100 (stalls).
    pub stall_weight: u8,
}

impl Default for Defaults {
    fn default() -> Defaults {
        Defaults { deadline_ms: 30_000, caller_limit: 256, queue_limit: 64, stall_weight: 50 }
    }
}

/// A fleet-wide default with the value to set.
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

/// An exception of an adapter from the defaults.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Exception {
    /// The rule.
    pub rule: Rule,
    /// The reason; never empty.
    pub reason: Name,
    /// The operator who set it.
    pub author: Name,
    /// The time at which it was set, in milliseconds since the Unix epoch.
    pub created_ms: u64,
}

/// The rule that an exception sets for its adapter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// The adapter stays loaded on at least one endpoint.
    Pinned,
    /// The adapter is never loaded, and its requests are refused.
    Never,
    /// The adapter has its own limit of queued requests.
    QueueLimit(u32),
}

/// A service without adapters to which requests are routed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The kind: the path segment after `/v1/services/`.
    pub kind: Name,
    /// The calls that must not be repeated, as `METHOD /path-prefix`; the method `*` matches any.
    pub non_idempotent: Vec<Name>,
}

/// An endpoint: a model engine or an instance of a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The name of the endpoint.
    pub name: Name,
    /// The address of its HTTP server, `IP:PORT`.
    pub address: Name,
    /// The host on which it runs.
    pub host: Name,
    /// The failure domain of the host.
    pub domain: Name,
    /// The role of the endpoint.
    pub role: Role,
    /// Whether the endpoint refuses orders with an outdated fencing token.
    pub fenced: bool,
    /// The generation, which increases with each restart.
    pub generation: u64,
}

/// The role of an endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Serves adapters of a base model.
    Engine {
        /// The base model.
        base: Name,
        /// The maximum number of loaded adapters.
        slots: u32,
        /// The maximum batch size, in requests.
        batch: u32,
    },
    /// Serves a plain service.
    Service {
        /// The kind of the service.
        kind: Name,
        /// The maximum number of requests in progress.
        batch: u32,
    },
}

/// An endpoint and the gate that owns it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ownership {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The gate that owns the endpoint; `None` while it is unassigned.
    pub owner: Option<Name>,
    /// The fencing token of the owner.
    ///
    /// Invariant: increases with each change of owner and is unique among all endpoints.
    pub fence: u64,
}

/// A gate that holds a lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Gate {
    /// The name of the gate's host.
    pub name: Name,
    /// The incarnation of the gate.
    pub incarnation: Incarnation,
    /// The failure domain of the gate's host.
    pub domain: Name,
    /// The address for callers and endpoints, `IP:PORT`.
    pub address: Name,
    /// The address for RPC calls from other gates, `IP:PORT`.
    pub peer: Name,
    /// The address for requests relayed by other gates, `IP:PORT`.
    pub relay: Name,
}
