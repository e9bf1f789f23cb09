//! Claims of non-idempotent requests and their recorded responses.

use std::sync::Arc;
use std::time::Duration;

use base::Code;
use base::Event;
use base::Name;
use state::Command;
use state::Outcome;
use state::journal::Answer;
use state::journal::Claim;
use state::journal::Key;
use tokio::time::Instant;
use uuid::Uuid;

use crate::answer::Complete;
use crate::answer::Head;
use crate::clock::now_ms;
use crate::context::Context;
use crate::failure::Failure;
use crate::refusal::Refusal;
use crate::request::Request;
use crate::request::Resolved;

/// The timeout of a claim.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);
/// The timeout of one attempt to commit the end of a claim.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);
/// The maximum number of attempts to commit the end of a claim.
const COMMIT_ATTEMPTS: usize = 60;

/// The state of a key in the journal.
#[derive(Debug)]
pub(crate) enum Entry {
    /// The request may be sent once, under this claim number.
    Claimed(u64),
    /// The request has run; this is its recorded response.
    Recorded(Complete),
}

/// Claims the idempotency key of a request.
pub(crate) async fn claim(
    context: &Arc<Context>,
    request: &Request<Resolved>,
    key: &Key,
) -> Result<Entry, Failure> {
    let claim = Claim {
        key: key.clone(),
        digest: request.stage.digest,
        request: request.id.clone(),
        gate: context.entry.host.clone(),
        incarnation: context.board.lease.lock().incarnation,
        created_ms: created_ms(&key.key),
    };
    let command = Command::Claim { claim, now_ms: now_ms() };
    let remaining = request.stage.deadline.saturating_duration_since(Instant::now());
    let began = Instant::now();
    let outcome = context.keepers.submit(&command, remaining.min(CLAIM_TIMEOUT)).await;
    context.metrics.journal.observe(began.elapsed().as_secs_f64());
    match outcome {
        Ok(Outcome::Claimed { claim }) => {
            context.trace.record(&request.id, Event::KeyClaimed, format!("claim {claim}"));
            Ok(Entry::Claimed(claim))
        }
        Ok(Outcome::Recorded { answer }) => {
            context.trace.record(&request.id, Event::Replayed, key.key.as_str());
            replay(answer).map(Entry::Recorded)
        }
        Ok(Outcome::Refused { code, detail, .. }) => {
            Err(Failure::Refused(Refusal::with(code, detail)))
        }
        Ok(Outcome::Done { .. }) => Err(Failure::from(Code::Internal)),
        Err(wire::keeper::Fault::Unknown) => {
            tokio::spawn(release_unknown(Arc::clone(context), command, key.clone()));
            Err(Failure::from(Code::Lost))
        }
        Err(fault) => Err(Failure::Refused(Refusal::from(fault))),
    }
}

fn replay(answer: Answer) -> Result<Complete, Failure> {
    let body = answer.body.ok_or_else(|| Failure::from(Code::AnswerTooLarge))?;
    let head = Head { replayed: true, ..Head::default() };
    let content_type = Some(answer.content_type).filter(|text| !text.is_empty());
    Ok(Complete { status: answer.status, content_type, body, head })
}

/// Releases a claim whose commit has an unknown outcome: repeating the same claim returns its number.
async fn release_unknown(context: Arc<Context>, command: Command, key: Key) {
    for _ in 0..COMMIT_ATTEMPTS {
        match context.keepers.submit(&command, COMMIT_TIMEOUT).await {
            Ok(Outcome::Claimed { claim }) => {
                release(&context, &key, claim).await;
                return;
            }
            Ok(_) => return,
            Err(_) => {}
        }
    }
}

/// Records a response; returns `false` if it could not be recorded.
pub(crate) async fn finish(context: &Context, key: &Key, claim: u64, complete: &Complete) -> bool {
    let fits = complete.body.len() <= context.config.journal.answer_bytes;
    let answer = Answer {
        status: complete.status,
        content_type: complete.content_type.clone().unwrap_or_default(),
        body: fits.then(|| complete.body.clone()),
    };
    let command = Command::Finish { key: key.clone(), claim, answer, now_ms: now_ms() };
    commit(context, &command, Event::KeyFinished).await
}

/// Releases the claim of a request that did not run; returns `false` if it could not be released.
pub(crate) async fn release(context: &Context, key: &Key, claim: u64) -> bool {
    let command = Command::Release { key: key.clone(), claim };
    commit(context, &command, Event::KeyReleased).await
}

async fn commit(context: &Context, command: &Command, event: Event) -> bool {
    let began = Instant::now();
    for _ in 0..COMMIT_ATTEMPTS {
        match context.keepers.submit(command, COMMIT_TIMEOUT).await {
            Ok(Outcome::Refused { code, detail, .. }) => {
                base::event!(WARN, Event::Fault, code = code.number(), detail);
                return false;
            }
            Ok(_) => {
                context.metrics.journal.observe(began.elapsed().as_secs_f64());
                base::event!(INFO, event);
                return true;
            }
            Err(_) => {}
        }
    }
    false
}

/// Returns the creation time of a key in milliseconds since the Unix epoch, or `None` if it is not a UUIDv7.
fn created_ms(key: &Name) -> Option<u64> {
    let uuid = Uuid::parse_str(key).ok().filter(|uuid| uuid.get_version_num() == 7)?;
    let (seconds, nanoseconds) = uuid.get_timestamp()?.to_unix();
    Some(seconds * 1_000 + u64::from(nanoseconds) / 1_000_000)
}
