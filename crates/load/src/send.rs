//! Sends one request: attempts, choice of the gate, retries.

use std::iter;
use std::sync::Arc;
use std::time::Duration;

use base::Name;
use base::Ran;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::http::request::Builder;
use rand::RngExt;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;
use wire::header;
use wire::http;

use crate::attempt;
use crate::attempt::Answer;
use crate::attempt::Pool;
use crate::budget::Budget;
use crate::check::Expected;
use crate::directory::Directory;
use crate::settings::Run;
use crate::settings::Service;
use crate::workload::Arrival;
use crate::workload::Kind;

/// Time after the deadline in which a gate may still respond that the deadline was exceeded.
const DEADLINE_GRACE: Duration = Duration::from_secs(2);

/// Mean backoff before a retry without a `retry_after_ms` of the gate.
const RETRY_BACKOFF: Duration = Duration::from_millis(100);

/// The outcome of a request after all its attempts.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The response is complete and correct.
    Answered(Answer),
    /// The last attempt was refused with a result code.
    Refused(Box<http::Error>),
    /// No gate could be reached.
    Unreachable,
    /// The connection broke or the request timed out.
    Broken(String),
    /// The response looked complete but is wrong.
    Wrong(String),
}

/// The measurements of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// The scheduled time, relative to the start of the run.
    pub at: Duration,
    /// True for a completion, false for a service call.
    pub completion: bool,
    /// The time from the scheduled time to the first token of a stream.
    pub first: Option<Duration>,
    /// The time from the scheduled time to the end of the response.
    pub total: Duration,
    /// The attempts after the first.
    pub retries: u32,
    /// The outcome.
    pub outcome: Outcome,
}

/// The state that all requests of a run share.
pub(crate) struct Sender {
    pub(crate) run: Run,
    pub(crate) pool: Pool,
    pub(crate) directory: Directory,
    pub(crate) budget: Budget,
}

/// The path, headers and body of a request, kept for retries.
struct Message {
    path: String,
    headers: Vec<(&'static str, String)>,
    body: Bytes,
    /// The expected response of a completion; `None` for a service call.
    expected: Option<Expected>,
}

impl Sender {
    pub(crate) fn new(run: &Run) -> Sender {
        Sender {
            run: run.clone(),
            pool: attempt::pool(),
            directory: Directory::new(run.gates.clone(), run.direct, run.seed),
            budget: Budget::new(run.retry_percent),
        }
    }

    /// Sends the request of an arrival; returns two samples if its key is to be sent twice.
    pub(crate) async fn send(self: Arc<Sender>, arrival: Arrival, start: Instant) -> Vec<Sample> {
        let message = self.message(&arrival);
        let scheduled = start + arrival.at;
        let first = self.request(&message, scheduled, arrival.at).await;
        if !matches!(arrival.kind, Kind::Call { repeat: true, .. }) {
            return vec![first];
        }
        let repeated = Instant::now();
        let mut second = self.request(&message, repeated, arrival.at).await;
        check_repeat(&first, &mut second);
        vec![first, second]
    }

    fn message(&self, arrival: &Arrival) -> Message {
        let caller = (header::CALLER, arrival.caller.to_string());
        match &arrival.kind {
            Kind::Completion { adapter, prompt, stream, chat } => {
                let body = self.body(adapter, prompt, *stream, *chat);
                let path = if *chat { "/v1/chat/completions" } else { "/v1/completions" };
                // With `direct`, no gate generates the id.
                let id = self.run.direct.then(|| format!("{}-{}", self.run.seed, arrival.number));
                let expected = Expected {
                    request: id.clone(),
                    adapter: adapter.clone(),
                    version: self.run.adapters.version.clone(),
                    prompt_digest: stub::answer::prompt_digest(&body),
                    tokens: self.run.tokens,
                };
                Message {
                    path: path.to_owned(),
                    headers: iter::once(caller).chain(id.map(|id| (header::REQUEST, id))).collect(),
                    body: Bytes::from(body.to_string()),
                    expected: Some(expected),
                }
            }
            Kind::Call { key, .. } => {
                let path = self.run.service.as_ref().map(service_path).unwrap_or_default();
                let body = json!({ "order": arrival.number }).to_string();
                let key = (header::IDEMPOTENCY_KEY, key.to_string());
                Message {
                    path,
                    headers: vec![caller, key],
                    body: Bytes::from(body),
                    expected: None,
                }
            }
        }
    }

    fn body(&self, adapter: &Name, prompt: &str, stream: bool, chat: bool) -> Value {
        let model = match &self.run.adapters.version {
            Some(version) => format!("{adapter}@{version}"),
            None => adapter.to_string(),
        };
        let mut body = json!({ "model": model, "max_tokens": self.run.tokens, "stream": stream });
        if chat {
            body["messages"] = json!([{ "role": "user", "content": prompt }]);
        } else {
            body["prompt"] = Value::from(prompt);
        }
        body
    }

