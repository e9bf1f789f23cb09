//! The calls of plain services that gates have in progress.

use base::Name;
use serde::Deserialize;
use serde::Serialize;

/// A call in progress at an endpoint of a plain service whose endpoints state the pace of their hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// The gate's number for the request.
    pub request: u64,
    /// The service.
    pub service: Name,
    /// The endpoint.
    pub endpoint: Name,
    /// The start time of the endpoint.
    pub born: u64,
    /// The time left until the deadline, in ms.
    pub left_ms: u32,
}
