//! Estimates of the latency and the cost of a request at each engine.

use std::time::Duration;

use base::Name;
use fleet::plan::EngineSpec;

use crate::engine::Base;
use crate::engine::Engine;
use crate::engine::OrderState;
use crate::engine::Slot;
use crate::engine::Stage;
use crate::popularity::Popularity;
use crate::request::Pending;
use crate::settings::Settings;
use crate::store::Limiter;

/// The availability of a request's adapter at an engine.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Availability {
    /// The adapter is loaded.
    Loaded,
    /// The adapter is queued or being loaded.
    Loading,
    /// The adapter must be loaded; the named adapter must be evicted for it if no slot is free.
    NeedsLoad(Option<Name>),
}

/// An engine that could run a request.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    pub(crate) engine: Name,
    pub(crate) availability: Availability,
    /// Whether the adapter must be loaded from the store.
    pub(crate) cold: bool,
    /// The prompt tokens that are not in the engine's prefix cache.
    pub(crate) prefill_tokens: f64,
    /// The expected time to the first event, in ms.
    pub(crate) expected_ms: f64,
    /// The expected time to the first event plus penalties for the cost to other requests, in ms.
    pub(crate) cost: f64,
}

/// An engine that still caches a request's adapter and has no free slot for it yet.
#[derive(Clone, Debug)]
pub(crate) struct Deferral {
    pub(crate) engine: Name,
    /// The expected time to the first event, in ms.
    pub(crate) expected_ms: f64,
    /// The expected time to the first event plus penalties for the cost to other requests, in ms.
    pub(crate) cost: f64,
}

/// The inputs that all candidates of a request share.
pub(crate) struct Context<'a> {
    pub(crate) settings: &'a Settings,
    pub(crate) spec: &'a EngineSpec,
    pub(crate) store: &'a Limiter,
    /// The number of queued loads from the store.
    pub(crate) queued_loads: usize,
    /// The time until orders to engines may start, in ms.
    pub(crate) order_delay_ms: f64,
    pub(crate) popularity: &'a Popularity,
    /// Whether suspected engines are treated like others, because most engines are suspected.
    pub(crate) ignore_health: bool,
    /// The oldest version of the adapter that may be served.
    pub(crate) min_version: u64,
    pub(crate) now: Duration,
}

