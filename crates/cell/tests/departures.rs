//! Which lost endpoints had left as planned.

use std::time::Duration;

use base::Name;
use cell::departures::Departures;
use fleet::endpoint::State;

const DRAIN: Duration = Duration::from_secs(2);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn an_endpoint_that_is_lost_while_it_drains_has_not_left() {
    let mut departures = Departures::new(DRAIN);
    let id = Name::from("a");
    departures.announced(&id, 1, State::Draining(None), ms(1_000));
    assert!(!departures.includes("a", 1, ms(9_000)));
    assert!(departures.left(&id, 1, ms(10_000)));
    assert!(!departures.includes("a", 1, ms(9_000)));
    assert!(departures.includes("a", 1, ms(10_000)));
}

#[test]
fn an_endpoint_that_deregisters_first_serves_on_for_the_drain_time() {
    let mut departures = Departures::new(DRAIN);
    let id = Name::from("a");
    assert!(!departures.left(&id, 1, ms(1_000)));
    assert!(!departures.includes("a", 1, ms(2_900)));
    assert!(departures.includes("a", 1, ms(3_000)));
}

#[test]
fn an_endpoint_may_be_gone_at_the_announced_end() {
    let mut departures = Departures::new(DRAIN);
    let id = Name::from("a");
    departures.announced(&id, 1, State::Draining(Some(ms(2_500))), ms(1_000));
    // A repeated announcement does not postpone the end.
    departures.announced(&id, 1, State::Draining(Some(ms(2_400))), ms(1_500));
    assert!(!departures.includes("a", 1, ms(2_900)));
    assert!(departures.includes("a", 1, ms(3_000)));
}

#[test]
fn a_departure_is_that_of_an_incarnation() {
    let mut departures = Departures::new(DRAIN);
    let id = Name::from("a");
    departures.announced(&id, 1, State::Draining(None), ms(1_000));
    departures.left(&id, 1, ms(2_000));
    departures.announced(&id, 2, State::Ready, ms(3_000));
    assert!(!departures.includes("a", 2, ms(9_000)));
    assert!(!departures.includes("b", 1, ms(9_000)));
}
