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
use crate::loader::Job;
use crate::loader::model_name;
use crate::order;

/// The consecutive failures to load after which waiting requests are refused.
const FAILURE_LIMIT: u32 = 3;

/// The consecutive failures to load by adapter and version.
pub(crate) type Failures = Mutex<Map<Model, u32>>;

/// Carries a load out.
pub(crate) async fn run(context: &Context, job: &Job) {
    let model = &job.plan.load;
    let endpoint = &job.plan.endpoint;
    if let Some(victim) = &job.plan.evict
        && !evict(context, job, victim).await
    {
        context.board.set_phase(endpoint, job.fence, model, None);
        return;
    }
    let began = Instant::now();
    let action = Action::Load(model.clone());
    match order::send(context, endpoint, &job.address, job.fence, action).await {
        Ok(_) => {
            context.board.set_phase(endpoint, job.fence, model, Some(Phase::Ready));
            context.failures.lock().remove(model);
            context.history.lock().backoff.record_success(model);
            context.metrics.orders.with_label_values(&["loaded"]).inc();
            let took_ms = began.elapsed().as_millis() as u64;
            base::event!(INFO, Event::Loaded, model = model_name(model), endpoint = %endpoint, took_ms);
            context.board.dispatch();
        }
        Err(error) => {
            context.board.set_phase(endpoint, job.fence, model, None);
            context.metrics.orders.with_label_values(&["load_failed"]).inc();
            base::event!(WARN, Event::LoadFailed, model = model_name(model), endpoint = %endpoint,
                reason = %error);
            record_failure(context, model);
        }
    }
}

/// Evicts an adapter; false if it may still be there.
async fn evict(context: &Context, job: &Job, victim: &Model) -> bool {
    let endpoint = &job.plan.endpoint;
    let action = Action::Unload(victim.clone());
    let done = order::send(context, endpoint, &job.address, job.fence, action).await;
    let gone = match &done {
        Ok(_) => true,
        Err(order::Error::Refused(Fault { error, .. })) => *error == Reason::NotLoaded,
        Err(_) => false,
    };
    // If it is still there, the next reading of the endpoint's state says so.
    context.board.set_phase(endpoint, job.fence, victim, None);
    if gone {
        context.metrics.orders.with_label_values(&["evicted"]).inc();
        base::event!(INFO, Event::Evicted, model = model_name(victim), endpoint = %endpoint);
    }
    gone
}

/// Counts a failure; after several, refuses those who wait.
fn record_failure(context: &Context, model: &Model) {
    let mut history = context.history.lock();
    let now = history.time(Instant::now());
    history.backoff.record_failure(model, now);
    drop(history);
    let mut failures = context.failures.lock();
    let count = failures.entry(model.clone()).or_insert(0);
    *count += 1;
    if *count < FAILURE_LIMIT {
        return;
    }
    failures.remove(model);
    drop(failures);
    let waiters = context.board.pool.lock().drain(&Target::Model(model.clone()));
    for waiter in waiters {
        waiter.reply.send(Err(Code::LoadFailed)).ok();
    }
}
