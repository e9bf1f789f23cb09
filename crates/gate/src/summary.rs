//! Tells the other gates of the endpoints that this gate owns.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base::Map;
use base::Name;
use blackboard::Endpoint;
use blackboard::Floor;
use blackboard::Phase;
use blackboard::Target;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use wire::gate::Summary;

use crate::context::Context;

/// How long a summary that says nothing new is held back.
///
/// Well below the age from which others take a gate's endpoints for unknown.
const REPEAT: Duration = Duration::from_millis(400);

/// What a gate was told last.
struct Told {
    endpoints: Vec<wire::gate::Endpoint>,
    draining: bool,
    at: Instant,
}

impl Told {
    fn repeats(&self, summary: &Summary) -> bool {
        let same = self.draining == summary.draining && self.endpoints == summary.endpoints;
        same && self.at.elapsed() < REPEAT
    }
}

/// Sends summaries for as long as the gate runs; a gate that does not answer delays no other.
pub(crate) async fn run(context: Arc<Context>) {
    let mut ticks = tokio::time::interval(Duration::from_millis(context.config.timing.summary_ms));
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut sending: Map<Name, JoinHandle<bool>> = Map::default();
    let mut told: Option<Told> = None;
    loop {
        ticks.tick().await;
        let summary = build(&context);
        if told.as_ref().is_some_and(|told| told.repeats(&summary)) {
            continue;
        }
        told = Some(Told {
            endpoints: summary.endpoints.clone(),
            draining: summary.draining,
            at: Instant::now(),
        });
        let others: Vec<Name> = {
            let view = context.board.view.read();
            view.gates.keys().filter(|host| **host != context.entry.host).cloned().collect()
        };
        sending.retain(|_, task| !task.is_finished());
        for host in others {
            if sending.contains_key(&host) {
                continue;
            }
            let Some(remote) = context.remote(&host) else { continue };
            let own = Arc::clone(&context);
            let summary = summary.clone();
            let task = tokio::spawn(async move { own.links.summary(&remote.peer, summary).await });
            sending.insert(host, task);
        }
    }
}

/// Returns the summary of this gate now.
pub(crate) fn build(context: &Context) -> Summary {
    let now = Instant::now();
    let incarnation = context.board.lease.lock().incarnation;
    let floor = context.board.floor.lock();
    let silent = context.board.silent;
    let endpoints = floor.endpoints.values().map(|own| tell(&floor, own, now, silent)).collect();
    Summary {
        gate: context.entry.host.clone(),
        incarnation,
        sequence: context.sequence.fetch_add(1, Ordering::Relaxed) + 1,
        draining: context.draining.load(Ordering::Relaxed),
        endpoints,
    }
}

fn tell(floor: &Floor, own: &Endpoint, now: Instant, silent: Duration) -> wire::gate::Endpoint {
    let held = own.slots.iter().filter(|(_, slot)| slot.phase != Phase::Unloading);
    let waiting = floor.queues.iter().filter(|(target, _)| match target {
        Target::Model(model) => own.slots.contains_key(model),
        Target::Service(_) => own.serves(target),
    });
    wire::gate::Endpoint {
        name: own.info.name.clone(),
        ready: own.ready(now, silent),
        loaded: held.map(|(model, _)| model.clone()).collect(),
        in_flight: u32::try_from(own.busy()).unwrap_or(u32::MAX),
        waiting: waiting.map(|(_, queue)| u32::try_from(queue.len()).unwrap_or(u32::MAX)).sum(),
    }
}
