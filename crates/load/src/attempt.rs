//! One attempt: a request to one gate and its answer.

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

/// The time in milliseconds that a request waited for its adapter, on an answer.
pub const LOAD_STALL_HEADER: &str = "x-load-stall-ms";

/// The client that all attempts share.
pub type Pool = Client<HttpConnector, Full<Bytes>>;

/// Makes a client that keeps connections open.
pub fn pool() -> Pool {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).build(connector)
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The whole answer came and is right.
    Answered(Answer),
    /// A numbered refusal.
    Refused(Box<http::Error>),
    /// No connection; nothing was sent.
    Unreachable,
    /// The connection broke or the time ran out; the request may have run.
    Broken(String),
    /// The answer was another's, of another version, short or malformed, and looked complete.
    Wrong(String),
}

/// What was measured on an answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Answer {
    /// When the first token came; none if the answer was not streamed.
    pub first: Option<Instant>,
    /// The times between tokens.
    pub gaps: Vec<Duration>,
    /// How long the request waited for its adapter.
    pub stall: Option<Duration>,
    /// The body of a service's answer.
    pub body: Bytes,
}

/// Sends a completion and checks its answer.
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

/// Sends a call of a service.
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

/// Sends a request; anything but a successful answer is an end.
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
        Err(_) => Err(Outcome::Broken(format!("status {status} without a numbered code"))),
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
        .map_err(|error| Outcome::Wrong(format!("no JSON: {error}")))?;
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
                Event::Malformed => return Err(Outcome::Wrong("a malformed event".to_owned())),
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
    // Without the end mark the caller sees that it is not complete.
    Err(Outcome::Broken("the stream ended before its end mark".to_owned()))
}

/// Notes the arrival of a token.
fn record_token(last: &mut Option<Instant>, answer: &mut Answer) {
    let now = Instant::now();
    match last.replace(now) {
        Some(before) => answer.gaps.push(now - before),
        None => answer.first = Some(now),
    }
}

/// Returns whether another gate may take what this one refused.
pub(crate) fn is_gate_unavailable(code: Code) -> bool {
    matches!(code, Code::NotServing | Code::Draining)
}

/// Returns the address's part of a request's URI.
pub(crate) fn gate_uri(address: &Name, path: &str) -> String {
    format!("http://{address}{path}")
}
