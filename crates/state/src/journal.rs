//! Records of non-idempotent requests.

use base::Name;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::command::Incarnation;

/// What names a non-idempotent request: the same key names the same request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key {
    /// The kind of the service, or `model` for a completion.
    pub scope: Name,
    /// The caller's `Idempotency-Key`.
    pub key: Name,
}

/// A gate's wish to send a non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The key.
    pub key: Key,
    /// The digest of method, path and body.
    pub digest: u64,
    /// The id of the request, unique for each arrival of a request at a gate: a claim sent again with
    /// the same id gets its first outcome again.
    pub request: Name,
    /// The gate that claims.
    pub gate: Name,
    /// The run of the gate that claims.
    pub incarnation: Incarnation,
    /// When the caller made the key, in milliseconds since 1970, where the key tells it.
    pub created_ms: Option<u64>,
}

/// A whole answer as it is given to the caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: Name,
    /// The body; none if it was larger than the limit of the journal.
    pub body: Option<Bytes>,
}
