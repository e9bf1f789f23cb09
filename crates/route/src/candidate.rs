//! Endpoints that could answer a request.

use base::Name;

/// An endpoint with the required base model or service, in the state known to the gate.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The endpoint.
    pub endpoint: &'a Name,
    /// The gate that owns it.
    pub gate: &'a Name,
    /// Whether this gate owns it.
    pub owned: bool,
    /// Whether it accepts new requests and its owner holds a lease.
    pub ready: bool,
    /// The residency of the adapter; always [`Residency::Loaded`] for a service that is not a model
    /// engine.
    pub residency: Residency,
    /// The number of requests that were sent to it and not yet answered.
    pub in_flight: u32,
    /// The number of requests that wait for it at its owner, for any reason.
    pub waiting: u32,
    /// The number of requests in a full batch; not 0 if the endpoint is ready.
    pub batch: u32,
    /// The number of free adapter slots.
    pub free_slots: u32,
    /// Whether its prefix cache contains the prompt's prefix.
    pub prefix_hit: bool,
}

/// The residency of an adapter at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Residency {
    /// The adapter is loaded.
    Loaded,
    /// The adapter is being loaded.
    Loading,
    /// The adapter is neither loaded nor being loaded.
    Absent,
}
