//! How the leader keeps the limits of endpoints.

use std::time::Duration;

use base::Name;
use cell::limits::Limits;
use fleet::limit::Limit;
use limit::Rate;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn limit(born: u64, per_second: Option<f64>) -> Limit {
    Limit { endpoint: Name::from("x"), born, rate: per_second.and_then(Rate::new) }
}

#[test]
fn all_gates_draw_on_one_rate() {
    let mut limits = Limits::default();
    assert!(limits.set(&limit(1, Some(2.0)), ms(0)));
    // Further gates learn the same limit from their own responses.
    assert!(!limits.set(&limit(1, Some(2.0)), ms(100)));
    assert_eq!(limits.try_take("x", 1, ms(400)), Err(ms(100)));
    assert_eq!(limits.try_take("x", 1, ms(500)), Ok(()));
    assert_eq!(limits.try_take("x", 1, ms(600)), Err(ms(400)));
    assert_eq!(limits.list(), [limit(1, Some(2.0))]);
}

#[test]
fn a_report_of_a_former_incarnation_changes_nothing() {
    let mut limits = Limits::default();
    assert!(limits.set(&limit(2, Some(2.0)), ms(0)));
    assert!(!limits.set(&limit(1, Some(5.0)), ms(0)));
    assert!(!limits.set(&limit(1, None), ms(0)));
    assert_eq!(limits.list(), [limit(2, Some(2.0))]);
    assert!(limits.set(&limit(3, Some(2.0)), ms(0)));
    assert_eq!(limits.try_take("x", 2, ms(0)), Ok(()));
    limits.expire(|_| None, ms(0));
    assert_eq!(limits.list(), [limit(3, Some(2.0))]);
    limits.expire(|_| Some(4), ms(0));
    assert!(limits.list().is_empty());
}

#[test]
fn an_endpoint_that_lifts_its_limit_gets_all_requests() {
    let mut limits = Limits::default();
    assert!(!limits.set(&limit(1, None), ms(0)));
    limits.set(&limit(1, Some(0.1)), ms(0));
    assert!(limits.try_take("x", 1, ms(100)).is_err());
    assert!(limits.set(&limit(1, None), ms(200)));
    assert_eq!(limits.try_take("x", 1, ms(200)), Ok(()));
}
