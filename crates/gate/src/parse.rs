//! Parses requests from callers and relayed requests from other gates.

use std::str::FromStr;
use std::time::Duration;

use axum::body::Body;
use axum::body::Bytes;
use axum::http::HeaderMap;
use axum::http::header::CONTENT_TYPE;
use axum::http::request::Parts;
use base::Code;
use base::Name;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use tokio::time::Instant;
use wire::endpoint::Model;
use wire::header;
use wire::http::Completion;

use crate::context::Context;
use crate::refusal::Refusal;
use crate::request::Operation;
use crate::request::Parsed;
use crate::request::Request;

/// The path prefix of calls of plain services.
pub(crate) const SERVICES: &str = "/v1/services/";
/// The timeout for receiving the body of a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// The priority of a request without a priority header.
const DEFAULT_PRIORITY: u8 = 5;
/// The highest priority.
const MAX_PRIORITY: u8 = 9;
/// The maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Reads the body of a request, up to `limits.body_bytes`.
pub(crate) async fn body(context: &Context, body: Body) -> Result<Bytes, Refusal> {
    let limited = Limited::new(body, context.config.limits.body_bytes);
    let read = tokio::time::timeout(BODY_TIMEOUT, limited.collect()).await;
    let read = read.map_err(|_| Refusal::with(Code::BadRequest, "the body did not arrive"))?;
    read.map(|collected| collected.to_bytes()).map_err(|error| {
        if error.is::<LengthLimitError>() {
            Refusal::new(Code::TooLarge)
        } else {
            Refusal::with(Code::BadRequest, "the body cannot be read")
        }
    })
}

/// Parses a request from its head and body.
pub(crate) fn request(
    id: Name,
    parts: &Parts,
    body: Bytes,
    caller: Name,
    received: Instant,
) -> Result<Request<Parsed>, Refusal> {
    let headers = &parts.headers;
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned();
    let operation = operation(&path, &body)?;
    let priority = number::<u8>(headers, header::PRIORITY)?.unwrap_or(DEFAULT_PRIORITY);
    if priority > MAX_PRIORITY {
        return Err(bad_header(header::PRIORITY));
    }
    let key = text(headers, header::IDEMPOTENCY_KEY)?;
    if key.as_ref().is_some_and(|key| key.is_empty() || key.len() > MAX_KEY_BYTES) {
        return Err(bad_header(header::IDEMPOTENCY_KEY));
    }
    Ok(Request {
        id,
        method: parts.method.clone(),
        path,
        content_type: text(headers, CONTENT_TYPE.as_str())?,
        body,
        priority,
        received,
        deadline_ms: number(headers, header::DEADLINE)?,
        caller,
        key,
        non_idempotent: flag(headers, header::NON_IDEMPOTENT)?,
        operation,
        stage: Parsed,
    })
}

fn operation(path: &str, body: &[u8]) -> Result<Operation, Refusal> {
    if let Some(rest) = path.strip_prefix(SERVICES) {
        let end = rest.find(['/', '?']).unwrap_or(rest.len());
        let (kind, tail) = rest.split_at(end);
        let path = if tail.starts_with('/') { tail.to_owned() } else { format!("/{tail}") };
        return Ok(Operation::Service { kind: Name::from(kind), path });
    }
    let completion: Completion = serde_json::from_slice(body)
        .map_err(|error| Refusal::with(Code::BadRequest, error.to_string()))?;
    Ok(Operation::Completion { model: completion.model, stream: completion.stream })
}

/// Returns the adapter version that the relaying gate resolved, if the headers contain it.
pub(crate) fn resolved_model(headers: &HeaderMap) -> Result<Option<Model>, Refusal> {
    let adapter = text(headers, header::ADAPTER)?;
    let version = text(headers, header::VERSION)?;
    Ok(adapter.zip(version).map(|(adapter, version)| Model { adapter, version }))
}

/// Returns the text of a header.
pub(crate) fn text(headers: &HeaderMap, name: &str) -> Result<Option<Name>, Refusal> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    value.to_str().map(|text| Some(Name::from(text))).map_err(|_| bad_header(name))
}

/// Returns whether a header is `true`; a missing header is `false`.
pub(crate) fn flag(headers: &HeaderMap, name: &str) -> Result<bool, Refusal> {
    match text(headers, name)?.as_deref() {
        None | Some("false") => Ok(false),
        Some("true") => Ok(true),
        Some(_) => Err(bad_header(name)),
    }
}

fn number<T: FromStr>(headers: &HeaderMap, name: &str) -> Result<Option<T>, Refusal> {
    let Some(text) = text(headers, name)? else { return Ok(None) };
    text.parse().map(Some).map_err(|_| bad_header(name))
}

fn bad_header(name: &str) -> Refusal {
    Refusal::with(Code::BadHeader, format!("the header {name} has a wrong value"))
}
