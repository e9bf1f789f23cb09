//! The interface between the gate and the wire protocol: what the gate reads from the heads of requests and
//! responses, and what it sends with them.

use std::time::Duration;

use base::Name;
use bytes::Bytes;
use fleet::endpoint::Endpoint;
use fleet::message::Load;
use hyper::HeaderMap;
use hyper::Response;
use hyper::http::request;
use hyper::http::response;
use limit::Notice;

use crate::identity::Credential;
use crate::identity::Sender;
use crate::refusal::Refusal;

/// The content of a request head.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// The caller's id of this attempt.
    pub id: Name,
    /// The value of the `Host` header.
    pub host: Name,
    /// The time left until the caller's deadline, if it sent one.
    pub deadline: Option<Duration>,
    /// The base model; `None` if the request is not for a model engine.
    pub model: Option<Name>,
    /// The adapter; empty for the base model itself.
    pub adapter: Name,
    /// The prompt length, in tokens.
    pub input: u32,
    /// The estimated output length, in tokens.
    pub output: u32,
    /// The sum of the prompt length and the longest output, in tokens, if the caller sent them.
    pub tokens: Option<u64>,
    /// The parts of the prompt, in order: the digest and the length in tokens of each.
    pub parts: Vec<(u64, u32)>,
    /// The caller's id of the attempt that began a stream, if the request resumes one; empty if the caller does
    /// not state it.
    pub resumes: Option<Name>,
    /// What proves which tenant sent the request.
    pub credential: Credential,
}

/// The instructions that are sent to an endpoint with a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// The endpoint that must run the request.
    pub endpoint: Endpoint,
    /// The time left until the deadline.
    pub left: Duration,
    /// The adapter version that the endpoint must use.
    pub version: Option<u64>,
    /// The urgency at the engine, from 0 (most urgent) to 9.
    pub urgency: Option<u8>,
    /// Who sent the request.
    pub sender: Sender,
}

/// The content of a response head.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// Whether the endpoint guarantees that it did not and will not run the request.
    pub refused: bool,
    /// Whether the request reached another endpoint or one that does not hold the model.
    pub misdirected: bool,
    /// Whether the response belongs to another request, or its status says without proof that the request did not run.
    pub mismatched: bool,
    /// Whether the response bears the endpoint's signature, without which it does not count as a success.
    pub signed: bool,
    /// The load that the endpoint states.
    pub load: Option<Load>,
    /// The limit on its request rate that the endpoint names.
    pub limit: Notice,
    /// Whether the endpoint leaves and takes no new requests.
    pub leaving: bool,
    /// The pause for which the endpoint asks this gate with a refusal.
    pub pause: Option<Duration>,
    /// The endpoint's timeout for idle connections.
    pub idle_timeout: Option<Duration>,
    /// Whether the endpoint closes the connection after the response.
    pub closes: bool,
}

/// A wire protocol: the headers and statuses of requests and responses.
pub trait Protocol: Send + Sync + 'static {
    /// Parses a request head.
    fn parse_request(&self, head: &request::Parts) -> Result<Request, Refusal>;

    /// Sets the headers for an endpoint and removes those that a caller must not send to it: where the plan has tenants,
    /// the credential and the names of tenants too.
    fn set_headers(&self, headers: &mut HeaderMap, dispatch: &Dispatch);

    /// Parses the response head for the request `id`.
    fn parse_response(&self, head: &response::Parts, id: &str) -> ResponseHead;

    /// Builds the response to the refused request `id`.
    fn refusal(&self, refusal: &Refusal, id: &str) -> Response<Bytes>;
}
