//! Orders an eviction and a load, and keeps the books.

use base::Code;
use base::Event;
use base::Map;
use blackboard::Phase;
use blackboard::Target;
use parking_lot::Mutex;
use tokio::time::Instant;
use wire::endpoint::Action;
use wire::endpoint::Fault;
use wire::endpoint::Model;
use wire::endpoint::Reason;

use crate::context::Context;
use crate::order;
use crate::placement::Site;
use crate::placement::name;

/// The consecutive failures to load after which waiting requests are refused.
const FAILURES: u32 = 3;

/// The consecutive failures to load by adapter and version.
pub(crate) type Failures = Mutex<Map<Model, u32>>;

/// Carries a load out.
pub(crate) async fn run(context: &Context, site: &Site) {
    let model = &site.plan.load;
    let endpoint = &site.plan.endpoint;
    if let Some(victim) = &site.plan.evict
        && !evict(context, site, victim).await
    {
        context.board.mark(endpoint, site.fence, model, None);
        return;
    }
    let began = Instant::now();
    let action = Action::Load(model.clone());
    match order::send(context, endpoint, &site.address, site.fence, action).await {
        Ok(_) => {
            context.board.mark(endpoint, site.fence, model, Some(Phase::Ready));
            context.failures.lock().remove(model);
            context.memory.lock().backoff.record_success(model);
            context.metrics.orders.with_label_values(&["loaded"]).inc();
            let took_ms = began.elapsed().as_millis() as u64;
            base::event!(INFO, Event::Loaded, model = name(model), endpoint = %endpoint, took_ms);
            context.board.dispatch();
        }
        Err(error) => {
            context.board.mark(endpoint, site.fence, model, None);
            context.metrics.orders.with_label_values(&["load_failed"]).inc();
            base::event!(WARN, Event::LoadFailed, model = name(model), endpoint = %endpoint,
                reason = %error);
            fail(context, model);
        }
    }
}

/// Evicts an adapter; false if it may still be there.
async fn evict(context: &Context, site: &Site, victim: &Model) -> bool {
    let endpoint = &site.plan.endpoint;
    let action = Action::Unload(victim.clone());
    let done = order::send(context, endpoint, &site.address, site.fence, action).await;
    let gone = match &done {
        Ok(_) => true,
        Err(order::Error::Refused(Fault { error, .. })) => *error == Reason::NotLoaded,
        Err(_) => false,
    };
    // If it is still there, the next reading of the endpoint's state says so.
    context.board.mark(endpoint, site.fence, victim, None);
    if gone {
        context.metrics.orders.with_label_values(&["evicted"]).inc();
        base::event!(INFO, Event::Evicted, model = name(victim), endpoint = %endpoint);
    }
    gone
}

/// Counts a failure; after several, refuses those who wait.
fn fail(context: &Context, model: &Model) {
    let mut memory = context.memory.lock();
    let now = memory.time(Instant::now());
    memory.backoff.record_failure(model, now);
    drop(memory);
    let mut failures = context.failures.lock();
    let count = failures.entry(model.clone()).or_insert(0);
    *count += 1;
    if *count < FAILURES {
        return;
    }
    failures.remove(model);
    drop(failures);
    let waiters = context.board.floor.lock().drain(&Target::Model(model.clone()));
    for waiter in waiters {
        waiter.reply.send(Err(Code::LoadFailed)).ok();
    }
}
