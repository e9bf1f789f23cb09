//! Incarnations of gates, owners of endpoints and fencing tokens.

mod common;

use base::Code;
use base::Name;
use base::Set;
use common::*;
use state::Change;
use state::Command;
use state::Machine;

fn owned(machine: &Machine, gate: &str) -> usize {
    let owned = |owner: &Option<Name>| owner.as_deref() == Some(gate);
    machine.view().endpoints.values().filter(|ownership| owned(&ownership.owner)).count()
}

/// Creates a state with two gates and four endpoints.
fn site() -> Machine {
    let mut machine = machine();
    for command in [join("g1", 1), join("g2", 1)] {
        apply(&mut machine, command);
    }
    for name in ["e1", "e2", "e3", "e4"] {
        apply(&mut machine, register(name));
    }
    machine
}

#[test]
fn endpoints_are_distributed_evenly() {
    let machine = site();
    assert_eq!((owned(&machine, "g1"), owned(&machine, "g2")), (2, 2));
}

#[test]
fn no_fencing_token_is_issued_twice() {
    let mut machine = site();
    let commands = [expire("g1", 1), join("g1", 2), expire("g2", 1), join("g2", 2), join("g1", 3)];
    let mut seen: Set<u64> =
        machine.view().endpoints.values().map(|ownership| ownership.fence).collect();
    assert_eq!(seen.len(), 4);
    for command in commands {
        let (_, deltas) = machine.apply(command);
        for delta in deltas {
            if let state::view::Patch::Endpoint(_, Some(ownership)) = delta.patch {
                assert!(
                    seen.insert(ownership.fence),
                    "fencing token {} was issued twice",
                    ownership.fence
                );
            }
        }
    }
}

#[test]
fn the_endpoints_of_an_expired_gate_are_reassigned_and_it_cannot_rejoin() {
    let mut machine = site();
    apply(&mut machine, expire("g1", 1));
    assert_eq!((owned(&machine, "g1"), owned(&machine, "g2")), (0, 4));
    assert_eq!(refuse(&mut machine, join("g1", 1)), Code::StaleLease);
    apply(&mut machine, join("g1", 2));
    assert!(machine.view().gates.contains_key("g1"));
}

#[test]
fn the_expiry_of_a_former_incarnation_does_not_affect_the_new_one() {
    let mut machine = site();
    apply(&mut machine, join("g1", 2));
    apply(&mut machine, expire("g1", 1));
    assert_eq!(machine.view().gates["g1"].incarnation, 2);
    assert_eq!(refuse(&mut machine, expire("g1", 9)), Code::UnknownObject);
}

#[test]
fn a_new_incarnation_replaces_the_former_with_new_fencing_tokens() {
    let mut machine = site();
    let before = machine.view().clone();
    apply(&mut machine, join("g1", 2));
    for (name, ownership) in &machine.view().endpoints {
        let moved = before.endpoints[name].owner.as_deref() == Some("g1");
        assert_eq!(ownership.fence > before.endpoints[name].fence, moved);
    }
    assert_eq!(owned(&machine, "g1") + owned(&machine, "g2"), 4);
}

#[test]
fn endpoints_without_an_owner_are_assigned_to_the_first_gate() {
    let mut machine = machine();
    apply(&mut machine, register("e1"));
    assert_eq!(machine.view().endpoints["e1"].owner, None);
    apply(&mut machine, join("g1", 1));
    assert_eq!(owned(&machine, "g1"), 1);
}

#[test]
fn a_draining_gate_receives_no_endpoints() {
    let mut machine = site();
    let drain = |draining| Change::Drain { host: Name::from("g2"), draining };
    apply(&mut machine, configure("c1", None, drain(true)));
    apply(&mut machine, register("e5"));
    assert_eq!(machine.view().endpoints["e5"].owner.as_deref(), Some("g1"));
    apply(&mut machine, expire("g1", 1));
    assert_eq!(machine.view().endpoints["e5"].owner, None);
    apply(&mut machine, configure("c2", None, drain(false)));
    assert_eq!(machine.view().endpoints["e5"].owner.as_deref(), Some("g2"));
}

#[test]
fn an_assignment_needs_the_current_fencing_token() {
    let mut machine = site();
    let ownership = machine.view().endpoints["e1"].clone();
    let target = if ownership.owner.as_deref() == Some("g1") { "g2" } else { "g1" };
    let assign = Command::Assign {
        endpoint: Name::from("e1"),
        fence: ownership.fence,
        gate: Name::from(target),
    };
    apply(&mut machine, assign.clone());
    assert!(machine.view().endpoints["e1"].fence > ownership.fence);
    assert_eq!(refuse(&mut machine, assign), Code::StaleFence);
}

#[test]
fn a_new_generation_keeps_owner_and_fencing_token() {
    let mut machine = site();
    let before = machine.view().endpoints["e1"].clone();
    apply(&mut machine, Command::Register { endpoint: engine("e1", 2) });
    let after = machine.view().endpoints["e1"].clone();
    assert_eq!((after.owner, after.fence), (before.owner, before.fence));
    assert_eq!(after.endpoint.generation, 2);
    assert_eq!(refuse(&mut machine, register("e1")), Code::Invalid);
}

#[test]
fn the_number_of_endpoints_is_limited() {
    let mut machine = site();
    for name in ["e5", "e6"] {
        apply(&mut machine, register(name));
    }
    assert_eq!(refuse(&mut machine, register("e7")), Code::Invalid);
    apply(&mut machine, register("e6"));
}

#[test]
fn a_withdrawn_endpoint_has_no_owner_until_it_is_assigned() {
    let mut machine = site();
    let fence = machine.view().endpoints["e1"].fence;
    apply(&mut machine, Command::Withdraw { endpoint: Name::from("e1"), fence });
    let owner = |machine: &Machine| machine.view().endpoints["e1"].owner.clone();
    for command in [join("g3", 1), expire("g2", 1), join("g2", 2)] {
        apply(&mut machine, command);
        assert_eq!(owner(&machine), None);
    }
    let (endpoint, gate) = (Name::from("e1"), Name::from("g3"));
    let fence = machine.view().endpoints["e1"].fence;
    apply(&mut machine, Command::Assign { endpoint, fence, gate });
    assert_eq!(owner(&machine).as_deref(), Some("g3"));
}
