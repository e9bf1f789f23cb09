//! Waits for endpoints that are changing their owner.

use std::time::Duration;

use tokio::time::Instant;

use crate::context::Context;
use crate::pick;
use crate::pick::Choice;
use crate::pick::Tried;
use crate::refusal::Refusal;
use crate::request::Request;
use crate::request::Resolved;

/// How long a change of owner is waited for.
const LIMIT: Duration = Duration::from_millis(1_500);
/// The pause between two looks.
const PAUSE: Duration = Duration::from_millis(20);

/// Chooses an endpoint; while some that may serve the request change their owner, waits a little.
pub(crate) async fn choose(
    context: &Context,
    request: &Request<Resolved>,
    tried: &Tried,
) -> Result<Choice, Refusal> {
    let end = request.stage.deadline.min(Instant::now() + LIMIT);
    loop {
        let choice = pick::choose(context, request, tried);
        if choice.is_ok() || Instant::now() >= end || !pick::unsettled(context, request, tried) {
            return choice;
        }
        tokio::time::sleep(PAUSE).await;
    }
}
