//! The messages of the journal of non-idempotent requests.

use base::Name;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::command::Incarnation;

/// The identity of a non-idempotent request: requests with the same key are the same request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// The kind of the service, or `model` for a completion.
    pub scope: Name,
    /// The caller's `Idempotency-Key`.
    pub key: Name,
}

/// A gate's claim to send a non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The key.
    pub key: Key,
    /// The digest of method, path and body.
    pub digest: u64,
    /// The id of the request, unique for each arrival at a gate. A claim repeated with the same id returns
    /// its first outcome.
    pub request: Name,
    /// The claiming gate.
    pub gate: Name,
    /// The incarnation of the claiming gate.
    pub incarnation: Incarnation,
    /// The creation time of the key in milliseconds since the Unix epoch, if the key contains it.
    pub created_ms: Option<u64>,
}

/// A complete answer as sent to the caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: Name,
    /// The body; `None` if it exceeded the size limit of the journal.
    pub body: Option<Bytes>,
}
