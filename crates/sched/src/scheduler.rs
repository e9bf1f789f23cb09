//! The scheduler's state (engines, versions and the queue) and its main loop.

mod admission;
mod completion;
mod decision;
mod pacing;
mod pauses;
mod placement;

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::time::Duration;

use base::Map;
use base::Name;
use base::Set;
use fleet::endpoint::Announcement;
use fleet::limit::Limit;
use fleet::message::Version;
use fleet::plan::EngineSpec;
use fleet::plan::Plan;
use limit::Bucket;

use crate::action::Action;
use crate::engine::Base;
use crate::engine::Engine;
use crate::engine::Stage;
use crate::fairness::Fairness;
use crate::paths::Paths;
use crate::pause::Pauses;
use crate::pool::Pool;
use crate::popularity::Popularity;
use crate::request::Assignment;
use crate::request::Key;
use crate::request::Pending;
use crate::request::Phase;
use crate::retries::Retries;
use crate::settings::Settings;
use crate::speed::Decode;
use crate::speed::Fit;
use crate::store::Limiter;
use crate::unmet::Unmet;

/// The urgency at an engine of a request of rank 0 that meets its target; 0 is the most urgent.
const URGENCY_ON_TIME: u8 = 3;
/// The share of the time until the deadline within which a request that misses its target must be
/// expected to get its first event, and after which a request stops waiting for its adapter.
pub(crate) const DEADLINE_SHARE: f64 = 0.6;
/// The interval at which requests that wait for an adapter slot are reconsidered. Less than
/// `AWAIT_SLACK_MS`, so that a load from the store can still meet the target.
const AWAIT_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// The refusals of an adapter beyond which its requests are queued in the order of their arrival.
const MAX_COUNTED_REFUSALS: u32 = 2;
/// The time after its deadline when a request is no longer counted, even if its end was not
/// reported.
const EXPIRY_GRACE: Duration = Duration::from_millis(500);

/// The scheduler of a cell's engines; see the crate documentation.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) settings: Settings,
    /// The engine sizes, by service.
    pub(crate) specs: Map<Name, EngineSpec>,
    /// The adapter versions in force, by base model and adapter.
    versions: Map<(Name, Name), u64>,
    pub(crate) engines: Pool,
    pub(crate) assignments: Map<Key, Assignment>,
    /// A time before which no assignment expires.
    next_expiry: Duration,
    /// The engines for which requests wait until it has read the prompts that it was sent.
    paced: Set<Name>,
    /// The requests without an engine.
    queue: VecDeque<Pending>,
    pub(crate) store: Limiter,
    /// When orders to engines may start.
    pub(crate) orders_from: Duration,
    /// When loads of base models were ordered recently.
    pub(crate) base_loads: VecDeque<Duration>,
    pub(crate) popularity: Popularity,
    decode: Decode,
    /// The prefill speed over all engines, by service.
    speeds: Map<Name, Fit>,
    /// The pauses of streams, by service.
    pub(crate) pauses: Map<Name, Pauses>,
    retries: Retries,
    pub(crate) unmet: Unmet,
    paths: Paths,
    fairness: Fairness,
    /// When the queue was last processed.
    last_pass: Duration,
    /// Whether something has changed since the queue was last processed.
    pub(crate) dirty: bool,
    /// The actions to be returned by the next poll.
    pub(crate) actions: Vec<Action>,
}

impl Scheduler {
    /// Creates a scheduler without engines.
    pub fn new(settings: Settings) -> Scheduler {
        Scheduler {
            specs: Map::default(),
            versions: Map::default(),
            engines: Pool::default(),
            assignments: Map::default(),
            next_expiry: Duration::MAX,
            paced: Set::default(),
            queue: VecDeque::new(),
            store: Limiter::new(settings.cold_load_ms, settings.cold_load_limit),
            orders_from: Duration::ZERO,
            base_loads: VecDeque::new(),
            popularity: Popularity::new(settings.popularity_half_life),
            decode: Decode::new(settings.decode_ms_per_token),
            speeds: Map::default(),
            pauses: Map::default(),
            retries: Retries::default(),
            unmet: Unmet::default(),
            paths: Paths::default(),
            fairness: Fairness::new(),
            last_pass: Duration::ZERO,
            dirty: false,
            actions: Vec::new(),
            settings,
        }
    }

    /// Holds back all orders to engines until `at`.
    pub fn hold_orders(&mut self, at: Duration) {
        self.orders_from = at;
    }

    /// Applies a plan.
    pub fn set_plan(&mut self, plan: &Plan) {
        let engines = plan
            .services
            .iter()
            .filter_map(|service| Some((service.name.clone(), service.engine.clone()?)));
        self.specs = engines.collect();
        let base_rate = self.specs.values().map(|spec| spec.loads_per_s).fold(0.0, f64::max);
        self.store.expect(base_rate);
        self.fairness.set_tenants(&plan.tenants);
        for engine in self.engines.values_mut() {
            apply_spec(engine, &self.specs);
        }
        self.dirty = true;
    }

    /// Puts a version of an adapter into force unless a newer one is in force.
    pub fn set_version(&mut self, version: &Version) {
        let key = (version.model.clone(), version.adapter.clone());
        let known = self.versions.entry(key).or_default();
        *known = (*known).max(version.version);
        let holders = self
            .engines
            .values()
            .filter(|engine| engine.adapter_slots.contains_key(&version.adapter));
        let ids: Vec<Name> = holders.map(|engine| engine.endpoint.id.clone()).collect();
        for id in ids {
            self.unload_outdated(&id, &version.adapter);
        }
    }

