//! Non-idempotent requests: claimed before they are sent, recorded before the caller is answered.

use std::sync::Arc;
use std::time::Duration;

use base::Code;
use base::Name;
use state::journal::Key;
use tokio::time::Instant;

use crate::answer::Answer;
use crate::answer::Whole;
use crate::attempt;
use crate::context::Context;
use crate::failure::Failure;
use crate::journal;
use crate::journal::Entry;
use crate::pick;
use crate::pick::Tried;
use crate::refusal::Refusal;
use crate::request::Request;
use crate::request::Resolved;

/// The owners that are asked at most while none can be reached.
const ATTEMPTS: usize = 3;
/// How long an answer is awaited beyond the deadline, so that it can be recorded.
const GRACE: Duration = Duration::from_secs(60);
/// The endpoints that one claim is offered to while none runs it.
const OFFERS: usize = 3;

/// Answers a non-idempotent request, here or at the gate that owns the chosen endpoint.
pub(crate) async fn run(
    context: &Arc<Context>,
    request: &Request<Resolved>,
    key: &Key,
) -> Result<Answer, Failure> {
    let mut tried = Tried::default();
    for _ in 0..ATTEMPTS {
        let Ok(choice) = pick::choose(context, request, &tried) else { break };
        if choice.owner == context.entry.host {
            return here(context, request, key, Some(&choice.endpoint)).await;
        }
        match attempt::relay(context, request, &choice).await {
            Err(failure) if failure.not_run() && failure.retriable() => {
                tried.add(&choice, &request.stage.visited, &failure);
            }
            other => return other,
        }
    }
    // Without an endpoint, the journal still knows whether the key was used.
    here(context, request, key, None).await
}

/// Answers a non-idempotent request by an endpoint of this gate.
///
/// The work goes on when the caller goes away, so that its outcome is recorded.
pub(crate) async fn here(
    context: &Arc<Context>,
    request: &Request<Resolved>,
    key: &Key,
    endpoint: Option<&Name>,
) -> Result<Answer, Failure> {
    if !context.claims.lock().insert(key.clone()) {
        return Err(Failure::from(Code::KeyInProgress));
    }
    let guard = context.progress.hold();
    let own = Arc::clone(context);
    let copy = request.clone();
    let name = key.clone();
    let endpoint = endpoint.cloned();
    let task = tokio::spawn(async move {
        let answer = work(&own, &copy, &name, endpoint.as_ref()).await;
        own.claims.lock().remove(&name);
        drop(guard);
        answer
    });
    match tokio::time::timeout_at(request.stage.deadline, task).await {
        Ok(Ok(answer)) => answer.map(Answer::Whole),
        Ok(Err(_)) | Err(_) => Err(Failure::from(Code::OutcomeUnknown)),
    }
}

async fn work(
    context: &Arc<Context>,
    request: &Request<Resolved>,
    key: &Key,
    endpoint: Option<&Name>,
) -> Result<Whole, Failure> {
    let claim = match journal::claim(context, request, key).await? {
        Entry::Recorded(whole) => return Ok(whole),
        Entry::Claimed(claim) => claim,
    };
    match offer(context, request, endpoint).await {
        Ok(whole) => {
            if journal::finish(context, key, claim, &whole).await {
                return Ok(whole);
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
            journal::finish(context, key, claim, &record(context, request, &refusal)).await;
            Err(Failure::Refused(refusal))
        }
    }
}

/// Sends the request once; an endpoint that refused it without running it is not the last one.
async fn offer(
    context: &Arc<Context>,
    request: &Request<Resolved>,
    endpoint: Option<&Name>,
) -> Result<Whole, Failure> {
    let mut last = Failure::from(Code::NoEndpoint);
    for _ in 0..OFFERS {
        let ticket = attempt::wait(context, request, endpoint).await?;
        let deadline = request.stage.deadline.max(Instant::now()) + GRACE;
        match attempt::dispatch(context, request, ticket, deadline).await {
            Ok(answer) => return whole(answer).await,
            Err(failure) if failure.not_run() && failure.retriable() => last = failure,
            Err(failure) => return Err(failure),
        }
    }
    Err(last)
}

async fn whole(answer: Answer) -> Result<Whole, Failure> {
    let live = match answer {
        Answer::Whole(whole) => return Ok(whole),
        Answer::Stream(live) => live,
    };
    let head = live.head;
    let (body, ticket) = live.collect().await?;
    if let Some(mut ticket) = ticket {
        ticket.finish();
    }
    let content_type = Some(Name::from("text/event-stream"));
    Ok(Whole { status: 200, content_type, body, head })
}

/// Returns the answer that the key gets from now on because its outcome is not known.
fn record(context: &Context, request: &Request<Resolved>, refusal: &Refusal) -> Whole {
    let body = serde_json::to_vec(&refusal.body(context, &request.id)).unwrap_or_default();
    Whole {
        status: refusal.code.status(),
        content_type: Some(Name::from("application/json")),
        body: body.into(),
        head: Default::default(),
    }
}
