//! Detects that an endpoint, or the gate that owns it, can no longer answer a request.

use std::sync::Arc;

use base::Name;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::context::Context;

/// Notifies requests in progress when owners or the liveness of endpoints change.
pub(crate) struct Monitor {
    changes: watch::Sender<u64>,
}

impl Default for Monitor {
    fn default() -> Monitor {
        Monitor { changes: watch::Sender::new(0) }
    }
}

impl Monitor {
    /// Wakes the waiting requests if something changed since the last call.
    pub(crate) fn notify_changes(&self, context: &Context) {
        let state = digest(context);
        self.changes.send_if_modified(|last| {
            let changed = *last != state;
            *last = state;
            changed
        });
    }
}

/// Returns a digest of the view revision, the unresponsive endpoints of this gate and the silent gates.
fn digest(context: &Context) -> u64 {
    let now = Instant::now();
    let revision = context.board.view.read().revision;
    let pool = context.board.pool.lock();
    let unresponsive = pool
        .endpoints
        .iter()
        .filter(|(_, entry)| !entry.responsive(now, context.board.liveness_timeout));
    let unresponsive =
        unresponsive.map(|(name, entry)| base::digest(name.as_bytes()) ^ entry.fence);
    let digest = unresponsive.fold(revision, u64::wrapping_add);
    drop(pool);
    let peers = context.board.peers.lock();
    let silent = peers.silent(now, context.config.timing.lease_timeout());
    silent.map(|gate| base::digest(gate.as_bytes())).fold(digest, u64::wrapping_add)
}

/// Waits until an endpoint of this gate is unresponsive.
pub(crate) async fn endpoint_lost(context: &Arc<Context>, endpoint: &Name, fence: u64) {
    let lost = || {
        let pool = context.board.pool.lock();
        let entry = pool.endpoints.get(endpoint).filter(|entry| entry.fence == fence);
        entry.is_some_and(|entry| !entry.responsive(Instant::now(), context.board.liveness_timeout))
    };
    wait_until(context, lost).await;
}

/// Waits until the gate `owner` has lost both an endpoint and its lease, or has been silent for the duration of a
/// lease.
///
/// A gate that lost only the endpoint, in a planned move, still answers the requests that it has begun. A gate
/// that is partitioned does not learn what the others have lost.
pub(crate) async fn owner_lost(context: &Arc<Context>, endpoint: &Name, owner: &Name) {
    let lost = || {
        let view = context.board.view.read();
        let owned = view.endpoints.get(endpoint);
        let moved = owned.and_then(|owned| owned.owner.as_ref()) != Some(owner);
        if moved && !view.gates.contains_key(owner) {
            return true;
        }
        let peers = context.board.peers.lock();
        let mut silent = peers.silent(Instant::now(), context.config.timing.lease_timeout());
        silent.any(|gate| gate == owner)
    };
    wait_until(context, lost).await;
}

async fn wait_until(context: &Context, condition: impl Fn() -> bool) {
    let mut changes = context.liveness.changes.subscribe();
    while !condition() {
        if changes.changed().await.is_err() {
            return;
        }
    }
}
