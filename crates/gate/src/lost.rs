//! Notices that an endpoint or the gate that owns it will not answer a request any more.

use std::sync::Arc;

use base::Name;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::context::Context;

/// Tells waiting requests that owners or the readiness of endpoints changed.
pub(crate) struct Lost {
    changes: watch::Sender<u64>,
}

impl Default for Lost {
    fn default() -> Lost {
        Lost { changes: watch::Sender::new(0) }
    }
}

impl Lost {
    /// Wakes those that wait if something changed since the last call.
    pub(crate) fn refresh(&self, context: &Context) {
        let state = digest(context);
        self.changes.send_if_modified(|last| {
            let changed = *last != state;
            *last = state;
            changed
        });
    }
}

fn digest(context: &Context) -> u64 {
    let now = Instant::now();
    let revision = context.board.view.read().revision;
    let floor = context.board.floor.lock();
    let quiet = floor.endpoints.iter().filter(|(_, own)| !own.answers(now, context.board.silent));
    let quiet = quiet.map(|(name, own)| base::digest(name.as_bytes()) ^ own.fence);
    quiet.fold(revision, u64::wrapping_add)
}

/// Waits until an endpoint of this gate no longer answers.
pub(crate) async fn endpoint(context: &Arc<Context>, endpoint: &Name, fence: u64) {
    let gone = || {
        let floor = context.board.floor.lock();
        let own = floor.endpoints.get(endpoint).filter(|own| own.fence == fence);
        own.is_some_and(|own| !own.answers(Instant::now(), context.board.silent))
    };
    until(context, gone).await;
}

/// Waits until a gate that owned an endpoint is lost. One that gave the endpoint away in a planned move
/// still answers what it has begun.
pub(crate) async fn owner(context: &Arc<Context>, endpoint: &Name, owner: &Name) {
    let gone = || {
        let view = context.board.view.read();
        let owned = view.endpoints.get(endpoint);
        let moved = owned.and_then(|owned| owned.owner.as_ref()) != Some(owner);
        moved && !view.gates.contains_key(owner)
    };
    until(context, gone).await;
}

async fn until(context: &Context, condition: impl Fn() -> bool) {
    let mut changes = context.lost.changes.subscribe();
    while !condition() {
        if changes.changed().await.is_err() {
            return;
        }
    }
}
