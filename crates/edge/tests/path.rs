//! When a gate takes its path to the endpoints for lost, and when for restored.

use std::time::Duration;

use base::Name;
use edge::Path;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn name(number: u64) -> Name {
    Name::from(format!("i-{number}"))
}

#[test]
fn a_single_endpoint_that_fails_is_not_a_lost_path() {
    let path = Path::default();
    for at in 1..100 {
        assert!(!path.record_failure(&name(1), ms(at)));
    }
    assert!(!path.is_lost());
}

#[test]
fn a_response_between_failures_of_two_endpoints_shows_that_the_path_works() {
    let path = Path::default();
    path.record_failure(&name(1), ms(1));
    path.record_success(ms(2));
    path.record_failure(&name(2), ms(3));
    assert!(!path.is_lost());
}

#[test]
fn failures_of_two_endpoints_without_a_response_are_a_lost_path() {
    let path = Path::default();
    path.record_failure(&name(1), ms(1));
    assert!(path.record_failure(&name(2), ms(2)));
    assert!(path.is_lost() && path.needs_tunnel());
    assert!(!path.record_failure(&name(3), ms(3)), "reported once");
}

// Guards against a herd of requests on a path on which endpoints accept connections and do not respond.
#[test]
fn one_connection_tries_the_path_after_a_probe() {
    let path = Path::default();
    path.record_failure(&name(1), ms(1));
    path.record_failure(&name(2), ms(2));
    path.allow_trial();
    assert!(!path.needs_tunnel());
    assert!(path.needs_tunnel());
    path.record_success(ms(3));
    assert!(!path.is_lost() && !path.needs_tunnel());
}

#[test]
fn probes_of_a_lost_path_back_off() {
    let path = Path::default();
    path.record_failure(&name(1), ms(0));
    path.record_failure(&name(2), ms(0));
    let probes = (0..10_000).filter(|at| path.take_probe(ms(*at))).count();
    assert_eq!(probes, 6, "after 250, 500, 1,000, 2,000 ms and then each 4 s");
}
