//! What a request asks of the engine, and whose answer it gets.

use axum::http::HeaderMap;
use base::Name;
use serde_json::Value;
use wire::endpoint::Model;
use wire::header;

use crate::answer;
use crate::engine::shared::Shared;
use crate::service::text;

/// The most tokens of an answer.
const MOST_TOKENS: u64 = 100_000;

/// The form of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Shape {
    Text,
    Chat,
}

/// A request as the engine understands it.
pub(crate) struct Ask {
    pub(crate) request: Name,
    pub(crate) model: Model,
    pub(crate) prompt: u64,
    pub(crate) tokens: u32,
    pub(crate) stream: bool,
    pub(crate) shape: Shape,
}

/// Whose answer is given; another's if a fault wants it.
pub(crate) struct Identity {
    pub(crate) request: Name,
    pub(crate) model: Model,
    pub(crate) prompt: u64,
}

impl Ask {
    pub(crate) fn new(headers: &HeaderMap, body: &Value, shape: Shape) -> Option<Ask> {
        let (adapter, version) = body.get("model")?.as_str()?.split_once('@')?;
        let model = Model { adapter: Name::from(adapter), version: Name::from(version) };
        let tokens = body.get("max_tokens").and_then(Value::as_u64);
        let tokens = tokens.unwrap_or(u64::from(answer::DEFAULT_TOKENS)).clamp(1, MOST_TOKENS);
        Some(Ask {
            request: text(headers, header::REQUEST).unwrap_or_default(),
            model,
            prompt: answer::prompt_digest(body),
            tokens: u32::try_from(tokens).ok()?,
            stream: body.get("stream").and_then(Value::as_bool).unwrap_or(false),
            shape,
        })
    }
}

/// Chooses whose answer is given.
pub(crate) fn identity(shared: &Shared, ask: &Ask) -> Identity {
    let mut identity =
        Identity { request: ask.request.clone(), model: ask.model.clone(), prompt: ask.prompt };
    if shared.injector.strikes(|faults| faults.wrong_version_percent) {
        identity.model.version = Name::from(format!("{}-wrong", identity.model.version));
    }
    if shared.injector.strikes(|faults| faults.crossed_percent) {
        let table = shared.table.lock();
        let other = table.book.live().find(|run| run.request != ask.request);
        match other {
            Some(run) => {
                identity.request = run.request.clone();
                identity.model = run.model.clone().unwrap_or(identity.model);
                identity.prompt = run.digest;
            }
            None => {
                identity.request = Name::from(format!("{}-crossed", ask.request));
                identity.prompt = !ask.prompt;
            }
        }
    }
    identity
}
