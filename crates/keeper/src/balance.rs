//! Even shares of the endpoints.

use base::Map;
use base::Name;
use state::Command;
use state::View;
use state::view::Role;

/// What endpoints serve, by which their shares are counted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Kind {
    /// A base model.
    Engine(Name),
    /// A kind of service.
    Service(Name),
}

/// Finds the next endpoint to give to another gate; none if the shares are even.
///
/// Endpoints of draining gates go first; otherwise one goes from the gate with the most endpoints of
/// a kind to the one with the fewest, if they differ by two at least.
pub fn next(view: &View) -> Option<Command> {
    let shares = shares(view);
    let mut kinds: Vec<&Kind> = shares.keys().collect();
    kinds.sort();
    let moves = |kind: &&Kind| next_of(view, &shares[*kind]);
    kinds.iter().find_map(moves)
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

fn next_of(view: &View, share: &Map<Name, Vec<Name>>) -> Option<Command> {
    let drains = |gate: &Name| view.draining.contains(gate);
    let (fewest, least) = share
        .iter()
        .filter(|(gate, _)| !drains(gate))
        .min_by_key(|(gate, owned)| (owned.len(), *gate))?;
    let (most, owned) = share
        .iter()
        .filter(|(_, owned)| !owned.is_empty())
        .max_by_key(|(gate, owned)| (drains(gate), owned.len(), *gate))?;
    if !drains(most) && owned.len() < least.len() + 2 {
        return None;
    }
    let endpoint = owned.iter().min()?.clone();
    let fence = view.endpoints.get(&endpoint)?.fence;
    Some(Command::Assign { endpoint, fence, gate: fewest.clone() })
}

fn kind(role: &Role) -> Kind {
    match role {
        Role::Engine { base, .. } => Kind::Engine(base.clone()),
        Role::Service { kind, .. } => Kind::Service(kind.clone()),
    }
}
