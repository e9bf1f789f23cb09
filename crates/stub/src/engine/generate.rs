//! Completions: admission, tokens in time, the answer as JSON or as a stream of events.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use axum::Extension;
use axum::Json;
use axum::body::Body;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use bytes::Bytes;
use futures::Stream;
use futures::stream;
use serde_json::Value;
use serde_json::json;
use wire::endpoint::Reason;
use wire::header;

use crate::answer;
use crate::engine::ask::Ask;
use crate::engine::ask::Identity;
use crate::engine::ask::Shape;
use crate::engine::ask::identity;
use crate::engine::shared::Shared;
use crate::engine::visit::Work;
use crate::engine::visit::admit;
use crate::record::End;
use crate::server::Link;
use crate::service::number;
use crate::service::refusal;

pub(crate) async fn completions(
    State(shared): State<Arc<Shared>>,
    Extension(link): Extension<Link>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    run(shared, link, headers, body, Shape::Text).await
}

pub(crate) async fn chat(
    State(shared): State<Arc<Shared>>,
    Extension(link): Extension<Link>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    run(shared, link, headers, body, Shape::Chat).await
}

async fn run(
    shared: Arc<Shared>,
    link: Link,
    headers: HeaderMap,
    body: Bytes,
    shape: Shape,
) -> Response {
    let Ok(value) = serde_json::from_slice::<Value>(&body) else {
        return refusal(Reason::BadRequest);
    };
    let Some(ask) = Ask::new(&headers, &value, shape) else {
        return refusal(Reason::BadRequest);
    };
    let fence = number(&headers, header::FENCE);
    let work = match admit(&shared, &ask, &headers, fence).await {
        Ok(work) => work,
        Err(reason) => return refusal(reason),
    };
    if shared.settings.poison.as_deref().is_some_and(|text| contains(&body, text)) {
        shared.clone().restart(shared.settings.down);
        std::future::pending::<()>().await;
    }
    let cached = {
        let prompt = value.get("prompt").or_else(|| value.get("messages"));
        let prompt = prompt.map(Value::to_string).unwrap_or_default();
        shared.table.lock().prefixes.touch(&ask.model, &prompt)
    };
    let identity = identity(&shared, &ask);
    let cut_at = shared.injector.strikes(|faults| faults.cut_percent).then_some(ask.tokens / 2);
    let short_at = shared.injector.strikes(|faults| faults.short_percent).then_some(ask.tokens / 2);
    let answer = Answer { work, ask, identity, link, cached, cut_at, short_at, index: 0 };
    answer.respond().await
}

fn contains(body: &[u8], text: &str) -> bool {
    !text.is_empty() && body.windows(text.len()).any(|window| window == text.as_bytes())
}

/// An answer in the making.
struct Answer {
    work: Work,
    ask: Ask,
    identity: Identity,
    link: Link,
    /// Whether the prompt's prefix was cached.
    cached: bool,
    /// The token before which the connection is reset.
    cut_at: Option<u32>,
    /// The token before which the answer ends cleanly.
    short_at: Option<u32>,
    /// The number of the next token.
    index: u32,
}

/// What comes next of an answer.
enum Next {
    Token(String),
    End,
    Short,
    Cancelled,
}

impl Answer {
    async fn respond(mut self) -> Response {
        let shared = self.work.visit.shared.clone();
        if shared.injector.strikes(|faults| faults.hang_percent) {
            std::future::pending::<()>().await;
        }
        if shared.injector.strikes(|faults| faults.late_percent) {
            tokio::time::sleep(Duration::from_millis(shared.injector.faults().late_ms)).await;
        }
        let first = self.next().await;
        if matches!(first, Next::Cancelled) {
            return StatusCode::GONE.into_response();
        }
        let headers = [
            (header::REQUEST, self.identity.request.to_string()),
            (header::ADAPTER, self.identity.model.adapter.to_string()),
            (header::VERSION, self.identity.model.version.to_string()),
        ];
        if self.ask.stream {
            let kind = [("content-type", "text/event-stream")];
            return (headers, kind, Body::from_stream(self.events(first))).into_response();
        }
        match self.whole(first).await {
            Some(body) => (headers, Json(body)).into_response(),
            None => StatusCode::GONE.into_response(),
        }
    }

