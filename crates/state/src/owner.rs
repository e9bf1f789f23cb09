//! Gates' runs and their ownership of endpoints.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use base::Code;
use base::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::command::Incarnation;
use crate::draft::Draft;
use crate::refusal::Refusal;
use crate::view::Endpoint;
use crate::view::Gate;
use crate::view::Ownership;
use crate::view::Patch;
use crate::view::Role;
use crate::view::View;

type Result = std::result::Result<(), Refusal>;

/// The fencing numbers and the runs of gates that ended.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Owners {
    /// The last fencing number given.
    ///
    /// Invariant: never goes back, and no endpoint has a higher one.
    fence: u64,
    /// The latest runs whose lease ended; none of them joins again.
    ended: VecDeque<(Name, Incarnation)>,
    /// The endpoints that were taken from a gate that may not know it yet; only an assignment gives them
    /// to another.
    withdrawn: BTreeSet<Name>,
}

impl Owners {
    /// Lets a run of a gate hold a lease; a former run of the same gate ends.
    pub(crate) fn join(&mut self, draft: &mut Draft, gate: &Gate, runs: usize) -> Result {
        if self.has_ended(&gate.name, gate.incarnation) {
            let detail = format!("run {} of gate '{}' has ended", gate.incarnation, gate.name);
            return Err(Refusal::new(Code::StaleLease, detail));
        }
        let former = draft.view().gates.get(&gate.name).cloned();
        if former.as_ref() == Some(gate) {
            return Ok(());
        }
        draft.set(Patch::Gate(gate.name.clone(), Some(gate.clone())));
        if let Some(former) = former.filter(|former| former.incarnation != gate.incarnation) {
            self.end(former.name.clone(), former.incarnation, runs);
            self.reassign(draft, &former.name);
        }
        self.settle(draft);
        Ok(())
    }

    /// Ends a run of a gate and gives its endpoints to the others.
    pub(crate) fn expire(
        &mut self,
        draft: &mut Draft,
        name: &Name,
        incarnation: Incarnation,
        runs: usize,
    ) -> Result {
        if self.has_ended(name, incarnation) {
            return Ok(());
        }
        let gate = draft.view().gates.get(name);
        if gate.is_none_or(|gate| gate.incarnation != incarnation) {
            return Err(Refusal::unknown("run of gate", format_args!("{name}/{incarnation}")));
        }
        draft.set(Patch::Gate(name.clone(), None));
        self.end(name.clone(), incarnation, runs);
        self.reassign(draft, name);
        Ok(())
    }

    /// Takes an endpoint's properties; a new endpoint gets an owner.
    pub(crate) fn register(
        &mut self,
        draft: &mut Draft,
        endpoint: &Endpoint,
        limit: usize,
    ) -> Result {
        let Some(known) = draft.view().endpoints.get(&endpoint.name) else {
            if draft.view().endpoints.len() >= limit {
                return Err(Refusal::new(Code::Invalid, format!("there are {limit} endpoints")));
            }
            self.give(draft, endpoint.clone());
            return Ok(());
        };
        if known.endpoint == *endpoint {
            return Ok(());
        }
        if known.endpoint.generation > endpoint.generation {
            let detail = format!(
                "endpoint '{}' has generation {}, not {}",
                endpoint.name, known.endpoint.generation, endpoint.generation
            );
            return Err(Refusal::new(Code::Invalid, detail));
        }
        let value = Ownership { endpoint: endpoint.clone(), ..known.clone() };
        draft.set(Patch::Endpoint(endpoint.name.clone(), Some(value)));
        Ok(())
    }

    /// Forgets an endpoint.
    pub(crate) fn forget(&mut self, draft: &mut Draft, endpoint: &Name) -> Result {
        if !draft.view().endpoints.contains_key(endpoint) {
            return Err(Refusal::unknown("endpoint", endpoint));
        }
        self.withdrawn.remove(endpoint);
        draft.set(Patch::Endpoint(endpoint.clone(), None));
        Ok(())
    }

    /// Gives an endpoint to another gate if `fence` is still in force.
    pub(crate) fn assign(
        &mut self,
        draft: &mut Draft,
        endpoint: &Name,
        fence: u64,
        gate: &Name,
    ) -> Result {
        let view = draft.view();
        let known = find(view, endpoint, fence)?;
        if !view.gates.contains_key(gate) {
            return Err(Refusal::unknown("gate", gate));
        }
        if view.draining.contains(gate) {
            return Err(Refusal::new(Code::Invalid, format!("gate '{gate}' drains")));
        }
        if known.owner.as_ref() != Some(gate) {
            self.withdrawn.remove(endpoint);
            self.set(draft, known.endpoint, Some(gate.clone()));
        }
        Ok(())
    }

