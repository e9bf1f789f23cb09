//! Operators' commands: deduplication by id, expected revisions and refusals.

mod common;

use base::Code;
use base::Name;
use common::*;
use state::Change;
use state::Outcome;
use state::view::Rule;

fn exception(id: &str, reason: &str) -> state::Command {
    let change = Change::SetException {
        adapter: Name::from("a"),
        rule: Rule::Pinned,
        reason: Name::from(reason),
    };
    configure(id, None, change)
}

#[test]
fn only_one_of_two_commands_with_the_same_expected_revision_succeeds() {
    let mut machine = machine();
    let Outcome::Done { revision } = apply(&mut machine, create("c1", "a")) else { panic!() };
    let change =
        |name: &str| Change::CreateVersion { adapter: Name::from("a"), version: Name::from(name) };
    apply(&mut machine, configure("c2", Some(revision), change("v1")));
    let (outcome, _) = machine.apply(configure("c3", Some(revision), change("v2")));
    let Outcome::Refused { code, revision: now, .. } = outcome else { panic!("{outcome:?}") };
    assert_eq!((code, now), (Code::Conflict, machine.view().configuration));
    assert_eq!(machine.view().adapters["a"].versions.len(), 1);
}

#[test]
fn a_repeated_command_returns_its_first_outcome() {
    let mut machine = machine();
    let first = apply(&mut machine, create("c1", "a"));
    apply(&mut machine, create("c2", "b"));
    let (again, deltas) = machine.apply(create("c1", "a"));
    assert_eq!((again, deltas.len()), (first, 0));
    let (refused, _) = machine.apply(create("c3", "a"));
    assert!(matches!(refused, Outcome::Refused { code: Code::Exists, .. }));
    assert_eq!(machine.apply(create("c3", "a")).0, refused);
}

#[test]
fn an_id_reused_with_different_content_is_refused_also_after_a_snapshot() {
    let mut machine = machine();
    apply(&mut machine, create("c1", "a"));
    let mut machine = state::Machine::restore(LIMITS, &machine.snapshot()).unwrap();
    assert_eq!(refuse(&mut machine, create("c1", "b")), Code::CommandReused);
}

#[test]
fn the_number_of_recorded_command_ids_is_limited() {
    let mut machine = machine();
    for index in 0..LIMITS.command_ids + 1 {
        apply(&mut machine, create(&format!("c{index}"), &format!("a{index}")));
    }
    assert_eq!(refuse(&mut machine, create("c0", "a0")), Code::Exists);
}

#[test]
fn an_exception_needs_a_reason_and_prevents_removal_of_its_adapter() {
    let mut machine = machine();
    assert_eq!(refuse(&mut machine, exception("c1", "season")), Code::UnknownObject);
    apply(&mut machine, create("c2", "a"));
    assert_eq!(refuse(&mut machine, exception("c3", "  ")), Code::ReasonRequired);
    apply(&mut machine, exception("c4", "season"));
    let remove = Change::RemoveAdapter { adapter: Name::from("a") };
    assert_eq!(refuse(&mut machine, configure("c5", None, remove)), Code::InUse);
}

#[test]
fn the_first_version_is_the_default_and_cannot_be_removed() {
    let mut machine = machine();
    apply(&mut machine, create("c1", "a"));
    let (adapter, version) = (Name::from("a"), Name::from("v1"));
    let created = Change::CreateVersion { adapter: adapter.clone(), version: version.clone() };
    apply(&mut machine, configure("c2", None, created));
    assert_eq!(machine.view().adapters["a"].default, Some(version.clone()));
    let removed = Change::RemoveVersion { adapter, version };
    assert_eq!(refuse(&mut machine, configure("c3", None, removed)), Code::InUse);
}

#[test]
fn names_with_a_separator_are_refused() {
    let mut machine = machine();
    assert_eq!(refuse(&mut machine, create("c1", "a@v")), Code::Invalid);
    assert_eq!(refuse(&mut machine, create("", "a")), Code::Invalid);
}
