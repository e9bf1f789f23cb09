//! Estimates of the latency and the cost of a request at each engine.

use std::time::Duration;

use base::Name;
use fleet::explanation::Obstacle;
use fleet::plan::EngineSpec;

use crate::engine::Engine;
use crate::engine::Slot;
use crate::engine::Stage;
use crate::figures::Figures;
use crate::pause::Pauses;
use crate::pool::Member;
use crate::popularity::Popularity;
use crate::reading::Steps;
use crate::request::Pending;
use crate::settings::Settings;
use crate::store::Limiter;

/// The lowest number of prompt tokens that an engine is expected to process.
const MIN_PREFILL_TOKENS: f64 = 1.0;

/// The penalty for a stream that is expected to pause for too long, in ms of waiting.
const LATE_STREAM_MS: f64 = 400.0;

/// The penalty for the pauses that a stream would have at an engine that reads prompts all the time, in ms of waiting.
const OWN_PAUSES_MS: f64 = 250.0;
/// The period over which the time that an engine reads prompts is measured.
const READING_PERIOD: Duration = Duration::from_secs(1);

/// Keeps a lower bound of a popularity below the exact value despite rounding.
const ROUNDING_MARGIN: f64 = 1.0 - 1e-9;

/// The availability of a request's adapter at an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Availability {
    /// The adapter is loaded.
    Loaded,
    /// The adapter is queued or being loaded.
    Loading,
    /// The adapter must be loaded into a free slot.
    NeedsLoad,
    /// The adapter must be loaded in place of another one.
    NeedsEviction,
}

/// An engine that could run a request.
#[derive(Clone, Debug)]
pub(crate) struct Candidate {
    pub(crate) engine: Name,
    pub(crate) availability: Availability,
    /// The adapter that must be evicted, if any.
    pub(crate) victim: Option<Name>,
    /// Whether the adapter must be loaded from the store.
    pub(crate) cold: bool,
    /// The prompt tokens that are not in the engine's prefix cache.
    pub(crate) prefill_tokens: f64,
    /// The expected number of streams that would pause for too long.
    pub(crate) stalled: f64,
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
    /// The time until orders to engines may start, in ms.
    pub(crate) order_delay_ms: f64,
    /// The expected time of one more load from the store, `order_delay_ms` included, in ms.
    pub(crate) store_load_ms: f64,
    /// The penalty for one more load from the store, in ms.
    pub(crate) store_penalty_ms: f64,
    pub(crate) popularity: &'a Popularity,
    /// Whether suspected engines are treated like others, because most engines are suspected.
    pub(crate) ignore_health: bool,
    /// The oldest version of the adapter that may be served.
    pub(crate) min_version: u64,
    /// The number of the base model in the pool, if an engine has it.
    pub(crate) model: Option<usize>,
    /// The number of the gate's failure domain in the pool, if an engine is in it.
    pub(crate) domain: Option<usize>,
    /// The pauses of the service's streams, if they are known.
    pub(crate) pauses: Option<&'a Pauses>,
    pub(crate) steps: Steps,
    pub(crate) now: Duration,
}

/// The rank of an engine among those that could run a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rating {
    /// The number of late streams: the request, if it would miss its target, and those that would pause for too long.
    late: u32,
    /// Whether the request would miss its target.
    misses: bool,
    /// False for an idle engine with a limit that holds the adapter, which precedes all others.
    ordinary: bool,
    /// The cost, or the expected time to the first event if the request would miss its target; in
    /// ms. The penalty for pauses is part of both.
    ms: f64,
    /// The engine's position, which decides between equal engines.
    pub(crate) position: usize,
}

/// How an engine would get the adapter of a request.
struct Access {
    availability: Availability,
    /// Whether the adapter must be loaded from the store.
    cold: bool,
    /// The expected time until the adapter is loaded, in ms.
    load_ms: f64,
    /// The penalty for loading it, without that for an eviction, in ms.
    penalty: f64,
}

impl Rating {
    fn precedes(&self, other: &Rating) -> bool {
        let key = |rating: &Rating| {
            (rating.late, rating.misses, rating.ordinary, rating.ms, rating.position)
        };
        key(self) < key(other)
    }
}

