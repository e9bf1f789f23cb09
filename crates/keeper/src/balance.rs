//! Even shares of the endpoints.

use base::Map;
use base::Name;
use state::Command;
use state::View;
use state::view::Ownership;
use state::view::Role;

/// What endpoints serve, by which their shares are counted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Kind {
    /// A base model.
    Engine(Name),
    /// A kind of service.
    Service(Name),
}

/// Finds the next step towards even shares; none if they are even. The step before it must be in force.
///
/// An endpoint is taken from its owner first and given to another gate in the next step, so that it never
/// has two. Endpoints of draining gates go first; otherwise one goes from the gate with the most endpoints
/// of a kind to the one with the fewest, if they differ by two at least.
pub fn next(view: &View) -> Option<Command> {
    let shares = shares(view);
    let mut kinds: Vec<&Kind> = shares.keys().collect();
    kinds.sort();
    let gives = |kind: &&Kind| give(view, kind, &shares[*kind]);
    let takes = |kind: &&Kind| take(view, &shares[*kind]);
    kinds.iter().find_map(gives).or_else(|| kinds.iter().find_map(takes))
}

/// Lists the endpoints of each owner, for each kind; each gate has a share, also an empty one.
fn shares(view: &View) -> Map<Kind, Map<Name, Vec<Name>>> {
    let empty: Map<Name, Vec<Name>> =
        view.gates.keys().map(|gate| (gate.clone(), Vec::new())).collect();
    let mut shares: Map<Kind, Map<Name, Vec<Name>>> = Map::default();
    for (name, known) in &view.endpoints {
        let share = shares.entry(kind(&known.endpoint.role)).or_insert_with(|| empty.clone());
        let owned = known.owner.as_ref().and_then(|owner| share.get_mut(owner));
        if let Some(owned) = owned {
            owned.push(name.clone());
        }
    }
    shares
}

/// Gives an endpoint without an owner to the gate with the fewest of its kind.
fn give(view: &View, wanted: &Kind, share: &Map<Name, Vec<Name>>) -> Option<Command> {
    let (gate, _) = fewest(view, share)?;
    let waits = |known: &&Ownership| known.owner.is_none() && kind(&known.endpoint.role) == *wanted;
    let waiting = view.endpoints.values().filter(waits);
    let known = waiting.min_by_key(|known| &known.endpoint.name)?;
    let endpoint = known.endpoint.name.clone();
    Some(Command::Assign { endpoint, fence: known.fence, gate: gate.clone() })
}

/// Takes an endpoint from a gate that drains or has the most of a kind.
fn take(view: &View, share: &Map<Name, Vec<Name>>) -> Option<Command> {
    let drains = |gate: &Name| view.draining.contains(gate);
    let (_, least) = fewest(view, share)?;
    let (most, owned) = share
        .iter()
        .filter(|(_, owned)| !owned.is_empty())
        .max_by_key(|(gate, owned)| (drains(gate), owned.len(), *gate))?;
    if !drains(most) && owned.len() < least.len() + 2 {
        return None;
    }
    let endpoint = owned.iter().min()?.clone();
    let fence = view.endpoints.get(&endpoint)?.fence;
    Some(Command::Withdraw { endpoint, fence })
}

/// Finds the gate with the fewest endpoints of a kind among those that do not drain.
fn fewest<'a>(view: &View, share: &'a Map<Name, Vec<Name>>) -> Option<(&'a Name, &'a Vec<Name>)> {
    let open = share.iter().filter(|(gate, _)| !view.draining.contains(*gate));
    open.min_by_key(|(gate, owned)| (owned.len(), *gate))
}

fn kind(role: &Role) -> Kind {
    match role {
        Role::Engine { base, .. } => Kind::Engine(base.clone()),
        Role::Service { kind, .. } => Kind::Service(kind.clone()),
    }
}
