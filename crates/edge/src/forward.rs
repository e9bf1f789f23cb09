//! Forwards a request: matches its route, chooses endpoints and retries failed attempts.

use std::sync::Arc;
use std::time::Duration;

use base::Code;
use base::Event;
use base::Name;
use bytes::Bytes;
use fleet::message::Frame;
use fleet::message::Outcome;
use fleet::origin::Origin;
use fleet::plan::Kind;
use fleet::quarantine::Fingerprint;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Response;
use hyper::Version;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use tokio::time::Instant;

use crate::attempt;
use crate::attempt::Attempt;
use crate::attempt::Exchange;
use crate::body::Body;
use crate::call::Call;
use crate::framing::Framing;
use crate::gate::Gate;
use crate::identity;
use crate::protocol::Dispatch;
use crate::protocol::Protocol;
use crate::refusal::Refusal;
use crate::send;
use crate::send::Sent;
use crate::settings::DEFAULT_RETRY_AFTER;
use crate::settings::MAX_UNSENT;
use crate::settings::ORIGIN_TIMEOUT;
use crate::settings::PLAN_WAIT_SHARE;
use crate::settings::STARTUP_TIME;
use crate::target::Target;
use crate::tracker::Tracker;
use crate::upload;

/// The share of the time left until the deadline after which an idempotent request without a response is
/// retried elsewhere.
const ATTEMPT_TIMEOUT_SHARE: f64 = 0.4;
/// The shortest time before such a retry, in target latencies of the route.
const MIN_ATTEMPT_TARGETS: u32 = 2;

/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Who gets a response, for logs and metrics.
#[derive(Clone, Debug, Default)]
struct Caller {
    /// The caller's id of the request.
    id: Name,
    /// The tenant that sent the request, if it is known.
    tenant: Option<Name>,
}

impl<P: Protocol> Gate<P> {
    /// Serves a request and returns the response, or a refusal as a response.
    pub(crate) async fn handle(
        self: Arc<Gate<P>>,
        request: hyper::Request<Incoming>,
    ) -> Response<Body> {
        let received = Instant::now();
        let (parts, body) = request.into_parts();
        let (caller, name, response) = match self.read(parts, body, received).await {
            Ok(call) => {
                let tenant = call.tenant.as_ref().map(|tenant| tenant.name.clone());
                let caller = Caller { id: call.request.id.clone(), tenant };
                let name = call.route.name.clone();
                (caller, name, self.forward_in_time(call).await)
            }
            Err((caller, refusal)) => (caller, Name::default(), Err(refusal)),
        };
        let mut response =
            response.unwrap_or_else(|refusal| self.refuse(&caller, &refusal, received));
        if self.view.is_draining() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        let status = response.status();
        self.metrics.requests.with_label_values(&[&*name, status.as_str()]).inc();
        if let Some(tenant) = &caller.tenant {
            self.metrics.count_tenant_request(tenant, status.as_str());
        }
        self.metrics
            .head_latency
            .with_label_values(&[&*name])
            .observe(received.elapsed().as_secs_f64());
        response
    }

    /// Logs and counts a refusal and builds its response.
    fn refuse(&self, caller: &Caller, refusal: &Refusal, received: Instant) -> Response<Body> {
        let Caller { id, tenant } = caller;
        let ms = received.elapsed().as_millis() as u64;
        let retry_ms = refusal.retry_after.unwrap_or_default().as_millis() as u64;
        // A refusal for a quota is logged with the budget.
        if !matches!(refusal.code, Code::QuotaExceeded | Code::QuotaTooLarge) {
            base::event!(
                INFO, Event::Refused, request = %id, tenant = tenant.as_deref(),
                code = refusal.code.number(), reason = refusal.code.name(), retry_ms, ms
            );
        }
        self.metrics.refusals.with_label_values(&[refusal.code.name()]).inc();
        self.protocol.refusal(refusal, id).map(attempt::buffered)
    }