    /// Takes an endpoint from its owner if `fence` is still in force.
    pub(crate) fn withdraw(&mut self, draft: &mut Draft, endpoint: &Name, fence: u64) -> Result {
        let known = find(draft.view(), endpoint, fence)?;
        if known.owner.is_some() {
            self.withdrawn.insert(endpoint.clone());
            self.set(draft, known.endpoint, None);
        }
        Ok(())
    }

    /// Gives each endpoint without an owner to a gate, where there is one.
    pub(crate) fn settle(&mut self, draft: &mut Draft) {
        for endpoint in owned_by(draft.view(), None) {
            if !self.withdrawn.contains(&endpoint.name)
                && pick(draft.view(), &endpoint.role).is_some()
            {
                self.give(draft, endpoint);
            }
        }
    }

    /// Gives the endpoints of a former run to gates anew, each with a new fencing number.
    ///
    /// They are without an owner first, so that a new run of the same gate counts as owning none.
    fn reassign(&mut self, draft: &mut Draft, former: &Name) {
        for endpoint in owned_by(draft.view(), Some(former)) {
            self.set(draft, endpoint, None);
        }
        self.settle(draft);
    }

    /// Gives an endpoint to the gate with the fewest of its role.
    fn give(&mut self, draft: &mut Draft, endpoint: Endpoint) {
        let owner = pick(draft.view(), &endpoint.role);
        self.set(draft, endpoint, owner);
    }

    /// Sets the owner of an endpoint with a new fencing number.
    fn set(&mut self, draft: &mut Draft, endpoint: Endpoint, owner: Option<Name>) {
        self.fence += 1;
        let name = endpoint.name.clone();
        let value = Ownership { endpoint, owner, fence: self.fence };
        draft.set(Patch::Endpoint(name, Some(value)));
    }

    fn has_ended(&self, name: &Name, incarnation: Incarnation) -> bool {
        self.ended.iter().any(|(gate, run)| gate == name && *run == incarnation)
    }

    fn end(&mut self, name: Name, incarnation: Incarnation, runs: usize) {
        self.ended.push_back((name, incarnation));
        while self.ended.len() > runs {
            self.ended.pop_front();
        }
    }
}

/// Finds an endpoint whose owner has the fencing number `fence`.
fn find(view: &View, endpoint: &Name, fence: u64) -> std::result::Result<Ownership, Refusal> {
    let Some(known) = view.endpoints.get(endpoint).cloned() else {
        return Err(Refusal::unknown("endpoint", endpoint));
    };
    if known.fence != fence {
        let detail = format!("endpoint '{endpoint}' has fence {}, not {fence}", known.fence);
        return Err(Refusal::new(Code::StaleFence, detail));
    }
    Ok(known)
}

/// Lists the endpoints of an owner by name.
fn owned_by(view: &View, owner: Option<&Name>) -> Vec<Endpoint> {
    let owned = view.endpoints.values().filter(|known| known.owner.as_ref() == owner);
    let mut endpoints: Vec<Endpoint> = owned.map(|known| known.endpoint.clone()).collect();
    endpoints.sort_by(|a, b| a.name.cmp(&b.name));
    endpoints
}

/// Picks the gate that owns the fewest endpoints of a role, by name among equals.
fn pick(view: &View, role: &Role) -> Option<Name> {
    let gates = view.gates.keys().filter(|gate| !view.draining.contains(*gate));
    gates.min_by_key(|gate| (count(view, gate, role), *gate)).cloned()
}

/// Counts the endpoints of a role that a gate owns.
fn count(view: &View, gate: &Name, role: &Role) -> usize {
    let owned = view.endpoints.values().filter(|known| known.owner.as_ref() == Some(gate));
    owned.filter(|known| same(&known.endpoint.role, role)).count()
}

/// Returns whether two endpoints serve the same.
fn same(a: &Role, b: &Role) -> bool {
    match (a, b) {
        (Role::Engine { base: a, .. }, Role::Engine { base: b, .. }) => a == b,
        (Role::Service { kind: a, .. }, Role::Service { kind: b, .. }) => a == b,
        _ => false,
    }
}
