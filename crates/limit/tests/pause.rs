//! The time for which an endpoint wants no requests.

use std::time::Duration;

use limit::parse_pause;

fn parse(values: &[&str]) -> Option<Duration> {
    parse_pause(values.iter().copied())
}

#[test]
fn seconds_may_have_fractions() {
    assert_eq!(parse(&["4"]), Some(Duration::from_secs(4)));
    assert_eq!(parse(&[" 0.25 "]), Some(Duration::from_millis(250)));
}

#[test]
fn the_longest_of_several_holds() {
    assert_eq!(parse(&["1", "x", "3", "2"]), Some(Duration::from_secs(3)));
}

// Guards against an endpoint that is lost for good because of a value that it can't take back.
#[test]
fn a_huge_time_is_bounded() {
    for huge in ["1e300", "99999999999999999999", "inf"] {
        assert_eq!(parse(&[huge]), Some(Duration::from_secs(600)), "{huge}");
    }
}

#[test]
fn what_is_no_time_is_no_pause() {
    let others = ["0", "-1", "", "soon", "NaN", "1 s", "Fri, 04 Dec 2026 17:00:00 GMT", "-inf"];
    for other in others {
        assert_eq!(parse(&[other]), None, "{other}");
    }
    assert_eq!(parse(&[]), None);
}
