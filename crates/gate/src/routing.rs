//! Chooses an endpoint for a request from the tables of this gate and the summaries of the others.

use std::time::Duration;

use base::Code;
use base::Map;
use base::Name;
use blackboard::Phase;
use blackboard::Pool;
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

/// The age above which a summary from another gate is ignored.
const SUMMARY_MAX_AGE: Duration = Duration::from_millis(1_500);
/// The result codes that apply to all endpoints of an owner.
const OWNER_WIDE_CODES: &[Code] =
    &[Code::NotServing, Code::Draining, Code::OwnerUnreachable, Code::OwnerLost];

/// A routing decision.
#[derive(Clone, Debug)]
pub(crate) struct Choice {
    /// The endpoint.
    pub(crate) endpoint: Name,
    /// The gate that owns it.
    pub(crate) owner: Name,
    /// The reason, for the log.
    pub(crate) reason: String,
}

/// The endpoints and owners that a request is not sent to again.
#[derive(Clone, Debug, Default)]
pub(crate) struct Excluded {
    endpoints: Vec<Name>,
    owners: Vec<Name>,
}

impl Excluded {
    /// Excludes the endpoints that the request was sent to, or else the chosen one, after `choice` ended with
    /// `failure`.
    pub(crate) fn add(&mut self, choice: &Choice, visited: &Visited, failure: &Failure) {
        let before = self.endpoints.len();
        for endpoint in visited.list() {
            if !self.endpoints.contains(&endpoint) {
                self.endpoints.push(endpoint);
            }
        }
        if self.endpoints.len() == before {
            self.endpoints.push(choice.endpoint.clone());
        }
        if let Failure::Refused(refusal) = failure
            && OWNER_WIDE_CODES.contains(&refusal.code)
        {
            self.add_owner(choice);
        }
    }

    /// Excludes the owner of the chosen endpoint; the endpoint may be chosen at its next owner.
    pub(crate) fn add_owner(&mut self, choice: &Choice) {
        self.owners.push(choice.owner.clone());
    }
}

/// The state of a candidate endpoint as known to this gate.
struct Snapshot {
    endpoint: Name,
    owner: Name,
    ready: bool,
    residency: Residency,
    in_flight: u32,
    waiting: u32,
    batch: u32,
    free_slots: u32,
}

/// Chooses an endpoint that is not excluded.
pub(crate) fn choose(
    context: &Context,
    request: &Request<Resolved>,
    excluded: &Excluded,
) -> Result<Choice, Refusal> {
    let target = &request.stage.target;
    let snapshots = snapshots(context, target, excluded);
    let candidates = snapshots.iter().map(|snapshot| candidate(snapshot, &context.entry.host));
    let remaining = request.stage.deadline.saturating_duration_since(Instant::now());
    let weight = context.board.view.read().defaults.stall_weight;
    let query =
        Query::new(target.model(), remaining).with_settings(&context.config.placement, weight);
    let query = Query {
        seed: base::digest(request.id.as_bytes()),
        priority: request.priority,
        excluded: &excluded.endpoints,
        timing: *context.route_timing.lock(),
        ..query
    };
    let choice = route::choose(&query, candidates).map_err(|rejection| {
        let mut refusal = Refusal::new(rejection.code);
        refusal.retry_after = rejection.retry_after.or(refusal.retry_after);
        refusal
    })?;
    let alternatives: Vec<String> = choice.alternatives.iter().map(ToString::to_string).collect();
    let reason = format!(
        "{} wait={}ms losers=[{}]",
        choice.reason,
        choice.wait.as_millis(),
        alternatives.join(" ")
    );
    Ok(Choice { endpoint: choice.endpoint, owner: choice.gate, reason })
}

fn candidate<'a>(snapshot: &'a Snapshot, host: &Name) -> Candidate<'a> {
    Candidate {
        endpoint: &snapshot.endpoint,
        gate: &snapshot.owner,
        owned: snapshot.owner == *host,
        ready: snapshot.ready,
        residency: snapshot.residency,
        in_flight: snapshot.in_flight,
        waiting: snapshot.waiting,
        batch: snapshot.batch,
        free_slots: snapshot.free_slots,
        prefix_hit: false,
    }
}

/// Returns whether an endpoint with a role can serve a target; `base` is the base model of the target's
/// adapter.
pub(crate) fn compatible(role: &Role, target: &Target, base: Option<&Name>) -> bool {
    match (role, target) {
        (Role::Engine { base: served, .. }, Target::Model(_)) => base == Some(served),
        (Role::Service { kind: served, .. }, Target::Service(kind)) => served == kind,
        _ => false,
    }
}

