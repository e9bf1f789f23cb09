//! An endpoint that could answer a request.

use base::Name;

/// An endpoint of the right base model or kind, as the gate sees it now.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The endpoint.
    pub endpoint: &'a Name,
    /// The gate that owns it.
    pub gate: &'a Name,
    /// Whether this gate owns it.
    pub owned: bool,
    /// Whether it takes new work and its owner holds a lease.
    pub ready: bool,
    /// Whether it holds the adapter; a plain service always does.
    pub residency: Residency,
    /// The requests sent to it and not yet answered.
    pub in_flight: u32,
    /// The requests that wait for it at its owner, whatever for.
    pub waiting: u32,
    /// The requests of a full batch; never 0 for a ready endpoint.
    pub batch: u32,
    /// The slots that hold no adapter.
    pub free_slots: u32,
    /// Whether it holds the prefix of the prompt in its cache.
    pub prefix_hit: bool,
}

/// Whether an endpoint holds an adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Residency {
    /// The adapter is loaded.
    Loaded,
    /// The adapter is being loaded.
    Loading,
    /// The adapter is neither loaded nor being loaded.
    Absent,
}
