//! How the leader remembers endpoints that say in their responses that they leave.

use std::time::Duration;

use base::Name;
use cell::leaving::Leaving;
use fleet::endpoint::Announcement;
use fleet::endpoint::Incarnation;
use fleet::endpoint::State;
use fleet::registry::Registry;

fn incarnation(born: u64) -> Incarnation {
    Incarnation { endpoint: Name::from("x"), born }
}

fn announcement(born: u64, sequence: u64) -> Announcement {
    Announcement {
        id: Name::from("x"),
        born,
        sequence,
        service: Name::from("ledger"),
        address: ([127, 0, 0, 1], 1).into(),
        domain: Name::from("a"),
        slots: 6,
        state: State::Ready,
        held: None,
        build: Name::from("v1"),
    }
}

fn marked(leaving: &Leaving, born: u64, state: State) -> State {
    let mut announcement = Announcement { state, ..announcement(born, 1) };
    leaving.mark_draining(&mut announcement);
    announcement.state
}

#[test]
fn heartbeats_of_a_leaving_endpoint_do_not_make_it_ready() {
    let mut leaving = Leaving::default();
    assert!(leaving.insert(&incarnation(2)));
    assert!(!leaving.insert(&incarnation(2)));
    assert_eq!(marked(&leaving, 2, State::Ready), State::Draining(None));
    let notice = State::Draining(Some(Duration::from_secs(2)));
    assert_eq!(marked(&leaving, 2, notice), notice);
}

// Guards against a report that outlives its incarnation.
#[test]
fn a_new_incarnation_is_ready() {
    let mut leaving = Leaving::default();
    assert!(leaving.insert(&incarnation(2)));
    assert_eq!(marked(&leaving, 3, State::Ready), State::Ready);
    assert!(leaving.insert(&incarnation(3)));
    // A gate that was cut off reports the former one late.
    assert!(!leaving.insert(&incarnation(2)));
    assert_eq!(marked(&leaving, 3, State::Ready), State::Draining(None));
    leaving.expire(|_| Some(4), Duration::ZERO);
    assert!(leaving.insert(&incarnation(2)));
}

#[test]
fn a_listed_endpoint_that_leaves_accepts_no_requests() {
    let now = Duration::from_secs(1);
    let mut registry = Registry::default();
    registry.announce(announcement(1, 1), now);
    assert!(!registry.drain(&Name::from("x"), 2, "response"));
    assert_eq!(registry.endpoints().len(), 1);
    assert!(registry.drain(&Name::from("x"), 1, "response"));
    assert!(!registry.drain(&Name::from("x"), 1, "response"));
    assert!(registry.endpoints().is_empty());
}
