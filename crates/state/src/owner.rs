//! Incarnations of gates and their ownership of endpoints.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use base::Code;
use base::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::command::Incarnation;
use crate::editor::Editor;
use crate::refusal::Refusal;
use crate::view::Endpoint;
use crate::view::Gate;
use crate::view::Ownership;
use crate::view::Patch;
use crate::view::Role;
use crate::view::View;

type Result = std::result::Result<(), Refusal>;

/// The allocation of fencing tokens, and the ended incarnations of gates.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Owners {
    /// The last fencing token issued.
    ///
    /// Invariant: never decreases, and no endpoint has a higher one.
    fence: u64,
    /// The latest incarnations whose lease has ended; none of them may join again.
    ended: VecDeque<(Name, Incarnation)>,
    /// The endpoints withdrawn from a gate that may not have applied the withdrawal yet. Only an explicit
    /// assignment gives them a new owner.
    withdrawn: BTreeSet<Name>,
}

impl Owners {
    /// Adds a gate with a lease; a former incarnation of the gate ends.
    pub(crate) fn join(&mut self, editor: &mut Editor, gate: &Gate, max_ended: usize) -> Result {
        if self.has_ended(&gate.name, gate.incarnation) {
            let detail = format!("run {} of gate '{}' has ended", gate.incarnation, gate.name);
            return Err(Refusal::new(Code::StaleLease, detail));
        }
        let former = editor.view().gates.get(&gate.name).cloned();
        if former.as_ref() == Some(gate) {
            return Ok(());
        }
        editor.set(Patch::Gate(gate.name.clone(), Some(gate.clone())));
        if let Some(former) = former.filter(|former| former.incarnation != gate.incarnation) {
            self.mark_ended(former.name.clone(), former.incarnation, max_ended);
            self.reassign(editor, &former.name);
        }
        self.assign_unowned(editor);
        Ok(())
    }

    /// Removes a gate whose lease has ended and reassigns its endpoints.
    pub(crate) fn expire(
        &mut self,
        editor: &mut Editor,
        name: &Name,
        incarnation: Incarnation,
        max_ended: usize,
    ) -> Result {
        if self.has_ended(name, incarnation) {
            return Ok(());
        }
        let gate = editor.view().gates.get(name);
        if gate.is_none_or(|gate| gate.incarnation != incarnation) {
            return Err(Refusal::unknown("run of gate", format_args!("{name}/{incarnation}")));
        }
        editor.set(Patch::Gate(name.clone(), None));
        self.mark_ended(name.clone(), incarnation, max_ended);
        self.reassign(editor, name);
        Ok(())
    }

    /// Updates the properties of an endpoint, or adds a new endpoint and assigns an owner.
    pub(crate) fn register(
        &mut self,
        editor: &mut Editor,
        endpoint: &Endpoint,
        limit: usize,
    ) -> Result {
        let Some(ownership) = editor.view().endpoints.get(&endpoint.name) else {
            if editor.view().endpoints.len() >= limit {
                return Err(Refusal::new(Code::Invalid, format!("there are {limit} endpoints")));
            }
            self.assign_least_loaded(editor, endpoint.clone());
            return Ok(());
        };
        if ownership.endpoint == *endpoint {
            return Ok(());
        }
        if ownership.endpoint.generation > endpoint.generation {
            let detail = format!(
                "endpoint '{}' has generation {}, not {}",
                endpoint.name, ownership.endpoint.generation, endpoint.generation
            );
            return Err(Refusal::new(Code::Invalid, detail));
        }
        let value = Ownership { endpoint: endpoint.clone(), ..ownership.clone() };
        editor.set(Patch::Endpoint(endpoint.name.clone(), Some(value)));
        Ok(())
    }

    /// Removes an endpoint.
    pub(crate) fn forget(&mut self, editor: &mut Editor, endpoint: &Name) -> Result {
        if !editor.view().endpoints.contains_key(endpoint) {
            return Err(Refusal::unknown("endpoint", endpoint));
        }
        self.withdrawn.remove(endpoint);
        editor.set(Patch::Endpoint(endpoint.clone(), None));
        Ok(())
    }

    /// Assigns an endpoint to a gate if `fence` is the current fencing token.
    pub(crate) fn assign(
        &mut self,
        editor: &mut Editor,
        endpoint: &Name,
        fence: u64,
        gate: &Name,
    ) -> Result {
        let view = editor.view();
        let ownership = find(view, endpoint, fence)?;
        if !view.gates.contains_key(gate) {
            return Err(Refusal::unknown("gate", gate));
        }
        if view.draining.contains(gate) {
            return Err(Refusal::new(Code::Invalid, format!("gate '{gate}' drains")));
        }
        if ownership.owner.as_ref() != Some(gate) {
            self.withdrawn.remove(endpoint);
            self.set_owner(editor, ownership.endpoint, Some(gate.clone()));
        }
        Ok(())
    }

