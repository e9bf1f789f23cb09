//! Selection of the slot for a load.

use std::time::Duration;

use state::view::Rule;
use wire::endpoint::Model;

use crate::engine::Engine;
use crate::engine::Resident;
use crate::plan::Alternative;
use crate::plan::Plan;
use crate::plan::Reason;
use crate::planner::Input;
use crate::policy::Eviction;
use crate::worth;

/// The time after an eviction in which another request for the adapter makes the eviction regretted,
/// in seconds.
const REGRET_WINDOW_S: f64 = 60.0;

/// A slot for a load.
#[derive(Clone, Copy)]
pub(crate) struct Slot<'a> {
    engine: &'a Engine,
    /// The adapter to evict and its retention value; `None` for an empty slot.
    victim: Option<(&'a Resident, f64)>,
}

impl<'a> Slot<'a> {
    /// Returns an empty slot of an engine.
    pub(crate) fn empty(engine: &'a Engine) -> Slot<'a> {
        Slot { engine, victim: None }
    }

    /// Returns the adapter to evict.
    pub(crate) fn victim(&self) -> Option<&'a Model> {
        self.victim.map(|(resident, _)| &resident.model)
    }

    /// Creates the plan of a load into the slot.
    pub(crate) fn plan(
        self,
        load: Model,
        worth: f64,
        reason: Reason,
        alternatives: Vec<Alternative>,
    ) -> Plan {
        Plan {
            endpoint: self.engine.name.clone(),
            load,
            evict: self.victim().cloned(),
            worth: worth::round(worth),
            reason,
            alternatives,
        }
    }
}

/// Finds the cheapest slot for an adapter; returns `None` if no slot may be taken.
pub(crate) fn cheapest_slot<'a>(
    input: &Input<'a>,
    model: &Model,
    starved: bool,
    now: Duration,
) -> Option<Slot<'a>> {
    let candidate_score = input.popularity.score(model);
    let ready = input.engines.iter().filter(|engine| engine.ready);
    let slots = ready.filter(|engine| engine.find(model).is_none()).filter_map(|engine| {
        if engine.free() > 0 {
            return Some(Slot::empty(engine));
        }
        let victim = victim(input, engine, candidate_score, starved)?;
        Some(Slot { engine, victim: Some(victim) })
    });
    let priced = slots.map(|slot| (cost(input, &slot, now), slot));
    let cheapest = priced.min_by(|(cost, slot), (other_cost, other)| {
        cost.total_cmp(other_cost)
            .then_with(|| slot.engine.in_flight.cmp(&other.engine.in_flight))
            .then_with(|| slot.engine.name.cmp(&other.engine.name))
    });
    cheapest.map(|(_, slot)| slot)
}

/// Returns the cost of a load into a slot: the probability that the evicted adapter is requested again
/// soon, combined with the share of the engine's time that the request would take.
fn cost(input: &Input<'_>, slot: &Slot<'_>, now: Duration) -> f64 {
    let policy = input.policy;
    if policy.eviction == Eviction::Recency {
        return slot.victim.map_or(f64::NEG_INFINITY, |(_, value)| value);
    }
    let popularity = input.popularity;
    let count = slot.victim().map_or(0.0, |model| popularity.decayed_count(model, now));
    let regret = 1.0 - (-popularity.rate(count) * REGRET_WINDOW_S).exp();
    if !policy.pack {
        return regret;
    }
    let weight = pack_weight(policy.stall_weight);
    (1.0 - weight) * regret + weight * marginal_time(slot.engine)
}

/// Returns the weight of full batches against regretted evictions, from 0.1 at stall weight 100 to
/// 0.225 at 0.
fn pack_weight(stall_weight: u8) -> f64 {
    0.1 + f64::from(100 - stall_weight.min(100)) / 800.0
}

/// Returns the share of the engine's time that one additional request would take.
fn marginal_time(engine: &Engine) -> f64 {
    if engine.in_flight + 1 >= engine.batch { 1.0 } else { 1.0 / f64::from(1 + engine.in_flight) }
}

/// Selects the adapter that an engine would evict, with its retention value.
///
/// Adapters that are in use, loading or pinned are never evicted. A candidate that is less popular than
/// the victim may only take one of the engine's spare slots.
fn victim<'a>(
    input: &Input<'a>,
    engine: &'a Engine,
    candidate_score: f64,
    starved: bool,
) -> Option<(&'a Resident, f64)> {
    let spare = input.policy.spare_slots;
    let idle = engine.residents.iter().filter(|resident| is_evictable(input, resident));
    let (victim, value) = idle
        .map(|resident| (resident, retention_value(input, resident)))
        .min_by(|left, right| left.1.total_cmp(&right.1))?;
    if spare == 0
        || starved
        || input.policy.eviction == Eviction::Recency
        || value <= candidate_score
    {
        return Some((victim, value));
    }
    let residents = engine.residents.iter();
    let colder = residents.filter(|other| retention_value(input, other) < value).count();
    (colder < spare as usize).then_some((victim, value))
}

fn is_evictable(input: &Input<'_>, resident: &Resident) -> bool {
    if resident.in_use > 0 || resident.loading {
        return false;
    }
    let exception = input.exceptions.get(&resident.model.adapter);
    exception.is_none_or(|exception| exception.rule != Rule::Pinned)
}

/// Returns the value of keeping an adapter loaded, comparable only under the same eviction policy.
fn retention_value(input: &Input<'_>, resident: &Resident) -> f64 {
    match input.policy.eviction {
        Eviction::Popularity => input.popularity.score(&resident.model),
        Eviction::Recency => resident.last_used.as_secs_f64(),
    }
}
