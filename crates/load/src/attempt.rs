//! One attempt: a request to one gate and its response.

use std::time::Duration;

use base::Code;
use base::Name;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use tokio::time::Instant;
use wire::http;

use crate::check;
use crate::check::Expected;
use crate::stream::Event;
use crate::stream::Parser;

/// Response header with the time that the request waited for its adapter to load, in milliseconds.
pub const LOAD_STALL_HEADER: &str = "x-load-stall-ms";

/// The HTTP client that all attempts share.
pub type Pool = Client<HttpConnector, Full<Bytes>>;

/// Creates an HTTP client with a connection pool.
pub fn pool() -> Pool {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).build(connector)
}

/// The outcome of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The response is complete and correct.
    Answered(Answer),
    /// The gate refused the request with a result code.
    Refused(Box<http::Error>),
    /// The connection failed before anything was sent.
    Unreachable,
    /// The connection broke or the attempt timed out; the request may have run.
    Broken(String),
    /// The response looked complete but is malformed, too short, or for another request or version.
    Wrong(String),
}

/// The measurements of a correct response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    /// The arrival time of the first token; `None` if the response was not streamed.
    pub first: Option<Instant>,
    /// The times between tokens.
    pub gaps: Vec<Duration>,
    /// The time that the request waited for its adapter to load.
    pub stall: Option<Duration>,
    /// The body of the response; empty for completions.
    pub body: Bytes,
}

/// Sends a completion request and checks the response.
pub(crate) async fn complete(
    pool: &Pool,
    request: Request<Full<Bytes>>,
    expected: &Expected,
) -> Outcome {
    let response = match send(pool, request).await {
        Ok(response) => response,
        Err(outcome) => return outcome,
    };
    let identity = match expected.identity(response.headers()) {
        Ok(identity) => identity,
        Err(wrong) => return Outcome::Wrong(wrong),
    };
    let mut answer = Answer { stall: load_stall(&response), ..Answer::default() };
    let kind = response.headers().get("content-type").and_then(|value| value.to_str().ok());
    let text = if kind.is_some_and(|kind| kind.starts_with("text/event-stream")) {
        read_stream(response.into_body(), expected, &identity, &mut answer).await
    } else {
        read_json(response.into_body(), expected, &identity).await
    };
    let text = match text {
        Ok(text) => text,
        Err(outcome) => return outcome,
    };
    match expected.check_text(&identity, &text) {
        Ok(()) => Outcome::Answered(answer),
        Err(wrong) => Outcome::Wrong(wrong),
    }
}

/// Sends a call to a service.
pub(crate) async fn call(pool: &Pool, request: Request<Full<Bytes>>) -> Outcome {
    let response = match send(pool, request).await {
        Ok(response) => response,
        Err(outcome) => return outcome,
    };
    match response.into_body().collect().await {
        Ok(body) => Outcome::Answered(Answer { body: body.to_bytes(), ..Answer::default() }),
        Err(error) => Outcome::Broken(error.to_string()),
    }
}

/// Sends a request; returns the outcome of the attempt as the error unless the status is a success.
async fn send(pool: &Pool, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, Outcome> {
    let response = match pool.request(request).await {
        Ok(response) => response,
        Err(error) if error.is_connect() => return Err(Outcome::Unreachable),
        Err(error) => return Err(Outcome::Broken(error.to_string())),
    };
    if response.status().is_success() {
        return Ok(response);
    }
    let status = response.status();
    let body = response.into_body().collect().await;
    let body = body.map_err(|error| Outcome::Broken(error.to_string()))?.to_bytes();
    match serde_json::from_slice::<http::Refusal>(&body) {
        Ok(refusal) => Err(Outcome::Refused(Box::new(refusal.error))),
        Err(_) => Err(Outcome::Broken(format!("status {status} without a result code"))),
    }
}

fn load_stall(response: &Response<Incoming>) -> Option<Duration> {
    let value = response.headers().get(LOAD_STALL_HEADER)?.to_str().ok()?;
    value.parse().ok().map(Duration::from_millis)
}

async fn read_json(
    body: Incoming,
    expected: &Expected,
    identity: &check::Identity,
) -> Result<String, Outcome> {
    let body = body.collect().await.map_err(|error| Outcome::Broken(error.to_string()))?;
    let value: Value = serde_json::from_slice(&body.to_bytes())
        .map_err(|error| Outcome::Wrong(format!("the response body is not JSON: {error}")))?;
    expected.check_chunk(identity, &value).map_err(Outcome::Wrong)?;
    Ok(check::content(&value).to_owned())
}

async fn read_stream(
    mut body: Incoming,
    expected: &Expected,
    identity: &check::Identity,
    answer: &mut Answer,
) -> Result<String, Outcome> {
    let mut parser = Parser::default();
    let mut text = String::new();
    let mut last = None;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| Outcome::Broken(error.to_string()))?;
        let Ok(data) = frame.into_data() else { continue };
        for event in parser.push(&data) {
            let value = match event {
                Event::Done => return Ok(text),
                Event::Malformed => {
                    return Err(Outcome::Wrong("malformed event in the stream".to_owned()));
                }
                Event::Data(value) => value,
            };
            if let Ok(refusal) = serde_json::from_value::<http::Refusal>(value.clone()) {
                return Err(Outcome::Refused(Box::new(refusal.error)));
            }
            expected.check_chunk(identity, &value).map_err(Outcome::Wrong)?;
            let token = check::content(&value);
            if !token.is_empty() {
                record_token(&mut last, answer);
                text.push_str(token);
            }
        }
    }
    // `Broken` rather than `Wrong`: without `[DONE]` the caller can see that the response is incomplete.
    Err(Outcome::Broken("the stream ended without [DONE]".to_owned()))
}

/// Records the arrival of a token.
fn record_token(last: &mut Option<Instant>, answer: &mut Answer) {
    let now = Instant::now();
    match last.replace(now) {
        Some(before) => answer.gaps.push(now - before),
        None => answer.first = Some(now),
    }
}

/// Returns whether the gate refused because of its own state, so that another gate may serve the request.
pub(crate) fn is_gate_unavailable(code: Code) -> bool {
    matches!(code, Code::NotServing | Code::Draining)
}

/// Returns the URI of a path at a gate.
pub(crate) fn gate_uri(address: &Name, path: &str) -> String {
    format!("http://{address}{path}")
}
