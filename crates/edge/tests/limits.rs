//! What a gate knows about the limits of endpoints.

use std::time::Duration;

use base::Name;
use edge::Admission;
use edge::Limits;
use fleet::endpoint::Endpoint;
use fleet::limit::Limit;
use limit::Notice;
use limit::Rate;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn rate(per_second: f64) -> Rate {
    Rate::new(per_second).expect("a rate")
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

fn limit(born: u64, rate: Option<Rate>) -> Limit {
    Limit { endpoint: Name::from("x"), born, rate }
}

/// Returns limits of which `x`, started at 1, has named one of 2 a second, learned at 1 s.
fn limited() -> Limits {
    let limits = Limits::default();
    let change = limits.record(&endpoint(1), Notice::Named(rate(2.0)), true, ms(900), ms(1_000));
    assert_eq!(change, Some(limit(1, Some(rate(2.0)))));
    limits
}

#[test]
fn a_limit_that_is_named_again_is_no_change() {
    let limits = limited();
    let named = |per_second| Notice::Named(rate(per_second));
    assert_eq!(limits.record(&endpoint(1), named(2.0), true, ms(1_100), ms(1_200)), None);
    let change = limits.record(&endpoint(1), named(3.0), true, ms(1_100), ms(1_200));
    assert_eq!(change, Some(limit(1, Some(rate(3.0)))));
}

// Guards against a limit that is lifted by a response from before it was named.
#[test]
fn a_limit_is_lifted_by_a_response_to_a_later_request() {
    let limits = limited();
    let record = |notice, ran, sent| limits.record(&endpoint(1), notice, ran, sent, ms(2_000));
    assert_eq!(record(Notice::Absent, true, ms(950)), None);
    // A refusal need not name the limit.
    assert_eq!(record(Notice::Absent, false, ms(1_100)), None);
    assert_eq!(record(Notice::Invalid, true, ms(1_100)), None);
    assert_eq!(limits.admission(&endpoint(1), ms(2_000)), Admission::Limited);
    assert_eq!(record(Notice::Absent, true, ms(1_100)), Some(limit(1, None)));
    assert_eq!(limits.admission(&endpoint(1), ms(2_000)), Admission::Unlimited);
}

#[test]
fn a_limit_is_that_of_an_incarnation() {
    let limits = limited();
    assert_eq!(limits.admission(&endpoint(2), ms(2_000)), Admission::Unlimited);
    limits.expire(|_| Some(2), ms(2_000));
    assert!(limits.list().is_empty());
}

// Guards against limits that are forgotten with all keepers, whose list of endpoints is empty at first.
#[test]
fn a_limit_is_kept_while_its_endpoint_is_not_listed() {
    let limits = limited();
    limits.expire(|_| None, ms(2_000));
    limits.expire(|_| None, ms(61_000));
    assert_eq!(limits.admission(&endpoint(1), ms(61_000)), Admission::Limited);
    limits.expire(|_| Some(1), ms(61_500));
    limits.expire(|_| None, ms(62_500));
    assert_eq!(limits.list().len(), 1);
    limits.expire(|_| None, ms(122_500));
    assert!(limits.list().is_empty());
}

#[test]
fn the_leaders_limits_replace_those_of_a_gate() {
    let limits = limited();
    limits.set_reached(&endpoint(1), ms(300), ms(1_000));
    limits.replace(&[limit(1, Some(rate(2.0)))], ms(1_100));
    assert_eq!(limits.admission(&endpoint(1), ms(1_100)), Admission::Reached(ms(200)));
    assert_eq!(limits.admission(&endpoint(1), ms(1_300)), Admission::Limited);
    limits.replace(&[], ms(1_400));
    assert_eq!(limits.admission(&endpoint(1), ms(1_400)), Admission::Unlimited);
}

#[test]
fn a_gate_without_a_leader_uses_its_share() {
    let limits = limited();
    // One of ten gates that use half of the rate together.
    let take = |now| limits.take_share(&endpoint(1), 10, 0.0, now);
    assert_eq!(take(ms(1_000)), Ok(()));
    assert_eq!(take(ms(2_000)), Err(ms(9_000)));
    assert_eq!(take(ms(11_000)), Ok(()));
}
