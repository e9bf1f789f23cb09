//! Refusals of requests by the gate.

use std::time::Duration;

use base::Code;

/// The reason why the gate refuses a request instead of forwarding the response of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{code}")]
pub struct Refusal {
    /// The result code.
    pub code: Code,
    /// The time after which the caller may retry, or `None` if it should not.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Returns a refusal without a retry delay.
    pub fn new(code: Code) -> Refusal {
        Refusal { code, retry_after: None }
    }

    /// Returns a refusal that asks the caller to retry after `retry_after`.
    pub fn retryable(code: Code, retry_after: Duration) -> Refusal {
        Refusal { code, retry_after: Some(retry_after) }
    }
}
