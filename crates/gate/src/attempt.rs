//! Attempts to answer a request: sends it to an endpoint of this gate or relays it to the owner of the
//! endpoint.

use std::sync::Arc;
use std::time::Duration;

use axum::http::Method;
use axum::http::header::CONTENT_TYPE;
use base::Code;
use base::Event;
use base::Name;
use blackboard::Target;
use blackboard::Ticket;
use blackboard::Waiter;
use tokio::sync::oneshot;
use tokio::time::Instant;
use wire::endpoint::Reason;
use wire::header;

use crate::answer::Answer;
use crate::client;
use crate::client::Expect;
use crate::context::Context;
use crate::crash;
use crate::failure::Failure;
use crate::handover;
use crate::leased;
use crate::leased::Leased;
use crate::leased::Payload;
use crate::liveness;
use crate::request::Request;
use crate::request::Resolved;
use crate::routing;
use crate::routing::Choice;
use crate::routing::Excluded;

/// The time after the deadline for which to wait for the owner's refusal.
const RELAY_MARGIN: Duration = Duration::from_millis(250);
/// The maximum number of attempts for one request.
const MAX_ATTEMPTS: usize = 3;
/// The number of possible crashes after which a request is not retried.
const CRASH_LIMIT: usize = 2;
/// The maximum number of attempts by one owner while its endpoints reject the request without running it.
const LOCAL_ATTEMPTS: usize = 3;

/// Answers an idempotent request from any endpoint, with retries.
pub(crate) async fn run(
    context: &Arc<Context>,
    mut request: Request<Resolved>,
) -> Result<Answer, Failure> {
    let mut excluded = Excluded::default();
    let mut crashes = 0;
    // The first failure after which the request may have run; a later refusal must not claim that it did
    // not run.
    let mut ran = None;
    let mut last = None;
    for attempt in 0..MAX_ATTEMPTS {
        let choice = match handover::choose(context, &request, &excluded).await {
            Ok(choice) => choice,
            Err(refusal) => return Err(ran.or(last).unwrap_or(Failure::Refused(refusal))),
        };
        if attempt > 0 {
            context.trace.record(&request.id, Event::Retried, choice.reason.as_str());
            context.metrics.requests.with_label_values(&["retried"]).inc();
        }
        let failure = match send(context, &request, &choice).await {
            Ok(answer) => {
                if request.stage.suspect {
                    crash::clear_suspect(context, request.stage.fingerprint);
                }
                return Ok(answer);
            }
            Err(failure) => failure,
        };
        if failure.may_be_crash() {
            crashes += 1;
            request.stage.suspect = true;
            crash::notify_peers(context, request.stage.fingerprint).await;
        }
        let expired = Instant::now() >= request.stage.deadline;
        let budget_exhausted = !failure.not_run() && !context.withdraw_retry();
        let final_attempt =
            !failure.retriable() || crashes >= CRASH_LIMIT || expired || budget_exhausted;
        if final_attempt || quarantined(context, &request) {
            return Err(ran.unwrap_or(failure));
        }
        excluded.add(&choice, &request.stage.visited, &failure);
        request.stage.bound = true;
        if !failure.not_run() {
            ran.get_or_insert(failure.clone());
        }
        last = Some(failure);
    }
    Err(ran.or(last).unwrap_or_else(|| Failure::from(Code::NoEndpoint)))
}

/// Sends a request to the chosen endpoint, directly or through the gate that owns it.
pub(crate) async fn send(
    context: &Arc<Context>,
    request: &Request<Resolved>,
    choice: &Choice,
) -> Result<Answer, Failure> {
    if choice.owner == context.entry.host {
        return local(context, request, Some(&choice.endpoint)).await;
    }
    relay(context, request, choice).await
}

fn quarantined(context: &Context, request: &Request<Resolved>) -> bool {
    context.board.view.read().quarantine.contains_key(&request.stage.fingerprint)
}

/// Answers a request from an endpoint of this gate.
pub(crate) async fn local(
    context: &Arc<Context>,
    request: &Request<Resolved>,
    endpoint: Option<&Name>,
) -> Result<Answer, Failure> {
    let mut last = Failure::from(Code::NoEndpoint);
    for _ in 0..LOCAL_ATTEMPTS {
        let ticket = acquire(context, request, endpoint).await?;
        match dispatch(context, request, ticket, request.stage.deadline).await {
            Err(Failure::Rejected(fault))
                if matches!(fault.error, Reason::NotLoaded | Reason::Busy) =>
            {
                last = Failure::Rejected(fault);
            }
            other => return other,
        }
    }
    Err(last)
}

