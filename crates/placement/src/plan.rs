//! A decision to load an adapter.

use std::fmt;

use base::Name;
use wire::endpoint::Model;

/// The maximum number of rejected alternatives listed in a decision.
pub(crate) const MAX_ALTERNATIVES: usize = 4;

/// A load to order, with the eviction that frees its slot.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The engine.
    pub endpoint: Name,
    /// The adapter to load.
    pub load: Model,
    /// The adapter to evict first; `None` if a slot is empty.
    pub evict: Option<Model>,
    /// The priority against other gates' loads, in hundredths of a waiting request of the default
    /// priority.
    pub worth: u32,
    /// The reason for the load.
    pub reason: Reason,
    /// The rejected alternatives, at most four.
    pub alternatives: Vec<Alternative>,
}

/// The reason for a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Requests wait for the adapter, and no engine of this gate holds it.
    Waiting,
    /// Requests wait for the adapter, and each engine that holds it is full.
    Copy,
    /// An exception pins the adapter, and no engine holds it.
    Pinned,
    /// The adapter is popular, and a slot is empty.
    Reload,
    /// The adapter was requested again after an idle period, and load permits are spare.
    Prefetch,
}

/// An adapter that was considered and not loaded.
#[derive(Clone, Debug, PartialEq)]
pub struct Alternative {
    /// The adapter and version.
    pub model: Model,
    /// The reason for not loading it.
    pub rejection: Rejection,
}

/// The reason for not loading an adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// Another load is worth more.
    WorthLess,
    /// The load would end after the last deadline of the waiting requests.
    Deadline,
    /// An exception forbids loading the adapter.
    Never,
    /// The adapter is in backoff after a failed load.
    Backoff,
    /// The adapter is being loaded already.
    Loading,
    /// An engine that holds the adapter has room in its batch.
    Held,
    /// Each slot that the load may take is in use.
    NoSlot,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, f)
    }
}

impl fmt::Display for Alternative {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}:{:?}", self.model.adapter, self.model.version, self.rejection)
    }
}