impl Context<'_> {
    /// Returns the estimate for an engine; `None` if the engine can't take the request now.
    pub(crate) fn candidate(&self, engine: &Engine, pending: &Pending) -> Option<Candidate> {
        if !self.can_run(engine, pending) {
            return None;
        }
        let query = &pending.query;
        let (availability, load_ms, penalty) = self.availability(engine, &query.adapter)?;
        let prefill_tokens = prefill_tokens(engine, pending);
        let (expected_ms, cost) = self.latency_and_cost(engine, pending, load_ms, penalty);
        let cold =
            matches!(availability, Availability::NeedsLoad(_)) && !engine.is_warm(&query.adapter);
        let engine = engine.endpoint.id.clone();
        Some(Candidate { engine, availability, cold, prefill_tokens, expected_ms, cost })
    }

    /// Returns the estimate for waiting until an engine that caches the adapter has a free slot;
    /// `ahead` other requests wait for its slots. Returns `None` if that is not possible.
    pub(crate) fn deferral(
        &self,
        engine: &Engine,
        pending: &Pending,
        ahead: usize,
    ) -> Option<Deferral> {
        let adapter = &pending.query.adapter;
        let cached = engine.is_warm(adapter) && !engine.adapter_slots.contains_key(adapter);
        if !cached || !accepts_orders(engine) || !self.can_run(engine, pending) {
            return None;
        }
        let slot_ms = engine.slot_wait(ahead, self.now)?.as_secs_f64() * 1e3;
        let load_ms = slot_ms.max(self.order_delay_ms) + self.settings.warm_load_ms;
        let penalty = self.settings.slot_penalty_ms;
        let (expected_ms, cost) = self.latency_and_cost(engine, pending, load_ms, penalty);
        Some(Deferral { engine: engine.endpoint.id.clone(), expected_ms, cost })
    }

    /// Returns whether an engine could take a request if its adapter were loaded.
    fn can_run(&self, engine: &Engine, pending: &Pending) -> bool {
        let query = &pending.query;
        let base_loaded = matches!(&engine.base, Base::Loaded(model) if *model == query.model);
        let tokens = u64::from(query.input) + u64::from(query.output);
        let memory = self.spec.kv_tokens as f64 * self.settings.kv_memory_share;
        let fits = (engine.kv_tokens + tokens) as f64 <= memory || engine.running == 0;
        base_loaded
            && fits
            && engine.running < self.spec.slots
            && self.now >= engine.full_until
            && (self.ignore_health || engine.health.admits(engine.running, self.now))
            && !query.excluded.contains(&engine.endpoint.id)
    }

    /// Returns the expected time to the first event if the adapter is loaded after `load_ms`, and
    /// that time plus penalties, both in ms.
    fn latency_and_cost(
        &self,
        engine: &Engine,
        pending: &Pending,
        load_ms: f64,
        penalty: f64,
    ) -> (f64, f64) {
        let queue_ms = engine.queue_ms(self.now).max(load_ms);
        let prefill_ms = prefill_tokens(engine, pending) / engine.prefill_speed.tokens_per_ms;
        let expected_ms = queue_ms + prefill_ms + self.settings.first_event_ms;
        let remote = engine.endpoint.domain != pending.domain;
        let domain = if remote { self.settings.domain_penalty_ms } else { 0.0 };
        let risk = f64::from(pending.query.target_ms) * engine.health.failure_rate();
        (expected_ms, expected_ms + penalty + domain + risk)
    }

    /// Returns the availability of an adapter at an engine, the time until it is loaded and the
    /// penalty for loading it, both in ms.
    fn availability(&self, engine: &Engine, adapter: &Name) -> Option<(Availability, f64, f64)> {
        if adapter.is_empty() {
            return Some((Availability::Loaded, 0.0, 0.0));
        }
        match engine.adapter_slots.get(adapter) {
            Some(Slot { stage: Stage::Unloading { .. }, .. }) => None,
            Some(slot) if slot.version >= self.min_version && slot.stage == Stage::Loaded => {
                Some((Availability::Loaded, 0.0, 0.0))
            }
            Some(slot) if slot.version >= self.min_version => {
                Some((Availability::Loading, self.remaining_load_ms(slot), 0.0))
            }
            // The old version is unloaded before the new one is loaded, since together they need
            // two slots.
            Some(_) => None,
            None => self.new_load(engine, adapter),
        }
    }

    /// Returns the expected time until a queued or running load ends, in ms.
    fn remaining_load_ms(&self, slot: &Slot) -> f64 {
        let Stage::Loading { since, .. } = slot.stage else {
            return self.order_delay_ms + self.store.expected_ms(self.queued_loads);
        };
        let elapsed = self.now.saturating_sub(since).as_secs_f64() * 1e3;
        (self.store.expected_ms(0) - elapsed).max(self.settings.warm_load_ms)
    }

    /// Returns the estimate of [`Context::availability`] for an adapter that is not at the engine:
    /// loaded into a free slot, or in place of the least popular idle adapter.
    fn new_load(&self, engine: &Engine, adapter: &Name) -> Option<(Availability, f64, f64)> {
        if !accepts_orders(engine) || engine.load_count() >= self.settings.engine_load_limit {
            return None;
        }
        let (load_ms, mut penalty) = if engine.is_warm(adapter) {
            (self.settings.warm_load_ms, self.settings.slot_penalty_ms)
        } else {
            // When the store is fully used, a load delays those of other requests.
            let share = self.store.utilization(self.queued_loads);
            let penalty = self.settings.cold_penalty_ms * share + self.settings.slot_penalty_ms;
            (self.store.expected_ms(self.queued_loads), penalty)
        };
        let load_ms = self.order_delay_ms + load_ms;
        if engine.adapter_slots.len() < self.adapter_slots() {
            return Some((Availability::NeedsLoad(None), load_ms, penalty));
        }
        let idle = engine.adapter_slots.iter().filter(|(_, slot)| slot.is_idle());
        let popularity = |name: &Name| self.popularity.score(name, self.now);
        let victim = idle.min_by(|(a, x), (b, y)| {
            popularity(a)
                .total_cmp(&popularity(b))
                .then_with(|| x.last_used_at.cmp(&y.last_used_at))
                .then_with(|| a.cmp(b))
        });
        let (victim, _) = victim?;
        penalty += self.settings.slot_penalty_ms * popularity(victim).min(4.0) / 2.0;
        Some((Availability::NeedsLoad(Some(victim.clone())), load_ms, penalty))
    }

    /// Returns the number of adapter slots of an engine.
    fn adapter_slots(&self) -> usize {
        self.spec.adapter_slots as usize
    }
}

/// Returns the prompt tokens of a request that are not in an engine's prefix cache, at least 1.
fn prefill_tokens(engine: &Engine, pending: &Pending) -> f64 {
    let seed = base::digest(pending.query.adapter.as_bytes());
    let cached = engine.prefix_cache.cached_tokens(seed, &pending.query.parts);
    f64::from(pending.query.input.saturating_sub(cached)).max(1.0)
}

/// Returns whether an engine's sequence is known, which new orders require.
fn accepts_orders(engine: &Engine) -> bool {
    matches!(engine.order_state, OrderState::Idle(_) | OrderState::Busy(_))
}
