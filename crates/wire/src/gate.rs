//! Calls between gates.

use base::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::endpoint;

/// The calls that a gate answers for other gates.
#[tarpc::service]
pub trait Gate {
    /// Takes another gate's summary of its endpoints.
    async fn summary(summary: Summary);
    /// Takes an announcement of an endpoint that this gate owns, received by another gate.
    async fn announce(announcement: endpoint::Announcement);
    /// Notes that a request, by its fingerprint, was in progress when its endpoint crashed.
    async fn suspect(fingerprint: u64);
    /// Explains a request that this gate decided on: its log lines in order.
    async fn explain(request: Name) -> Vec<String>;
}

/// What a gate tells the others of the endpoints that it owns.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The gate.
    pub gate: Name,
    /// The run of the gate.
    pub incarnation: u64,
    /// Grows with each summary of a run; an older one is dropped.
    pub sequence: u64,
    /// Whether the gate finishes what is in progress and takes no new requests.
    pub draining: bool,
    /// The endpoints.
    pub endpoints: Vec<Endpoint>,
}

/// An endpoint as its owner sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The endpoint.
    pub name: Name,
    /// Whether it takes new work.
    pub ready: bool,
    /// The adapters loaded, and those being loaded.
    pub loaded: Vec<endpoint::Model>,
    /// The requests sent to it and not yet answered.
    pub in_flight: u32,
    /// The requests that wait for it at the owner.
    pub waiting: u32,
}