    /// Unloads an adapter of an outdated version if no request uses it.
    pub(crate) fn unload_outdated(&mut self, id: &Name, adapter: &Name) {
        let Some(engine) = self.engines.get_mut(id) else { return };
        let Base::Loaded(model) = &engine.base else { return };
        let newest = self.versions.get(&(model.clone(), adapter.clone())).copied();
        let Some(slot) = engine.adapter_slots.get_mut(adapter) else { return };
        if slot.is_idle() && slot.version < newest.unwrap_or_default() {
            slot.stage = Stage::UNLOAD;
            self.dirty = true;
        }
    }

    /// Adds an announced engine. A new incarnation of an engine replaces the former one.
    pub fn engine_announced(&mut self, announcement: &Announcement, now: Duration) {
        let known = self.engines.get(&announcement.id);
        if known.is_some_and(|engine| engine.endpoint.born == announcement.born) {
            return;
        }
        self.remove_engine(&announcement.id, now);
        let mut engine = Engine::new(announcement, &self.settings, now);
        apply_spec(&mut engine, &self.specs);
        self.engines.insert(engine);
        self.dirty = true;
    }

    /// Sets or lifts the limit on the request rate of an engine.
    pub fn set_limit(&mut self, limit: &Limit, now: Duration) {
        let Some(engine) = self.engines.get_mut(&limit.endpoint) else { return };
        if engine.endpoint.born != limit.born {
            return;
        }
        match (limit.rate, &mut engine.limit) {
            (Some(rate), Some(bucket)) => bucket.set_rate(rate, now),
            (Some(rate), none) => *none = Some(Bucket::new(rate, now)),
            (None, bucket) => *bucket = None,
        }
        self.dirty = true;
    }

    /// Admits a request to an engine that was not placed here; returns the time until the next one if the engine's limit
    /// is reached. `None` if the engine is not known.
    pub fn try_admit(
        &mut self,
        id: &Name,
        born: u64,
        now: Duration,
    ) -> Option<Result<(), Duration>> {
        let engine = self.engines.get_mut(id).filter(|engine| engine.endpoint.born == born)?;
        Some(engine.limit.as_mut().map_or(Ok(()), |limit| limit.try_take(now)))
    }

    /// Removes an engine; the requests that wait for an adapter there return to the queue.
    pub fn remove_engine(&mut self, id: &Name, now: Duration) {
        let Some(engine) = self.engines.remove(id) else { return };
        self.paced.remove(id);
        let paced = self.take_paced(engine.pacing.keys());
        self.queue.extend(paced);
        for slot in engine.adapter_slots.values() {
            if slot.uses_store {
                self.store.load_ended(None);
            }
            for key in &slot.waiting {
                let Some(assignment) = self.assignments.remove(key) else { continue };
                self.fairness.refund(&assignment, now);
                if let Phase::Reserved(pending) = assignment.phase {
                    self.queue.push_back(*pending);
                }
            }
        }
        self.dirty = true;
    }

    /// Returns the ids of all engines.
    pub fn engines(&self) -> impl Iterator<Item = &Name> {
        self.engines.values().map(|engine| &engine.endpoint.id)
    }

    /// Expires and schedules queued requests and issues the orders that are due. Returns the
    /// actions to carry out, which include those from events since the last poll.
    pub fn poll(&mut self, now: Duration) -> Vec<Action> {
        self.expire(now);
        self.requeue_paced(now);
        // Waits for a slot, for a gap and for a limit end as time passes, without any other change.
        let awaits_time =
            self.queue.iter().any(|pending| pending.awaited_engine.is_some() || pending.awaits_gap)
                || (!self.queue.is_empty()
                    && self.engines.values().any(|engine| engine.limit.is_some()));
        if self.dirty || (awaits_time && now >= self.last_pass + AWAIT_POLL_INTERVAL) {
            self.dirty = false;
            self.last_pass = now;
            let mut queued: Vec<Pending> = std::mem::take(&mut self.queue).into();
            queued.sort_by_cached_key(|pending| {
                let unmet = pending.unmet.min(MAX_COUNTED_REFUSALS);
                let level = self.fairness.level(pending, now);
                (pending.query.rank, level, Reverse(unmet), pending.received_at)
            });
            for pending in queued {
                if let Some(pending) = self.schedule(pending, now) {
                    self.queue.push_back(pending);
                }
            }
        }
        self.dispatch_orders(now);
        std::mem::take(&mut self.actions)
    }

    /// Returns whether [`Scheduler::poll`] may have work to do without another event.
    pub fn has_pending_work(&self) -> bool {
        self.dirty || !self.queue.is_empty() || !self.paced.is_empty() || self.engines.has_work()
    }
}

/// Updates the size of an engine, and queues the load of the service's first base model if it has
/// none.
fn apply_spec(engine: &mut Engine, specs: &Map<Name, EngineSpec>) {
    let Some(spec) = specs.get(&engine.endpoint.service) else { return };
    engine.max_adapters = spec.adapter_slots as usize;
    if engine.base == Base::Empty
        && let Some(model) = spec.models.first()
    {
        engine.base = Base::Queued(model.name.clone());
    }
}