fn snapshots(context: &Context, target: &Target, excluded: &Excluded) -> Vec<Snapshot> {
    let view = context.board.view.read();
    let base = target.model().and_then(|model| view.adapters.get(&model.adapter));
    let base = base.map(|adapter| &adapter.base);
    let pool = context.board.pool.lock();
    let waiting = waiting(&pool);
    let suitable =
        view.endpoints.values().filter(|owned| compatible(&owned.endpoint.role, target, base));
    let all = suitable.filter_map(|owned| {
        let owner = owned.owner.clone().filter(|owner| !excluded.owners.contains(owner))?;
        if owner == context.entry.host {
            return own_endpoint(context, &pool, &waiting, target, owned);
        }
        remote_endpoint(context, &view, target, owned, owner)
    });
    all.collect()
}

/// Returns whether an endpoint that can serve the request is changing its owner.
pub(crate) fn changing_owner(
    context: &Context,
    request: &Request<Resolved>,
    excluded: &Excluded,
) -> bool {
    let target = &request.stage.target;
    let view = context.board.view.read();
    let base = target.model().and_then(|model| view.adapters.get(&model.adapter));
    let base = base.map(|adapter| &adapter.base);
    let pool = context.board.pool.lock();
    let suitable = view.endpoints.values().filter(|owned| {
        let name = &owned.endpoint.name;
        compatible(&owned.endpoint.role, target, base) && !excluded.endpoints.contains(name)
    });
    let mut changing = suitable.map(|owned| match &owned.owner {
        None => true,
        Some(owner) if excluded.owners.contains(owner) => true,
        Some(owner) if *owner == context.entry.host => {
            pool.endpoints.get(&owned.endpoint.name).is_none_or(|entry| !entry.probed)
        }
        Some(owner) => {
            let peers = context.board.peers.lock();
            peers.endpoint(owner, &owned.endpoint.name, Instant::now(), SUMMARY_MAX_AGE).is_none()
        }
    });
    changing.any(|changing| changing)
}

/// Returns the number of queued requests by the endpoint that was chosen for them.
fn waiting(pool: &Pool) -> Map<Name, u32> {
    let mut waiting: Map<Name, u32> = Map::default();
    for waiter in pool.queues.values().flatten() {
        if let Some(endpoint) = &waiter.endpoint {
            *waiting.entry(endpoint.clone()).or_default() += 1;
        }
    }
    waiting
}

/// Returns the batch size and the number of adapter slots of a role.
fn batch_and_slots(role: &Role) -> (u32, u32) {
    match role {
        Role::Engine { batch, slots, .. } => (*batch, *slots),
        Role::Service { batch, .. } => (*batch, 0),
    }
}

fn saturating_u32(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

fn own_endpoint(
    context: &Context,
    pool: &Pool,
    waiting: &Map<Name, u32>,
    target: &Target,
    owned: &Ownership,
) -> Option<Snapshot> {
    let entry = pool.endpoints.get(&owned.endpoint.name)?;
    let slot = target.model().and_then(|model| entry.slots.get(model));
    let residency = match (target, slot.map(|slot| slot.phase)) {
        (Target::Service(_), _) | (_, Some(Phase::Ready)) => Residency::Loaded,
        (_, Some(Phase::Loading)) => Residency::Loading,
        _ => Residency::Absent,
    };
    let (batch, slots) = batch_and_slots(&owned.endpoint.role);
    Some(Snapshot {
        endpoint: owned.endpoint.name.clone(),
        owner: context.entry.host.clone(),
        ready: entry.ready(Instant::now(), context.board.liveness_timeout),
        residency,
        in_flight: saturating_u32(entry.occupancy()),
        waiting: waiting.get(&owned.endpoint.name).copied().unwrap_or(0),
        batch,
        free_slots: slots.saturating_sub(saturating_u32(entry.slots.len())),
    })
}

fn remote_endpoint(
    context: &Context,
    view: &View,
    target: &Target,
    owned: &Ownership,
    owner: Name,
) -> Option<Snapshot> {
    let peers = context.board.peers.lock();
    let name = &owned.endpoint.name;
    let summary = peers.endpoint(&owner, name, Instant::now(), SUMMARY_MAX_AGE)?;
    let holds = target.model().is_none_or(|model| summary.loaded.contains(model));
    let (batch, slots) = batch_and_slots(&owned.endpoint.role);
    Some(Snapshot {
        endpoint: name.clone(),
        owner,
        ready: summary.ready && !view.draining.contains(&owned.endpoint.host),
        residency: if holds { Residency::Loaded } else { Residency::Absent },
        in_flight: summary.in_flight,
        waiting: summary.waiting,
        batch,
        free_slots: slots.saturating_sub(saturating_u32(summary.loaded.len())),
    })
}
