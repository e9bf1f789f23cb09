//! The HTTP client and the validation of responses against their requests.

use std::time::Duration;

use axum::body::Bytes;
use axum::http::HeaderMap;
use axum::http::Method;
use axum::http::Request;
use axum::http::Response;
use axum::http::header::CONTENT_TYPE;
use base::Name;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use serde::Deserialize;
use tokio::time::Instant;
use wire::endpoint::Fault;
use wire::endpoint::Model;
use wire::header;

use crate::answer::Answer;
use crate::answer::Complete;
use crate::answer::Head;
use crate::failure::Failure;
use crate::leased;
use crate::leased::Payload;
use crate::refusal::Refusal;
use crate::request;
use crate::stream::Reader;

/// The maximum size of a response that is not a stream, in bytes.
const MAX_RESPONSE_BYTES: usize = 32 << 20;
/// The time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// The status of a request that an endpoint rejects.
const CONFLICT: u16 = 409;
/// The status of a completion whose body an engine cannot parse.
const BAD_REQUEST: u16 = 400;

/// The HTTP client for endpoints and other gates.
pub(crate) struct Client {
    inner: hyper_util::client::legacy::Client<HttpConnector, Payload>,
}

/// The expected properties of a response.
#[derive(Clone, Debug)]
pub(crate) struct Expect {
    /// The request.
    pub(crate) request: Name,
    /// The adapter version, if the request is a completion.
    pub(crate) model: Option<Model>,
    /// Whether the response is a stream of events.
    pub(crate) stream: bool,
    /// Whether another gate responds, whose refusals have the format for callers.
    pub(crate) relayed: bool,
    /// The time at which it must be complete.
    pub(crate) deadline: Instant,
}

/// The fields that identify the request and the model of a completion.
#[derive(Deserialize)]
struct Identity {
    id: Option<Name>,
    model: Option<Name>,
}

/// The fields that show whether a completion is complete.
#[derive(Deserialize)]
struct Completion {
    choices: Vec<Choice>,
}

/// One of the choices of a completion.
#[derive(Deserialize)]
struct Choice {
    finish_reason: Option<Name>,
}

impl Client {
    /// Creates a client; `connect` is the timeout for opening a connection.
    pub(crate) fn new(connect: Duration) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect));
        connector.set_nodelay(true);
        let inner = hyper_util::client::legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        Client { inner }
    }

    /// Sends a request and waits for the head of the response.
    pub(crate) async fn send(
        &self,
        request: Request<Payload>,
        deadline: Instant,
    ) -> Result<Response<Incoming>, Failure> {
        let response = tokio::time::timeout_at(deadline, self.inner.request(request)).await;
        let response = response.map_err(|_| Failure::Timeout)?;
        response.map_err(|error| if error.is_connect() { Failure::Unsent } else { Failure::Lost })
    }

    /// Reads a resource; returns `None` without a response with status 200 within `timeout`.
    pub(crate) async fn get(&self, address: &str, path: &str, timeout: Duration) -> Option<Bytes> {
        let request =
            build(Method::GET, address, path).body(leased::unchecked(Bytes::new())).ok()?;
        let (status, body) = tokio::time::timeout(timeout, self.read(request)).await.ok()??;
        (status == 200).then_some(body)
    }

    /// Posts JSON; returns `None` without a response within `timeout`.
    pub(crate) async fn post(
        &self,
        address: &str,
        path: &str,
        body: Payload,
        fence: u64,
        timeout: Duration,
    ) -> Option<(u16, Bytes)> {
        let request = build(Method::POST, address, path)
            .header(CONTENT_TYPE, "application/json")
            .header(header::FENCE, fence)
            .body(body)
            .ok()?;
        tokio::time::timeout(timeout, self.read(request)).await.ok()?
    }

    /// Deletes a resource; returns `false` without a response within `timeout`.
    pub(crate) async fn delete(
        &self,
        address: &str,
        path: &str,
        fence: u64,
        timeout: Duration,
    ) -> bool {
        let request = build(Method::DELETE, address, path).header(header::FENCE, fence);
        let Ok(request) = request.body(leased::unchecked(Bytes::new())) else { return false };
        let response = tokio::time::timeout(timeout, self.read(request)).await;
        matches!(response, Ok(Some(_)))
    }

    async fn read(&self, request: Request<Payload>) -> Option<(u16, Bytes)> {
        let response = self.inner.request(request).await.ok()?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await.ok()?;
        Some((status, body.to_bytes()))
    }
}

