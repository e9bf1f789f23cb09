//! Non-idempotent requests, which run at most once: the key is claimed before the request is sent, and the
//! response is recorded before the caller gets it.

use std::sync::Arc;
use std::time::Duration;

use base::Code;
use base::Name;
use state::journal::Key;
use tokio::time::Instant;

use crate::answer::Answer;
use crate::answer::Complete;
use crate::attempt;
use crate::context::Context;
use crate::failure::Failure;
use crate::handover;
use crate::journal;
use crate::journal::Entry;
use crate::refusal::Refusal;
use crate::request::Request;
use crate::request::Resolved;
use crate::routing;
use crate::routing::Excluded;

/// The maximum number of owners to which a request is relayed while none runs it.
const OWNER_ATTEMPTS: usize = 3;
/// The time after the deadline for which to wait for a response, so that it can be recorded.
const RECORDING_GRACE: Duration = Duration::from_secs(60);
/// The maximum number of endpoints to which a request is sent under one claim while none runs it.
const ENDPOINT_ATTEMPTS: usize = 3;

/// Answers a non-idempotent request on this gate or on the gate that owns the chosen endpoint.
///
/// A request whose owner was lost goes to another owner: the claim of its key decides whether it may run there.
pub(crate) async fn run(
    context: &Arc<Context>,
    request: &Request<Resolved>,
    key: &Key,
) -> Result<Answer, Failure> {
    let mut excluded = Excluded::default();
    // A lost owner may still run the request, so a later refusal must not claim that it did not run.
    let mut owner_lost = None;
    for _ in 0..OWNER_ATTEMPTS {
        let choice = match &owner_lost {
            None => routing::choose(context, request, &excluded),
            Some(_) => handover::choose(context, request, &excluded).await,
        };
        let Ok(choice) = choice else { break };
        if choice.owner == context.entry.host {
            let answer = run_local(context, request, key, Some(&choice.endpoint)).await;
            return unless_not_run(answer, owner_lost);
        }
        match attempt::relay(context, request, &choice).await {
            Err(failure) if is_owner_lost(&failure) => {
                excluded.add_owner(&choice);
                owner_lost.get_or_insert(failure);
            }
            Err(failure) if failure.not_run() && failure.retriable() => {
                excluded.add(&choice, &request.stage.visited, &failure);
            }
            answer => return unless_not_run(answer, owner_lost),
        }
    }
    // Even without an endpoint, the journal may hold the recorded response for the key.
    let answer = run_local(context, request, key, None).await;
    unless_not_run(answer, owner_lost)
}

fn is_owner_lost(failure: &Failure) -> bool {
    matches!(failure, Failure::Refused(refusal) if refusal.code == Code::OwnerLost)
}

/// Returns an answer, or `earlier` in place of a refusal of a request that did not run.
fn unless_not_run(
    answer: Result<Answer, Failure>,
    earlier: Option<Failure>,
) -> Result<Answer, Failure> {
    match (answer, earlier) {
        (Err(failure), Some(earlier)) if failure.not_run() => Err(earlier),
        (answer, _) => answer,
    }
}

/// Answers a non-idempotent request from an endpoint of this gate.
///
/// The request continues if the caller disconnects, so that its outcome is recorded.
pub(crate) async fn run_local(
    context: &Arc<Context>,
    request: &Request<Resolved>,
    key: &Key,
    endpoint: Option<&Name>,
) -> Result<Answer, Failure> {
    if !context.claims.lock().insert(key.clone()) {
        return Err(Failure::from(Code::KeyInProgress));
    }
    let guard = context.admission.admit_unlimited();
    let context = Arc::clone(context);
    let task_request = request.clone();
    let task_key = key.clone();
    let endpoint = endpoint.cloned();
    let task = tokio::spawn(async move {
        let answer = execute(&context, &task_request, &task_key, endpoint.as_ref()).await;
        context.claims.lock().remove(&task_key);
        drop(guard);
        answer
    });
    match tokio::time::timeout_at(request.stage.deadline, task).await {
        Ok(Ok(answer)) => answer.map(Answer::Complete),
        Ok(Err(_)) | Err(_) => Err(Failure::from(Code::OutcomeUnknown)),
    }
}

async fn execute(
    context: &Arc<Context>,
    request: &Request<Resolved>,
    key: &Key,
    endpoint: Option<&Name>,
) -> Result<Complete, Failure> {
    let claim = match journal::claim(context, request, key).await? {
        Entry::Recorded(complete) => return Ok(complete),
        Entry::Claimed(claim) => claim,
    };
    match send(context, request, endpoint).await {
        Ok(complete) => {
            if journal::finish(context, key, claim, &complete).await {
                return Ok(complete);
            }
            Err(Failure::from(Code::OutcomeUnknown))
        }
        Err(failure) if failure.not_run() => {
            if journal::release(context, key, claim).await {
                return Err(failure);
            }
            Err(Failure::from(Code::OutcomeUnknown))
        }
        Err(failure) => {
            let refusal = Refusal::with(Code::OutcomeUnknown, failure.refusal().message);
            journal::finish(context, key, claim, &unknown_outcome(context, request, &refusal))
                .await;
            Err(Failure::Refused(refusal))
        }
    }
}

/// Sends the request; tries another endpoint only if the previous one did not run it.
async fn send(
    context: &Arc<Context>,
    request: &Request<Resolved>,
    endpoint: Option<&Name>,
) -> Result<Complete, Failure> {
    let mut last = Failure::from(Code::NoEndpoint);
    for _ in 0..ENDPOINT_ATTEMPTS {
        let ticket = attempt::acquire(context, request, endpoint).await?;
        let deadline = request.stage.deadline.max(Instant::now()) + RECORDING_GRACE;
        match attempt::dispatch(context, request, ticket, deadline).await {
            Ok(answer) => return complete(answer).await,
            Err(failure) if failure.not_run() && failure.retriable() => last = failure,
            Err(failure) => return Err(failure),
        }
    }
    Err(last)
}

async fn complete(answer: Answer) -> Result<Complete, Failure> {
    let streaming = match answer {
        Answer::Complete(complete) => return Ok(complete),
        Answer::Stream(streaming) => streaming,
    };
    let head = streaming.head;
    let (body, ticket) = streaming.collect().await?;
    if let Some(mut ticket) = ticket {
        ticket.mark_finished();
    }
    let content_type = Some(Name::from("text/event-stream"));
    Ok(Complete { status: 200, content_type, body, head })
}

/// Returns the response to record for a key whose outcome is unknown.
fn unknown_outcome(context: &Context, request: &Request<Resolved>, refusal: &Refusal) -> Complete {
    let body = serde_json::to_vec(&refusal.body(context, &request.id)).unwrap_or_default();
    Complete {
        status: refusal.code.status(),
        content_type: Some(Name::from("application/json")),
        body: body.into(),
        head: Default::default(),
    }
}
