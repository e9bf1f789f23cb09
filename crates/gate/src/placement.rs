//! Loads adapters that requests wait for, and evicts others for them.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use base::Code;
use base::Event;
use base::Name;
use base::Set;
use board::Endpoint;
use board::Floor;
use board::Phase;
use board::Target;
use parking_lot::Mutex;
use state::View;
use tokio::time::Instant;
use wire::endpoint::Action;
use wire::endpoint::Fault;
use wire::endpoint::Model;
use wire::endpoint::Reason;
use wire::keeper::Wish;

use crate::context::Context;
use crate::order;
use crate::pick;

/// The wishes that one gate has at the keepers at once.
const WISHES: usize = 64;
/// The consecutive failures to load after which waiting requests are refused.
const FAILURES: u32 = 3;
/// The pause after a failure, doubled by each further one.
const BACKOFF: Duration = Duration::from_millis(100);
/// The pause after a load found no slot.
const PAUSE: Duration = Duration::from_millis(50);
/// The longest time that a wish waits for its permit.
const PATIENCE: Duration = Duration::from_secs(10);

/// An adapter that requests wait for.
struct Want {
    model: Model,
    waiting: usize,
    oldest: Instant,
    deadline: Instant,
    endpoint: Option<Name>,
}

/// Where an adapter is to be loaded.
struct Site {
    endpoint: Name,
    address: Name,
    fence: u64,
    victim: Option<Model>,
    reason: String,
}

type Wishes = Arc<Mutex<Set<Model>>>;

/// Places adapters for as long as the gate runs.
pub(crate) async fn run(context: Arc<Context>) {
    let wishes: Wishes = Arc::default();
    loop {
        let changed = context.board.changed.notified();
        for want in wants(&context) {
            let mut open = wishes.lock();
            if open.len() >= WISHES {
                break;
            }
            if open.insert(want.model.clone()) {
                drop(open);
                tokio::spawn(serve(Arc::clone(&context), Arc::clone(&wishes), want));
            }
        }
        changed.await;
    }
}

/// Returns the adapters that requests wait for and no endpoint of this gate holds, the oldest first.
fn wants(context: &Context) -> Vec<Want> {
    let now = Instant::now();
    let floor = context.board.floor.lock();
    let mut wants = Vec::new();
    for (target, queue) in &floor.queues {
        let Some(model) = target.model() else { continue };
        if floor.held(model, now, context.board.silent) {
            continue;
        }
        let oldest = queue.iter().map(|waiter| waiter.arrived).min();
        let deadline = queue.iter().map(|waiter| waiter.deadline).max();
        wants.push(Want {
            model: model.clone(),
            waiting: queue.len(),
            oldest: oldest.unwrap_or(now),
            deadline: deadline.unwrap_or(now),
            endpoint: queue.iter().find_map(|waiter| waiter.endpoint.clone()),
        });
    }
    wants.sort_by_key(|want| want.oldest);
    wants
}

async fn serve(context: Arc<Context>, wishes: Wishes, want: Want) {
    let pause = attempt(&context, &want).await;
    if let Some(pause) = pause {
        tokio::time::sleep(pause).await;
    }
    wishes.lock().remove(&want.model);
    context.board.changed.notify_one();
}

/// Loads the adapter once; returns how long to wait before another attempt.
async fn attempt(context: &Context, want: &Want) -> Option<Duration> {
    if !feasible(context, want) {
        return Some(defer(want, "no slot is free"));
    }
    let left = want.deadline.saturating_duration_since(Instant::now()).min(PATIENCE);
    let wish = Wish {
        gate: context.entry.host.clone(),
        incarnation: context.board.lease.lock().incarnation,
        worth: u32::try_from(want.waiting).unwrap_or(u32::MAX),
        patience_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
    };
    let permit = match context.keepers.permit(&wish).await {
        Ok(permit) => permit,
        Err(fault) => return Some(defer(want, &fault.to_string())),
    };
    let pause = match claim(context, want) {
        Some(site) => load(context, want, &site).await,
        None => Some(defer(want, "no slot is free any more")),
    };
    context.keepers.settle(permit.id).await;
    pause
}

fn defer(want: &Want, reason: &str) -> Duration {
    base::event!(INFO, Event::LoadDeferred, model = name(&want.model), reason);
    PAUSE
}

/// Returns whether a slot could be had now, so that no permit is taken in vain.
fn feasible(context: &Context, want: &Want) -> bool {
    let view = context.board.view.read();
    let floor = context.board.floor.lock();
    find(&view, &floor, want, Instant::now(), context.board.silent).is_some()
}

/// Takes a slot for the adapter, if one is free or can be freed.
fn claim(context: &Context, want: &Want) -> Option<Site> {
    let now = Instant::now();
    let silent = context.board.silent;
    let view = context.board.view.read();
    let mut floor = context.board.floor.lock();
    if !floor.queues.contains_key(&Target::Model(want.model.clone())) {
        return None;
    }
    let site = find(&view, &floor, want, now, silent)?;
    let own = floor.endpoints.get_mut(&site.endpoint)?;
    own.orders += 1;
    let loading = board::Slot { phase: Phase::Loading, since: now, used: now };
    own.slots.insert(want.model.clone(), loading);
    if let Some(slot) = site.victim.as_ref().and_then(|victim| own.slots.get_mut(victim)) {
        slot.phase = Phase::Unloading;
    }
    Some(site)
}

