//! Waits for endpoints that are changing their owner.

use std::time::Duration;

use tokio::time::Instant;

use crate::context::Context;
use crate::refusal::Refusal;
use crate::request::Request;
use crate::request::Resolved;
use crate::routing;
use crate::routing::Choice;
use crate::routing::Excluded;

/// How long a change of owner is waited for.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The pause between two looks.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Chooses an endpoint; while some that may serve the request change their owner, waits a little.
pub(crate) async fn choose(
    context: &Context,
    request: &Request<Resolved>,
    excluded: &Excluded,
) -> Result<Choice, Refusal> {
    let end = request.stage.deadline.min(Instant::now() + HANDOVER_TIMEOUT);
    loop {
        let choice = routing::choose(context, request, excluded);
        if choice.is_ok()
            || Instant::now() >= end
            || !routing::changing_owner(context, request, excluded)
        {
            return choice;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
