//! The next load.

use std::time::Duration;

use base::Map;
use base::Name;
use state::view::Exception;
use state::view::Rule;
use wire::endpoint::Model;

use crate::backoff::Backoff;
use crate::engine::Engine;
use crate::plan::LOSERS;
use crate::plan::Loser;
use crate::plan::Loss;
use crate::plan::Plan;
use crate::plan::Reason;
use crate::policy::Policy;
use crate::popularity::Popularity;
use crate::site::Site;
use crate::site::site;
use crate::waiting::Waiting;
use crate::worth;

/// How long after its wake-up an adapter is prefetched.
const WAKE_WINDOW: Duration = Duration::from_secs(10);
/// The wait after which a request may take any slot that is not in use.
const STARVED: Duration = Duration::from_secs(4);
/// How many times hotter a prefetched adapter must be than the one that it evicts.
const PREFETCH_MARGIN: f64 = 4.0;

/// What a load is decided on.
#[derive(Clone, Copy)]
pub struct Tables<'a> {
    /// The engines that this gate owns, all of one base model.
    pub engines: &'a [Engine],
    /// The adapters that requests wait for at this gate.
    pub waiting: &'a [Waiting],
    /// How often adapters are asked for.
    pub popularity: &'a Popularity,
    /// The exceptions by adapter.
    pub exceptions: &'a Map<Name, Exception>,
    /// The adapters whose last load failed.
    pub backoff: &'a Backoff,
    /// The policy.
    pub policy: &'a Policy,
    /// Whether an engine of another gate holds or loads an adapter.
    pub elsewhere: &'a dyn Fn(&Model) -> bool,
    /// Whether load permits were granted without a wait lately, so that some may be spent on
    /// adapters that no request waits for.
    pub spare: bool,
}

/// Decides on the next load: for the adapter with the most waiting worth, else for one that is
/// likely to be asked for.
///
/// Call it again when a permit is granted: what is worth most may have changed since it was asked
/// for. None if nothing is worth a load or no slot may be taken.
pub fn next(tables: &Tables<'_>, now: Duration) -> Option<Plan> {
    let mut losers = Vec::new();
    for (waiting, worth) in ranked(tables, now) {
        match serve(tables, waiting, now) {
            Ok((site, reason)) => {
                return Some(site.plan(waiting.model.clone(), worth, reason, losers));
            }
            Err(loss) => lose(&mut losers, &waiting.model, loss),
        }
    }
    ahead(tables, now)
}

/// The waiting adapters, those with the most worth first.
fn ranked<'a>(tables: &Tables<'a>, now: Duration) -> Vec<(&'a Waiting, f64)> {
    let worth = |waiting: &'a Waiting| (waiting, worth::waiting(tables.policy, waiting, now));
    let mut ranked: Vec<_> = tables.waiting.iter().map(worth).collect();
    ranked.sort_by(|left, right| {
        right.1.total_cmp(&left.1).then_with(|| left.0.model.cmp(&right.0.model))
    });
    ranked
}

fn serve<'a>(
    tables: &Tables<'a>,
    waiting: &Waiting,
    now: Duration,
) -> Result<(Site<'a>, Reason), Loss> {
    if waiting.deadline <= now + tables.policy.load_time {
        return Err(Loss::Deadline);
    }
    allowed(tables, &waiting.model, now)?;
    let reason = need(tables, waiting)?;
    let starved = now.saturating_sub(waiting.oldest) >= STARVED;
    let site = site(tables, &waiting.model, starved, now).ok_or(Loss::NoSlot)?;
    Ok((site, reason))
}

/// Whether the adapter may be loaded at all now.
fn allowed(tables: &Tables<'_>, model: &Model, now: Duration) -> Result<(), Loss> {
    let exception = tables.exceptions.get(&model.adapter);
    if exception.is_some_and(|exception| exception.rule == Rule::Never) {
        return Err(Loss::Never);
    }
    match tables.backoff.until(model, now) {
        Some(_) => Err(Loss::Backoff),
        None => Ok(()),
    }
}

