//! The life of a request: route, endpoint, attempts, answer.

use std::sync::Arc;
use std::time::Duration;

use base::Code;
use base::Event;
use base::Name;
use bytes::Bytes;
use fleet::endpoint::Endpoint;
use fleet::message::Outcome;
use fleet::message::Query;
use fleet::plan::Kind;
use fleet::plan::Route;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use tokio::time::Instant;

use crate::attempt;
use crate::attempt::Attempt;
use crate::attempt::Purpose;
use crate::body::Body;
use crate::choose;
use crate::dialect::Delivery;
use crate::dialect::Dialect;
use crate::dialect::Request;
use crate::gate::Gate;
use crate::refusal::Refusal;
use crate::send;
use crate::send::Sent;
use crate::settings::HELD;
use crate::settings::LEADERLESS;
use crate::settings::RETRY;
use crate::settings::START;
use crate::settings::UNANSWERED;
use crate::settings::UNOPENED;
use crate::settings::UNPLANNED;
use crate::ticket::Ticket;
use crate::uplink::Verdict;

/// The share of its time for which an idempotent request waits for one endpoint before another is tried.
const PATIENCE: f64 = 0.4;
/// The fewest times its target that it waits.
const PATIENCE_TARGETS: u32 = 2;

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// A request that has its route.
struct Errand {
    request: Request,
    route: Route,
    service: Name,
    parts: Parts,
    body: Bytes,
    received: Instant,
    deadline: Instant,
}

/// An endpoint for an attempt.
struct Target {
    endpoint: Endpoint,
    version: Option<u64>,
    urgency: Option<u8>,
    /// The question that a scheduler answered with it.
    ask: Option<Query>,
}