    /// Removes the owner of an endpoint if `fence` is the current fencing token.
    pub(crate) fn withdraw(&mut self, editor: &mut Editor, endpoint: &Name, fence: u64) -> Result {
        let ownership = find(editor.view(), endpoint, fence)?;
        if ownership.owner.is_some() {
            self.withdrawn.insert(endpoint.clone());
            self.set_owner(editor, ownership.endpoint, None);
        }
        Ok(())
    }

    /// Assigns each endpoint without an owner, except withdrawn ones, if a gate is available.
    pub(crate) fn assign_unowned(&mut self, editor: &mut Editor) {
        for endpoint in owned_by(editor.view(), None) {
            if !self.withdrawn.contains(&endpoint.name)
                && least_loaded_gate(editor.view(), &endpoint.role).is_some()
            {
                self.assign_least_loaded(editor, endpoint);
            }
        }
    }

    /// Reassigns the endpoints of an ended incarnation, each with a new fencing token.
    ///
    /// All owners are removed first, so that a new incarnation of the same gate counts as owning none.
    fn reassign(&mut self, editor: &mut Editor, former: &Name) {
        for endpoint in owned_by(editor.view(), Some(former)) {
            self.set_owner(editor, endpoint, None);
        }
        self.assign_unowned(editor);
    }

    /// Assigns an endpoint to the gate that owns the fewest endpoints of the same role.
    fn assign_least_loaded(&mut self, editor: &mut Editor, endpoint: Endpoint) {
        let owner = least_loaded_gate(editor.view(), &endpoint.role);
        self.set_owner(editor, endpoint, owner);
    }

    /// Sets the owner of an endpoint and issues a new fencing token.
    fn set_owner(&mut self, editor: &mut Editor, endpoint: Endpoint, owner: Option<Name>) {
        self.fence += 1;
        let name = endpoint.name.clone();
        let value = Ownership { endpoint, owner, fence: self.fence };
        editor.set(Patch::Endpoint(name, Some(value)));
    }

    fn has_ended(&self, name: &Name, incarnation: Incarnation) -> bool {
        self.ended.iter().any(|(gate, ended)| gate == name && *ended == incarnation)
    }

    fn mark_ended(&mut self, name: Name, incarnation: Incarnation, max_ended: usize) {
        self.ended.push_back((name, incarnation));
        while self.ended.len() > max_ended {
            self.ended.pop_front();
        }
    }
}

/// Finds an endpoint and checks that `fence` is its current fencing token.
fn find(view: &View, endpoint: &Name, fence: u64) -> std::result::Result<Ownership, Refusal> {
    let Some(ownership) = view.endpoints.get(endpoint).cloned() else {
        return Err(Refusal::unknown("endpoint", endpoint));
    };
    if ownership.fence != fence {
        let detail = format!("endpoint '{endpoint}' has fence {}, not {fence}", ownership.fence);
        return Err(Refusal::new(Code::StaleFence, detail));
    }
    Ok(ownership)
}

/// Returns the endpoints of an owner, sorted by name.
fn owned_by(view: &View, owner: Option<&Name>) -> Vec<Endpoint> {
    let owned = view.endpoints.values().filter(|ownership| ownership.owner.as_ref() == owner);
    let mut endpoints: Vec<Endpoint> = owned.map(|ownership| ownership.endpoint.clone()).collect();
    endpoints.sort_by(|left, right| left.name.cmp(&right.name));
    endpoints
}

/// Returns the gate that owns the fewest endpoints of a role, excluding draining ones; ties are broken by
/// name.
fn least_loaded_gate(view: &View, role: &Role) -> Option<Name> {
    let gates = view.gates.keys().filter(|gate| !view.draining.contains(*gate));
    gates.min_by_key(|gate| (count(view, gate, role), *gate)).cloned()
}

/// Counts the endpoints of a role that a gate owns.
fn count(view: &View, gate: &Name, role: &Role) -> usize {
    let owned = view.endpoints.values().filter(|ownership| ownership.owner.as_ref() == Some(gate));
    owned.filter(|ownership| is_same_role(&ownership.endpoint.role, role)).count()
}

/// Returns whether two roles serve the same base model or service.
fn is_same_role(a: &Role, b: &Role) -> bool {
    match (a, b) {
        (Role::Engine { base: a, .. }, Role::Engine { base: b, .. }) => a == b,
        (Role::Service { kind: a, .. }, Role::Service { kind: b, .. }) => a == b,
        _ => false,
    }
}
