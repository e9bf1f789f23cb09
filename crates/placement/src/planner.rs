//! Selection of the next load.

use std::time::Duration;

use base::Map;
use base::Name;
use state::view::Exception;
use state::view::Rule;
use wire::endpoint::Model;

use crate::backoff::Backoff;
use crate::demand::Demand;
use crate::engine::Engine;
use crate::plan::Alternative;
use crate::plan::MAX_ALTERNATIVES;
use crate::plan::Plan;
use crate::plan::Reason;
use crate::plan::Rejection;
use crate::policy::Policy;
use crate::popularity::Popularity;
use crate::slot::Slot;
use crate::slot::cheapest_slot;
use crate::worth;

/// The time after an adapter's reactivation during which it is prefetched.
const PREFETCH_WINDOW: Duration = Duration::from_secs(10);
/// The wait after which a request may take any slot that is not in use.
const STARVATION_WAIT: Duration = Duration::from_secs(4);
/// The minimum ratio between the popularity of a prefetched adapter and that of the one that it evicts.
const PREFETCH_MARGIN: f64 = 4.0;
/// The number of most popular adapters that a reload considers.
const MAX_RELOAD_CANDIDATES: usize = 256;

/// The input of a placement decision.
#[derive(Clone, Copy)]
pub struct Input<'a> {
    /// The engines that this gate owns, all of one base model.
    pub engines: &'a [Engine],
    /// The requests that wait at this gate, by adapter.
    pub demand: &'a [Demand],
    /// The request rates of the adapters.
    pub popularity: &'a Popularity,
    /// The exceptions by adapter.
    pub exceptions: &'a Map<Name, Exception>,
    /// The adapters whose last load failed.
    pub backoff: &'a Backoff,
    /// The policy.
    pub policy: &'a Policy,
    /// Returns whether an engine of another gate holds or loads an adapter.
    pub held_elsewhere: &'a dyn Fn(&Model) -> bool,
    /// Whether load permits were recently granted without a wait, so that some may be spent on
    /// adapters that no request waits for.
    pub spare_permits: bool,
}

/// Selects the next load: the adapter whose waiting requests are worth most, or else one that is
/// likely to be requested soon.
///
/// Returns `None` if no adapter is worth a load or no slot may be taken. The decision can change while
/// the gate waits for a load permit, so call this again when the permit is granted.
pub fn next_load(input: &Input<'_>, now: Duration) -> Option<Plan> {
    let mut alternatives = Vec::new();
    for (demand, worth) in ranked(input, now) {
        match serve(input, demand, now) {
            Ok((slot, reason)) => {
                return Some(slot.plan(demand.model.clone(), worth, reason, alternatives));
            }
            Err(rejection) => reject(&mut alternatives, &demand.model, rejection),
        }
    }
    speculative_load(input, now)
}

/// Returns the adapters that requests wait for, in descending order of worth.
fn ranked<'a>(input: &Input<'a>, now: Duration) -> Vec<(&'a Demand, f64)> {
    let worth = |demand: &'a Demand| (demand, worth::demanded(input.policy, demand, now));
    let mut ranked: Vec<_> = input.demand.iter().map(worth).collect();
    ranked.sort_by(|left, right| {
        right.1.total_cmp(&left.1).then_with(|| left.0.model.cmp(&right.0.model))
    });
    ranked
}

fn serve<'a>(
    input: &Input<'a>,
    demand: &Demand,
    now: Duration,
) -> Result<(Slot<'a>, Reason), Rejection> {
    if demand.latest_deadline <= now + input.policy.load_time {
        return Err(Rejection::Deadline);
    }
    check_loadable(input, &demand.model, now)?;
    let reason = load_reason(input, demand)?;
    let starved = now.saturating_sub(demand.oldest_arrival) >= STARVATION_WAIT;
    let slot = cheapest_slot(input, &demand.model, starved, now).ok_or(Rejection::NoSlot)?;
    Ok((slot, reason))
}

/// Rejects an adapter that an exception forbids to load or that is in backoff.
fn check_loadable(input: &Input<'_>, model: &Model, now: Duration) -> Result<(), Rejection> {
    let exception = input.exceptions.get(&model.adapter);
    if exception.is_some_and(|exception| exception.rule == Rule::Never) {
        return Err(Rejection::Never);
    }
    match input.backoff.retry_at(model, now) {
        Some(_) => Err(Rejection::Backoff),
        None => Ok(()),
    }
}

