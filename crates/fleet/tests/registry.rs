//! Delayed, repeated and outdated announcements do not corrupt the registry.

use std::time::Duration;

use base::Name;
use fleet::endpoint::Announcement;
use fleet::endpoint::State;
use fleet::registry::Change;
use fleet::registry::Registry;

const NOW: Duration = Duration::from_secs(10);

fn announcement(id: &str, port: u16, born: u64, sequence: u64) -> Announcement {
    Announcement {
        id: Name::from(id),
        born,
        sequence,
        service: Name::from("ledger"),
        address: ([127, 0, 0, 1], port).into(),
        domain: Name::from("a"),
        slots: 6,
        build: Name::from("v1"),
        state: State::Ready,
        held: None,
    }
}

fn ready(registry: &Registry) -> Vec<String> {
    let mut ids: Vec<String> = registry.ready().map(|one| one.id.to_string()).collect();
    ids.sort();
    ids
}

#[test]
fn a_delayed_announcement_is_ignored() {
    let mut registry = Registry::default();
    let mut draining = announcement("x", 1, 5, 3);
    draining.state = State::Draining(None);
    registry.announce(draining, NOW);
    assert_eq!(registry.announce(announcement("x", 1, 5, 2), NOW), Change::None);
    assert!(ready(&registry).is_empty());
}

#[test]
fn a_new_incarnation_replaces_the_former_one() {
    let mut registry = Registry::default();
    registry.announce(announcement("x", 1, 5, 90), NOW);
    assert_eq!(registry.announce(announcement("x", 1, 6, 1), NOW), Change::Joined);
    assert_eq!(registry.announce(announcement("x", 1, 5, 91), NOW), Change::None);
    assert_eq!(registry.get("x").expect("known").born, 6);
}

#[test]
fn a_delayed_announcement_does_not_restore_an_endpoint_that_left() {
    let mut registry = Registry::default();
    registry.announce(announcement("x", 1, 5, 1), NOW);
    assert_eq!(registry.leave(&Name::from("x"), Some(5)), Change::Left);
    assert_eq!(registry.announce(announcement("x", 1, 5, 2), NOW), Change::None);
    assert!(ready(&registry).is_empty());
}

#[test]
fn a_delayed_leave_of_a_former_incarnation_is_ignored() {
    let mut registry = Registry::default();
    registry.announce(announcement("x", 1, 6, 1), NOW);
    assert_eq!(registry.leave(&Name::from("x"), Some(5)), Change::None);
    assert_eq!(ready(&registry), ["x"]);
}

#[test]
fn an_address_belongs_to_the_latest_incarnation() {
    let mut registry = Registry::default();
    registry.announce(announcement("old", 1, 5, 1), NOW);
    registry.announce(announcement("new", 1, 8, 1), NOW);
    assert_eq!(ready(&registry), ["new"]);
    // A delayed announcement of the endpoint that had the address before.
    assert_eq!(registry.announce(announcement("old", 1, 5, 2), NOW), Change::None);
    assert_eq!(ready(&registry), ["new"]);
}

#[test]
fn an_endpoint_expires_and_returns_with_its_next_announcement() {
    let mut registry = Registry::default();
    registry.announce(announcement("x", 1, 5, 1), NOW);
    let timeout = Duration::from_secs(4);
    assert!(registry.expire(timeout, NOW + timeout / 2).is_empty());
    assert_eq!(registry.expire(timeout, NOW + timeout).len(), 1);
    let next = announcement("x", 1, 5, 2);
    assert_eq!(registry.announce(next, NOW + timeout * 2), Change::Joined);
}

#[test]
fn the_sole_build_is_known_until_another_one_is_announced() {
    let window = Duration::from_secs(20);
    let mut registry = Registry::default();
    assert_eq!(registry.sole_build("llm", window, Duration::ZERO), None);
    let old = announcement("i-1", 1, 1, 1);
    let service = old.service.clone();
    registry.announce(old.clone(), Duration::from_secs(1));
    let sole = |registry: &Registry, seconds| {
        registry.sole_build(&service, window, Duration::from_secs(seconds)).cloned()
    };
    assert_eq!(sole(&registry, 5), Some(old.build.clone()));
    let mut new = announcement("i-2", 2, 1, 1);
    new.build = Name::from("v2");
    registry.announce(new.clone(), Duration::from_secs(6));
    assert_eq!(sole(&registry, 6), None);
    // An endpoint that has left may have begun streams.
    registry.leave(&old.id, None);
    assert_eq!(sole(&registry, 20), None);
    assert_eq!(sole(&registry, 21), Some(new.build));
}

// Guards against requests to an endpoint that deregisters behind a cut, after which a delayed announcement arrives.
#[test]
fn a_delayed_announcement_does_not_restore_an_endpoint_that_left_while_it_was_silent() {
    let mut registry = Registry::default();
    registry.announce(announcement("x", 1, 5, 1), NOW);
    let later = NOW + Duration::from_secs(4);
    assert_eq!(registry.expire(Duration::from_secs(4), later), [Name::from("x")]);
    assert_eq!(registry.leave(&Name::from("x"), None), Change::None);
    assert_eq!(registry.announce(announcement("x", 1, 5, 2), later), Change::None);
    assert!(ready(&registry).is_empty());
    assert_eq!(registry.announce(announcement("x", 1, 6, 1), later), Change::Joined);
}

#[test]
fn an_endpoint_whose_successor_announces_itself_is_lost() {
    let mut registry = Registry::default();
    let lost = |registry: &mut Registry| -> Vec<(String, u64)> {
        registry.take_lost().into_iter().map(|lost| (lost.id.to_string(), lost.born)).collect()
    };
    registry.announce(announcement("x", 1, 5, 1), NOW);
    registry.announce(announcement("y", 2, 5, 1), NOW);
    assert_eq!(lost(&mut registry), []);
    registry.announce(announcement("x", 1, 6, 1), NOW);
    registry.announce(announcement("z", 2, 6, 1), NOW);
    assert_eq!(lost(&mut registry), [("x".to_owned(), 5), ("y".to_owned(), 5)]);
    assert_eq!(lost(&mut registry), []);
}

#[test]
fn an_endpoint_that_falls_silent_is_lost_unless_it_was_leaving() {
    let mut registry = Registry::default();
    registry.announce(announcement("x", 1, 5, 1), NOW);
    registry
        .announce(Announcement { state: State::Draining(None), ..announcement("y", 2, 5, 1) }, NOW);
    registry.announce(announcement("z", 3, 5, 1), NOW);
    registry.leave(&Name::from("z"), Some(5));
    registry.expire(Duration::from_secs(4), NOW + Duration::from_secs(4));
    let lost = registry.take_lost();
    assert_eq!(lost.len(), 1);
    assert_eq!((&*lost[0].id, lost[0].born, lost[0].heard), ("x", 5, NOW));
}
