//! Builds the input of placement from the blackboard and plans loads.

use std::time::Duration;

use base::Map;
use base::Name;
use base::Set;
use blackboard::Endpoint;
use blackboard::Phase;
use blackboard::Pool;
use blackboard::Target;
use placement::Backoff;
use placement::Demand;
use placement::Engine;
use placement::Input;
use placement::Plan;
use placement::Policy;
use placement::Popularity;
use placement::Resident;
use state::View;
use state::view::Role;
use tokio::time::Instant;
use wire::endpoint::Model;

use crate::context::Context;

/// The worth of a load for requests that are bound to one engine, equal to that of one request of the
/// default priority.
const BOUND_LOAD_WORTH: u32 = 100;
/// The maximum number of adapters whose popularity is counted.
const MAX_COUNTED_ADAPTERS: usize = 200_000;

/// The history that placement keeps between decisions.
pub(crate) struct History {
    /// The origin of the times that are passed to placement.
    epoch: Instant,
    /// The decayed request counts of the adapters.
    pub(crate) popularity: Popularity,
    /// The backoff of the adapters whose last load failed.
    pub(crate) backoff: Backoff,
    /// Whether the last permit was granted without a significant wait.
    pub(crate) spare_permits: bool,
}

impl History {
    /// Creates an empty history.
    pub(crate) fn new(half_life: Duration) -> History {
        History {
            epoch: Instant::now(),
            popularity: Popularity::new(half_life, MAX_COUNTED_ADAPTERS),
            backoff: Backoff::default(),
            spare_permits: true,
        }
    }

    /// Converts an instant to the time since the epoch.
    pub(crate) fn since_epoch(&self, instant: Instant) -> Duration {
        instant.saturating_duration_since(self.epoch)
    }

    /// Counts a request for an adapter.
    pub(crate) fn record_request(&mut self, model: &Model) {
        let now = self.since_epoch(Instant::now());
        self.popularity.record(model, now);
    }
}

/// Plans the next loads of this gate, in descending order of worth. Plans for bound requests are not
/// limited by `limit`.
pub(crate) fn plan(context: &Context, limit: usize) -> Vec<Plan> {
    let view = context.board.view.read();
    let pool = context.board.pool.lock();
    plan_locked(context, &view, &pool, limit)
}

/// Plans as [`plan`], with tables that the caller has locked.
pub(crate) fn plan_locked(context: &Context, view: &View, pool: &Pool, limit: usize) -> Vec<Plan> {
    let history = context.history.lock();
    let policy = Policy::new(&context.config.placement, view.defaults.stall_weight);
    let remote = loaded_elsewhere(context, view);
    let elsewhere = |model: &Model| remote.contains(model);
    let now = history.since_epoch(Instant::now());
    let mut plans = Vec::new();
    for (base, engines) in engines(context, pool, &history) {
        let mut engines = engines;
        for (model, endpoint) in pool.bound_models() {
            let engine = engines.iter().find(|engine| engine.name == endpoint && engine.ready);
            if let Some(plan) = engine.and_then(|engine| plan_bound(engine, model)) {
                apply_plan(&mut engines, &plan, now);
                plans.push(plan);
            }
        }
        let mut demand = demand(view, pool, &history, &base);
        while plans.len() < limit {
            let input = Input {
                engines: &engines,
                demand: &demand,
                popularity: &history.popularity,
                exceptions: &view.exceptions,
                backoff: &history.backoff,
                policy: &policy,
                held_elsewhere: &elsewhere,
                spare_permits: history.spare_permits,
            };
            let Some(plan) = placement::next_load(&input, now) else { break };
            demand.retain(|demand| demand.model != plan.load);
            apply_plan(&mut engines, &plan, now);
            plans.push(plan);
        }
    }
    plans.sort_by_key(|plan| std::cmp::Reverse(plan.worth));
    plans
}

