//! Chooses an endpoint for a request from what this gate and the others know.

use std::time::Duration;

use base::Code;
use base::Map;
use base::Name;
use blackboard::Floor;
use blackboard::Phase;
use blackboard::Target;
use route::Candidate;
use route::Query;
use route::Residency;
use state::View;
use state::view::Ownership;
use state::view::Role;
use tokio::time::Instant;

use crate::context::Context;
use crate::failure::Failure;
use crate::refusal::Refusal;
use crate::request::Request;
use crate::request::Resolved;
use crate::request::Visited;

/// The age from which another gate's summary says nothing of its endpoints any more.
const SUMMARY_AGE: Duration = Duration::from_millis(1_500);
/// The refusals that all endpoints of an owner share.
const OWNER: &[Code] = &[Code::NotServing, Code::Draining, Code::OwnerUnreachable, Code::OwnerLost];

/// An endpoint that was chosen.
#[derive(Clone, Debug)]
pub(crate) struct Choice {
    /// The endpoint.
    pub(crate) endpoint: Name,
    /// The gate that owns it.
    pub(crate) owner: Name,
    /// Why, for the log.
    pub(crate) reason: String,
}

/// What a request need not be sent to again.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tried {
    endpoints: Vec<Name>,
    owners: Vec<Name>,
}

impl Tried {
    /// Notes that `choice` ended with `failure` after the request was sent to `visited`.
    pub(crate) fn add(&mut self, choice: &Choice, visited: &Visited, failure: &Failure) {
        let known = self.endpoints.len();
        for endpoint in visited.list() {
            if !self.endpoints.contains(&endpoint) {
                self.endpoints.push(endpoint);
            }
        }
        if self.endpoints.len() == known {
            self.endpoints.push(choice.endpoint.clone());
        }
        if let Failure::Refused(refusal) = failure
            && OWNER.contains(&refusal.code)
        {
            self.owners.push(choice.owner.clone());
        }
    }
}

/// What is known of an endpoint that may be chosen.
struct Known {
    endpoint: Name,
    owner: Name,
    ready: bool,
    residency: Residency,
    in_flight: u32,
    waiting: u32,
    batch: u32,
    free_slots: u32,
}

/// Chooses an endpoint outside of `tried`.
pub(crate) fn choose(
    context: &Context,
    request: &Request<Resolved>,
    tried: &Tried,
) -> Result<Choice, Refusal> {
    let target = &request.stage.target;
    let known = known(context, target, tried);
    let candidates = known.iter().map(|one| candidate(one, &context.entry.host));
    let remaining = request.stage.deadline.saturating_duration_since(Instant::now());
    let weight = context.board.view.read().defaults.stall_weight;
    let query =
        Query::new(target.model(), remaining).with_settings(&context.config.placement, weight);
    let query = Query {
        seed: base::digest(request.id.as_bytes()),
        priority: request.priority,
        excluded: &tried.endpoints,
        timing: *context.pace.lock(),
        ..query
    };
    let choice = route::choose(&query, candidates).map_err(|refusal| {
        let mut told = Refusal::new(refusal.code);
        told.retry_after = refusal.retry_after.or(told.retry_after);
        told
    })?;
    let losers: Vec<String> = choice.alternatives.iter().map(ToString::to_string).collect();
    let reason = format!(
        "{} wait={}ms losers=[{}]",
        choice.reason,
        choice.wait.as_millis(),
        losers.join(" ")
    );
    Ok(Choice { endpoint: choice.endpoint, owner: choice.gate, reason })
}

fn candidate<'a>(known: &'a Known, host: &Name) -> Candidate<'a> {
    Candidate {
        endpoint: &known.endpoint,
        gate: &known.owner,
        owned: known.owner == *host,
        ready: known.ready,
        residency: known.residency,
        in_flight: known.in_flight,
        waiting: known.waiting,
        batch: known.batch,
        free_slots: known.free_slots,
        prefix_hit: false,
    }
}

/// Returns whether an endpoint of a role can serve a target; `base` is the base model of its adapter.
pub(crate) fn suits(role: &Role, target: &Target, base: Option<&Name>) -> bool {
    match (role, target) {
        (Role::Engine { base: own, .. }, Target::Model(_)) => base == Some(own),
        (Role::Service { kind: own, .. }, Target::Service(kind)) => own == kind,
        _ => false,
    }
}

