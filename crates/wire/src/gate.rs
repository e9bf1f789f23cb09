//! RPC calls between gates.

use base::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::endpoint;

/// The RPC service that a gate provides to other gates.
#[tarpc::service]
pub trait Gate {
    /// Receives another gate's summary of its endpoints.
    async fn summary(summary: Summary);
    /// Receives an endpoint's announcement, forwarded by another gate to the endpoint's owner.
    async fn announce(announcement: endpoint::Announcement);
    /// Reports the fingerprint of a request that was in progress when its endpoint crashed.
    async fn suspect(fingerprint: u64);
    /// Returns the log lines of this gate's decisions on a request, in order.
    async fn explain(request: Name) -> Vec<String>;
}

/// The state of the endpoints that a gate owns, published to the other gates.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The gate.
    pub gate: Name,
    /// The incarnation of the gate, which changes with each restart.
    pub incarnation: u64,
    /// The sequence number within the incarnation; receivers drop summaries that are out of date.
    pub sequence: u64,
    /// Whether the gate is draining: it finishes requests in progress and accepts no new ones.
    pub draining: bool,
    /// The endpoints.
    pub endpoints: Vec<Endpoint>,
}

/// The state of an endpoint as known to its owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The name of the endpoint.
    pub name: Name,
    /// Whether the endpoint accepts new requests.
    pub ready: bool,
    /// The adapters that are loaded or loading.
    pub loaded: Vec<endpoint::Model>,
    /// The number of requests sent to the endpoint and not yet answered.
    pub in_flight: u32,
    /// The number of requests queued for the endpoint at its owner.
    pub waiting: u32,
}
