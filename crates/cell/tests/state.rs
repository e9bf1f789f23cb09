//! The replicated state and its snapshots.

use std::collections::BTreeMap;

use base::Name;
use cell::departed::MAX_DEPARTED;
use cell::state::Command;
use cell::state::State;
use fleet::endpoint::Incarnation;
use fleet::message::Version;
use fleet::quarantine::Subject;
use fleet::revision::Revision;

/// The layout of snapshots before there was a quarantine: plan, document and versions.
type Former = (Option<()>, Option<Vec<u8>>, BTreeMap<(Name, Name), u64>);

/// The layout of snapshots before they contained departures: with the quarantine at the end.
type WithoutDepartures = (Former, Vec<Subject>);

fn version() -> Version {
    Version { model: Name::from("base"), adapter: Name::from("a1"), version: 3 }
}

#[test]
fn a_snapshot_keeps_the_quarantine() {
    let mut state = State::default();
    let subjects = [Subject::Request(1), Subject::Part(2)];
    for subject in subjects {
        assert!(state.apply(Command::Quarantine(subject)));
        assert!(!state.apply(Command::Quarantine(subject)));
    }
    let snapshot = postcard::to_stdvec(&state).expect("encoded");
    let mut restored = State::decode(&snapshot).expect("a snapshot");
    assert!(restored.quarantine().iter().eq(subjects));
    assert!(restored.apply(Command::Release(subjects[0])));
    assert!(restored.quarantine().iter().eq([subjects[1]]));
}

#[test]
fn a_snapshot_of_an_earlier_release_is_read() {
    let Version { model, adapter, version: number } = version();
    let former: Former = (None, Some(b"document".to_vec()), [((model, adapter), number)].into());
    let snapshot = postcard::to_stdvec(&former).expect("encoded");
    let state = State::decode(&snapshot).expect("a snapshot");
    assert_eq!(state.versions(), [version()]);
    assert_eq!(state.quarantine().iter().count(), 0);
    assert!(State::decode(&snapshot[..snapshot.len() - 1]).is_err());
}

fn incarnation(id: &str, born: u64) -> Incarnation {
    Incarnation { endpoint: Name::from(id), born }
}

#[test]
fn a_snapshot_keeps_departures_and_the_level() {
    let mut state = State::default();
    assert!(state.apply(Command::Raise(Revision::DEPARTURES)));
    assert!(!state.apply(Command::Raise(Revision::UNNAMED)));
    assert!(state.apply(Command::Depart(incarnation("x", 5))));
    let snapshot = postcard::to_stdvec(&state).expect("encoded");
    let mut restored = State::decode(&snapshot).expect("a snapshot");
    assert_eq!(restored.level(), Revision::DEPARTURES);
    assert!(restored.departed().includes("x", 5));
    assert!(!restored.apply(Command::Depart(incarnation("x", 5))));
    assert!(restored.apply(Command::Depart(incarnation("y", 1))));
    assert!(State::decode(&snapshot[..snapshot.len() - 1]).is_err());
}

// Guards against a departure that ends the next incarnation of the same endpoint.
#[test]
fn only_the_departed_incarnation_and_earlier_ones_are_refused() {
    let mut state = State::default();
    state.apply(Command::Depart(incarnation("x", 5)));
    assert!(!state.apply(Command::Depart(incarnation("x", 4))));
    let departed = state.departed();
    assert_eq!([4, 5, 6].map(|born| departed.includes("x", born)), [true, true, false]);
    assert!(!departed.includes("y", 5));
}

// Guards against a list that grows with each endpoint that ever left, and against replicas that drop different ones.
#[test]
fn the_oldest_departures_are_dropped_beyond_the_limit() {
    let mut state = State::default();
    for number in 0..MAX_DEPARTED + 2 {
        state.apply(Command::Depart(incarnation(&format!("x{number}"), 1)));
    }
    let departed = state.departed();
    assert_eq!(departed.len(), MAX_DEPARTED);
    assert_eq!(["x0", "x1", "x2"].map(|id| departed.includes(id, 1)), [false, false, true]);
}

#[test]
fn a_snapshot_without_departures_is_read() {
    let Version { model, adapter, version: number } = version();
    let former: Former = (None, None, [((model, adapter), number)].into());
    let former: WithoutDepartures = (former, vec![Subject::Request(1)]);
    let snapshot = postcard::to_stdvec(&former).expect("encoded");
    let state = State::decode(&snapshot).expect("a snapshot");
    assert!(state.quarantine().iter().eq([Subject::Request(1)]));
    assert_eq!(state.level(), Revision::UNNAMED);
    assert!(state.departed().is_empty());
}
