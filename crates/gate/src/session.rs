//! The session with the keepers: renews the lease of the gate and updates its view.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base::Event;
use blackboard::Timestamp;
use wire::keeper::Fault;
use wire::keeper::Grant;
use wire::keeper::Renewal;

use crate::context::Context;

/// The pause after a failed renewal.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Renews the lease for as long as the gate runs.
pub(crate) async fn run(context: Arc<Context>) {
    let interval = Duration::from_millis(context.config.timing.renew_ms);
    let mut need_full_view = false;
    loop {
        let sent = Timestamp::now();
        let applied = if need_full_view { 0 } else { context.board.view.read().revision };
        let renewal = Renewal { gate: context.identity(), applied, leave: false };
        let timeout = Duration::from_millis(context.config.timing.lease_ms);
        match context.keepers.renew(&renewal, timeout).await {
            Ok(grant) => {
                need_full_view = !apply_grant(&context, sent, &grant);
                let pause = if need_full_view { RETRY_PAUSE } else { interval };
                tokio::time::sleep_until(sent.instant() + pause).await;
            }
            Err(Fault::LeaseEnded) => {
                start_incarnation(&context);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

/// Applies a grant; returns `false` if the view needs a full update first.
fn apply_grant(context: &Context, sent: Timestamp, grant: &Grant) -> bool {
    let before = context.board.view.read().revision;
    if !context.board.update(&grant.update) {
        return false;
    }
    let (revision, configuration) = {
        let view = context.board.view.read();
        (view.revision, view.configuration)
    };
    if revision != before {
        base::event!(INFO, Event::ConfigurationApplied, revision, configuration);
    }
    context.in_force.fetch_max(grant.in_force, Ordering::Relaxed);
    let expiry = sent.after(Duration::from_millis(grant.lease_ms));
    let mut lease = context.board.lease.lock();
    let held = lease.holds();
    lease.extend(expiry);
    let holds = lease.holds();
    drop(lease);
    context.metrics.lease.set(i64::from(holds));
    if holds && !held {
        base::event!(INFO, Event::LeaseGranted, revision);
    }
    context.board.dispatch();
    true
}

/// Starts a new incarnation after the keepers ended the lease of the current one.
fn start_incarnation(context: &Context) {
    let mut lease = context.board.lease.lock();
    lease.end();
    lease.incarnation = new_incarnation();
    drop(lease);
    context.board.drop_endpoints();
    context.metrics.lease.set(0);
    base::event!(WARN, Event::LeaseLost, "the keepers ended the lease");
}

/// Returns a random number for a new incarnation.
pub(crate) fn new_incarnation() -> u64 {
    rand::random_range(1..=u64::MAX)
}

/// Releases the lease.
pub(crate) async fn release(context: &Context) {
    let applied = context.board.view.read().revision;
    let renewal = Renewal { gate: context.identity(), applied, leave: true };
    context.board.lease.lock().end();
    context.keepers.renew(&renewal, context.call_timeout() * 2).await.ok();
}
