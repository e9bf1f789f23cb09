//! Sends the other gates summaries of the endpoints that this gate owns.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base::Map;
use base::Name;
use blackboard::Endpoint;
use blackboard::Phase;
use blackboard::Pool;
use blackboard::Target;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use wire::gate::Summary;

use crate::context::Context;

/// The interval at which an unchanged summary is sent again, well below the age at which the other gates
/// ignore a summary.
const REPEAT_INTERVAL: Duration = Duration::from_millis(400);

/// The last summary that was sent to the other gates.
struct Sent {
    endpoints: Vec<wire::gate::Endpoint>,
    draining: bool,
    at: Instant,
}

impl Sent {
    fn repeats(&self, summary: &Summary) -> bool {
        let same = self.draining == summary.draining && self.endpoints == summary.endpoints;
        same && self.at.elapsed() < REPEAT_INTERVAL
    }
}

/// Sends summaries for as long as the gate runs; a gate that does not answer delays no other.
pub(crate) async fn run(context: Arc<Context>) {
    let mut ticks = tokio::time::interval(Duration::from_millis(context.config.timing.summary_ms));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut tasks: Map<Name, JoinHandle<bool>> = Map::default();
    let mut sent: Option<Sent> = None;
    loop {
        ticks.tick().await;
        let summary = build(&context);
        if sent.as_ref().is_some_and(|sent| sent.repeats(&summary)) {
            continue;
        }
        sent = Some(Sent {
            endpoints: summary.endpoints.clone(),
            draining: summary.draining,
            at: Instant::now(),
        });
        let others: Vec<Name> = {
            let view = context.board.view.read();
            view.gates.keys().filter(|host| **host != context.entry.host).cloned().collect()
        };
        tasks.retain(|_, task| !task.is_finished());
        for host in others {
            if tasks.contains_key(&host) {
                continue;
            }
            let Some(remote) = context.remote(&host) else { continue };
            let context = Arc::clone(&context);
            let summary = summary.clone();
            let task =
                tokio::spawn(
                    async move { context.peer_clients.summary(&remote.peer, summary).await },
                );
            tasks.insert(host, task);
        }
    }
}

/// Builds the current summary of this gate.
pub(crate) fn build(context: &Context) -> Summary {
    let now = Instant::now();
    let incarnation = context.board.lease.lock().incarnation;
    let pool = context.board.pool.lock();
    let liveness_timeout = context.board.liveness_timeout;
    let endpoints = pool
        .endpoints
        .values()
        .map(|endpoint| describe(&pool, endpoint, now, liveness_timeout))
        .collect();
    Summary {
        gate: context.entry.host.clone(),
        incarnation,
        sequence: context.sequence.fetch_add(1, Ordering::Relaxed) + 1,
        draining: context.draining.load(Ordering::Relaxed),
        endpoints,
    }
}

fn describe(
    pool: &Pool,
    endpoint: &Endpoint,
    now: Instant,
    liveness_timeout: Duration,
) -> wire::gate::Endpoint {
    let held = endpoint.slots.iter().filter(|(_, slot)| slot.phase != Phase::Unloading);
    let waiting = pool.queues.iter().filter(|(target, _)| match target {
        Target::Model(model) => endpoint.slots.contains_key(model),
        Target::Service(_) => endpoint.serves(target),
    });
    wire::gate::Endpoint {
        name: endpoint.info.name.clone(),
        ready: endpoint.ready(now, liveness_timeout),
        loaded: held.map(|(model, _)| model.clone()).collect(),
        in_flight: u32::try_from(endpoint.occupancy()).unwrap_or(u32::MAX),
        waiting: waiting.map(|(_, queue)| u32::try_from(queue.len()).unwrap_or(u32::MAX)).sum(),
    }
}
