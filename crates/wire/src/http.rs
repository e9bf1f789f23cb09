//! HTTP bodies of the caller API.

use base::Code;
use base::Name;
use base::Ran;
use serde::Deserialize;
use serde::Serialize;

/// The answer of `GET /v1/addresses`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Addresses {
    /// The gates that accept requests.
    pub addresses: Vec<Address>,
    /// The time for which the answer may be cached, in milliseconds.
    pub keep_ms: u64,
}

/// The address of a gate that accepts requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Address {
    /// The address, `IP:PORT`.
    pub address: Name,
    /// The weight of the gate in load balancing, relative to the other gates.
    pub weight: u32,
}

/// The body of a refusal: `{"error": {…}}`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// The error.
    pub error: Error,
}

/// The reason for a refusal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Error {
    /// The number of the result code.
    pub code: Code,
    /// The name of the result code.
    #[serde(rename = "type")]
    pub kind: Name,
    /// A human-readable description.
    pub message: String,
    /// Whether the request may have run.
    pub ran: Ran,
    /// The id of the request.
    pub request: Name,
    /// The time after which to retry, in milliseconds; `Retry-After` carries it in whole seconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Other gates to which the request may be sent.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub addresses: Vec<Address>,
}

/// The fields of a completion request that radishbank reads; all other fields are forwarded to the engine
/// unchanged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Completion {
    /// `ADAPTER` or `ADAPTER@VERSION`.
    pub model: Name,
    /// Whether to answer with a stream of server-sent events.
    #[serde(default)]
    pub stream: bool,
}

/// The answer of `GET /v1/models?after=NAME&limit=N`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Models {
    /// Always `list`.
    pub object: Name,
    /// The models of this page, sorted by name.
    pub data: Vec<Model>,
    /// Whether further models follow the last one.
    pub has_more: bool,
}

/// An adapter version available for requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Model {
    /// `ADAPTER@VERSION`.
    pub id: Name,
    /// Always `model`.
    pub object: Name,
    /// The base model.
    pub base: Name,
    /// Whether this is the default version of its adapter.
    pub default: bool,
    /// Whether the version is deprecated.
    pub deprecated: bool,
}