    /// Sends attempts until one succeeds, the error is not retryable, or the deadline or the retry budget
    /// is exhausted.
    ///
    /// The first redirect to other gates does not count against the retry budget: the request was not run,
    /// and a gate that drains refuses all requests in progress at once.
    async fn request(&self, message: &Message, scheduled: Instant, at: Duration) -> Sample {
        let deadline = scheduled + Duration::from_millis(self.run.deadline_ms);
        self.budget.deposit();
        let mut retries = 0;
        let mut redirected = false;
        let outcome = loop {
            let outcome = self.attempt(message, deadline).await;
            let Some(wait) = self.retry_delay(&outcome, message).await else { break outcome };
            if Instant::now() + wait >= deadline {
                break outcome;
            }
            let first_redirect = !redirected && is_redirect(&outcome);
            redirected |= first_redirect;
            if !first_redirect && !self.budget.withdraw() {
                break outcome;
            }
            tokio::time::sleep(wait).await;
            retries += 1;
        };
        let first = match &outcome {
            attempt::Outcome::Answered(answer) => answer.first.map(|first| first - scheduled),
            _ => None,
        };
        let outcome = match outcome {
            attempt::Outcome::Answered(answer) => Outcome::Answered(answer),
            attempt::Outcome::Refused(error) => Outcome::Refused(error),
            attempt::Outcome::Unreachable => Outcome::Unreachable,
            attempt::Outcome::Broken(what) => Outcome::Broken(what),
            attempt::Outcome::Wrong(what) => Outcome::Wrong(what),
        };
        let completion = message.expected.is_some();
        Sample { at, completion, first, total: scheduled.elapsed(), retries, outcome }
    }

    async fn attempt(&self, message: &Message, deadline: Instant) -> attempt::Outcome {
        let picked = tokio::time::timeout_at(deadline, self.directory.pick());
        let Ok(Some(address)) = picked.await else { return attempt::Outcome::Unreachable };
        let remaining = deadline.saturating_duration_since(Instant::now());
        let mut builder = Request::post(attempt::gate_uri(&address, &message.path));
        builder = builder.header("content-type", "application/json");
        builder = builder.header(header::DEADLINE, remaining.as_millis().max(1).to_string());
        builder = message.headers.iter().fold(builder, add_header);
        let request = match builder.body(Full::new(message.body.clone())) {
            Ok(request) => request,
            Err(error) => return attempt::Outcome::Broken(error.to_string()),
        };
        let response = async {
            match &message.expected {
                Some(expected) => attempt::complete(&self.pool, request, expected).await,
                None => attempt::call(&self.pool, request).await,
            }
        };
        let limit = deadline + DEADLINE_GRACE;
        let outcome = tokio::time::timeout_at(limit, response).await;
        let outcome = outcome.unwrap_or_else(|_| {
            attempt::Outcome::Broken("timed out without a response".to_owned())
        });
        self.update_directory(&address, &outcome);
        outcome
    }

    /// Updates the directory of addresses after an attempt.
    fn update_directory(&self, address: &Name, outcome: &attempt::Outcome) {
        match outcome {
            attempt::Outcome::Unreachable | attempt::Outcome::Broken(_) => {
                self.directory.mark_failed(address);
            }
            attempt::Outcome::Refused(error) if attempt::is_gate_unavailable(error.code) => {
                self.directory.update(error.addresses.clone());
                self.directory.mark_failed(address);
            }
            _ => {}
        }
    }

    /// Returns the backoff before the next attempt, or `None` if the request must not be retried.
    ///
    /// Completions are idempotent and calls carry an idempotency key, so that both can be retried after a
    /// broken connection.
    async fn retry_delay(&self, outcome: &attempt::Outcome, message: &Message) -> Option<Duration> {
        let jitter = RETRY_BACKOFF.mul_f64(0.5 + rand::rng().random::<f64>());
        match outcome {
            attempt::Outcome::Answered(_) | attempt::Outcome::Wrong(_) => None,
            attempt::Outcome::Unreachable | attempt::Outcome::Broken(_) => Some(jitter),
            attempt::Outcome::Refused(error) if attempt::is_gate_unavailable(error.code) => {
                Some(Duration::ZERO)
            }
            attempt::Outcome::Refused(error)
                if error.ran == Ran::No || message.expected.is_some() =>
            {
                error.retry_after_ms.map(Duration::from_millis)
            }
            attempt::Outcome::Refused(error) if error.code == base::Code::KeyInProgress => {
                Some(jitter)
            }
            attempt::Outcome::Refused(_) => None,
        }
    }
}

/// Returns whether a gate did not run the request because of its own state and named other gates.
fn is_redirect(outcome: &attempt::Outcome) -> bool {
    let attempt::Outcome::Refused(error) = outcome else { return false };
    attempt::is_gate_unavailable(error.code) && error.ran == Ran::No && !error.addresses.is_empty()
}

fn add_header(builder: Builder, (name, value): &(&'static str, String)) -> Builder {
    builder.header(*name, value)
}

fn service_path(service: &Service) -> String {
    format!("/v1/services/{}{}", service.kind, service.path)
}

/// Marks the second sample of a key as wrong if its response differs from the first.
fn check_repeat(first: &Sample, second: &mut Sample) {
    let (Outcome::Answered(original), Outcome::Answered(repeated)) =
        (&first.outcome, &second.outcome)
    else {
        return;
    };
    if original.body != repeated.body {
        second.outcome = Outcome::Wrong("a repeated key got a different response".to_owned());
    }
}
