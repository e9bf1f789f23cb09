//! Routing decisions and their reasons.

use std::fmt;
use std::time::Duration;

use base::Code;
use base::Name;

/// The maximum number of rejected alternatives listed in a decision.
pub(crate) const MAX_ALTERNATIVES: usize = 8;

/// The endpoint that was chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// The endpoint.
    pub endpoint: Name,
    /// The gate that owns it.
    pub gate: Name,
    /// Whether this gate owns it.
    pub owned: bool,
    /// The reason for the choice.
    pub reason: Reason,
    /// The expected time until the request starts to run.
    pub wait: Duration,
    /// Rejected alternatives, at most eight.
    pub alternatives: Vec<Alternative>,
}

/// The refusal of a request for which no endpoint could be chosen.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{code}")]
pub struct Refusal {
    /// The result code.
    pub code: Code,
    /// The delay after which the caller should retry, if it can be estimated.
    pub retry_after: Option<Duration>,
    /// Rejected alternatives, at most eight.
    pub alternatives: Vec<Alternative>,
}

impl From<Refusal> for Code {
    fn from(refusal: Refusal) -> Code {
        refusal.code
    }
}

/// The reason for the choice of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// Holds the adapter and has the fullest batch below the knee.
    FillsBatch,
    /// As [`Reason::FillsBatch`], and has the prompt's prefix in its cache.
    Prefix,
    /// Holds the adapter and has the emptiest batch above the knee.
    LeastFull,
    /// Is already loading the adapter.
    SharesLoad,
    /// Has the shortest wait of the endpoints that hold the adapter, all of which are full.
    ShortestWait,
    /// No endpoint holds the adapter; first by rendezvous hash.
    Hash,
    /// No endpoint holds the adapter; fullest of the first few by rendezvous hash.
    Packed,
    /// No endpoint holds the adapter; those ranked higher by rendezvous hash are overloaded.
    Spill,
    /// All endpoints that hold the adapter are full, and a second copy is worth its load.
    SecondCopy,
    /// Has the fewest outstanding requests (baseline).
    Least,
    /// Chosen pseudo-randomly (baseline).
    Random,
}

/// A rejected alternative.
#[derive(Clone, Debug, PartialEq)]
pub struct Alternative {
    /// The endpoint.
    pub endpoint: Name,
    /// The reason.
    pub rejection: Rejection,
}

/// The reason for the rejection of an alternative.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// Accepts no new requests.
    NotReady,
    /// Excluded by the query.
    Excluded,
    /// Does not hold the adapter.
    Absent,
    /// Is still loading the adapter.
    Loading,
    /// Has a full batch.
    Full,
    /// Has a batch above the knee.
    AboveKnee,
    /// Has an emptier batch than the preferred one.
    Emptier,
    /// Has a fuller batch than the preferred one.
    Fuller,
    /// Lacks the prompt's prefix in its cache.
    NoPrefix,
    /// Owned by another gate.
    OtherGate,
    /// Has a longer wait.
    LongerWait,
    /// Has a lower rank by rendezvous hash.
    LowerRank,
    /// Has too many outstanding and waiting requests to load another adapter.
    Overloaded,
    /// Could not start the request before its deadline.
    Deadline,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, f)
    }
}

impl fmt::Display for Alternative {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{:?}", self.endpoint, self.rejection)
    }
}
