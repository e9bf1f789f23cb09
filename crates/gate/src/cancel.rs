//! Cancels abandoned requests at their endpoints.
//!
//! A request keeps its place at the endpoint until it is known to have ended.

use std::sync::Arc;
use std::time::Duration;

use base::Event;
use blackboard::Abandoned;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::context::Context;
use crate::probe;

/// The time between a cancellation and the check that the request has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Cancels abandoned requests for as long as the gate runs.
pub(crate) async fn run(context: Arc<Context>, mut abandoned: UnboundedReceiver<Abandoned>) {
    while let Some(abandoned) = abandoned.recv().await {
        tokio::spawn(cancel(Arc::clone(&context), abandoned));
    }
}

async fn cancel(context: Arc<Context>, abandoned: Abandoned) {
    let path = format!("/v1/requests/{}", abandoned.request);
    context.trace.record(
        &abandoned.request,
        Event::Cancelled,
        format!("at {}", abandoned.endpoint),
    );
    while in_flight(&context, &abandoned) {
        context
            .client
            .delete(&abandoned.address, &path, abandoned.fence, context.call_timeout())
            .await;
        // Bytes of the request may still be in transit; they arrive during the pause.
        tokio::time::sleep(POLL_INTERVAL).await;
        if let Some(state) = probe::state(&context, &abandoned.address).await {
            let still_running =
                state.running.iter().any(|running| running.request == abandoned.request);
            if !still_running || state.generation != abandoned.generation {
                break;
            }
        }
    }
    context.board.release(&abandoned.endpoint, abandoned.fence, &abandoned.request);
    context.board.dispatch();
}

/// Returns whether the request still counts as in flight at its endpoint.
fn in_flight(context: &Context, abandoned: &Abandoned) -> bool {
    let pool = context.board.pool.lock();
    let entry = pool.endpoints.get(&abandoned.endpoint);
    entry.is_some_and(|entry| {
        entry.fence == abandoned.fence && entry.in_flight.contains_key(&abandoned.request)
    })
}
