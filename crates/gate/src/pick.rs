//! Chooses an endpoint for a request from what this gate and the others know.

use std::time::Duration;

use base::Code;
use base::Name;
use board::Target;
use state::View;
use state::view::Ownership;
use state::view::Role;
use tokio::time::Instant;

use crate::context::Context;
use crate::failure::Failure;

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
    /// Notes that `choice` ended with `failure`.
    pub(crate) fn add(&mut self, choice: &Choice, failure: &Failure) {
        self.endpoints.push(choice.endpoint.clone());
        if let Failure::Refused(refusal) = failure
            && OWNER.contains(&refusal.code)
        {
            self.owners.push(choice.owner.clone());
        }
    }

    fn has(&self, owned: &Ownership) -> bool {
        let owner = owned.owner.as_ref();
        self.endpoints.contains(&owned.endpoint.name)
            || owner.is_some_and(|owner| self.owners.contains(owner))
    }
}

/// An endpoint that may be chosen.
struct Candidate {
    endpoint: Name,
    owner: Name,
    holds: bool,
    load: usize,
    batch: usize,
}

/// Chooses an endpoint outside of `tried`; none if no endpoint takes new work.
pub(crate) fn choose(context: &Context, target: &Target, tried: &Tried) -> Option<Choice> {
    let candidates = candidates(context, target, tried);
    let count = candidates.len();
    let room = |candidate: &&Candidate| candidate.load < candidate.batch;
    let holders = || candidates.iter().filter(|candidate| candidate.holds);
    let model = target.model().is_some();
    let (best, why) = if model {
        let full = holders().filter(room).max_by_key(|one| (one.load, one.endpoint.clone()));
        let spread = || candidates.iter().filter(room).max_by_key(|one| weight(target, one));
        match full {
            Some(best) => (Some(best), "holds the adapter, fullest batch with room"),
            None if holders().next().is_none() => (spread(), "no endpoint holds the adapter"),
            None => (holders().min_by_key(|one| one.load), "all holders are full, shortest queue"),
        }
    } else {
        let least = candidates.iter().min_by_key(|one| (one.load, !weight(target, one)));
        (least, "least load")
    };
    let best = best.or_else(|| candidates.iter().min_by_key(|one| one.load))?;
    Some(Choice {
        endpoint: best.endpoint.clone(),
        owner: best.owner.clone(),
        reason: format!("{why}; load {} of {}, {count} candidates", best.load, best.batch),
    })
}

/// Returns the rendezvous weight of a target at an endpoint.
fn weight(target: &Target, candidate: &Candidate) -> u64 {
    let name = match target {
        Target::Model(model) => format!("{}@{}", model.adapter, model.version),
        Target::Service(kind) => kind.to_string(),
    };
    base::digest(format!("{name}|{}", candidate.endpoint).as_bytes())
}

/// Returns whether an endpoint of a role can serve a target; `base` is the base model of its adapter.
pub(crate) fn suits(role: &Role, target: &Target, base: Option<&Name>) -> bool {
    match (role, target) {
        (Role::Engine { base: own, .. }, Target::Model(_)) => base == Some(own),
        (Role::Service { kind: own, .. }, Target::Service(kind)) => own == kind,
        _ => false,
    }
}

fn candidates(context: &Context, target: &Target, tried: &Tried) -> Vec<Candidate> {
    let view = context.board.view.read();
    let base = target.model().and_then(|model| view.adapters.get(&model.adapter));
    let base = base.map(|adapter| &adapter.base);
    let suitable = view
        .endpoints
        .values()
        .filter(|owned| suits(&owned.endpoint.role, target, base) && !tried.has(owned));
    suitable.filter_map(|owned| candidate(context, &view, target, owned)).collect()
}

fn candidate(
    context: &Context,
    view: &View,
    target: &Target,
    owned: &Ownership,
) -> Option<Candidate> {
    let owner = owned.owner.clone()?;
    let name = &owned.endpoint.name;
    if view.draining.contains(&owned.endpoint.host) {
        return None;
    }
    let batch = match &owned.endpoint.role {
        Role::Engine { batch, .. } | Role::Service { batch, .. } => *batch as usize,
    };
    let now = Instant::now();
    let (holds, load) = if owner == context.entry.host {
        let floor = context.board.floor.lock();
        let own = floor.endpoints.get(name)?;
        if !own.ready(now, context.board.silent) {
            return None;
        }
        let holds = target.model().is_some_and(|model| own.slots.contains_key(model));
        let waiting = floor.queues.get(target).map_or(0, |queue| queue.len());
        (holds, own.busy() + waiting)
    } else {
        let peers = context.board.peers.lock();
        let told = peers.endpoint(&owner, name, now, SUMMARY_AGE)?;
        if !told.ready {
            return None;
        }
        let holds = target.model().is_some_and(|model| told.loaded.contains(model));
        (holds, (told.in_flight + told.waiting) as usize)
    };
    Some(Candidate { endpoint: name.clone(), owner, holds, load, batch })
}
