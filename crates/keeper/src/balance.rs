//! Even distribution of endpoints over the gates.

use base::Map;
use base::Name;
use state::Command;
use state::View;
use state::view::Ownership;
use state::view::Role;

/// The kind of an endpoint; endpoints of each kind are distributed separately.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Kind {
    /// An engine with a base model.
    Engine(Name),
    /// A plain service of a kind.
    Service(Name),
}

/// Returns the next step towards an even distribution, or `None` if it is even. The previous step must be in
/// force at every gate before.
///
/// An endpoint is withdrawn from its owner in one step and assigned to another gate in a later one, so that it
/// never has two owners. Endpoints of draining gates are withdrawn first, then one of the gate with the most
/// endpoints of a kind, if it has at least two more than the gate with the fewest.
pub fn next_move(view: &View) -> Option<Command> {
    let by_kind = endpoints_by_owner(view);
    let mut kinds: Vec<&Kind> = by_kind.keys().collect();
    kinds.sort();
    let assign = |kind: &&Kind| assign(view, kind, &by_kind[*kind]);
    let withdraw = |kind: &&Kind| withdraw(view, &by_kind[*kind]);
    kinds.iter().find_map(assign).or_else(|| kinds.iter().find_map(withdraw))
}

/// Returns the endpoints by kind and owner; every gate has an entry for each kind, possibly empty.
fn endpoints_by_owner(view: &View) -> Map<Kind, Map<Name, Vec<Name>>> {
    let empty: Map<Name, Vec<Name>> =
        view.gates.keys().map(|gate| (gate.clone(), Vec::new())).collect();
    let mut by_kind: Map<Kind, Map<Name, Vec<Name>>> = Map::default();
    for (name, ownership) in &view.endpoints {
        let by_owner =
            by_kind.entry(kind(&ownership.endpoint.role)).or_insert_with(|| empty.clone());
        let owned = ownership.owner.as_ref().and_then(|owner| by_owner.get_mut(owner));
        if let Some(owned) = owned {
            owned.push(name.clone());
        }
    }
    by_kind
}

/// Assigns an endpoint without an owner to the gate with the fewest endpoints of its kind.
fn assign(view: &View, wanted: &Kind, by_owner: &Map<Name, Vec<Name>>) -> Option<Command> {
    let (gate, _) = fewest(view, by_owner)?;
    let is_unowned = |ownership: &&Ownership| {
        ownership.owner.is_none() && kind(&ownership.endpoint.role) == *wanted
    };
    let unowned = view.endpoints.values().filter(is_unowned);
    let ownership = unowned.min_by_key(|ownership| &ownership.endpoint.name)?;
    let endpoint = ownership.endpoint.name.clone();
    Some(Command::Assign { endpoint, fence: ownership.fence, gate: gate.clone() })
}

/// Withdraws an endpoint from a draining gate or from the gate with the most endpoints of a kind.
fn withdraw(view: &View, by_owner: &Map<Name, Vec<Name>>) -> Option<Command> {
    let is_draining = |gate: &Name| view.draining.contains(gate);
    let (_, fewest_owned) = fewest(view, by_owner)?;
    let (gate, owned) = by_owner
        .iter()
        .filter(|(_, owned)| !owned.is_empty())
        .max_by_key(|(gate, owned)| (is_draining(gate), owned.len(), *gate))?;
    if !is_draining(gate) && owned.len() < fewest_owned.len() + 2 {
        return None;
    }
    let endpoint = owned.iter().min()?.clone();
    let fence = view.endpoints.get(&endpoint)?.fence;
    Some(Command::Withdraw { endpoint, fence })
}

/// Returns the gate with the fewest endpoints of a kind and these endpoints, or `None` if all gates are
/// draining.
fn fewest<'a>(
    view: &View,
    by_owner: &'a Map<Name, Vec<Name>>,
) -> Option<(&'a Name, &'a Vec<Name>)> {
    let active = by_owner.iter().filter(|(gate, _)| !view.draining.contains(*gate));
    active.min_by_key(|(gate, owned)| (owned.len(), *gate))
}

fn kind(role: &Role) -> Kind {
    match role {
        Role::Engine { base, .. } => Kind::Engine(base.clone()),
        Role::Service { kind, .. } => Kind::Service(kind.clone()),
    }
}