/// Plans the load of an adapter at the engine that its requests are bound to.
fn plan_bound(engine: &Engine, load: Model) -> Option<Plan> {
    let idle = engine.residents.iter().filter(|resident| resident.in_use == 0 && !resident.loading);
    let victim =
        idle.min_by_key(|resident| resident.last_used).map(|resident| resident.model.clone());
    let evict = if engine.free() > 0 { None } else { Some(victim?) };
    Some(Plan {
        endpoint: engine.name.clone(),
        load,
        evict,
        worth: BOUND_LOAD_WORTH,
        reason: placement::Reason::Waiting,
        alternatives: Vec::new(),
    })
}

/// Applies a plan to the input tables as if it were in progress.
fn apply_plan(engines: &mut [Engine], plan: &Plan, now: Duration) {
    let Some(engine) = engines.iter_mut().find(|engine| engine.name == plan.endpoint) else {
        return;
    };
    engine.residents.retain(|resident| Some(&resident.model) != plan.evict.as_ref());
    let loaded = Resident { model: plan.load.clone(), in_use: 0, loading: true, last_used: now };
    engine.residents.push(loaded);
}

/// Returns the adapters that are loaded at the engines of other gates.
fn loaded_elsewhere(context: &Context, view: &View) -> Set<Model> {
    let peers = context.board.peers.lock();
    let summaries = peers.summaries();
    drop(peers);
    let live = summaries.iter().filter(|summary| view.gates.contains_key(&summary.gate));
    let endpoints = live.flat_map(|summary| &summary.endpoints);
    endpoints.flat_map(|endpoint| endpoint.loaded.iter().cloned()).collect()
}

fn engines(context: &Context, pool: &Pool, history: &History) -> Map<Name, Vec<Engine>> {
    let now = Instant::now();
    let mut engines: Map<Name, Vec<Engine>> = Map::default();
    for endpoint in pool.endpoints.values() {
        let Role::Engine { base, slots, batch } = &endpoint.info.role else { continue };
        let engine = Engine {
            name: endpoint.info.name.clone(),
            ready: endpoint.ready(now, context.board.liveness_timeout),
            slots: *slots,
            batch: *batch,
            in_flight: u32::try_from(endpoint.occupancy()).unwrap_or(u32::MAX),
            residents: endpoint
                .slots
                .keys()
                .map(|model| resident(endpoint, model, pool, history))
                .collect(),
        };
        engines.entry(base.clone()).or_default().push(engine);
    }
    engines
}

/// Returns the resident adapter of a slot; one that must not be evicted counts as in use.
fn resident(endpoint: &Endpoint, model: &Model, pool: &Pool, history: &History) -> Resident {
    let slot = &endpoint.slots[model];
    let queued = pool.queues.contains_key(&Target::Model(model.clone()));
    let in_use = queued || endpoint.in_use(model) || !endpoint.evictable(Instant::now());
    Resident {
        model: model.clone(),
        in_use: u32::from(in_use),
        loading: slot.phase != Phase::Ready,
        last_used: history.since_epoch(slot.last_used),
    }
}

fn demand(view: &View, pool: &Pool, history: &History, base: &Name) -> Vec<Demand> {
    let mut all = Vec::new();
    for (target, queue) in &pool.queues {
        let Some(model) = target.model() else { continue };
        if view.adapters.get(&model.adapter).is_none_or(|adapter| adapter.base != *base) {
            continue;
        }
        let arrivals = queue.iter().map(|waiter| history.since_epoch(waiter.arrived));
        let deadlines = queue.iter().map(|waiter| history.since_epoch(waiter.deadline));
        all.push(Demand {
            model: model.clone(),
            requests: u32::try_from(queue.len()).unwrap_or(u32::MAX),
            weight: queue.iter().map(|waiter| Demand::priority_weight(waiter.priority)).sum(),
            oldest_arrival: arrivals.min().unwrap_or_default(),
            latest_deadline: deadlines.max().unwrap_or_default(),
        });
    }
    all
}
