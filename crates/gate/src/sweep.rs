//! Ends waiting that has become pointless, and notices what falls silent.

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
const PAUSE: Duration = Duration::from_millis(50);

/// Sweeps for as long as the gate runs.
pub(crate) async fn run(context: Arc<Context>) {
    let mut silent: Set<Name> = Set::default();
    let mut forgotten: Set<Name> = Set::default();
    let mut held = false;
    loop {
        tokio::time::sleep(PAUSE).await;
        let serving = context.board.serving();
        if held && !serving && !context.closed.load(Ordering::Relaxed) {
            base::event!(WARN, Event::LeaseLost, "the lease ran out");
        }
        held = serving;
        context.metrics.lease.set(i64::from(serving));
        context.metrics.progress.set(i64::try_from(context.progress.total()).unwrap_or(0));
        let code = if serving { None } else { Some(Code::NotServing) };
        refuse(&context, code);
        hush(&context, &mut silent);
        context.lost.refresh(&context);
        crash::report(&context);
        forget(&context, &mut forgotten);
        context.board.dispatch();
    }
}

/// Answers requests that wait for a target that nothing can serve; with a code, all that wait.
fn refuse(context: &Context, code: Option<Code>) {
    let now = Instant::now();
    let silent = context.board.silent;
    let mut refused = Vec::new();
    let view = context.board.view.read();
    let mut floor = context.board.floor.lock();
    let targets: Vec<Target> = floor.queues.keys().cloned().collect();
    for target in targets {
        let base = target.model().and_then(|model| view.adapters.get(&model.adapter));
        let base = base.map(|adapter| &adapter.base);
        let served = floor
            .endpoints
            .values()
            .any(|own| crate::pick::suits(&own.info.role, &target, base) && own.ready(now, silent));
        if let Some(code) = code.or((!served).then_some(Code::NoEndpoint)) {
            refused.extend(floor.drain(&target).into_iter().map(|waiter| (waiter, code)));
        }
    }
    let stranded = floor.strand(now, silent);
    refused.extend(stranded.into_iter().map(|waiter| (waiter, Code::NoEndpoint)));
    drop(floor);
    drop(view);
    for (waiter, code) in refused {
        waiter.reply.send(Err(code)).ok();
    }
}

/// Logs endpoints that fall silent, and reports what broke there.
fn hush(context: &Arc<Context>, known: &mut Set<Name>) {
    let now = Instant::now();
    let floor = context.board.floor.lock();
    let quiet = floor.endpoints.iter();
    let quiet = quiet.filter(|(_, own)| now.duration_since(own.heard) > context.board.silent);
    let quiet: Set<Name> = quiet.map(|(name, _)| name.clone()).collect();
    drop(floor);
    for name in quiet.difference(known) {
        base::event!(WARN, Event::EndpointSilent, endpoint = %name);
        crash::silent(context, name);
    }
    *known = quiet;
}

/// Has endpoints forgotten that have been silent for long.
fn forget(context: &Arc<Context>, known: &mut Set<Name>) {
    let now = Instant::now();
    let limit = Duration::from_millis(context.config.timing.forget_ms);
    let floor = context.board.floor.lock();
    let gone = floor.endpoints.iter();
    let gone = gone.filter(|(_, own)| now.duration_since(own.heard) > limit);
    let gone: Set<Name> = gone.map(|(name, _)| name.clone()).collect();
    drop(floor);
    for endpoint in gone.difference(known).cloned() {
        let own = Arc::clone(context);
        tokio::spawn(async move {
            let command = Command::Forget { endpoint };
            own.keepers.submit(&command, own.call() * 2).await.ok();
        });
    }
    *known = gone;
}
