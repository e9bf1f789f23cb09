//! The state of an engine as known to the gate that owns it.

use std::time::Duration;

use base::Name;
use wire::endpoint::Model;

/// An engine owned by this gate.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Engine {
    /// The name of the endpoint.
    pub name: Name,
    /// Whether the engine accepts new work.
    pub ready: bool,
    /// The maximum number of resident adapters.
    pub slots: u32,
    /// The maximum batch size, in requests.
    pub batch: u32,
    /// The requests sent to the engine and not yet answered.
    pub in_flight: u32,
    /// The adapters that are loaded or loading.
    ///
    /// Invariant: one entry per adapter; `residents.len() <= slots` unless `slots` was reduced.
    pub residents: Vec<Resident>,
}

/// An adapter in a slot of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Resident {
    /// The adapter and version.
    pub model: Model,
    /// The requests in progress, both those sent by the owner and those reported by the engine.
    pub in_use: u32,
    /// Whether the adapter is still loading.
    pub loading: bool,
    /// The time of the last request sent to the adapter, or of the order to load it.
    pub last_used: Duration,
}

impl Engine {
    /// Returns the number of empty slots.
    pub fn free(&self) -> u32 {
        self.slots.saturating_sub(self.residents.len() as u32)
    }

    /// Finds an adapter that is loaded or loading.
    pub fn find(&self, model: &Model) -> Option<&Resident> {
        self.residents.iter().find(|resident| resident.model == *model)
    }

    /// Returns whether the batch is at least `percent` full.
    pub fn is_full(&self, percent: u32) -> bool {
        u64::from(self.in_flight) * 100 >= u64::from(self.batch) * u64::from(percent)
    }
}