    /// Reads a request with its body, matches its route and authenticates its sender. An error names the caller.
    async fn read(
        &self,
        parts: Parts,
        body: Incoming,
        received: Instant,
    ) -> Result<Call, (Caller, Refusal)> {
        let request =
            self.protocol.parse_request(&parts).map_err(|refusal| (Caller::default(), refusal))?;
        let mut caller = Caller { id: request.id.clone(), tenant: None };
        let plan_wait = request.deadline.unwrap_or(STARTUP_TIME).mul_f64(PLAN_WAIT_SHARE);
        let table = self.view.await_table(plan_wait).await.ok_or_else(|| {
            let left = STARTUP_TIME.saturating_sub(self.view.now());
            let refusal = Refusal::retryable(Code::NotServing, left.max(DEFAULT_RETRY_AFTER));
            (caller.clone(), refusal)
        })?;
        let route = table.route(&request.host, parts.uri.path());
        let unknown = || (caller.clone(), Refusal::new(Code::UnknownPath));
        let mut route = route.ok_or_else(unknown)?.clone();
        let version = table.plan().version;
        let tenant = match identity::authenticate(&table, &route, request.credential) {
            Ok(tenant) => tenant,
            Err(code) => {
                identity::log_unauthorized(&caller.id, &route, request.credential, version);
                upload::discard(&parts.headers, body);
                return Err((caller, Refusal::new(code)));
            }
        };
        caller.tenant = tenant.as_ref().map(|tenant| tenant.name.clone());
        if let Some(rank) = tenant.as_ref().and_then(|tenant| tenant.rank) {
            route.rank = rank;
        }
        let limits = &table.plan().limits;
        let timeout = request.deadline.map_or(route.timeout, |left| left.min(route.timeout));
        let deadline = received + timeout;
        let reading = upload::read(body, limits.body_bytes, &self.body_memory);
        let read = tokio::time::timeout_at(deadline, reading).await;
        let (body, memory) = match read.unwrap_or(Err(Code::DeadlineExceeded)) {
            Ok(read) => read,
            Err(Code::BodyMemory) => {
                let refusal = Refusal::retryable(Code::BodyMemory, DEFAULT_RETRY_AFTER);
                return Err((caller, refusal));
            }
            Err(code) => return Err((caller, Refusal::new(code))),
        };
        let service = route.select_service(rand::random()).clone();
        let name = caller.tenant.as_ref();
        self.budget.lock().record_request(&service, name, self.view.now());
        let prompt = request.parts.iter().map(|(id, _)| *id);
        let fingerprint = Fingerprint::new(digest(&request.host, &parts, &body), prompt);
        Ok(Call {
            request,
            route,
            tenant,
            checked: table.has_tenants(),
            version,
            service,
            origin: None,
            fingerprint: Arc::new(fingerprint),
            parts,
            body,
            _memory: memory,
            received,
            deadline,
        })
    }

    /// Forwards a request until its deadline, or until the gate ends. A stopping gate refuses what it may not complete,
    /// because another gate can.
    async fn forward_in_time(self: &Arc<Gate<P>>, call: Call) -> Result<Response<Body>, Refusal> {
        let deadline = call.deadline;
        if self.ends_before(deadline) {
            return Err(Refusal::retryable(Code::Draining, Duration::ZERO));
        }
        tokio::select! {
            forwarded = tokio::time::timeout_at(deadline, self.forward(call)) => {
                forwarded.unwrap_or_else(|_| Err(Refusal::new(Code::EndpointTimeout)))
            }
            () = self.ended.cancelled() => Err(Refusal::new(Code::GateStopped)),
        }
    }

