//! Periodic maintenance: refuses queued requests that no endpoint can serve, detects silent endpoints and
//! updates gauges.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base::Code;
use base::Event;
use base::Name;
use base::Set;
use blackboard::Target;
use state::Command;
use tokio::time::Instant;

use crate::context::Context;
use crate::crash;

/// The time between two sweeps.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);

/// Runs the sweeps for as long as the gate runs.
pub(crate) async fn run(context: Arc<Context>) {
    let mut silent: Set<Name> = Set::default();
    let mut expired: Set<Name> = Set::default();
    let mut held = false;
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let serving = context.board.serving();
        if held && !serving && !context.refusing.load(Ordering::Relaxed) {
            base::event!(WARN, Event::LeaseLost, "the lease expired without a renewal");
        }
        held = serving;
        context.metrics.lease.set(i64::from(serving));
        context.metrics.in_progress.set(i64::try_from(context.admission.total()).unwrap_or(0));
        let code = if serving { None } else { Some(Code::NotServing) };
        refuse_unservable(&context, code);
        detect_silent(&context, &mut silent);
        context.liveness.notify_changes(&context);
        crash::report(&context);
        forget_silent(&context, &mut expired);
        context.board.dispatch();
    }
}

/// Refuses the queued requests that no ready endpoint can serve; with a code, all queued requests.
fn refuse_unservable(context: &Context, code: Option<Code>) {
    let now = Instant::now();
    let liveness_timeout = context.board.liveness_timeout;
    let mut refused = Vec::new();
    let view = context.board.view.read();
    let mut pool = context.board.pool.lock();
    let targets: Vec<Target> = pool.queues.keys().cloned().collect();
    for target in targets {
        let base = target.model().and_then(|model| view.adapters.get(&model.adapter));
        let base = base.map(|adapter| &adapter.base);
        let served = pool.endpoints.values().any(|endpoint| {
            crate::routing::compatible(&endpoint.info.role, &target, base)
                && endpoint.ready(now, liveness_timeout)
        });
        if let Some(code) = code.or((!served).then_some(Code::NoEndpoint)) {
            refused.extend(pool.drain(&target).into_iter().map(|waiter| (waiter, code)));
        }
    }
    let stranded = pool.take_stranded(now, liveness_timeout);
    refused.extend(stranded.into_iter().map(|waiter| (waiter, Code::NoEndpoint)));
    drop(pool);
    drop(view);
    for (waiter, code) in refused {
        waiter.reply.send(Err(code)).ok();
    }
}

/// Logs endpoints that became silent and implicates the requests whose connections to them broke.
fn detect_silent(context: &Arc<Context>, known: &mut Set<Name>) {
    let now = Instant::now();
    let pool = context.board.pool.lock();
    let silent = pool.endpoints.iter();
    let silent = silent.filter(|(_, endpoint)| {
        now.duration_since(endpoint.last_heard) > context.board.liveness_timeout
    });
    let silent: Set<Name> = silent.map(|(name, _)| name.clone()).collect();
    drop(pool);
    for name in silent.difference(known) {
        base::event!(WARN, Event::EndpointSilent, endpoint = %name);
        context.board.pool.lock().endpoint_silent(name);
    }
    *known = silent;
}

/// Asks the keepers to remove endpoints that were silent for longer than `timing.forget_ms`.
fn forget_silent(context: &Arc<Context>, known: &mut Set<Name>) {
    let now = Instant::now();
    let limit = Duration::from_millis(context.config.timing.forget_ms);
    let pool = context.board.pool.lock();
    let expired = pool.endpoints.iter();
    let expired = expired.filter(|(_, endpoint)| now.duration_since(endpoint.last_heard) > limit);
    let expired: Set<Name> = expired.map(|(name, _)| name.clone()).collect();
    drop(pool);
    for endpoint in expired.difference(known).cloned() {
        let context = Arc::clone(context);
        tokio::spawn(async move {
            let command = Command::Forget { endpoint };
            context.keepers.submit(&command, context.call_timeout() * 2).await.ok();
        });
    }
    *known = expired;
}