/// Queues a request until an endpoint of this gate has room for it.
pub(crate) async fn acquire(
    context: &Arc<Context>,
    request: &Request<Resolved>,
    endpoint: Option<&Name>,
) -> Result<Ticket, Failure> {
    let stage = &request.stage;
    if !context.board.serving() {
        return Err(Failure::from(Code::NotServing));
    }
    if !servable(context, &stage.target) {
        return Err(Failure::from(Code::NoEndpoint));
    }
    if let Some(model) = stage.target.model() {
        context.history.lock().record_request(model);
    }
    let (reply, ticket) = oneshot::channel();
    let waiter = Waiter {
        request: request.id.clone(),
        endpoint: endpoint.cloned(),
        bound: stage.bound && endpoint.is_some(),
        priority: request.priority,
        arrived: Instant::now(),
        deadline: stage.deadline,
        alone: stage.suspect,
        fingerprint: stage.fingerprint,
        reply,
    };
    context.board.admit(stage.target.clone(), waiter, stage.queue_limit)?;
    let answer = tokio::time::timeout_at(stage.deadline, ticket).await;
    match answer {
        Err(_) => Err(Failure::from(Code::DeadlineExceeded)),
        Ok(Err(_)) => Err(Failure::from(Code::DeadlineExceeded)),
        Ok(Ok(ticket)) => ticket.map_err(Failure::from),
    }
}

fn servable(context: &Context, target: &Target) -> bool {
    let now = Instant::now();
    let view = context.board.view.read();
    let base = target.model().and_then(|model| view.adapters.get(&model.adapter));
    let base = base.map(|adapter| &adapter.base);
    let pool = context.board.pool.lock();
    pool.endpoints.values().any(|endpoint| {
        routing::compatible(&endpoint.info.role, target, base)
            && endpoint.ready(now, context.board.liveness_timeout)
    })
}

/// Sends a request to the endpoint of its ticket; checks the ownership and the lease immediately before.
pub(crate) async fn dispatch(
    context: &Arc<Context>,
    request: &Request<Resolved>,
    mut ticket: Ticket,
    deadline: Instant,
) -> Result<Answer, Failure> {
    context.trace.record(
        &request.id,
        Event::Routed,
        format!("to {} under fence {}", ticket.endpoint, ticket.fence),
    );
    if request.model().is_some() {
        context.metrics.observe_load_stall(ticket.stall);
        if !ticket.stall.is_zero() {
            context.record_load_stall(ticket.stall);
        }
        context.metrics.batch_fill.observe(ticket.batch_fill);
    }
    let (body, withheld) =
        Leased::new(&context.board, &ticket.endpoint, ticket.fence, request.endpoint_body());
    let message = compose(request, &ticket, body)?;
    if !context.board.owns(&ticket.endpoint, ticket.fence) {
        return Err(Failure::from(Code::NotServing));
    }
    request.stage.visited.add(ticket.endpoint.clone());
    let sent = Instant::now();
    ticket.mark_sent();
    let exchanged = exchange(context, message, expectation(request, deadline, false));
    let answer = if request.stage.key.is_some() {
        // A late response settles the claim, so wait for it until `deadline`.
        exchanged.await
    } else {
        tokio::select! {
            answer = exchanged => answer,
            () = liveness::endpoint_lost(context, &ticket.endpoint, ticket.fence) => {
                Err(Failure::Abandoned)
            }
        }
    };
    let answer = answer
        .map_err(|failure| if withheld.get() { Failure::from(Code::NotServing) } else { failure });
    match answer {
        Ok(mut answer) => {
            if matches!(answer, Answer::Complete(_)) {
                context.record_service_time(sent.elapsed());
            }
            answer.attach(ticket);
            context.board.dispatch();
            Ok(answer)
        }
        Err(failure) => {
            record_failure(context, request, ticket, &failure);
            Err(failure)
        }
    }
}

async fn exchange(
    context: &Context,
    message: axum::http::Request<Payload>,
    expect: Expect,
) -> Result<Answer, Failure> {
    let response = context.client.send(message, expect.deadline).await?;
    client::receive(response, expect).await
}

fn compose(
    request: &Request<Resolved>,
    ticket: &Ticket,
    body: Payload,
) -> Result<axum::http::Request<Payload>, Failure> {
    let path = request.endpoint_path();
    let mut message = client::build(request.method.clone(), &ticket.address, path)
        .header(header::REQUEST, request.id.as_str())
        .header(header::FENCE, ticket.fence)
        .header(header::PRIORITY, u16::from(request.priority));
    let json = request.model().map(|_| Name::from("application/json"));
    if let Some(content_type) = json.as_ref().or(request.content_type.as_ref()) {
        message = message.header(CONTENT_TYPE, content_type.as_str());
    }
    if let Some(key) = &request.key {
        message = message.header(header::IDEMPOTENCY_KEY, key.as_str());
    }
    message.body(body).map_err(|_| Failure::from(Code::BadRequest))
}

