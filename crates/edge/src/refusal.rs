//! A request that is not answered by an endpoint.

use std::time::Duration;

use base::Code;

/// Why a request is not answered by an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{code}")]
pub struct Refusal {
    /// The reason.
    pub code: Code,
    /// When to come back.
    pub retry: Option<Duration>,
}

impl Refusal {
    /// Refuses for good.
    pub fn new(code: Code) -> Refusal {
        Refusal { code, retry: None }
    }

    /// Refuses with a time to come back.
    pub fn later(code: Code, retry: Duration) -> Refusal {
        Refusal { code, retry: Some(retry) }
    }
}
