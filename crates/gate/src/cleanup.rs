//! Cancels requests that were given up, and counts them at their endpoint until they are gone.

use std::sync::Arc;
use std::time::Duration;

use base::Event;
use blackboard::Abandoned;
use tokio::sync::mpsc::UnboundedReceiver;

use crate::context::Context;
use crate::survey;

/// The pause between two looks at an endpoint.
const PAUSE: Duration = Duration::from_millis(100);

/// Cancels for as long as the gate runs.
pub(crate) async fn run(context: Arc<Context>, mut given_up: UnboundedReceiver<Abandoned>) {
    while let Some(abandoned) = given_up.recv().await {
        tokio::spawn(cancel(Arc::clone(&context), abandoned));
    }
}

async fn cancel(context: Arc<Context>, abandoned: Abandoned) {
    let path = format!("/v1/requests/{}", abandoned.request);
    context.trace.note(&abandoned.request, Event::Cancelled, format!("at {}", abandoned.endpoint));
    while pinned(&context, &abandoned) {
        context.client.delete(&abandoned.address, &path, abandoned.fence, context.call()).await;
        // The pause lets bytes of the request arrive that were still under way.
        tokio::time::sleep(PAUSE).await;
        if let Some(state) = survey::state(&context, &abandoned.address).await {
            let running = state.running.iter().any(|run| run.request == abandoned.request);
            if !running || state.generation != abandoned.generation {
                break;
            }
        }
    }
    context.board.unpin(&abandoned.endpoint, abandoned.fence, &abandoned.request);
    context.board.dispatch();
}

fn pinned(context: &Context, abandoned: &Abandoned) -> bool {
    let floor = context.board.floor.lock();
    let own = floor.endpoints.get(&abandoned.endpoint);
    own.is_some_and(|own| {
        own.fence == abandoned.fence && own.in_flight.contains_key(&abandoned.request)
    })
}
