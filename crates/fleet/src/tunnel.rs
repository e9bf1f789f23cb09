//! The messages that begin a tunnel: a connection to an endpoint through another gate.
//!
//! They are encoded by position, like [`crate::message`], and follow a length of two bytes.

use base::Name;
use serde::Deserialize;
use serde::Serialize;

/// A request to open a connection to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Open {
    /// The endpoint.
    pub endpoint: Name,
    /// Its start time, so that the tunnel leads to no later incarnation.
    pub born: u64,
}

/// The answer to [`Open`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The connection is open. What the endpoint sends follows in frames, each with a length of four bytes; an empty one
    /// marks the end.
    Opened,
    /// The endpoint refused the connection.
    Refused,
    /// The endpoint could not be reached.
    Unreachable,
    /// The gate opens no connection to this endpoint: it does not know it, must not use it, is draining, or has no path.
    Unavailable,
}
