//! The slot that a load takes.

use std::time::Duration;

use state::view::Rule;
use wire::endpoint::Model;

use crate::engine::Engine;
use crate::engine::Held;
use crate::next::Tables;
use crate::plan::Loser;
use crate::plan::Plan;
use crate::plan::Reason;
use crate::policy::Evict;
use crate::worth;

/// The time within which an evicted adapter that is asked for again costs a load, in seconds.
const REGRET_S: f64 = 60.0;

/// A slot for a load.
#[derive(Clone, Copy)]
pub(crate) struct Site<'a> {
    engine: &'a Engine,
    /// The adapter to evict and what it is valued at; none for an empty slot.
    victim: Option<(&'a Held, f64)>,
}

impl<'a> Site<'a> {
    /// Returns an empty slot of an engine.
    pub(crate) fn empty(engine: &'a Engine) -> Site<'a> {
        Site { engine, victim: None }
    }

    /// Returns the adapter to evict.
    pub(crate) fn victim(&self) -> Option<&'a Model> {
        self.victim.map(|(held, _)| &held.model)
    }

    /// Makes the plan of a load into the slot.
    pub(crate) fn plan(self, load: Model, worth: f64, reason: Reason, losers: Vec<Loser>) -> Plan {
        Plan {
            endpoint: self.engine.name.clone(),
            load,
            evict: self.victim().cloned(),
            worth: worth::round(worth),
            reason,
            losers,
        }
    }
}

/// Finds the cheapest slot for an adapter; none if each slot that it may take is in use.
pub(crate) fn site<'a>(
    tables: &Tables<'a>,
    model: &Model,
    starved: bool,
    now: Duration,
) -> Option<Site<'a>> {
    let newcomer = tables.popularity.score(model);
    let open = tables.engines.iter().filter(|engine| engine.ready);
    let sites = open.filter(|engine| engine.find(model).is_none()).filter_map(|engine| {
        if engine.free() > 0 {
            return Some(Site::empty(engine));
        }
        let victim = victim(tables, engine, newcomer, starved)?;
        Some(Site { engine, victim: Some(victim) })
    });
    let priced = sites.map(|site| (cost(tables, &site, now), site));
    let cheapest = priced.min_by(|(cost, site), (other_cost, other)| {
        cost.total_cmp(other_cost)
            .then_with(|| site.engine.in_flight.cmp(&other.engine.in_flight))
            .then_with(|| site.engine.name.cmp(&other.engine.name))
    });
    cheapest.map(|(_, site)| site)
}

/// What a load into a slot costs: the chance that the evicted adapter is asked for again soon, and
/// the engine's time for a request that joins no batch.
fn cost(tables: &Tables<'_>, site: &Site<'_>, now: Duration) -> f64 {
    let policy = tables.policy;
    if policy.evict == Evict::Recency {
        return site.victim.map_or(f64::NEG_INFINITY, |(_, value)| value);
    }
    let popularity = tables.popularity;
    let value = site.victim().map_or(0.0, |model| popularity.value(model, now));
    let regret = 1.0 - (-popularity.rate(value) * REGRET_S).exp();
    if !policy.pack {
        return regret;
    }
    let weight = pack_weight(policy.stall_weight);
    (1.0 - weight) * regret + weight * emptiness(site.engine)
}

/// The weight of full batches against regretted evictions, from a tenth at stall weight 100 to a
/// little more than a fifth at 0.
fn pack_weight(stall_weight: u8) -> f64 {
    0.1 + f64::from(100 - stall_weight.min(100)) / 800.0
}

/// The share of the engine's time that one more request would take for itself.
fn emptiness(engine: &Engine) -> f64 {
    if engine.in_flight + 1 >= engine.batch { 1.0 } else { 1.0 / f64::from(1 + engine.in_flight) }
}

/// The adapter that an engine would evict: never one that is in use, being loaded or pinned, and
/// for a newcomer that is less popular only one of the engine's spare slots.
fn victim<'a>(
    tables: &Tables<'a>,
    engine: &'a Engine,
    newcomer: f64,
    starved: bool,
) -> Option<(&'a Held, f64)> {
    let spare = tables.policy.spare_slots;
    let idle = engine.held.iter().filter(|held| evictable(tables, held));
    let (held, value) = idle
        .map(|held| (held, value(tables, held)))
        .min_by(|left, right| left.1.total_cmp(&right.1))?;
    if spare == 0 || starved || tables.policy.evict == Evict::Recency || value <= newcomer {
        return Some((held, value));
    }
    let colder = engine.held.iter().filter(|other| self::value(tables, other) < value).count();
    (colder < spare as usize).then_some((held, value))
}

fn evictable(tables: &Tables<'_>, held: &Held) -> bool {
    if held.in_use > 0 || held.loading {
        return false;
    }
    let exception = tables.exceptions.get(&held.model.adapter);
    exception.is_none_or(|exception| exception.rule != Rule::Pinned)
}

/// What an adapter in a slot is valued at; only comparable with others of the same policy.
fn value(tables: &Tables<'_>, held: &Held) -> f64 {
    match tables.policy.evict {
        Evict::Popularity => tables.popularity.score(&held.model),
        Evict::Recency => held.used.as_secs_f64(),
    }
}
