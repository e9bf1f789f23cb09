//! Commands and helpers shared by the tests.

#![allow(dead_code)]

use base::Code;
use base::Name;
use state::Change;
use state::Command;
use state::Limits;
use state::Machine;
use state::Outcome;
use state::command::Configure;
use state::journal::Answer;
use state::journal::Claim;
use state::journal::Key;
use state::view::Endpoint;
use state::view::Gate;
use state::view::Role;

/// Limits that are small enough for the tests to reach.
pub(crate) const LIMITS: Limits = Limits {
    retention_ms: 1_000,
    answer_bytes: 16,
    total_bytes: 1_000,
    keys: 4,
    command_ids: 3,
    ended_incarnations: 8,
    crashes: 16,
    quarantine: 2,
    endpoints: 6,
    crash_retention_ms: 10_000,
};

pub(crate) fn machine() -> Machine {
    Machine::new(LIMITS)
}

pub(crate) fn gate(name: &str, incarnation: u64) -> Gate {
    let name = Name::from(name);
    let address = Name::from("127.0.0.1:1");
    let (peer, relay) = (address.clone(), address.clone());
    Gate { name, incarnation, domain: Name::from("d"), address, peer, relay }
}

pub(crate) fn engine(name: &str, generation: u64) -> Endpoint {
    Endpoint {
        name: Name::from(name),
        address: Name::from("127.0.0.1:2"),
        host: Name::from(name),
        domain: Name::from("d"),
        role: Role::Engine { base: Name::from("b"), slots: 6, batch: 16 },
        fenced: true,
        generation,
    }
}

pub(crate) fn join(name: &str, incarnation: u64) -> Command {
    Command::Join { gate: gate(name, incarnation) }
}

pub(crate) fn expire(name: &str, incarnation: u64) -> Command {
    Command::Expire { gate: Name::from(name), incarnation }
}

pub(crate) fn register(name: &str) -> Command {
    Command::Register { endpoint: engine(name, 1) }
}

pub(crate) fn configure(id: &str, expect: Option<u64>, change: Change) -> Command {
    let (id, author) = (Name::from(id), Name::from("ann"));
    Command::Configure(Configure { id, expect, author, change, now_ms: 0 })
}

pub(crate) fn create(id: &str, adapter: &str) -> Command {
    let change = Change::CreateAdapter { adapter: Name::from(adapter), base: Name::from("b") };
    configure(id, None, change)
}

pub(crate) fn key(text: &str) -> Key {
    Key { scope: Name::from("ledger"), key: Name::from(text) }
}

pub(crate) fn claim(text: &str, request: &str, gate: (&str, u64), now_ms: u64) -> Command {
    let claim = Claim {
        key: key(text),
        digest: 7,
        request: Name::from(request),
        gate: Name::from(gate.0),
        incarnation: gate.1,
        created_ms: None,
    };
    Command::Claim { claim, now_ms }
}

pub(crate) fn answer(body: &'static [u8]) -> Answer {
    Answer { status: 200, content_type: Name::from("text/plain"), body: Some(body.into()) }
}

pub(crate) fn finish(text: &str, claim: u64, now_ms: u64) -> Command {
    Command::Finish { key: key(text), claim, answer: answer(b"done"), now_ms }
}

pub(crate) fn implicate(endpoint: &str, generation: u64, fingerprints: &[u64]) -> Command {
    let endpoint = Name::from(endpoint);
    Command::Implicate { endpoint, generation, fingerprints: fingerprints.to_vec(), now_ms: 0 }
}

/// Applies a command and checks that it is accepted.
pub(crate) fn apply(machine: &mut Machine, command: Command) -> Outcome {
    let (outcome, _) = machine.apply(command);
    assert!(!matches!(outcome, Outcome::Refused { .. }), "{outcome:?}");
    outcome
}

/// Applies a command and checks that it is refused without a change.
pub(crate) fn refuse(machine: &mut Machine, command: Command) -> Code {
    let (outcome, deltas) = machine.apply(command);
    assert_eq!(deltas, []);
    match outcome {
        Outcome::Refused { code, .. } => code,
        other => panic!("not refused: {other:?}"),
    }
}
