//! Requests load permits from the keepers and executes placement plans.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base::Event;
use base::Name;
use blackboard::Phase;
use blackboard::Slot;
use placement::Plan;
use tokio::time::Instant;
use wire::endpoint::Model;
use wire::keeper::Bid;

use crate::context::Context;
use crate::load;
use crate::planner;

/// The maximum number of permit requests that are pending at the keepers.
const MAX_PERMIT_REQUESTS: usize = 8;
/// The time after which loads are planned although no table has changed.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// The minimum time between two rounds of planning.
const MIN_INTERVAL: Duration = Duration::from_millis(5);
/// The pause after a permit request failed.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// The timeout of a permit request at the keepers.
const PERMIT_TIMEOUT: Duration = Duration::from_secs(10);
/// The wait for a permit up to which permits count as spare and may be used for adapters that no request
/// waits for.
const SPARE_PERMIT_WAIT: Duration = Duration::from_millis(50);

/// A load to execute.
pub(crate) struct Job {
    /// The placement plan.
    pub(crate) plan: Plan,
    /// The address of the endpoint.
    pub(crate) address: Name,
    /// The fencing token of the ownership.
    pub(crate) fence: u64,
}

/// Plans and executes loads for as long as the gate runs.
pub(crate) async fn run(context: Arc<Context>) {
    let pending = Arc::new(AtomicUsize::new(0));
    loop {
        let wakeup = context.board.placement_wakeup.notified();
        let requested = pending.load(Ordering::Relaxed);
        if requested < MAX_PERMIT_REQUESTS && context.board.serving() {
            for plan in planner::plan(&context, MAX_PERMIT_REQUESTS).iter().skip(requested) {
                pending.fetch_add(1, Ordering::Relaxed);
                let worth = plan.worth;
                tokio::spawn(request_permit(Arc::clone(&context), Arc::clone(&pending), worth));
            }
        }
        tokio::time::timeout(POLL_INTERVAL, wakeup).await.ok();
        tokio::time::sleep(MIN_INTERVAL).await;
    }
}

/// Waits for a permit and uses it for the load with the highest worth at that time.
async fn request_permit(context: Arc<Context>, pending: Arc<AtomicUsize>, worth: u32) {
    let began = Instant::now();
    let bid = Bid {
        gate: context.entry.host.clone(),
        incarnation: context.board.lease.lock().incarnation,
        worth,
        patience_ms: u64::try_from(PERMIT_TIMEOUT.as_millis()).unwrap_or(u64::MAX),
    };
    let granted = context.keepers.permit(&bid).await;
    context.history.lock().spare_permits = granted.is_ok() && began.elapsed() <= SPARE_PERMIT_WAIT;
    match granted {
        Ok(permit) => {
            let job = reserve_slot(&context);
            pending.fetch_sub(1, Ordering::Relaxed);
            if let Some(job) = job {
                load::run(&context, &job).await;
            }
            context.keepers.settle(permit.id).await;
        }
        Err(fault) => {
            base::event!(INFO, Event::LoadDeferred, worth, reason = %fault);
            tokio::time::sleep(RETRY_PAUSE).await;
            pending.fetch_sub(1, Ordering::Relaxed);
        }
    }
    context.board.placement_wakeup.notify_one();
}

/// Reserves a slot for the load with the highest worth.
fn reserve_slot(context: &Context) -> Option<Job> {
    let now = Instant::now();
    let view = context.board.view.read();
    let mut pool = context.board.pool.lock();
    let plan = planner::plan_locked(context, &view, &pool, 1).into_iter().next()?;
    let entry = pool.endpoints.get_mut(&plan.endpoint)?;
    entry.order_epoch += 1;
    let loading = Slot { phase: Phase::Loading, since: now, last_used: now };
    entry.slots.insert(plan.load.clone(), loading);
    if let Some(slot) = plan.evict.as_ref().and_then(|victim| entry.slots.get_mut(victim)) {
        slot.phase = Phase::Unloading;
    }
    let (address, fence) = (entry.info.address.clone(), entry.fence);
    drop(pool);
    drop(view);
    let alternatives: Vec<String> = plan.alternatives.iter().map(ToString::to_string).collect();
    base::event!(INFO, Event::Placed, model = model_name(&plan.load), endpoint = %plan.endpoint,
        victim = plan.evict.as_ref().map(model_name), reason = %plan.reason, worth = plan.worth,
        losers = alternatives.join(" "));
    Some(Job { plan, address, fence })
}

/// Returns the name of a model in the form `ADAPTER@VERSION`.
pub(crate) fn model_name(model: &Model) -> String {
    format!("{}@{}", model.adapter, model.version)
}