/// Starts building a request to `address`.
pub(crate) fn build(method: Method, address: &str, path: &str) -> axum::http::request::Builder {
    Request::builder().method(method).uri(format!("http://{address}{path}"))
}

/// Reads and validates a response; of a stream, only the first event.
pub(crate) async fn receive(
    response: Response<Incoming>,
    expect: Expect,
) -> Result<Answer, Failure> {
    let (parts, body) = response.into_parts();
    let status = parts.status.as_u16();
    let head = Head::read(&parts.headers);
    let content_type = header_text(&parts.headers, CONTENT_TYPE.as_str());
    if status == 200 && expect.stream && !head.replayed {
        check_headers(&parts.headers, &expect)?;
        let mut reader = Reader::new(body, expect);
        let first = reader.next().await?;
        return Ok(Answer::Stream(Box::new(crate::answer::Streaming::new(head, reader, first))));
    }
    let body = collect(body, &expect).await?;
    check_refusal(status, &body, &expect)?;
    let completion = expect.model.is_some() && !head.replayed;
    if completion && status != 200 {
        return Err(Failure::Failed(status));
    }
    check_headers(&parts.headers, &expect)?;
    if completion {
        check_identity(&body, &expect)?;
        check_finished(&body)?;
    }
    Ok(Answer::Complete(Complete { status, content_type, body, head }))
}

async fn collect(body: Incoming, expect: &Expect) -> Result<Bytes, Failure> {
    let reading = Limited::new(body, MAX_RESPONSE_BYTES).collect();
    let read = tokio::time::timeout_at(expect.deadline, reading).await;
    let read = read.map_err(|_| Failure::Timeout)?;
    read.map(|collected| collected.to_bytes()).map_err(|_| Failure::Lost)
}

/// Fails if the response is a refusal or a rejection.
fn check_refusal(status: u16, body: &[u8], expect: &Expect) -> Result<(), Failure> {
    if status < 400 {
        return Ok(());
    }
    if expect.relayed {
        let Ok(refusal) = serde_json::from_slice::<wire::http::Refusal>(body) else {
            return Ok(());
        };
        if refusal.error.code.status() == status && refusal.error.request == expect.request {
            return Err(Failure::Refused(Refusal::from(refusal.error)));
        }
        return Ok(());
    }
    let refuses = status == CONFLICT || (status == BAD_REQUEST && expect.model.is_some());
    if refuses && let Ok(fault) = serde_json::from_slice::<Fault>(body) {
        return Err(Failure::Rejected(fault));
    }
    Ok(())
}

fn check_headers(headers: &HeaderMap, expect: &Expect) -> Result<(), Failure> {
    check_field(
        header::REQUEST,
        header_text(headers, header::REQUEST).as_deref(),
        &expect.request,
    )?;
    let replayed = header_text(headers, header::REPLAYED).is_some();
    if let Some(model) = expect.model.as_ref().filter(|_| !replayed) {
        check_field(
            header::ADAPTER,
            header_text(headers, header::ADAPTER).as_deref(),
            &model.adapter,
        )?;
        check_field(
            header::VERSION,
            header_text(headers, header::VERSION).as_deref(),
            &model.version,
        )?;
    }
    Ok(())
}

/// Checks that a completion belongs to the request and its model.
pub(crate) fn check_identity(json: &[u8], expect: &Expect) -> Result<(), Failure> {
    let identity: Identity = serde_json::from_slice(json)
        .map_err(|_| Failure::Wrong(String::from("the answer is not the JSON of a completion")))?;
    check_field("id", identity.id.as_deref(), &expect.request)?;
    let Some(model) = &expect.model else { return Ok(()) };
    check_field("model", identity.model.as_deref(), &request::model_name(model))
}

/// Checks that each choice has a `finish_reason`, which a truncated completion lacks.
fn check_finished(json: &[u8]) -> Result<(), Failure> {
    let completion: Completion = serde_json::from_slice(json).map_err(|_| Failure::Short)?;
    let ended = completion.choices.iter().all(|choice| choice.finish_reason.is_some());
    if completion.choices.is_empty() || !ended { Err(Failure::Short) } else { Ok(()) }
}

fn check_field(field: &str, found: Option<&str>, expected: &str) -> Result<(), Failure> {
    if found == Some(expected) {
        return Ok(());
    }
    let found = found.unwrap_or("nothing");
    Err(Failure::Wrong(format!("{field} is {found} in place of {expected}")))
}

/// Returns the text of a header.
pub(crate) fn header_text(headers: &HeaderMap, name: &str) -> Option<Name> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(Name::from)
}
