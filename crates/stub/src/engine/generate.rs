//! Serves completions: paces the tokens and sends them as JSON or as server-sent events.

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
use crate::engine::admission::Execution;
use crate::engine::admission::admit;
use crate::engine::request::Format;
use crate::engine::request::Identity;
use crate::engine::request::Request;
use crate::engine::request::identity;
use crate::engine::shared::Shared;
use crate::record::Status;
use crate::server::Connection;
use crate::service::header_number;
use crate::service::refusal;

pub(crate) async fn completions(
    State(shared): State<Arc<Shared>>,
    Extension(connection): Extension<Connection>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    run(shared, connection, headers, body, Format::Text).await
}

pub(crate) async fn chat(
    State(shared): State<Arc<Shared>>,
    Extension(connection): Extension<Connection>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    run(shared, connection, headers, body, Format::Chat).await
}

async fn run(
    shared: Arc<Shared>,
    connection: Connection,
    headers: HeaderMap,
    body: Bytes,
    format: Format,
) -> Response {
    let Ok(value) = serde_json::from_slice::<Value>(&body) else {
        return refusal(Reason::BadRequest);
    };
    let Some(request) = Request::new(&headers, &value, format) else {
        return refusal(Reason::BadRequest);
    };
    let fence = header_number(&headers, header::FENCE);
    let execution = match admit(&shared, &request, &headers, fence).await {
        Ok(execution) => execution,
        Err(reason) => return refusal(reason),
    };
    if shared.settings.poison.as_deref().is_some_and(|text| contains(&body, text)) {
        shared.clone().restart(shared.settings.downtime);
        std::future::pending::<()>().await;
    }
    let cached = {
        let prompt = value.get("prompt").or_else(|| value.get("messages"));
        let prompt = prompt.map(Value::to_string).unwrap_or_default();
        shared.inner.lock().prefixes.touch(&request.model, &prompt)
    };
    let identity = identity(&shared, &request);
    let cut_at =
        shared.injector.should_inject(|faults| faults.cut_percent).then_some(request.tokens / 2);
    let short_at =
        shared.injector.should_inject(|faults| faults.short_percent).then_some(request.tokens / 2);
    let answer =
        Answer { execution, request, identity, connection, cached, cut_at, short_at, index: 0 };
    answer.respond().await
}

fn contains(body: &[u8], text: &str) -> bool {
    !text.is_empty() && body.windows(text.len()).any(|window| window == text.as_bytes())
}

/// A response that is being generated.
struct Answer {
    execution: Execution,
    request: Request,
    identity: Identity,
    connection: Connection,
    /// Whether the prefix of the prompt was cached.
    cached: bool,
    /// The index of the token before which the connection is reset.
    cut_at: Option<u32>,
    /// The index of the token before which the response ends cleanly.
    short_at: Option<u32>,
    /// The index of the next token.
    index: u32,
}

/// The next step of a response.
enum Next {
    Token(String),
    End,
    Short,
    Cancelled,
}

impl Answer {
    async fn respond(mut self) -> Response {
        let shared = self.execution.admission.shared.clone();
        if shared.injector.should_inject(|faults| faults.hang_percent) {
            std::future::pending::<()>().await;
        }
        if shared.injector.should_inject(|faults| faults.late_percent) {
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
        if self.request.stream {
            let kind = [("content-type", "text/event-stream")];
            return (headers, kind, Body::from_stream(self.events(first))).into_response();
        }
        match self.collect(first).await {
            Some(body) => (headers, Json(body)).into_response(),
            None => StatusCode::GONE.into_response(),
        }
    }

    /// Generates the next token after its simulated latency.
    async fn next(&mut self) -> Next {
        if self.index == self.request.tokens {
            return Next::End;
        }
        if self.cut_at == Some(self.index) {
            self.execution.end = Status::Cut;
            self.connection.reset();
            std::future::pending::<()>().await;
        }
        if self.short_at == Some(self.index) {
            self.execution.end = Status::Cut;
            return Next::Short;
        }
        let cancel = self.execution.admission.cancel.clone();
        tokio::select! {
            () = tokio::time::sleep(self.token_delay()) => {}
            () = cancel.cancelled() => return Next::Cancelled,
        }
        self.execution.admission.shared.inner.lock().recorder.totals().tokens += 1;
        let Identity { request, model, prompt_digest } = &self.identity;
        let token = answer::token(model, request, *prompt_digest, self.index);
        self.index += 1;
        Next::Token(token)
    }

    /// Returns the simulated latency of the next token.
    fn token_delay(&self) -> Duration {
        let shared = &self.execution.admission.shared;
        let latency = &shared.settings.latency;
        let batch_size = shared.inner.lock().recorder.running().count() as f64;
        let mut millis = if self.index == 0 {
            latency.first_token_ms + latency.first_token_per_request_ms * batch_size
        } else {
            latency.token_ms + latency.token_per_request_ms * batch_size
        };
        if self.index == 0 && self.cached {
            millis *= f64::from(latency.cached_prefix_percent) / 100.0;
        }
        millis *= f64::from(shared.injector.faults().slow_percent) / 100.0;
        Duration::from_secs_f64(millis / 1_000.0)
    }

    /// Returns the complete response as JSON, or `None` if the request was cancelled.
    async fn collect(&mut self, first: Next) -> Option<Value> {
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
            if self.index == self.request.tokens { Value::from("length") } else { Value::Null };
        if self.execution.end == Status::Cancelled {
            self.execution.end = Status::Complete;
        }
        let mut body = self.chunk(&text, reason, true);
        body["usage"] = json!({ "completion_tokens": self.index, "total_tokens": self.index });
        Some(body)
    }

    /// Returns the response as a stream of events that ends with `[DONE]`.
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
                    answer.execution.end = Status::Complete;
                    let event = Bytes::from(format!("data: {last}\n\ndata: [DONE]\n\n"));
                    Some((Ok(event), None))
                }
                Next::Short => None,
                Next::Cancelled => Some((Err(io::Error::other("cancelled")), None)),
            }
        })
    }

    /// Returns a chunk of a response, or the whole response, as an OpenAI-compatible object.
    fn chunk(&self, text: &str, reason: Value, whole: bool) -> Value {
        let model = format!("{}@{}", self.identity.model.adapter, self.identity.model.version);
        let (object, content) = match (self.request.format, whole) {
            (Format::Text, _) => ("text_completion", json!({ "text": text })),
            (Format::Chat, true) => {
                ("chat.completion", json!({ "message": { "role": "assistant", "content": text } }))
            }
            (Format::Chat, false) => {
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
