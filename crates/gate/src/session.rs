//! Keeps the lease of the gate and its view up to date.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base::Event;
use blackboard::Moment;
use wire::keeper::Fault;
use wire::keeper::Grant;
use wire::keeper::Renewal;

use crate::context::Context;

/// The pause after a renewal that failed.
const PAUSE: Duration = Duration::from_millis(50);

/// Renews the lease for as long as the gate runs.
pub(crate) async fn run(context: Arc<Context>) {
    let every = Duration::from_millis(context.config.timing.renew_ms);
    let mut whole = false;
    loop {
        let sent = Moment::now();
        let applied = if whole { 0 } else { context.board.view.read().revision };
        let renewal = Renewal { gate: context.gate(), applied, leave: false };
        let patience = Duration::from_millis(context.config.timing.lease_ms);
        match context.keepers.renew(&renewal, patience).await {
            Ok(grant) => {
                whole = !accept(&context, sent, &grant);
                let pause = if whole { PAUSE } else { every };
                tokio::time::sleep_until(sent.instant() + pause).await;
            }
            Err(Fault::LeaseEnded) => {
                restart(&context);
                tokio::time::sleep(PAUSE).await;
            }
            Err(_) => tokio::time::sleep(PAUSE).await,
        }
    }
}

/// Applies a grant; returns false if the view could not be brought up to date.
fn accept(context: &Context, sent: Moment, grant: &Grant) -> bool {
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
    let until = sent.after(Duration::from_millis(grant.lease_ms));
    let mut lease = context.board.lease.lock();
    let held = lease.holds();
    lease.extend(until);
    let holds = lease.holds();
    drop(lease);
    context.metrics.lease.set(i64::from(holds));
    if holds && !held {
        base::event!(INFO, Event::LeaseGranted, revision);
    }
    context.board.dispatch();
    true
}

/// Starts a new run because the keepers ended the lease of this one.
fn restart(context: &Context) {
    let mut lease = context.board.lease.lock();
    lease.end();
    lease.incarnation = incarnation();
    drop(lease);
    context.board.disown();
    context.metrics.lease.set(0);
    base::event!(WARN, Event::LeaseLost, "the keepers ended the lease");
}

/// Returns the number of a new run.
pub(crate) fn incarnation() -> u64 {
    rand::random_range(1..=u64::MAX)
}

/// Gives the lease back.
pub(crate) async fn leave(context: &Context) {
    let applied = context.board.view.read().revision;
    let renewal = Renewal { gate: context.gate(), applied, leave: true };
    context.board.lease.lock().end();
    context.keepers.renew(&renewal, context.call() * 2).await.ok();
}
