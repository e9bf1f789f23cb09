//! Probes the state of the endpoints that this gate owns.
//!
//! The first probe after a change of owner finds the adapters and running requests of the previous
//! owner. Later probes check that the endpoint answers and correct the table of its adapters.

use std::sync::Arc;
use std::time::Duration;

use base::Event;
use base::Map;
use base::Name;
use tokio::task::JoinHandle;
use wire::endpoint::State;

use crate::context::Context;

/// The pause after a probe that failed or was not applied.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// One probe of an endpoint.
struct Probe {
    endpoint: Name,
    address: Name,
    fence: u64,
    order_epoch: u64,
    probed: bool,
}

/// Probes endpoints for as long as the gate runs.
pub(crate) async fn run(context: Arc<Context>) {
    let interval = Duration::from_millis(context.config.timing.announce_ms);
    let mut tasks: Map<Name, (u64, JoinHandle<()>)> = Map::default();
    loop {
        let wakeup = context.board.probe_wakeup.notified();
        let fences = fences(&context);
        context.metrics.owned_endpoints.set(i64::try_from(fences.len()).unwrap_or(i64::MAX));
        tasks.retain(|name, (fence, task)| {
            let kept = fences.get(name) == Some(fence);
            if !kept {
                task.abort();
                base::event!(INFO, Event::Disowned, endpoint = %name, fence = *fence);
            }
            kept
        });
        for (name, fence) in fences {
            if tasks.contains_key(&name) {
                continue;
            }
            base::event!(INFO, Event::Owned, endpoint = %name, fence);
            let task = tokio::spawn(watch(Arc::clone(&context), name.clone(), fence, interval));
            tasks.insert(name, (fence, task));
        }
        wakeup.await;
    }
}

fn fences(context: &Context) -> Map<Name, u64> {
    let pool = context.board.pool.lock();
    pool.endpoints.iter().map(|(name, entry)| (name.clone(), entry.fence)).collect()
}

async fn watch(context: Arc<Context>, endpoint: Name, fence: u64, interval: Duration) {
    while let Some(probe) = prepare(&context, &endpoint, fence) {
        let applied = read(&context, &probe).await;
        if applied && !probe.probed {
            context.board.dispatch();
            context.board.placement_wakeup.notify_one();
        }
        tokio::time::sleep(if applied { interval } else { RETRY_PAUSE }).await;
    }
}

fn prepare(context: &Context, endpoint: &Name, fence: u64) -> Option<Probe> {
    let pool = context.board.pool.lock();
    let entry = pool.endpoints.get(endpoint).filter(|entry| entry.fence == fence)?;
    Some(Probe {
        endpoint: endpoint.clone(),
        address: entry.info.address.clone(),
        fence,
        order_epoch: entry.order_epoch,
        probed: entry.probed,
    })
}

async fn read(context: &Context, probe: &Probe) -> bool {
    if let Some(state) = state(context, &probe.address).await {
        return context.board.apply_state(&probe.endpoint, probe.fence, probe.order_epoch, &state);
    }
    let mut pool = context.board.pool.lock();
    if let Some(entry) = pool.endpoints.get_mut(&probe.endpoint) {
        entry.probe_timeouts = entry.probe_timeouts.saturating_add(1);
    }
    false
}

/// Reads the state of an endpoint; returns `None` if it does not answer within the call timeout.
pub(crate) async fn state(context: &Context, address: &str) -> Option<State> {
    let body = context.client.get(address, "/v1/state", context.call_timeout()).await?;
    serde_json::from_slice(&body).ok()
}
