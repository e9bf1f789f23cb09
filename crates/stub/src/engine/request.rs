//! Parses completion requests and chooses the identity that the response carries.

use axum::http::HeaderMap;
use base::Name;
use serde_json::Value;
use wire::endpoint::Model;
use wire::header;

use crate::answer;
use crate::engine::shared::Shared;
use crate::service::header_text;

/// Upper limit on the tokens that a request can generate.
const MAX_TOKENS: u64 = 100_000;

/// The response format: text completion or chat completion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Format {
    Text,
    Chat,
}

/// A parsed completion request.
pub(crate) struct Request {
    pub(crate) id: Name,
    pub(crate) model: Model,
    pub(crate) prompt_digest: u64,
    pub(crate) tokens: u32,
    pub(crate) stream: bool,
    pub(crate) format: Format,
}

/// The request, model and prompt that the response is generated for.
///
/// They differ from the request's own if a `wrong_version_percent` or `crossed_percent` fault is injected.
pub(crate) struct Identity {
    pub(crate) request: Name,
    pub(crate) model: Model,
    pub(crate) prompt_digest: u64,
}

impl Request {
    pub(crate) fn new(headers: &HeaderMap, body: &Value, format: Format) -> Option<Request> {
        let (adapter, version) = body.get("model")?.as_str()?.split_once('@')?;
        let model = Model { adapter: Name::from(adapter), version: Name::from(version) };
        let tokens = body.get("max_tokens").and_then(Value::as_u64);
        let tokens = tokens.unwrap_or(u64::from(answer::DEFAULT_MAX_TOKENS)).clamp(1, MAX_TOKENS);
        Some(Request {
            id: header_text(headers, header::REQUEST).unwrap_or_default(),
            model,
            prompt_digest: answer::prompt_digest(body),
            tokens: u32::try_from(tokens).ok()?,
            stream: body.get("stream").and_then(Value::as_bool).unwrap_or(false),
            format,
        })
    }
}

/// Returns the identity for the response, after faults were applied.
pub(crate) fn identity(shared: &Shared, request: &Request) -> Identity {
    let mut identity = Identity {
        request: request.id.clone(),
        model: request.model.clone(),
        prompt_digest: request.prompt_digest,
    };
    if shared.injector.should_inject(|faults| faults.wrong_version_percent) {
        identity.model.version = Name::from(format!("{}-wrong", identity.model.version));
    }
    if shared.injector.should_inject(|faults| faults.crossed_percent) {
        let inner = shared.inner.lock();
        let other = inner.recorder.running().find(|run| run.request != request.id);
        match other {
            Some(run) => {
                identity.request = run.request.clone();
                identity.model = run.model.clone().unwrap_or(identity.model);
                identity.prompt_digest = run.digest;
            }
            None => {
                identity.request = Name::from(format!("{}-crossed", request.id));
                identity.prompt_digest = !request.prompt_digest;
            }
        }
    }
    identity
}
