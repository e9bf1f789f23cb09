//! What the gate needs to know of a request and of an answer, whatever they look like on the wire.

use std::time::Duration;

use base::Name;
use bytes::Bytes;
use fleet::endpoint::Endpoint;
use hyper::HeaderMap;
use hyper::Response;
use hyper::http::request;
use hyper::http::response;

use crate::refusal::Refusal;

/// What a request says of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// The caller's id of this attempt.
    pub id: Name,
    /// The host that it is for.
    pub host: Name,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The base model, where it names one.
    pub model: Option<Name>,
    /// The adapter; empty for the base model itself.
    pub adapter: Name,
    /// The tokens of the prompt.
    pub input: u32,
    /// The tokens of the answer, as estimated.
    pub output: u32,
    /// The parts of the prompt in order: a digest and its tokens.
    pub parts: Vec<(u64, u32)>,
    /// Whether it continues an answer that broke off.
    pub resumes: bool,
}

/// What is told to an endpoint with a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Delivery {
    /// The endpoint that must run it.
    pub endpoint: Endpoint,
    /// The time left for it.
    pub left: Duration,
    /// The version of the adapter that must run it.
    pub version: Option<u64>,
    /// The urgency, 0 first and 9 last.
    pub urgency: Option<u8>,
}

/// What the head of an answer says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    /// Whether the endpoint vouches that it did not and won't run the request.
    pub refused: bool,
    /// Whether it is not the endpoint or lacks the model that was asked for.
    pub misdirected: bool,
    /// Whether it is for another request.
    pub crossed: bool,
    /// Whether it bears the endpoint's mark, without which no success counts.
    pub signed: bool,
    /// The requests running and waiting there.
    pub load: Option<(u32, u32)>,
    /// How long the connection may be idle.
    pub idle: Option<Duration>,
    /// Whether the connection is closed after it.
    pub closes: bool,
}

/// The wire's names for all this.
pub trait Dialect: Send + Sync + 'static {
    /// Reads the head of a request.
    fn request(&self, head: &request::Parts) -> Result<Request, Refusal>;

    /// Sets what is told to an endpoint, and removes what a caller must not tell it.
    fn deliver(&self, headers: &mut HeaderMap, delivery: &Delivery);

    /// Reads the head of an answer to the request `id`.
    fn answer(&self, head: &response::Parts, id: &str) -> Answer;

    /// Makes the answer to a refused request.
    fn refuse(&self, refusal: &Refusal, id: &str) -> Response<Bytes>;
}
