//! The replicated state and its snapshots.

use std::collections::BTreeMap;

use base::Name;
use cell::state::Command;
use cell::state::State;
use fleet::message::Version;
use fleet::quarantine::Subject;

/// The layout of snapshots before there was a quarantine: plan, document and versions.
type Former = (Option<()>, Option<Vec<u8>>, BTreeMap<(Name, Name), u64>);

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
