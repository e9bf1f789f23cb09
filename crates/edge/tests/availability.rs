//! What a gate remembers of endpoints that leave or want no requests.

use std::time::Duration;

use base::Name;
use edge::Availability;
use edge::Unavailable;
use fleet::endpoint::Endpoint;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn endpoint(born: u64) -> Endpoint {
    Endpoint {
        id: Name::from("x"),
        born,
        service: Name::from("ledger"),
        address: ([127, 0, 0, 1], 1).into(),
        domain: Name::from("a"),
        slots: 6,
        build: Name::from("v1"),
    }
}

#[test]
fn a_pause_ends_by_itself() {
    let availability = Availability::default();
    assert_eq!(availability.check(&endpoint(1), ms(0)), None);
    availability.record_pause(&endpoint(1), ms(4_000), ms(1_000));
    assert_eq!(availability.check(&endpoint(1), ms(2_000)), Some(Unavailable::Paused(ms(3_000))));
    assert_eq!(availability.check(&endpoint(1), ms(5_000)), None);
}

// Guards against a second refusal, to a request that was on its way, that shortens the time of the first.
#[test]
fn a_longer_pause_still_holds() {
    let availability = Availability::default();
    availability.record_pause(&endpoint(1), ms(4_000), ms(0));
    availability.record_pause(&endpoint(1), ms(500), ms(100));
    assert_eq!(availability.check(&endpoint(1), ms(1_000)), Some(Unavailable::Paused(ms(3_000))));
}

#[test]
fn what_an_incarnation_told_ends_with_it() {
    let availability = Availability::default();
    assert!(availability.record_leaving(&endpoint(1)));
    assert!(!availability.record_leaving(&endpoint(1)));
    availability.record_pause(&endpoint(1), ms(4_000), ms(0));
    assert_eq!(availability.check(&endpoint(1), ms(10)), Some(Unavailable::Leaving));
    assert_eq!(availability.check(&endpoint(2), ms(10)), None);
    availability.record_pause(&endpoint(2), ms(100), ms(0));
    // A late response of the former incarnation.
    assert!(!availability.record_leaving(&endpoint(1)));
    assert_eq!(availability.check(&endpoint(2), ms(50)), Some(Unavailable::Paused(ms(50))));
    assert!(availability.leaving().is_empty());
}

// Guards against an endpoint that is used again because its heartbeats, which say that it is ready, reach a new leader.
#[test]
fn a_leaving_endpoint_that_is_not_listed_is_remembered_for_minutes() {
    let availability = Availability::default();
    availability.record_leaving(&endpoint(1));
    availability.expire(|_| None, ms(1_000));
    availability.expire(|_| None, ms(300_000));
    assert_eq!(availability.leaving(), [endpoint(1).incarnation()]);
    availability.expire(|_| Some(1), ms(400_000));
    availability.expire(|_| None, ms(500_000));
    availability.expire(|_| None, ms(1_099_000));
    assert_eq!(availability.leaving(), [endpoint(1).incarnation()]);
    availability.expire(|_| None, ms(1_100_000));
    assert!(availability.is_empty());
}

#[test]
fn a_new_incarnation_ends_what_the_former_one_told() {
    let availability = Availability::default();
    availability.record_leaving(&endpoint(1));
    availability.expire(|_| Some(2), ms(1_000));
    assert!(availability.is_empty());
}

#[test]
fn a_pause_that_has_ended_is_dropped() {
    let availability = Availability::default();
    availability.record_pause(&endpoint(1), ms(4_000), ms(0));
    availability.expire(|_| Some(1), ms(3_000));
    assert!(!availability.is_empty());
    availability.expire(|_| Some(1), ms(4_000));
    assert!(availability.is_empty());
}