/// Whether waiting requests need a load, by what the gate's engines hold.
fn need(tables: &Tables<'_>, waiting: &Waiting) -> Result<Reason, Loss> {
    let mut copies = 0;
    for engine in tables.engines.iter().filter(|engine| engine.ready) {
        let Some(held) = engine.find(&waiting.model) else { continue };
        if held.loading {
            return Err(Loss::Loading);
        }
        if !tables.policy.copies || !engine.is_full(tables.policy.full_percent) {
            return Err(Loss::Held);
        }
        copies += 1;
    }
    if copies == 0 {
        return Ok(Reason::Waiting);
    }
    if waiting.requests < copy_demand(tables.policy, tables.engines) {
        return Err(Loss::Held);
    }
    Ok(Reason::Copy)
}

/// The waiting requests from which a second copy is worth a load: from an eighth of a batch at
/// stall weight 100 to a whole one at 0.
fn copy_demand(policy: &Policy, engines: &[Engine]) -> u32 {
    let batch = engines.iter().map(|engine| engine.batch).max().unwrap_or(1);
    let weight = u32::from(policy.stall_weight.min(100));
    (batch * (800 - 7 * weight) / 800).max(1)
}

/// Decides on the load of an adapter that an exception pins and that no engine holds.
///
/// `models` are the versions to be kept, such as the default version of each pinned adapter for
/// which the choice by hash names an engine of this gate.
pub fn pin<'a>(
    tables: &Tables<'_>,
    mut models: impl Iterator<Item = &'a Model>,
    now: Duration,
) -> Option<Plan> {
    let model = models.find(|model| lacks(tables, model) && allowed(tables, model, now).is_ok())?;
    let site = site(tables, model, true, now)?;
    Some(site.plan(model.clone(), worth::UNIT, Reason::Pinned, Vec::new()))
}

/// A load of an adapter that no request waits for: a hot one into an empty slot, or one that woke.
fn ahead(tables: &Tables<'_>, now: Duration) -> Option<Plan> {
    if !tables.spare {
        return None;
    }
    reload(tables, now).or_else(|| prefetch(tables, now))
}

fn reload(tables: &Tables<'_>, now: Duration) -> Option<Plan> {
    let keep = tables.policy.spare_slots;
    let has_room = |engine: &&Engine| engine.ready && engine.free() > keep;
    if !tables.policy.reload || !tables.engines.iter().any(|engine| has_room(&engine)) {
        return None;
    }
    let engine =
        tables.engines.iter().filter(has_room).min_by(|left, right| {
            (left.in_flight, &left.name).cmp(&(right.in_flight, &right.name))
        })?;
    let missing = |model: &&Model| {
        tables.popularity.value(model, now) >= 1.0
            && lacks(tables, model)
            && allowed(tables, model, now).is_ok()
    };
    let model = tables.popularity.hottest().take(SEARCHED).find(missing)?;
    let worth = likely(tables, model, now);
    Some(Site::empty(engine).plan(model.clone(), worth, Reason::Reload, Vec::new()))
}

fn prefetch(tables: &Tables<'_>, now: Duration) -> Option<Plan> {
    if !tables.policy.prefetch {
        return None;
    }
    let since = now.saturating_sub(WAKE_WINDOW);
    let missing = |model: &&Model| lacks(tables, model) && allowed(tables, model, now).is_ok();
    let model = tables.popularity.woken(since).find(missing)?;
    let site = site(tables, model, false, now)?;
    let victim = site.victim().map_or(0.0, |model| tables.popularity.value(model, now));
    if victim * PREFETCH_MARGIN > tables.popularity.value(model, now) {
        return None;
    }
    let worth = likely(tables, model, now);
    Some(site.plan(model.clone(), worth, Reason::Prefetch, Vec::new()))
}

/// The hottest adapters among which a reload searches.
const SEARCHED: usize = 256;

/// Whether no engine holds or loads an adapter.
fn lacks(tables: &Tables<'_>, model: &Model) -> bool {
    let own = tables.engines.iter().any(|engine| engine.find(model).is_some());
    !own && !(tables.elsewhere)(model)
}

/// The worth of a load for the requests that are likely to come within a second; always below that
/// of a waiting request.
fn likely(tables: &Tables<'_>, model: &Model, now: Duration) -> f64 {
    let rate = tables.popularity.rate(tables.popularity.value(model, now));
    rate.min(0.5) * worth::UNIT
}

fn lose(losers: &mut Vec<Loser>, model: &Model, loss: Loss) {
    if losers.len() < LOSERS {
        losers.push(Loser { model: model.clone(), loss });
    }
}
