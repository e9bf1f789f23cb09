//! Asks the keepers for permits to load, and carries the decisions of placement out.

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
use crate::inputs;
use crate::load;

/// The wishes that one gate has at the keepers at once.
const WISHES: usize = 8;
/// The time between two looks at the tables while nothing changes.
const PAUSE: Duration = Duration::from_millis(500);
/// The least time between two looks.
const REST: Duration = Duration::from_millis(5);
/// The pause after a wish was not granted.
const REFUSED: Duration = Duration::from_millis(100);
/// The longest time that a wish waits for its permit.
const PATIENCE: Duration = Duration::from_secs(10);
/// The longest wait for a permit after which further ones may be spent on adapters not asked for.
const SPARE: Duration = Duration::from_millis(50);

/// Where an adapter is to be loaded.
pub(crate) struct Site {
    /// The decision.
    pub(crate) plan: Plan,
    /// The address of the endpoint.
    pub(crate) address: Name,
    /// The fencing number of the ownership.
    pub(crate) fence: u64,
}

/// Places adapters for as long as the gate runs.
pub(crate) async fn run(context: Arc<Context>) {
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        let changed = context.board.changed.notified();
        let wished = open.load(Ordering::Relaxed);
        if wished < WISHES && context.board.serving() {
            for plan in inputs::plans(&context, WISHES).iter().skip(wished) {
                open.fetch_add(1, Ordering::Relaxed);
                let worth = plan.worth;
                tokio::spawn(wish(Arc::clone(&context), Arc::clone(&open), worth));
            }
        }
        tokio::time::timeout(PAUSE, changed).await.ok();
        tokio::time::sleep(REST).await;
    }
}

/// Waits for a permit and spends it on what is worth most by then.
async fn wish(context: Arc<Context>, open: Arc<AtomicUsize>, worth: u32) {
    let began = Instant::now();
    let wish = Bid {
        gate: context.entry.host.clone(),
        incarnation: context.board.lease.lock().incarnation,
        worth,
        patience_ms: u64::try_from(PATIENCE.as_millis()).unwrap_or(u64::MAX),
    };
    let granted = context.keepers.permit(&wish).await;
    context.memory.lock().spare = granted.is_ok() && began.elapsed() <= SPARE;
    match granted {
        Ok(permit) => {
            let site = claim(&context);
            open.fetch_sub(1, Ordering::Relaxed);
            if let Some(site) = site {
                load::run(&context, &site).await;
            }
            context.keepers.settle(permit.id).await;
        }
        Err(fault) => {
            base::event!(INFO, Event::LoadDeferred, worth, reason = %fault);
            tokio::time::sleep(REFUSED).await;
            open.fetch_sub(1, Ordering::Relaxed);
        }
    }
    context.board.changed.notify_one();
}

/// Takes a slot for the load that is worth most now.
fn claim(context: &Context) -> Option<Site> {
    let now = Instant::now();
    let view = context.board.view.read();
    let mut floor = context.board.floor.lock();
    let plan = inputs::decide(context, &view, &floor, 1).into_iter().next()?;
    let own = floor.endpoints.get_mut(&plan.endpoint)?;
    own.orders += 1;
    let loading = Slot { phase: Phase::Loading, since: now, used: now };
    own.slots.insert(plan.load.clone(), loading);
    if let Some(slot) = plan.evict.as_ref().and_then(|victim| own.slots.get_mut(victim)) {
        slot.phase = Phase::Unloading;
    }
    let (address, fence) = (own.info.address.clone(), own.fence);
    drop(floor);
    drop(view);
    let losers: Vec<String> = plan.alternatives.iter().map(ToString::to_string).collect();
    base::event!(INFO, Event::Placed, model = name(&plan.load), endpoint = %plan.endpoint,
        victim = plan.evict.as_ref().map(name), reason = %plan.reason, worth = plan.worth,
        losers = losers.join(" "));
    Some(Site { plan, address, fence })
}

/// Returns the name of a model as callers write it.
pub(crate) fn name(model: &Model) -> String {
    format!("{}@{}", model.adapter, model.version)
}