    /// Makes attempts until one succeeds or no more are allowed; returns the response, which may report a
    /// failure, or a refusal.
    async fn forward(self: &Arc<Gate<P>>, mut call: Call) -> Result<Response<Body>, Refusal> {
        if let Some(stream) = call.resumed_stream() {
            let origin = self.locate(&call, stream).await?;
            call.service = origin.service.clone();
            call.origin = Some(origin);
        }
        // Given back when it is dropped, unless an attempt may have run the request.
        let charge = self.charge(&call).await?;
        let set_ran = |ran| charge.iter().for_each(|charge| charge.set_ran(ran));
        let mut may_have_run = false;
        let mut excluded = Vec::new();
        let mut attempts = 0;
        let mut unsent = 0;
        let mut last: Option<Result<Response<Body>, Refusal>> = None;
        loop {
            let target = match self.choose_target(&call, &excluded).await {
                Ok(target) => target,
                Err(refusal) => return last.unwrap_or(Err(refusal)),
            };
            if let Err(refusal) = self.reauthenticate(&mut call) {
                self.withdraw(&target);
                return last.unwrap_or(Err(refusal));
            }
            let retry = attempts > 0;
            if retry && !self.try_retry(&call) {
                self.withdraw(&target);
                return last
                    .unwrap_or(Err(Refusal::retryable(Code::RetryBudget, DEFAULT_RETRY_AFTER)));
            }
            excluded.push(target.endpoint.id.clone());
            let attempts_left = attempts + 1 < call.route.attempts;
            set_ran(true);
            let outcome = self.attempt(&call, target, attempts_left).await;
            may_have_run |= !matches!(outcome, Attempt::Refused(_) | Attempt::Unsent);
            set_ran(may_have_run);
            let repeatable = call.route.kind.is_retryable();
            match outcome {
                Attempt::Response { response, failed } => {
                    let retryable = failed
                        && repeatable
                        && attempts_left
                        && call.route.kind == Kind::Idempotent;
                    if !retryable {
                        return Ok(*response);
                    }
                    last = Some(Ok(*response));
                }
                Attempt::Refused(outcome) => {
                    let code = match outcome {
                        Outcome::Misdirected => Code::NoEndpoint,
                        _ => Code::QueueFull,
                    };
                    // A failure after which the request may have run takes precedence over a refusal.
                    let keep_last =
                        matches!(last, Some(Ok(_)) | Some(Err(Refusal { retry_after: None, .. })));
                    if !keep_last {
                        last = Some(Err(Refusal::retryable(code, DEFAULT_RETRY_AFTER)));
                    }
                }
                Attempt::Unsent => {
                    unsent += 1;
                    if unsent < MAX_UNSENT {
                        continue;
                    }
                    return last
                        .unwrap_or(Err(Refusal::retryable(Code::NoEndpoint, DEFAULT_RETRY_AFTER)));
                }
                Attempt::Lost(code) => {
                    last = Some(Err(Refusal::new(code)));
                    if !repeatable {
                        break;
                    }
                }
            }
            attempts += 1;
            if !attempts_left {
                break;
            }
        }
        last.unwrap_or(Err(Refusal::retryable(Code::NoEndpoint, DEFAULT_RETRY_AFTER)))
    }

    /// Returns the scheduler's grant of a target to which nothing is sent.
    fn withdraw(&self, target: &Target) {
        if let Some(query) = &target.query {
            self.keepers.send(Frame::Withdraw(query.request));
        }
    }

    /// Takes one retry of a request from the budget of its service; returns false if none is left.
    fn try_retry(&self, call: &Call) -> bool {
        let (gates, now) = (self.view.gates(), self.view.now());
        let tenant = call.tenant.as_ref().map(|tenant| &tenant.name);
        self.budget.lock().try_retry(&call.service, tenant, gates, now)
    }

    /// Returns where the stream began that a request resumes. Refuses the request if nobody knows it or if the
    /// route no longer leads there, since what another service or build writes does not continue the stream.
    async fn locate(&self, call: &Call, stream: u64) -> Result<Origin, Refusal> {
        let start = Instant::now();
        let mut services = call.route.splits.iter().filter(|split| split.weight > 0);
        let service = services.next().filter(|_| services.next().is_none());
        let service = service.map(|split| split.service.clone());
        let located = self.keepers.locate_origin(stream, service, ORIGIN_TIMEOUT).await;
        let source = located.as_ref().map_or("unknown", |located| located.source.name());
        self.metrics.origins.with_label_values(&[source]).inc();
        base::event!(
            INFO, Event::OriginLocated, request = %call.request.id,
            resumes = call.request.resumes.as_deref(), source,
            build = located.as_ref().map(|located| &*located.origin.build),
            waited_ms = start.elapsed().as_millis() as u64
        );
        let refuse = |code| Refusal::retryable(code, DEFAULT_RETRY_AFTER);
        let origin = located.ok_or_else(|| refuse(Code::UnknownOrigin))?.origin;
        let routed = call.route.splits.iter().any(|split| split.service == origin.service);
        if routed { Ok(origin) } else { Err(refuse(Code::BuildUnavailable)) }
    }

    /// Makes one attempt. If the request is idempotent and another attempt is allowed, the attempt times out
    /// before the deadline.
    async fn attempt(
        self: &Arc<Gate<P>>,
        call: &Call,
        target: Target,
        attempts_left: bool,
    ) -> Attempt {
        let exchange = Exchange {
            id: call.request.id.clone(),
            fingerprint: call.fingerprint.request,
            endpoint: target.endpoint.id.clone(),
            deadline: call.deadline,
            streams: matches!(call.route.kind, Kind::Stream { .. }),
        };
        let sending = self.send(call, target, &exchange);
        if !(attempts_left && call.route.kind == Kind::Idempotent) {
            return sending.await;
        }
        let left = call.deadline.saturating_duration_since(Instant::now());
        let timeout =
            left.mul_f64(ATTEMPT_TIMEOUT_SHARE).max(call.route.target * MIN_ATTEMPT_TARGETS);
        tokio::time::timeout(timeout, sending).await.unwrap_or_else(|_| {
            exchange.log_failure("no response within the timeout of the attempt");
            Attempt::Lost(Code::EndpointTimeout)
        })
    }

