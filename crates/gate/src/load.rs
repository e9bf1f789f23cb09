//! Executes a load with its eviction and records the results.

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

/// The consecutive load failures after which the queued requests are refused.
const FAILURE_LIMIT: u32 = 3;

/// The consecutive load failures by adapter version.
pub(crate) type Failures = Mutex<Map<Model, u32>>;

/// Executes a load; evicts the victim first if the plan has one.
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

/// Evicts an adapter; returns `false` if it may still be loaded.
async fn evict(context: &Context, job: &Job, victim: &Model) -> bool {
    let endpoint = &job.plan.endpoint;
    let action = Action::Unload(victim.clone());
    let result = order::send(context, endpoint, &job.address, job.fence, action).await;
    let evicted = match &result {
        Ok(_) => true,
        Err(order::Error::Refused(Fault { error, .. })) => *error == Reason::NotLoaded,
        Err(_) => false,
    };
    // If the adapter is still loaded, the next probe of the endpoint adds it again.
    context.board.set_phase(endpoint, job.fence, victim, None);
    if evicted {
        context.metrics.orders.with_label_values(&["evicted"]).inc();
        base::event!(INFO, Event::Evicted, model = model_name(victim), endpoint = %endpoint);
    }
    evicted
}

/// Counts a load failure; refuses the queued requests after [`FAILURE_LIMIT`] in a row.
fn record_failure(context: &Context, model: &Model) {
    let mut history = context.history.lock();
    let now = history.since_epoch(Instant::now());
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