fn find(view: &View, floor: &Floor, want: &Want, now: Instant, silent: Duration) -> Option<Site> {
    let base = view.adapters.get(&want.model.adapter).map(|adapter| &adapter.base);
    let target = Target::Model(want.model.clone());
    let fit = floor.endpoints.values().filter(|own| {
        pick::suits(&own.info.role, &target, base)
            && own.ready(now, silent)
            && !own.slots.contains_key(&want.model)
    });
    let sites = fit.filter_map(|own| {
        let victim =
            if own.slots.len() < own.capacity() { None } else { Some(victim(view, floor, own)?) };
        let used = victim.as_ref().and_then(|model| own.slots.get(model)).map(|slot| slot.used);
        let chosen = want.endpoint.as_ref() == Some(&own.info.name);
        Some((chosen, Reverse(used), own, victim))
    });
    let best = sites.max_by_key(|(chosen, used, own, _)| (*chosen, *used, Reverse(own.busy())))?;
    let (chosen, _, own, victim) = best;
    Some(Site {
        endpoint: own.info.name.clone(),
        address: own.info.address.clone(),
        fence: own.fence,
        reason: format!("chosen by the router: {chosen}; {} wait", want.waiting),
        victim,
    })
}

/// Returns the adapter that was not used for longest and that no request needs.
fn victim(view: &View, floor: &Floor, own: &Endpoint) -> Option<Model> {
    if !own.evictable() {
        return None;
    }
    let free = own.slots.iter().filter(|(model, slot)| {
        let rule = view.exceptions.get(&model.adapter).map(|exception| &exception.rule);
        slot.phase == Phase::Ready
            && !own.pinned(model)
            && rule != Some(&state::view::Rule::Pinned)
            && !floor.queues.contains_key(&Target::Model((*model).clone()))
    });
    free.min_by_key(|(_, slot)| slot.used).map(|(model, _)| model.clone())
}

async fn load(context: &Context, want: &Want, site: &Site) -> Option<Duration> {
    let model = &want.model;
    base::event!(INFO, Event::Placed, model = name(model), endpoint = %site.endpoint,
        victim = site.victim.as_ref().map(name), reason = site.reason);
    if let Some(victim) = &site.victim
        && !evict(context, site, victim).await
    {
        context.board.mark(&site.endpoint, site.fence, model, None);
        return Some(PAUSE);
    }
    let action = Action::Load(model.clone());
    let done = order::send(context, &site.endpoint, &site.address, site.fence, action).await;
    match done {
        Ok(_) => {
            context.board.mark(&site.endpoint, site.fence, model, Some(Phase::Ready));
            context.failures.lock().remove(model);
            context.metrics.orders.with_label_values(&["loaded"]).inc();
            base::event!(INFO, Event::Loaded, model = name(model), endpoint = %site.endpoint);
            context.board.dispatch();
            None
        }
        Err(error) => {
            context.board.mark(&site.endpoint, site.fence, model, None);
            resurvey(context, site);
            context.metrics.orders.with_label_values(&["load_failed"]).inc();
            base::event!(WARN, Event::LoadFailed, model = name(model),
                endpoint = %site.endpoint, reason = %error);
            Some(fail(context, model))
        }
    }
}

async fn evict(context: &Context, site: &Site, victim: &Model) -> bool {
    let action = Action::Unload(victim.clone());
    let done = order::send(context, &site.endpoint, &site.address, site.fence, action).await;
    let gone = match &done {
        Ok(_) => true,
        Err(order::Error::Refused(Fault { error, .. })) => *error == Reason::NotLoaded,
        Err(_) => false,
    };
    if gone {
        context.board.mark(&site.endpoint, site.fence, victim, None);
        context.metrics.orders.with_label_values(&["evicted"]).inc();
        base::event!(INFO, Event::Evicted, model = name(victim), endpoint = %site.endpoint);
    } else {
        context.board.mark(&site.endpoint, site.fence, victim, None);
        resurvey(context, site);
    }
    gone
}

/// Has the state of an endpoint read anew, because an order there failed.
fn resurvey(context: &Context, site: &Site) {
    let mut floor = context.board.floor.lock();
    if let Some(own) = floor.endpoints.get_mut(&site.endpoint)
        && own.fence == site.fence
    {
        own.orders += 1;
    }
}

/// Counts a failure; after several, refuses those who wait. Returns the pause before the next load.
fn fail(context: &Context, model: &Model) -> Duration {
    let mut failures = context.failures.lock();
    let entry = failures.entry(model.clone()).or_insert((0, Instant::now()));
    entry.0 += 1;
    entry.1 = Instant::now();
    let count = entry.0;
    if count >= FAILURES {
        failures.remove(model);
    }
    drop(failures);
    if count >= FAILURES {
        let waiters = context.board.floor.lock().drain(&Target::Model(model.clone()));
        for waiter in waiters {
            waiter.reply.send(Err(Code::LoadFailed)).ok();
        }
    }
    BACKOFF * 2u32.pow(count.min(FAILURES))
}

/// Returns the name of a model as callers write it.
fn name(model: &Model) -> String {
    format!("{}@{}", model.adapter, model.version)
}