    /// Sends a request to its target and receives the response.
    async fn send(
        self: &Arc<Gate<P>>,
        call: &Call,
        mut target: Target,
        exchange: &Exchange,
    ) -> Attempt {
        let hold = target.hold.take();
        let endpoint = &target.endpoint;
        let scheduled = target.query.as_ref().map(|query| {
            self.keepers.track(query, &endpoint.id);
            query.request
        });
        let mut tracker = Tracker::new(
            &self.view,
            &self.keepers,
            &exchange.id,
            scheduled,
            endpoint,
            &call.fingerprint,
            call.deadline,
        );
        if call.route.gap.is_some() {
            tracker.measure_pauses();
        }
        if let Some(hold) = hold {
            tracker.set_placed(hold);
        }
        let request = self.build_request(call, &target);
        let sent = send::send(&self.pool, &self.view, endpoint, request).await;
        let attempt = match sent {
            Sent::Response(response, sender) => {
                if let Some(peer) = sender.via {
                    base::event!(
                        INFO, Event::Tunnelled, request = %exchange.id, endpoint = %endpoint.id,
                        peer = %peer
                    );
                }
                let (mut head, body) = response.into_parts();
                if head.status.is_success()
                    && let Some(origin) = call.new_origin(endpoint)
                {
                    tracker.set_origin(origin);
                }
                let parsed = self.protocol.parse_response(&head, &call.request.id);
                let framing = Framing::of(&head.headers);
                strip_hop_by_hop(&mut head.headers);
                // A version 1.0 response has no chunks, so that a truncated one would look complete.
                head.version = Version::HTTP_11;
                let response = Response::from_parts(head, body);
                exchange.receive(&self.pool, response, framing, sender, &parsed, tracker).await
            }
            Sent::Unsent(reason) => {
                tracker.record_not_run(Outcome::Lost);
                exchange.log_failure(&reason);
                Attempt::Unsent
            }
            Sent::Lost(reason) => {
                tracker.record_break();
                exchange.log_failure(&reason);
                Attempt::Lost(Code::EndpointFailed)
            }
        };
        let outcome = match &attempt {
            Attempt::Response { failed: false, .. } => "answered",
            Attempt::Response { .. } => "failed",
            Attempt::Refused(_) => "refused",
            Attempt::Unsent => "unsent",
            Attempt::Lost(_) => "lost",
        };
        self.metrics.attempts.with_label_values(&[outcome]).inc();
        attempt
    }

    /// Builds the request for an endpoint.
    fn build_request(&self, call: &Call, target: &Target) -> hyper::Request<Full<Bytes>> {
        let mut request = hyper::Request::new(Full::new(call.body.clone()));
        *request.method_mut() = call.parts.method.clone();
        let path = call.parts.uri.path_and_query().cloned();
        *request.uri_mut() = path.map_or_else(|| call.parts.uri.clone(), Into::into);
        *request.headers_mut() = call.parts.headers.clone();
        let headers = request.headers_mut();
        strip_hop_by_hop(headers);
        headers.remove(header::EXPECT);
        if call.body.is_empty() && !call.parts.headers.contains_key(header::TRANSFER_ENCODING) {
            // A request that was received without a body is sent without a Content-Length.
        } else {
            headers.insert(header::CONTENT_LENGTH, HeaderValue::from(call.body.len()));
        }
        let left = call.deadline.saturating_duration_since(Instant::now());
        let dispatch = Dispatch {
            endpoint: target.endpoint.clone(),
            left,
            version: target.version,
            urgency: target.urgency,
            sender: call.sender(),
        };
        self.protocol.set_headers(headers, &dispatch);
        request
    }
}

/// Returns a digest of host, path, query string and body, by which a caller's retries are recognized.
fn digest(host: &str, parts: &Parts, body: &[u8]) -> u64 {
    let path = parts.uri.path_and_query().map_or("", |path| path.as_str());
    let fields = [host.as_bytes(), path.as_bytes(), body];
    base::digest(fields.map(|field| base::digest(field).to_le_bytes()).as_flattened())
}

/// Removes the hop-by-hop headers and those listed in `Connection`.
fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}
