//! A decision to load an adapter.

use std::fmt;

use base::Name;
use wire::endpoint::Model;

/// The most alternatives that a decision lists.
pub(crate) const LOSERS: usize = 4;

/// A load to be ordered, with the eviction that makes room for it.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The engine.
    pub endpoint: Name,
    /// What it is to load.
    pub load: Model,
    /// What it has to evict first; none if a slot is empty.
    pub evict: Option<Model>,
    /// What the load is worth against other gates' loads; the unit is a hundredth of a waiting
    /// request of middle priority.
    pub worth: u32,
    /// Why it is loaded.
    pub reason: Reason,
    /// Alternatives that lost, at most four.
    pub losers: Vec<Loser>,
}

/// Why an adapter is loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Requests wait for it and no engine of this gate holds it.
    Waiting,
    /// Requests wait for it and each engine that holds it is full.
    Copy,
    /// An exception pins it and no engine holds it.
    Pinned,
    /// It is hot and a slot is empty.
    Reload,
    /// It woke up and load permits are spare.
    Prefetch,
}

/// An adapter that was not loaded now.
#[derive(Clone, Debug, PartialEq)]
pub struct Loser {
    /// The adapter and version.
    pub model: Model,
    /// Why it lost.
    pub loss: Loss,
}

/// Why an adapter was not loaded now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// Another load is worth more.
    WorthLess,
    /// It would be loaded after the last deadline of its requests.
    Deadline,
    /// An exception forbids loading it.
    Never,
    /// Its last load failed a short time ago.
    Backoff,
    /// It is being loaded.
    Loading,
    /// An engine that holds it has room.
    Held,
    /// Each slot that it may take is in use.
    NoSlot,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, f)
    }
}

impl fmt::Display for Loser {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}:{:?}", self.model.adapter, self.model.version, self.loss)
    }
}