/// Returns why the waiting requests need a load, or rejects it if the gate's engines can serve them.
fn load_reason(input: &Input<'_>, demand: &Demand) -> Result<Reason, Rejection> {
    let mut copies = 0;
    for engine in input.engines.iter().filter(|engine| engine.ready) {
        let Some(resident) = engine.find(&demand.model) else { continue };
        if resident.loading {
            return Err(Rejection::Loading);
        }
        if !input.policy.copies || !engine.is_full(input.policy.full_percent) {
            return Err(Rejection::Held);
        }
        copies += 1;
    }
    if copies == 0 {
        return Ok(Reason::Waiting);
    }
    if demand.requests < min_copy_requests(input.policy, input.engines) {
        return Err(Rejection::Held);
    }
    Ok(Reason::Copy)
}

/// Returns the number of waiting requests that justifies another copy: from an eighth of a batch at
/// stall weight 100 to a full batch at 0.
fn min_copy_requests(policy: &Policy, engines: &[Engine]) -> u32 {
    let batch = engines.iter().map(|engine| engine.batch).max().unwrap_or(1);
    let weight = u32::from(policy.stall_weight.min(100));
    (batch * (800 - 7 * weight) / 800).max(1)
}

/// Selects the load of an adapter that an exception pins and that no engine holds.
///
/// `models` are the versions to keep loaded, such as the default version of each pinned adapter for
/// which hashing selects an engine of this gate.
pub fn pinned_load<'a>(
    input: &Input<'_>,
    mut models: impl Iterator<Item = &'a Model>,
    now: Duration,
) -> Option<Plan> {
    let model = models
        .find(|model| is_absent(input, model) && check_loadable(input, model, now).is_ok())?;
    let slot = cheapest_slot(input, model, true, now)?;
    Some(slot.plan(model.clone(), worth::UNIT, Reason::Pinned, Vec::new()))
}

/// Selects a load that no request waits for: a popular adapter for an empty slot, or a reactivated one.
fn speculative_load(input: &Input<'_>, now: Duration) -> Option<Plan> {
    if !input.spare_permits {
        return None;
    }
    reload(input, now).or_else(|| prefetch(input, now))
}

fn reload(input: &Input<'_>, now: Duration) -> Option<Plan> {
    let reserved = input.policy.spare_slots;
    let has_room = |engine: &&Engine| engine.ready && engine.free() > reserved;
    if !input.policy.reload || !input.engines.iter().any(|engine| has_room(&engine)) {
        return None;
    }
    let engine =
        input.engines.iter().filter(has_room).min_by(|left, right| {
            (left.in_flight, &left.name).cmp(&(right.in_flight, &right.name))
        })?;
    let is_candidate = |model: &&Model| {
        input.popularity.decayed_count(model, now) >= 1.0
            && is_absent(input, model)
            && check_loadable(input, model, now).is_ok()
    };
    let model = input.popularity.hottest().take(MAX_RELOAD_CANDIDATES).find(is_candidate)?;
    let worth = expected_worth(input, model, now);
    Some(Slot::empty(engine).plan(model.clone(), worth, Reason::Reload, Vec::new()))
}

fn prefetch(input: &Input<'_>, now: Duration) -> Option<Plan> {
    if !input.policy.prefetch {
        return None;
    }
    let since = now.saturating_sub(PREFETCH_WINDOW);
    let is_candidate =
        |model: &&Model| is_absent(input, model) && check_loadable(input, model, now).is_ok();
    let model = input.popularity.reactivated(since).find(is_candidate)?;
    let slot = cheapest_slot(input, model, false, now)?;
    let victim = slot.victim().map_or(0.0, |model| input.popularity.decayed_count(model, now));
    if victim * PREFETCH_MARGIN > input.popularity.decayed_count(model, now) {
        return None;
    }
    let worth = expected_worth(input, model, now);
    Some(slot.plan(model.clone(), worth, Reason::Prefetch, Vec::new()))
}

/// Returns whether no engine of the site holds or loads an adapter.
fn is_absent(input: &Input<'_>, model: &Model) -> bool {
    let own = input.engines.iter().any(|engine| engine.find(model).is_some());
    !own && !(input.held_elsewhere)(model)
}

/// Returns the worth of a load by the expected requests within one second, always below the worth of a
/// waiting request.
fn expected_worth(input: &Input<'_>, model: &Model, now: Duration) -> f64 {
    let rate = input.popularity.rate(input.popularity.decayed_count(model, now));
    rate.min(0.5) * worth::UNIT
}

fn reject(alternatives: &mut Vec<Alternative>, model: &Model, rejection: Rejection) {
    if alternatives.len() < MAX_ALTERNATIVES {
        alternatives.push(Alternative { model: model.clone(), rejection });
    }
}