impl Context<'_> {
    /// Returns the estimate for an engine that can run the request, or why the engine can't get the adapter now.
    pub(crate) fn candidate(
        &self,
        member: Member<'_>,
        pending: &Pending,
    ) -> Result<Candidate, Obstacle> {
        let access = self.access(member, &pending.query.adapter)?;
        let mut penalty = access.penalty + self.own_pauses(member, pending);
        let mut victim = None;
        if access.availability == Availability::NeedsEviction {
            let (name, eviction_penalty) = self.victim(member).ok_or(Obstacle::AdapterSlots)?;
            penalty += eviction_penalty;
            victim = Some(name.clone());
        }
        let prefill_tokens = prefill_tokens(member.engine, pending);
        let queue_ms = member.figures.queue_ms(self.now).max(access.load_ms);
        let (expected_ms, cost) =
            self.latency_and_cost(member.figures, pending, queue_ms, prefill_tokens, penalty);
        Ok(Candidate {
            engine: member.engine.endpoint.id.clone(),
            availability: access.availability,
            victim,
            cold: access.cold,
            prefill_tokens,
            stalled: self.stalled(member, prefill_tokens, access.load_ms),
            expected_ms,
            cost,
        })
    }

    /// Returns the rating of an engine for a request that is to get its first event within
    /// `target_ms`; `None` if the engine can't take the request now or is not better than `best`.
    pub(crate) fn better_rating(
        &self,
        member: Member<'_>,
        pending: &Pending,
        target_ms: f64,
        best: Option<&Rating>,
    ) -> Option<Rating> {
        if !self.can_run(member, pending) {
            return None;
        }
        let Member { position, engine, figures, .. } = member;
        let access = self.access(member, &pending.query.adapter).ok()?;
        let queue_ms = figures.queue_ms(self.now).max(access.load_ms);
        let limit_ms = target_ms * self.settings.target_share(access.cold);
        let idle = engine.limit.as_ref().is_some_and(|limit| limit.is_idle(self.now));
        let ordinary = !idle || access.availability != Availability::Loaded;
        let better = |prefill_tokens: f64, penalty: f64, stalled: f64| {
            let (expected_ms, cost) =
                self.latency_and_cost(figures, pending, queue_ms, prefill_tokens, penalty);
            let misses = expected_ms > limit_ms;
            let ms = if misses { expected_ms } else { cost } + stalled * LATE_STREAM_MS;
            let late = u32::from(misses) + stalled.round() as u32;
            let rating = Rating { late, misses, ordinary, ms, position };
            best.is_none_or(|best| rating.precedes(best)).then_some(rating)
        };
        // Most engines are ruled out without the prefix cache and the adapters' popularity.
        better(MIN_PREFILL_TOKENS, access.penalty, 0.0)?;
        let prefill_tokens = prefill_tokens(engine, pending);
        better(prefill_tokens, access.penalty, 0.0)?;
        let stalled = self.stalled(member, prefill_tokens, access.load_ms);
        let penalty = access.penalty + self.own_pauses(member, pending);
        let rating = better(prefill_tokens, penalty, stalled)?;
        if access.availability != Availability::NeedsEviction || rating.misses {
            return Some(rating);
        }
        better(prefill_tokens, penalty + self.min_eviction_penalty(figures), stalled)?;
        let (_, eviction_penalty) = self.victim(member)?;
        better(prefill_tokens, penalty + eviction_penalty, stalled)
    }

    /// Returns the penalty for the pauses that the request's own stream would have at an engine, in ms.
    fn own_pauses(&self, member: Member<'_>, pending: &Pending) -> f64 {
        let gap_ms = f64::from(pending.gap_ms);
        let speed = member.engine.current_reading_speed(self.now);
        match self.pauses {
            Some(pauses) if pending.gap_ms > 0 && pauses.binds(speed, gap_ms) => {
                OWN_PAUSES_MS * member.engine.reading.utilization(READING_PERIOD, self.now)
            }
            _ => 0.0,
        }
    }

    /// Returns the expected number of streams at an engine that would pause for too long if it read a prompt of
    /// `prefill_tokens` after `delay_ms`.
    fn stalled(&self, member: Member<'_>, prefill_tokens: f64, delay_ms: f64) -> f64 {
        let Some(pauses) = self.pauses else { return 0.0 };
        let engine = member.engine;
        if engine.streams.is_empty() {
            return 0.0;
        }
        let at = self.now + Duration::from_secs_f64(delay_ms / 1e3);
        let window = engine.reading.window(prefill_tokens, at, self.steps);
        let mut last = (0, 0.0);
        let shares = engine.streams.iter().map(|(_, gap_ms)| {
            if *gap_ms != last.0 {
                let speed = engine.current_reading_speed(self.now);
                last = (*gap_ms, pauses.late_share(window, speed, f64::from(*gap_ms)));
            }
            last.1
        });
        shares.sum()
    }

    /// Returns whether a rating precedes those of all engines that must load the adapter from the
    /// store.
    pub(crate) fn precedes_new_loads(&self, rating: &Rating, adapter: &Name) -> bool {
        let min_cost = self.store_load_ms + self.settings.first_event_ms + self.store_penalty_ms;
        !adapter.is_empty() && rating.late == 0 && rating.ms < min_cost
    }

    /// Returns the estimate for waiting until an engine that caches the adapter has a free slot;
    /// `ahead` other requests wait for its slots. Returns `None` if that is not possible.
    pub(crate) fn deferral(
        &self,
        member: Member<'_>,
        pending: &Pending,
        ahead: usize,
    ) -> Option<Deferral> {
        let Member { engine, figures, .. } = member;
        let adapter = &pending.query.adapter;
        let cached = engine.is_warm(adapter) && !engine.adapter_slots.contains_key(adapter);
        if !cached || !figures.accepts_orders || !self.can_run(member, pending) {
            return None;
        }
        let slot_ms = engine.slot_wait(ahead, self.now)?.as_secs_f64() * 1e3;
        let load_ms = slot_ms.max(self.order_delay_ms) + self.settings.warm_load_ms;
        let queue_ms = figures.queue_ms(self.now).max(load_ms);
        let prefill_tokens = prefill_tokens(engine, pending);
        let penalty = self.settings.slot_penalty_ms;
        let (expected_ms, cost) =
            self.latency_and_cost(figures, pending, queue_ms, prefill_tokens, penalty);
        Some(Deferral { engine: engine.endpoint.id.clone(), expected_ms, cost })
    }

    /// Returns whether an engine could take a request if its adapter were loaded.
    fn can_run(&self, member: Member<'_>, pending: &Pending) -> bool {
        self.obstacle(member, pending).is_none()
    }

    /// Returns why an engine could not take a request even if its adapter were loaded.
    pub(crate) fn obstacle(&self, member: Member<'_>, pending: &Pending) -> Option<Obstacle> {
        let Member { engine, figures, .. } = member;
        let query = &pending.query;
        let tokens = u64::from(query.input) + u64::from(query.output);
        let memory = self.spec.kv_tokens as f64 * self.settings.kv_memory_share;
        let fits = (figures.kv_tokens + tokens) as f64 <= memory || figures.running == 0;
        if figures.model.is_none_or(|model| Some(model) != self.model) {
            Some(Obstacle::Model)
        } else if !fits {
            Some(Obstacle::Memory)
        } else if figures.running >= self.spec.slots {
            Some(Obstacle::Slots)
        } else if self.now < figures.full_until {
            Some(Obstacle::Full)
        } else if !engine.limit_wait(self.now).is_zero() {
            Some(Obstacle::Limit)
        } else if !self.ignore_health && !figures.health.admits(figures.running, self.now) {
            Some(Obstacle::Health)
        } else if query.excluded.contains(&engine.endpoint.id) {
            Some(Obstacle::Excluded)
        } else if query.build.as_ref().is_some_and(|build| engine.endpoint.build != *build) {
            Some(Obstacle::Build)
        } else {
            None
        }
    }

    /// Returns the expected time to the first event if the prefill starts after `queue_ms`, and that
    /// time plus penalties, both in ms.
    fn latency_and_cost(
        &self,
        figures: &Figures,
        pending: &Pending,
        queue_ms: f64,
        prefill_tokens: f64,
        penalty: f64,
    ) -> (f64, f64) {
        let prefill_ms = figures.prefill_ms(prefill_tokens, self.now);
        let expected_ms = queue_ms + prefill_ms + self.settings.first_event_ms;
        let remote = Some(figures.domain) != self.domain;
        let domain = if remote { self.settings.domain_penalty_ms } else { 0.0 };
        let risk = f64::from(pending.query.target_ms) * figures.health.failure_rate(self.now);
        (expected_ms, expected_ms + penalty + domain + risk)
    }

    /// Returns how an engine would get an adapter, or why it can't get it now.
    fn access(&self, member: Member<'_>, adapter: &Name) -> Result<Access, Obstacle> {
        let access =
            |availability, load_ms| Ok(Access { availability, cold: false, load_ms, penalty: 0.0 });
        if adapter.is_empty() {
            return access(Availability::Loaded, 0.0);
        }
        let Member { engine, figures, knows_adapter, .. } = member;
        if !knows_adapter {
            return self.new_load(figures, true);
        }
        match engine.adapter_slots.get(adapter) {
            Some(Slot { stage: Stage::Unloading { .. }, .. }) => Err(Obstacle::Unloading),
            Some(slot) if slot.version >= self.min_version && slot.stage == Stage::Loaded => {
                access(Availability::Loaded, 0.0)
            }
            Some(slot) if slot.version >= self.min_version => {
                access(Availability::Loading, self.remaining_load_ms(slot))
            }
            // The old version is unloaded before the new one is loaded, since together they need
            // two slots.
            Some(_) => Err(Obstacle::Version),
            None => self.new_load(figures, !engine.is_warm(adapter)),
        }
    }

    /// Returns the expected time until a queued or running load ends, in ms.
    fn remaining_load_ms(&self, slot: &Slot) -> f64 {
        let Stage::Loading { since, .. } = slot.stage else {
            return self.store_load_ms;
        };
        let elapsed = self.now.saturating_sub(since).as_secs_f64() * 1e3;
        (self.store.expected_ms(0) - elapsed).max(self.settings.warm_load_ms)
    }

    /// Returns how an engine would load an adapter that it does not hold: into a free slot, or in
    /// place of the least popular idle adapter. Fails if it may not load one now.
    fn new_load(&self, figures: &Figures, cold: bool) -> Result<Access, Obstacle> {
        if let Some(obstacle) = figures.load_obstacle() {
            return Err(obstacle);
        }
        if figures.loads >= self.settings.engine_load_limit {
            return Err(Obstacle::Loads);
        }
        let availability = if figures.has_free_slot {
            Availability::NeedsLoad
        } else {
            Availability::NeedsEviction
        };
        let (load_ms, penalty) = if cold {
            (self.store_load_ms, self.store_penalty_ms)
        } else {
            (self.order_delay_ms + self.settings.warm_load_ms, self.settings.slot_penalty_ms)
        };
        Ok(Access { availability, cold, load_ms, penalty })
    }

    /// Returns the adapter that an engine would evict, and the penalty for its eviction in ms.
    fn victim<'a>(&self, Member { engine, figures, .. }: Member<'a>) -> Option<(&'a Name, f64)> {
        let idle = engine.adapter_slots.iter().filter(|(_, slot)| slot.is_idle());
        let idle = idle.map(|(name, slot)| (self.popularity.score(name, self.now), name, slot));
        let (popularity, victim, _) = idle.min_by(|(x, a, slot), (y, b, other)| {
            x.total_cmp(y)
                .then_with(|| slot.last_used_at.cmp(&other.last_used_at))
                .then_with(|| a.cmp(b))
        })?;
        figures.idle_popularity.set(Some((popularity, self.now)));
        Some((victim, self.eviction_penalty(popularity)))
    }

    /// Returns a lower bound of the penalty for an eviction, in ms.
    fn min_eviction_penalty(&self, figures: &Figures) -> f64 {
        let popularity = figures.idle_popularity.get();
        let popularity = popularity.map_or(0.0, |known| self.popularity.decayed(known, self.now));
        self.eviction_penalty(popularity * ROUNDING_MARGIN)
    }

    fn eviction_penalty(&self, popularity: f64) -> f64 {
        self.settings.slot_penalty_ms * popularity.min(4.0) / 2.0
    }
}

/// Returns the prompt tokens of a request that are not in an engine's prefix cache.
fn prefill_tokens(engine: &Engine, pending: &Pending) -> f64 {
    let cached = engine.prefix_cache.cached_tokens(&pending.prefixes);
    f64::from(pending.query.input.saturating_sub(cached)).max(MIN_PREFILL_TOKENS)
}