impl<D: Dialect> Gate<D> {
    /// Answers a request.
    pub(crate) async fn handle(
        self: Arc<Gate<D>>,
        request: hyper::Request<Incoming>,
    ) -> Response<Body> {
        let received = Instant::now();
        let (parts, body) = request.into_parts();
        let (id, name, answer) = match self.errand(parts, body, received).await {
            Ok(errand) => {
                let id = errand.request.id.clone();
                let name = errand.route.name.clone();
                let deadline = errand.deadline;
                let forwarded = tokio::time::timeout_at(deadline, self.forward(errand)).await;
                let late = || Err(Refusal::new(Code::EndpointTimeout));
                (id, name, forwarded.unwrap_or_else(|_| late()))
            }
            Err((id, refusal)) => (id, Name::default(), Err(refusal)),
        };
        let mut answer = answer.unwrap_or_else(|refusal| self.refuse(&id, &refusal, received));
        if self.board.is_draining() {
            answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        let status = answer.status();
        self.metrics.requests.with_label_values(&[&*name, status.as_str()]).inc();
        self.metrics.heads.with_label_values(&[&*name]).observe(received.elapsed().as_secs_f64());
        answer
    }

    fn refuse(&self, id: &Name, refusal: &Refusal, received: Instant) -> Response<Body> {
        let ms = received.elapsed().as_millis() as u64;
        let retry_ms = refusal.retry.unwrap_or_default().as_millis() as u64;
        base::event!(
            INFO, Event::Refused, request = %id, code = refusal.code.number(),
            reason = refusal.code.name(), retry_ms, ms
        );
        self.metrics.refusals.with_label_values(&[refusal.code.name()]).inc();
        self.dialect.refuse(refusal, id).map(attempt::whole)
    }

    /// Reads a request and finds its route.
    async fn errand(
        &self,
        parts: Parts,
        body: Incoming,
        received: Instant,
    ) -> Result<Errand, (Name, Refusal)> {
        let request = self.dialect.request(&parts).map_err(|refusal| (Name::default(), refusal))?;
        let id = request.id.clone();
        let refuse = |code| (id.clone(), Refusal::new(code));
        let patience = request.deadline.unwrap_or(START).mul_f64(UNPLANNED);
        let table = self.board.await_table(patience).await.ok_or_else(|| {
            let left = START.saturating_sub(self.board.now());
            (id.clone(), Refusal::later(Code::NotServing, left.max(RETRY)))
        })?;
        let route = table.route(&request.host, parts.uri.path());
        let route = route.ok_or_else(|| refuse(Code::UnknownPath))?.clone();
        let limits = &table.plan().limits;
        let timeout = request.deadline.map_or(route.timeout, |left| left.min(route.timeout));
        let deadline = received + timeout;
        let limited = Limited::new(body, limits.body_bytes).collect();
        let body = match tokio::time::timeout_at(deadline, limited).await {
            Err(_) => return Err(refuse(Code::DeadlineExceeded)),
            Ok(Err(error)) if error.is::<LengthLimitError>() => {
                return Err(refuse(Code::TooLarge));
            }
            Ok(Err(_)) => return Err(refuse(Code::BadRequest)),
            Ok(Ok(body)) => body.to_bytes(),
        };
        self.budget.lock().count(self.board.now());
        let service = route.select_service(rand::random()).clone();
        Ok(Errand { request, route, service, parts, body, received, deadline })
    }

    /// Sends a request to endpoints until one answers well or no more may be tried.
    async fn forward(self: &Arc<Gate<D>>, errand: Errand) -> Result<Response<Body>, Refusal> {
        let mut excluded = Vec::new();
        let mut attempts = 0;
        let mut unsent = 0;
        let mut last: Option<Result<Response<Body>, Refusal>> = None;
        loop {
            let target = match self.target(&errand, &excluded).await {
                Ok(target) => target,
                Err(refusal) => return last.unwrap_or(Err(refusal)),
            };
            let retry = attempts > 0;
            if retry && !self.budget.lock().take(self.board.now()) {
                return last.unwrap_or(Err(Refusal::later(Code::RetryBudget, RETRY)));
            }
            excluded.push(target.endpoint.id.clone());
            let more = attempts + 1 < errand.route.attempts;
            let outcome = self.attempt(&errand, target, more).await;
            let repeatable = errand.route.kind.is_retryable();
            match outcome {
                Attempt::Answer { answer, failed } => {
                    let again =
                        failed && repeatable && more && errand.route.kind == Kind::Idempotent;
                    if !again {
                        return Ok(*answer);
                    }
                    last = Some(Ok(*answer));
                }
                Attempt::Refused(outcome) => {
                    let code = match outcome {
                        Outcome::Misdirected => Code::NoEndpoint,
                        _ => Code::QueueFull,
                    };
                    let known =
                        matches!(last, Some(Ok(_)) | Some(Err(Refusal { retry: None, .. })));
                    if !known {
                        last = Some(Err(Refusal::later(code, RETRY)));
                    }
                }
                Attempt::Unsent => {
                    unsent += 1;
                    if unsent < UNOPENED {
                        continue;
                    }
                    return last.unwrap_or(Err(Refusal::later(Code::NoEndpoint, RETRY)));
                }
                Attempt::Lost(code) => {
                    last = Some(Err(Refusal::new(code)));
                    if !repeatable {
                        break;
                    }
                }
            }
            attempts += 1;
            if !more {
                break;
            }
        }
        last.unwrap_or(Err(Refusal::later(Code::NoEndpoint, RETRY)))
    }

    /// Makes one attempt; an idempotent request that may go elsewhere does not wait to the end.
    async fn attempt(self: &Arc<Gate<D>>, errand: &Errand, target: Target, more: bool) -> Attempt {
        let purpose = Purpose {
            id: errand.request.id.clone(),
            endpoint: target.endpoint.id.clone(),
            deadline: errand.deadline,
            streams: matches!(errand.route.kind, Kind::Stream { .. }),
        };
        let sending = self.send(errand, target, &purpose);
        if !(more && errand.route.kind == Kind::Idempotent) {
            return sending.await;
        }
        let left = errand.deadline.saturating_duration_since(Instant::now());
        let patience = left.mul_f64(PATIENCE).max(errand.route.target * PATIENCE_TARGETS);
        tokio::time::timeout(patience, sending).await.unwrap_or_else(|_| {
            purpose.fail("no answer in time");
            Attempt::Lost(Code::EndpointTimeout)
        })
    }

    async fn send(
        self: &Arc<Gate<D>>,
        errand: &Errand,
        target: Target,
        purpose: &Purpose,
    ) -> Attempt {
        let endpoint = &target.endpoint;
        let placed = target.ask.as_ref().map(|ask| {
            self.uplink.place(ask, &endpoint.id);
            (self.uplink.clone(), ask.request)
        });
        let mut ticket = Ticket::new(&self.board, placed, &endpoint.id);
        let request = self.outgoing(errand, &target);
        let sent = send::send(&self.pool, endpoint, request).await;
        let attempt = match sent {
            Sent::Answered(answer, sender) => {
                let (mut head, body) = answer.into_parts();
                let told = self.dialect.answer(&head, &errand.request.id);
                strip(&mut head.headers);
                let answer = Response::from_parts(head, body);
                purpose.take(&self.pool, answer, sender, &told, ticket).await
            }
            Sent::Unsent(reason) => {
                ticket.end(Outcome::Lost);
                purpose.fail(&reason);
                Attempt::Unsent
            }
            Sent::Lost(reason) => {
                ticket.end(Outcome::Lost);
                purpose.fail(&reason);
                Attempt::Lost(Code::EndpointFailed)
            }
        };
        let outcome = match &attempt {
            Attempt::Answer { failed: false, .. } => "answered",
            Attempt::Answer { .. } => "failed",
            Attempt::Refused(_) => "refused",
            Attempt::Unsent => "unsent",
            Attempt::Lost(_) => "lost",
        };
        self.metrics.attempts.with_label_values(&[outcome]).inc();
        attempt
    }

    /// Makes the request as it is sent to an endpoint.
    fn outgoing(&self, errand: &Errand, target: &Target) -> hyper::Request<Full<Bytes>> {
        let mut request = hyper::Request::new(Full::new(errand.body.clone()));
        *request.method_mut() = errand.parts.method.clone();
        let path = errand.parts.uri.path_and_query().cloned();
        *request.uri_mut() = path.map_or_else(|| errand.parts.uri.clone(), Into::into);
        *request.headers_mut() = errand.parts.headers.clone();
        let headers = request.headers_mut();
        strip(headers);
        headers.remove(header::EXPECT);
        if errand.body.is_empty() && !errand.parts.headers.contains_key(header::TRANSFER_ENCODING) {
            // A request that came without a body goes without one.
        } else {
            headers.insert(header::CONTENT_LENGTH, HeaderValue::from(errand.body.len()));
        }
        let left = errand.deadline.saturating_duration_since(Instant::now());
        let delivery = Delivery {
            endpoint: target.endpoint.clone(),
            left,
            version: target.version,
            urgency: target.urgency,
        };
        self.dialect.deliver(headers, &delivery);
        request
    }

    /// Finds an endpoint for the next attempt.
    async fn target(
        self: &Arc<Gate<D>>,
        errand: &Errand,
        excluded: &[Name],
    ) -> Result<Target, Refusal> {
        match errand.request.model.clone() {
            Some(model) => self.engine(errand, model, excluded).await,
            None => self.plain(errand, excluded),
        }
    }

    fn plain(&self, errand: &Errand, excluded: &[Name]) -> Result<Target, Refusal> {
        let endpoints = self.board.endpoints();
        let fitting = endpoints.values().filter(|endpoint| endpoint.service == errand.service);
        self.least_loaded(fitting, excluded, None)
    }

    fn least_loaded<'a>(
        &self,
        endpoints: impl Iterator<Item = &'a Endpoint>,
        excluded: &[Name],
        version: Option<u64>,
    ) -> Result<Target, Refusal> {
        let now = self.board.now();
        let domain = &self.settings.domain;
        let stats = self.board.stats.lock();
        let tie = rand::random();
        let chosen = choose::choose(endpoints, &stats, domain, excluded, tie, now);
        let endpoint = chosen.filter(|endpoint| !excluded.contains(&endpoint.id)).cloned();
        let endpoint = endpoint.ok_or(Refusal::later(Code::NoEndpoint, RETRY))?;
        Ok(Target { endpoint, version, urgency: None, ask: None })
    }

