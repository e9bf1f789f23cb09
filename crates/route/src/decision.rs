//! What was decided on a request.

use std::fmt;
use std::time::Duration;

use base::Code;
use base::Name;

/// The most alternatives that a decision lists.
pub(crate) const MAX_ALTERNATIVES: usize = 8;

/// The endpoint that is to answer a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// The endpoint.
    pub endpoint: Name,
    /// The gate that owns it.
    pub gate: Name,
    /// Whether this gate owns it.
    pub owned: bool,
    /// Why it was chosen.
    pub reason: Reason,
    /// The expected time until the request starts to run.
    pub wait: Duration,
    /// Alternatives that lost, at most eight.
    pub alternatives: Vec<Alternative>,
}

/// Why no endpoint was chosen.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{code}")]
pub struct Refusal {
    /// The result code.
    pub code: Code,
    /// When the caller should come back, where it can be estimated.
    pub retry_after: Option<Duration>,
    /// Alternatives that lost, at most eight.
    pub alternatives: Vec<Alternative>,
}

impl From<Refusal> for Code {
    fn from(refusal: Refusal) -> Code {
        refusal.code
    }
}

/// Why an endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It holds the adapter and has the fullest batch below the knee.
    FillsBatch,
    /// As [`Reason::FillsBatch`], and it holds the prefix of the prompt.
    Prefix,
    /// It holds the adapter and its batch, above the knee, has the most room.
    LeastFull,
    /// The adapter is being loaded there.
    SharesLoad,
    /// All that hold the adapter are full and it has the shortest wait.
    ShortestWait,
    /// None holds the adapter and it is the first by rendezvous hash.
    Hash,
    /// None holds the adapter and it is the fullest of the first few by rendezvous hash.
    Packed,
    /// None holds the adapter and those before it by rendezvous hash are overloaded.
    Spill,
    /// All that hold the adapter are full and a second copy is worth a load.
    SecondCopy,
    /// It has the least in flight (baseline).
    Least,
    /// It was drawn (baseline).
    Random,
}

/// An alternative that lost.
#[derive(Clone, Debug, PartialEq)]
pub struct Alternative {
    /// The endpoint.
    pub endpoint: Name,
    /// Why it lost.
    pub rejection: Rejection,
}

/// Why an alternative lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// It takes no new work.
    NotReady,
    /// The request must not go there.
    Excluded,
    /// It does not hold the adapter.
    Absent,
    /// The adapter is still being loaded there.
    Loading,
    /// Its batch is full.
    Full,
    /// Its batch is above the knee.
    AboveKnee,
    /// Its batch is emptier than the chosen one's.
    Emptier,
    /// Its batch has less room than the chosen one's.
    Fuller,
    /// It lacks the prefix of the prompt.
    NoPrefix,
    /// Another gate owns it.
    OtherGate,
    /// The wait there is longer.
    LongerWait,
    /// Its rank by hash is lower.
    LowerRank,
    /// It has too much waiting for another load.
    Overloaded,
    /// The request could not start there before its deadline.
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
