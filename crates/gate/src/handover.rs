//! Routing while endpoints change their owner.

use std::time::Duration;

use tokio::time::Instant;

use crate::context::Context;
use crate::refusal::Refusal;
use crate::request::Request;
use crate::request::Resolved;
use crate::routing;
use crate::routing::Choice;
use crate::routing::Excluded;

/// The maximum wait for a change of owner.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The time between two routing attempts.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Chooses an endpoint. If none can be chosen while suitable endpoints change their owner, retries for
/// [`HANDOVER_TIMEOUT`], but not beyond the deadline or the lease of this gate.
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
            || !context.board.serving()
            || !routing::changing_owner(context, request, excluded)
        {
            return choice;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