fn known(context: &Context, target: &Target, tried: &Tried) -> Vec<Known> {
    let view = context.board.view.read();
    let base = target.model().and_then(|model| view.adapters.get(&model.adapter));
    let base = base.map(|adapter| &adapter.base);
    let floor = context.board.floor.lock();
    let waiting = waiting(&floor);
    let suitable =
        view.endpoints.values().filter(|owned| suits(&owned.endpoint.role, target, base));
    let all = suitable.filter_map(|owned| {
        let owner = owned.owner.clone().filter(|owner| !tried.owners.contains(owner))?;
        if owner == context.entry.host {
            return ours(context, &floor, &waiting, target, owned);
        }
        theirs(context, &view, target, owned, owner)
    });
    all.collect()
}

/// Returns whether an endpoint that may serve the request is between two owners.
pub(crate) fn unsettled(context: &Context, request: &Request<Resolved>, tried: &Tried) -> bool {
    let target = &request.stage.target;
    let view = context.board.view.read();
    let base = target.model().and_then(|model| view.adapters.get(&model.adapter));
    let base = base.map(|adapter| &adapter.base);
    let floor = context.board.floor.lock();
    let suitable = view.endpoints.values().filter(|owned| {
        let name = &owned.endpoint.name;
        suits(&owned.endpoint.role, target, base) && !tried.endpoints.contains(name)
    });
    let mut between = suitable.map(|owned| match &owned.owner {
        None => true,
        Some(owner) if tried.owners.contains(owner) => true,
        Some(owner) if *owner == context.entry.host => {
            floor.endpoints.get(&owned.endpoint.name).is_none_or(|own| !own.surveyed)
        }
        Some(owner) => {
            let peers = context.board.peers.lock();
            peers.endpoint(owner, &owned.endpoint.name, Instant::now(), SUMMARY_AGE).is_none()
        }
    });
    between.any(|between| between)
}

/// Returns how many requests wait for each endpoint of this gate.
fn waiting(floor: &Floor) -> Map<Name, u32> {
    let mut waiting: Map<Name, u32> = Map::default();
    for waiter in floor.queues.values().flatten() {
        if let Some(endpoint) = &waiter.endpoint {
            *waiting.entry(endpoint.clone()).or_default() += 1;
        }
    }
    waiting
}

/// Returns the requests of a full batch and the slots of a role.
fn size(role: &Role) -> (u32, u32) {
    match role {
        Role::Engine { batch, slots, .. } => (*batch, *slots),
        Role::Service { batch, .. } => (*batch, 0),
    }
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

fn ours(
    context: &Context,
    floor: &Floor,
    waiting: &Map<Name, u32>,
    target: &Target,
    owned: &Ownership,
) -> Option<Known> {
    let own = floor.endpoints.get(&owned.endpoint.name)?;
    let slot = target.model().and_then(|model| own.slots.get(model));
    let residency = match (target, slot.map(|slot| slot.phase)) {
        (Target::Service(_), _) | (_, Some(Phase::Ready)) => Residency::Loaded,
        (_, Some(Phase::Loading)) => Residency::Loading,
        _ => Residency::Absent,
    };
    let (batch, slots) = size(&owned.endpoint.role);
    Some(Known {
        endpoint: owned.endpoint.name.clone(),
        owner: context.entry.host.clone(),
        ready: own.ready(Instant::now(), context.board.silent),
        residency,
        in_flight: count(own.busy()),
        waiting: waiting.get(&owned.endpoint.name).copied().unwrap_or(0),
        batch,
        free_slots: slots.saturating_sub(count(own.slots.len())),
    })
}

fn theirs(
    context: &Context,
    view: &View,
    target: &Target,
    owned: &Ownership,
    owner: Name,
) -> Option<Known> {
    let peers = context.board.peers.lock();
    let name = &owned.endpoint.name;
    let told = peers.endpoint(&owner, name, Instant::now(), SUMMARY_AGE)?;
    let holds = target.model().is_none_or(|model| told.loaded.contains(model));
    let (batch, slots) = size(&owned.endpoint.role);
    Some(Known {
        endpoint: name.clone(),
        owner,
        ready: told.ready && !view.draining.contains(&owned.endpoint.host),
        residency: if holds { Residency::Loaded } else { Residency::Absent },
        in_flight: told.in_flight,
        waiting: told.waiting,
        batch,
        free_slots: slots.saturating_sub(count(told.loaded.len())),
    })
}