    /// Generates the next token in its time.
    async fn next(&mut self) -> Next {
        if self.index == self.ask.tokens {
            return Next::End;
        }
        if self.cut_at == Some(self.index) {
            self.work.end = End::Cut;
            self.link.cut();
            std::future::pending::<()>().await;
        }
        if self.short_at == Some(self.index) {
            self.work.end = End::Cut;
            return Next::Short;
        }
        let cancel = self.work.visit.cancel.clone();
        tokio::select! {
            () = tokio::time::sleep(self.pause()) => {}
            () = cancel.cancelled() => return Next::Cancelled,
        }
        self.work.visit.shared.table.lock().book.totals().tokens += 1;
        let Identity { request, model, prompt } = &self.identity;
        let token = answer::token(model, request, *prompt, self.index);
        self.index += 1;
        Next::Token(token)
    }

    /// Returns the time before the next token.
    fn pause(&self) -> Duration {
        let shared = &self.work.visit.shared;
        let pace = &shared.settings.pace;
        let others = shared.table.lock().book.live().count() as f64;
        let mut millis = if self.index == 0 {
            pace.first_ms + pace.first_each_ms * others
        } else {
            pace.token_ms + pace.token_each_ms * others
        };
        if self.index == 0 && self.cached {
            millis *= f64::from(pace.prefix_percent) / 100.0;
        }
        millis *= f64::from(shared.injector.faults().slow_percent) / 100.0;
        Duration::from_secs_f64(millis / 1_000.0)
    }

    /// Returns the whole answer as JSON; none if it was cancelled.
    async fn whole(&mut self, first: Next) -> Option<Value> {
        let mut text = String::new();
        let mut next = first;
        loop {
            match next {
                Next::Token(token) => text.push_str(&token),
                Next::End => break,
                Next::Short => break,
                Next::Cancelled => return None,
            }
            next = self.next().await;
        }
        let reason =
            if self.index == self.ask.tokens { Value::from("length") } else { Value::Null };
        if self.work.end == End::Cancelled {
            self.work.end = End::Complete;
        }
        let mut body = self.chunk(&text, reason, true);
        body["usage"] = json!({ "completion_tokens": self.index, "total_tokens": self.index });
        Some(body)
    }

    /// Returns the answer as a stream of events, ended by the mark.
    fn events(self, first: Next) -> impl Stream<Item = io::Result<Bytes>> + use<> {
        let state = Some((self, Some(first)));
        stream::unfold(state, |state| async move {
            let (mut answer, first) = state?;
            let next = match first {
                Some(first) => first,
                None => answer.next().await,
            };
            match next {
                Next::Token(token) => {
                    let event = answer.chunk(&token, Value::Null, false);
                    let event = Bytes::from(format!("data: {event}\n\n"));
                    Some((Ok(event), Some((answer, None))))
                }
                Next::End => {
                    let last = answer.chunk("", Value::from("length"), false);
                    answer.work.end = End::Complete;
                    let event = Bytes::from(format!("data: {last}\n\ndata: [DONE]\n\n"));
                    Some((Ok(event), None))
                }
                Next::Short => None,
                Next::Cancelled => Some((Err(io::Error::other("cancelled")), None)),
            }
        })
    }

    /// Returns a part of an answer, or the whole, in the established shape.
    fn chunk(&self, text: &str, reason: Value, whole: bool) -> Value {
        let model = format!("{}@{}", self.identity.model.adapter, self.identity.model.version);
        let (object, content) = match (self.ask.shape, whole) {
            (Shape::Text, _) => ("text_completion", json!({ "text": text })),
            (Shape::Chat, true) => {
                ("chat.completion", json!({ "message": { "role": "assistant", "content": text } }))
            }
            (Shape::Chat, false) => {
                ("chat.completion.chunk", json!({ "delta": { "content": text } }))
            }
        };
        let mut choice = content;
        choice["index"] = Value::from(0);
        choice["finish_reason"] = reason;
        json!({
            "id": self.identity.request.as_str(),
            "object": object,
            "created": crate::clock::now() / 1_000,
            "model": model,
            "choices": [choice],
        })
    }
}