    /// Asks the scheduler for an engine, and chooses one by itself without an answer. Where it knows none
    /// that holds the adapter, it waits for a new leader.
    async fn engine(
        self: &Arc<Gate<D>>,
        errand: &Errand,
        model: Name,
        excluded: &[Name],
    ) -> Result<Target, Refusal> {
        let asked = Instant::now();
        let (mut ask, mut verdict) = self.ask(errand, &model, excluded).await;
        if matches!(verdict, Verdict::Leaderless | Verdict::Silent) {
            let target = self.unscheduled(errand, &ask, excluded);
            let served = target.is_ok() || matches!(verdict, Verdict::Silent);
            if served || !self.await_leader(errand, &ask).await {
                self.placed("unscheduled", asked.elapsed());
                return target;
            }
            (ask, verdict) = self.ask(errand, &model, excluded).await;
        }
        let waited = asked.elapsed();
        match verdict {
            Verdict::Grant(grant) => {
                base::event!(
                    INFO, Event::Routed, request = %errand.request.id, endpoint = %grant.endpoint.id,
                    adapter = %ask.adapter, urgency = grant.urgency, target_ms = ask.target_ms,
                    waited_ms = waited.as_millis() as u64
                );
                self.placed("granted", waited);
                let urgency = Some(grant.urgency);
                let (endpoint, version) = (grant.endpoint, grant.version);
                Ok(Target { endpoint, version, urgency, ask: Some(ask) })
            }
            Verdict::Denial(denial) => {
                self.placed("denied", waited);
                let retry = Duration::from_millis(u64::from(denial.retry_ms));
                Err(Refusal::later(denial.code, retry))
            }
            Verdict::Leaderless | Verdict::Silent => {
                self.placed("unscheduled", waited);
                self.unscheduled(errand, &ask, excluded)
            }
        }
    }

