//! Even distribution of endpoints over the gates.

use base::Name;
use keeper::balance;
use state::Command;
use state::Limits;
use state::Machine;
use state::View;
use state::view::Endpoint;
use state::view::Gate;
use state::view::Role;

fn gate(name: &str) -> Command {
    let text = Name::from("127.0.0.1:1");
    let (name, domain) = (Name::from(name), Name::from("d"));
    let (address, peer, relay) = (text.clone(), text.clone(), text);
    Command::Join { gate: Gate { name, incarnation: 1, domain, address, peer, relay } }
}

fn engine(name: &str) -> Command {
    let text = Name::from(name);
    Command::Register {
        endpoint: Endpoint {
            name: text.clone(),
            address: Name::from("127.0.0.1:2"),
            host: text.clone(),
            domain: text,
            role: Role::Engine { base: Name::from("b"), slots: 1, batch: 1 },
            fenced: true,
            generation: 1,
        },
    }
}

fn owned(view: &View, gate: &str) -> usize {
    view.endpoints.values().filter(|ownership| ownership.owner.as_deref() == Some(gate)).count()
}

#[test]
fn distribution_becomes_even_and_stays_so() {
    let mut machine = Machine::new(Limits::default());
    machine.apply(gate("g1"));
    for index in 0..7 {
        machine.apply(engine(&format!("e{index}")));
    }
    machine.apply(gate("g2"));
    machine.apply(gate("g3"));
    let mut steps = 0;
    while let Some(command) = balance::next_move(machine.view()) {
        machine.apply(command);
        steps += 1;
        assert!(steps < 20);
    }
    let view = machine.view();
    assert_eq!((owned(view, "g1"), owned(view, "g2"), owned(view, "g3")), (3, 2, 2));
    assert_eq!(steps, 2 * 4);
}

#[test]
fn draining_gate_loses_its_endpoints_if_another_gate_exists() {
    let mut machine = Machine::new(Limits::default());
    for command in [gate("g1"), engine("e1"), engine("e2")] {
        machine.apply(command);
    }
    let mut view = machine.view().clone();
    view.draining.insert(Name::from("g1"));
    assert_eq!(balance::next_move(&view), None);
    machine.apply(gate("g2"));
    let mut view = machine.view().clone();
    view.draining.insert(Name::from("g1"));
    let Some(Command::Withdraw { endpoint, .. }) = balance::next_move(&view) else { panic!() };
    view.endpoints.get_mut(&endpoint).unwrap().owner = None;
    let Some(Command::Assign { gate, .. }) = balance::next_move(&view) else { panic!() };
    assert_eq!(gate.as_str(), "g2");
}