fn expectation(request: &Request<Resolved>, deadline: Instant, relayed: bool) -> Expect {
    Expect {
        request: request.id.clone(),
        model: request.model().cloned(),
        stream: request.stream(),
        relayed,
        deadline,
    }
}

/// Records a failed attempt and releases its ticket.
fn record_failure(
    context: &Context,
    request: &Request<Resolved>,
    mut ticket: Ticket,
    failure: &Failure,
) {
    context.trace.record(
        &request.id,
        Event::AnswerRejected,
        format!("{} failed: {failure:?}", ticket.endpoint),
    );
    if failure.may_be_crash() {
        crash::record_disconnect(context, &ticket, request.stage.fingerprint);
    }
    if failure.not_run() {
        ticket.mark_finished();
    }
    if let Failure::Rejected(fault) = failure
        && fault.error == Reason::NotLoaded
        && let Some(model) = request.model()
    {
        context.board.set_phase(&ticket.endpoint, ticket.fence, model, None);
    }
    drop(ticket);
}

/// Relays a request to the gate that owns the chosen endpoint.
pub(crate) async fn relay(
    context: &Arc<Context>,
    request: &Request<Resolved>,
    choice: &Choice,
) -> Result<Answer, Failure> {
    let unreachable = || Failure::from(Code::OwnerUnreachable);
    let remote = context.remote(&choice.owner).ok_or_else(unreachable)?;
    context.trace.record(
        &request.id,
        Event::Forwarded,
        format!("to {} for {}: {}", choice.owner, choice.endpoint, choice.reason),
    );
    context.metrics.requests.with_label_values(&["relayed"]).inc();
    let message = compose_relayed(context, request, choice, &remote.relay)?;
    // The owner refuses the request at the deadline. Its refusal is preferred, because only the owner knows
    // whether the request ran.
    let deadline = request.stage.deadline + RELAY_MARGIN;
    let sent = Instant::now();
    let answer = tokio::select! {
        answer = send_relayed(context, request, message, deadline) => answer,
        () = liveness::owner_lost(context, &choice.endpoint, &choice.owner) => {
            Err(Failure::from(Code::OwnerLost))
        }
    };
    context.metrics.relay.observe(sent.elapsed().as_secs_f64());
    answer.map_err(|failure| match failure {
        Failure::Unsent => unreachable(),
        Failure::Lost | Failure::Short => Failure::from(Code::OwnerLost),
        other => other,
    })
}

async fn send_relayed(
    context: &Context,
    request: &Request<Resolved>,
    message: axum::http::Request<Payload>,
    deadline: Instant,
) -> Result<Answer, Failure> {
    let response = context.client.send(message, deadline).await?;
    let sent_to = client::header_text(response.headers(), header::ENDPOINT);
    sent_to.into_iter().for_each(|endpoint| request.stage.visited.add(endpoint));
    client::receive(response, expectation(request, deadline, true)).await
}

fn compose_relayed(
    context: &Context,
    request: &Request<Resolved>,
    choice: &Choice,
    address: &Name,
) -> Result<axum::http::Request<Payload>, Failure> {
    let remaining_ms = request.stage.deadline.saturating_duration_since(Instant::now()).as_millis();
    let mut message = client::build(Method::clone(&request.method), address, &request.path)
        .header(header::REQUEST, request.id.as_str())
        .header(header::ENDPOINT, choice.endpoint.as_str())
        .header(header::RELAYED_BY, context.entry.host.as_str())
        .header(header::CALLER, request.caller.as_str())
        .header(header::PRIORITY, u16::from(request.priority))
        .header(header::DEADLINE, remaining_ms.to_string());
    if let Some(token) = &context.config.tokens.site {
        message = message.header(header::SITE_TOKEN, token.as_str());
    }
    if let Some(content_type) = &request.content_type {
        message = message.header(CONTENT_TYPE, content_type.as_str());
    }
    if let Some(model) = request.model() {
        message = message.header(header::ADAPTER, model.adapter.as_str());
        message = message.header(header::VERSION, model.version.as_str());
    }
    if let Some(key) = &request.key {
        message = message.header(header::IDEMPOTENCY_KEY, key.as_str());
    }
    if request.stage.key.is_some() {
        message = message.header(header::NON_IDEMPOTENT, "true");
    }
    if request.stage.bound {
        message = message.header(header::BOUND, "true");
    }
    if request.stage.suspect {
        message = message.header(header::SUSPECT, "true");
    }
    let body = leased::unchecked(request.body.clone());
    message.body(body).map_err(|_| Failure::from(Code::BadRequest))
}
