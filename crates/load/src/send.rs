//! One request from its intended time to its outcome: attempts, other gates, retries.

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

/// What a gate may take beyond the deadline to say so.
const DEADLINE_GRACE: Duration = Duration::from_secs(2);

/// The wait before a retry that no gate gave a time for.
const RETRY_BACKOFF: Duration = Duration::from_millis(100);

/// How a request ended, over all its attempts.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The right answer came, whole.
    Answered(Answer),
    /// A numbered refusal was the last word.
    Refused(Box<http::Error>),
    /// No gate could be reached.
    Unreachable,
    /// The connection broke or the time ran out.
    Broken(String),
    /// A wrong answer that looked right.
    Wrong(String),
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// Its intended time.
    pub at: Duration,
    /// Whether it was a completion; a call of a service otherwise.
    pub completion: bool,
    /// The time from the intended start to the first token of a stream.
    pub first: Option<Duration>,
    /// The time from the intended start to the end.
    pub total: Duration,
    /// The attempts after the first.
    pub retries: u32,
    /// How it ended.
    pub outcome: Outcome,
}

/// What all requests of a run share.
pub(crate) struct Sender {
    pub(crate) run: Run,
    pub(crate) pool: Pool,
    pub(crate) directory: Directory,
    pub(crate) budget: Budget,
}

/// A request that can be sent again: its path, headers and body.
struct Message {
    path: String,
    headers: Vec<(&'static str, String)>,
    body: Bytes,
    /// What a completion's answer is compared with; none for a call.
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

    /// Sends what arrived; a key that is sent twice gives two samples.
    pub(crate) async fn send(self: Arc<Sender>, arrival: Arrival, start: Instant) -> Vec<Sample> {
        let message = self.message(&arrival);
        let intended = start + arrival.at;
        let first = self.request(&message, intended, arrival.at).await;
        if !matches!(arrival.kind, Kind::Call { repeat: true, .. }) {
            return vec![first];
        }
        let again = Instant::now();
        let mut second = self.request(&message, again, arrival.at).await;
        check_repeat(&first, &mut second);
        vec![first, second]
    }

    fn message(&self, arrival: &Arrival) -> Message {
        let caller = (header::CALLER, arrival.caller.to_string());
        match &arrival.kind {
            Kind::Completion { adapter, prompt, stream, chat } => {
                let body = self.body(adapter, prompt, *stream, *chat);
                let path = if *chat { "/v1/chat/completions" } else { "/v1/completions" };
                // Without a gate nothing else makes the id.
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

    /// Tries until there is an outcome or nothing more may be tried.
    async fn request(&self, message: &Message, intended: Instant, at: Duration) -> Sample {
        let deadline = intended + Duration::from_millis(self.run.deadline_ms);
        self.budget.deposit();
        let mut retries = 0;
        let end = loop {
            let end = self.attempt(message, deadline).await;
            let Some(wait) = self.retry_delay(&end, message).await else { break end };
            if Instant::now() + wait >= deadline || !self.budget.withdraw() {
                break end;
            }
            tokio::time::sleep(wait).await;
            retries += 1;
        };
        let first = match &end {
            attempt::Outcome::Answered(answer) => answer.first.map(|first| first - intended),
            _ => None,
        };
        let outcome = match end {
            attempt::Outcome::Answered(answer) => Outcome::Answered(answer),
            attempt::Outcome::Refused(error) => Outcome::Refused(error),
            attempt::Outcome::Unreachable => Outcome::Unreachable,
            attempt::Outcome::Broken(what) => Outcome::Broken(what),
            attempt::Outcome::Wrong(what) => Outcome::Wrong(what),
        };
        let completion = message.expected.is_some();
        Sample { at, completion, first, total: intended.elapsed(), retries, outcome }
    }

    async fn attempt(&self, message: &Message, deadline: Instant) -> attempt::Outcome {
        let picked = tokio::time::timeout_at(deadline, self.directory.pick());
        let Ok(Some(address)) = picked.await else { return attempt::Outcome::Unreachable };
        let left = deadline.saturating_duration_since(Instant::now());
        let mut builder = Request::post(attempt::gate_uri(&address, &message.path));
        builder = builder.header("content-type", "application/json");
        builder = builder.header(header::DEADLINE, left.as_millis().max(1).to_string());
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
        let end = tokio::time::timeout_at(limit, response).await;
        let end = end.unwrap_or_else(|_| attempt::Outcome::Broken("no answer in time".to_owned()));
        self.update_directory(&address, &end);
        end
    }

    /// Takes what an end says about gates.
    fn update_directory(&self, address: &Name, end: &attempt::Outcome) {
        match end {
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

    /// Returns after which wait a request may be sent again; none if not at all.
    ///
    /// Completions are idempotent and calls carry their key, so that both may be sent again after
    /// a connection broke.
    async fn retry_delay(&self, end: &attempt::Outcome, message: &Message) -> Option<Duration> {
        let jitter = RETRY_BACKOFF.mul_f64(0.5 + rand::rng().random::<f64>());
        match end {
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

fn add_header(builder: Builder, (name, value): &(&'static str, String)) -> Builder {
    builder.header(*name, value)
}

fn service_path(service: &Service) -> String {
    format!("/v1/services/{}{}", service.kind, service.path)
}

/// Marks the second sample of a key as wrong if its answer differs from the first.
fn check_repeat(first: &Sample, second: &mut Sample) {
    let (Outcome::Answered(one), Outcome::Answered(other)) = (&first.outcome, &second.outcome)
    else {
        return;
    };
    if one.body != other.body {
        second.outcome = Outcome::Wrong("a key sent again got another answer".to_owned());
    }
}