    /// Waits for a new leader for as long as the target allows; returns false if there is none.
    async fn await_leader(&self, errand: &Errand, ask: &Query) -> bool {
        let patience = errand.route.target.mul_f64(LEADERLESS);
        let patience = patience.saturating_sub(errand.received.elapsed());
        base::event!(
            INFO, Event::Waiting, request = %errand.request.id, adapter = %ask.adapter,
            most_ms = patience.as_millis() as u64, "waits for a leader"
        );
        self.uplink.await_leader(patience).await
    }

    /// Counts how a request was placed, and how long that took.
    fn placed(&self, result: &str, waited: Duration) {
        self.metrics.grants.with_label_values(&[result]).observe(waited.as_secs_f64());
    }

    /// Asks the scheduler; returns the question with its answer.
    async fn ask(
        self: &Arc<Gate<D>>,
        errand: &Errand,
        model: &Name,
        excluded: &[Name],
    ) -> (Query, Verdict) {
        let ask = self.question(errand, model, excluded);
        let limit = errand.route.target.mul_f64(HELD) + UNANSWERED;
        let verdict = self.uplink.ask(ask.clone(), limit).await;
        (ask, verdict)
    }

    /// Chooses an engine that is known to hold the adapter.
    fn unscheduled(
        &self,
        errand: &Errand,
        ask: &Query,
        excluded: &[Name],
    ) -> Result<Target, Refusal> {
        let endpoints = self.board.endpoints();
        let fitting = endpoints.values().filter(|endpoint| {
            endpoint.service == errand.service
                && self.board.holds(&endpoint.id, &Name::default())
                && (ask.adapter.is_empty() || self.board.holds(&endpoint.id, &ask.adapter))
        });
        let version = self.board.version(&ask.model, &ask.adapter);
        let target = self.least_loaded(fitting, excluded, version);
        let endpoint = target.as_ref().map(|target| target.endpoint.id.clone()).unwrap_or_default();
        base::event!(
            WARN, Event::Unscheduled, request = %errand.request.id, adapter = %ask.adapter, endpoint = %endpoint
        );
        target
    }

    fn question(&self, errand: &Errand, model: &Name, excluded: &[Name]) -> Query {
        let request = &errand.request;
        let now = Instant::now();
        let left = errand.deadline.saturating_duration_since(now);
        let gone = now.saturating_duration_since(errand.received);
        let target = errand.route.target.saturating_sub(gone);
        Query {
            request: self.uplink.number(),
            service: errand.service.clone(),
            model: model.clone(),
            adapter: request.adapter.clone(),
            fingerprint: self.fingerprint(errand),
            input: request.input,
            output: request.output,
            parts: request.parts.clone(),
            target_ms: target.as_millis() as u32,
            left_ms: left.as_millis() as u32,
            rank: errand.route.rank,
            excluded: excluded.to_vec(),
        }
    }

    /// Returns a digest of what a request is, the same when its caller sends it again.
    fn fingerprint(&self, errand: &Errand) -> u64 {
        let path = errand.parts.uri.path_and_query().map_or("", |path| path.as_str());
        base::digest(&errand.body) ^ base::digest(path.as_bytes()).rotate_left(1)
    }
}

/// Removes the headers that concern one connection only.
fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}
