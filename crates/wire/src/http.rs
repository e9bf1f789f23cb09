//! HTTP bodies for callers.

use base::Code;
use base::Name;
use base::Ran;
use serde::Deserialize;
use serde::Serialize;

/// The answer of `GET /v1/addresses`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Addresses {
    /// Where to send requests.
    pub addresses: Vec<Address>,
    /// How long the answer may be kept, in milliseconds.
    pub keep_ms: u64,
}

/// A gate that takes requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Address {
    /// `IP:PORT`.
    pub address: Name,
    /// Its share of the requests, relative to the others.
    pub weight: u32,
}

/// The body of a refusal: `{"error": {…}}`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// The error.
    pub error: Error,
}

/// Why a request was refused.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Error {
    /// The number of the result code.
    pub code: Code,
    /// The name of the result code.
    #[serde(rename = "type")]
    pub kind: Name,
    /// What went wrong.
    pub message: String,
    /// Whether the request may have run.
    pub ran: Ran,
    /// The id of the request.
    pub request: Name,
    /// When to come back, in milliseconds; `Retry-After` has it in whole seconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Other gates to use.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub addresses: Vec<Address>,
}

/// The part of a completion's body that radishbank reads; the rest goes to the engine as it is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Completion {
    /// `ADAPTER` or `ADAPTER@VERSION`.
    pub model: Name,
    /// Whether the answer is a stream of server-sent events.
    #[serde(default)]
    pub stream: bool,
}

/// The answer of `GET /v1/models?after=NAME&limit=N`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Models {
    /// Always `list`.
    pub object: Name,
    /// The models of this page, in the order of their names.
    pub data: Vec<Model>,
    /// Whether more follow behind the last one.
    pub has_more: bool,
}

/// A version of an adapter that can be asked for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Model {
    /// `ADAPTER@VERSION`.
    pub id: Name,
    /// Always `model`.
    pub object: Name,
    /// The base model.
    pub base: Name,
    /// Whether it is the version used when a request names none.
    pub default: bool,
    /// Whether it is deprecated.
    pub deprecated: bool,
}
