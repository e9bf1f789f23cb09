//! An engine as its owner sees it.

use std::time::Duration;

use base::Name;
use wire::endpoint::Model;

/// An engine that this gate owns.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Engine {
    /// The endpoint.
    pub name: Name,
    /// Whether it takes new work.
    pub ready: bool,
    /// The adapters that it holds at once.
    pub slots: u32,
    /// The requests of a full batch.
    pub batch: u32,
    /// The requests sent to it and not yet answered.
    pub in_flight: u32,
    /// The adapters that it holds and those being loaded.
    ///
    /// Invariant: one entry an adapter; `held.len() <= slots` unless slots were taken away.
    pub held: Vec<Held>,
}

/// An adapter in a slot of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Held {
    /// The adapter and version.
    pub model: Model,
    /// The requests in progress on it, by what the owner sent and what the engine reported.
    pub in_use: u32,
    /// Whether it is still being loaded.
    pub loading: bool,
    /// When a request was last sent to it, or when its load was ordered.
    pub used: Duration,
}

impl Engine {
    /// Returns the number of empty slots.
    pub fn free(&self) -> u32 {
        self.slots.saturating_sub(self.held.len() as u32)
    }

    /// Finds an adapter that is held or being loaded.
    pub fn find(&self, model: &Model) -> Option<&Held> {
        self.held.iter().find(|held| held.model == *model)
    }

    /// Returns whether the batch is at least `percent` full.
    pub fn is_full(&self, percent: u32) -> bool {
        u64::from(self.in_flight) * 100 >= u64::from(self.batch) * u64::from(percent)
    }
}
