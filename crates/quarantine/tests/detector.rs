//! Which requests are quarantined after which crashes.

use std::time::Duration;

use base::Name;
use fleet::quarantine::Loss;
use fleet::quarantine::Subject;
use quarantine::Detector;

const POISON: Subject = Subject::Request(1);
const OTHER: Subject = Subject::Request(2);

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Reports the loss of an incarnation under subjects; returns the subject that is quarantined.
fn report(
    detector: &mut Detector,
    endpoint: &str,
    born: u64,
    subjects: &[Subject],
    now: Duration,
) -> Option<Subject> {
    let subjects = subjects.to_vec();
    let loss = Loss { endpoint: Name::from(endpoint), born, subjects, age_ms: 0 };
    let new = detector.record(&loss, now);
    detector.convict(&new).map(|(subject, _)| subject)
}

#[test]
fn a_request_is_quarantined_after_three_crashes() {
    let mut detector = Detector::default();
    assert_eq!(report(&mut detector, "a", 1, &[POISON], seconds(1)), None);
    assert_eq!(report(&mut detector, "b", 1, &[POISON], seconds(2)), None);
    assert_eq!(report(&mut detector, "a", 2, &[POISON], seconds(3)), Some(POISON));
}

#[test]
fn the_losses_of_one_crash_count_once() {
    let mut detector = Detector::default();
    for _ in 0..5 {
        assert_eq!(report(&mut detector, "a", 1, &[POISON], seconds(1)), None);
        assert_eq!(report(&mut detector, "b", 1, &[POISON], seconds(1)), None);
    }
}

#[test]
fn a_request_beside_the_cause_of_crashes_is_not_quarantined() {
    let mut detector = Detector::default();
    for endpoint in ["a", "b"] {
        report(&mut detector, endpoint, 1, &[OTHER], seconds(1));
        report(&mut detector, endpoint, 1, &[POISON], seconds(1));
    }
    assert_eq!(report(&mut detector, "c", 1, &[POISON], seconds(2)), Some(POISON));
    assert_eq!(report(&mut detector, "c", 1, &[OTHER], seconds(2)), None);
    assert_eq!(report(&mut detector, "d", 1, &[OTHER], seconds(3)), None);
    assert_eq!(report(&mut detector, "e", 1, &[OTHER], seconds(4)), None);
}

#[test]
fn a_crash_under_a_quarantined_request_does_not_count_against_others() {
    let mut detector = Detector::default();
    for endpoint in ["a", "b"] {
        report(&mut detector, endpoint, 1, &[OTHER], seconds(1));
    }
    let subjects = vec![POISON];
    let loss = Loss { endpoint: Name::from("c"), born: 1, subjects, age_ms: 0 };
    detector.record_explained(&loss, seconds(2));
    assert_eq!(report(&mut detector, "c", 1, &[OTHER], seconds(2)), None);
}

#[test]
fn a_request_that_an_endpoint_survived_starts_anew() {
    let mut detector = Detector::default();
    report(&mut detector, "a", 1, &[OTHER], seconds(1));
    report(&mut detector, "b", 1, &[OTHER], seconds(2));
    detector.clear(&[OTHER]);
    assert_eq!(report(&mut detector, "c", 1, &[OTHER], seconds(3)), None);
    assert_eq!(report(&mut detector, "d", 1, &[OTHER], seconds(4)), None);
}

#[test]
fn a_lost_connection_to_an_endpoint_that_lives_on_is_no_crash() {
    let mut detector = Detector::default();
    for endpoint in ["a", "b"] {
        report(&mut detector, endpoint, 1, &[OTHER], seconds(1));
        // A delayed announcement proves nothing.
        detector.endpoint_announced(endpoint, 1, seconds(2));
    }
    detector.endpoint_announced("a", 1, seconds(5));
    assert_eq!(report(&mut detector, "c", 1, &[OTHER], seconds(6)), None);
    assert_eq!(report(&mut detector, "d", 1, &[OTHER], seconds(6)), Some(OTHER));
}

#[test]
fn a_loss_before_the_retention_is_ignored() {
    let mut detector = Detector::default();
    let old = Loss { endpoint: Name::from("a"), born: 1, subjects: vec![POISON], age_ms: 600_000 };
    assert!(detector.record(&old, seconds(700)).is_empty());
    report(&mut detector, "b", 1, &[POISON], seconds(700));
    report(&mut detector, "c", 1, &[POISON], seconds(1_400));
    assert_eq!(report(&mut detector, "d", 1, &[POISON], seconds(1_401)), None);
}

#[test]
fn the_oldest_crash_is_dropped_first() {
    let mut detector = Detector::default();
    report(&mut detector, "first", 1, &[OTHER], seconds(1));
    report(&mut detector, "second", 1, &[POISON], seconds(2));
    report(&mut detector, "third", 1, &[POISON], seconds(3));
    for number in 0..253 {
        report(&mut detector, "a", number, &[Subject::Request(100 + number)], seconds(4));
    }
    assert_eq!(report(&mut detector, "fourth", 1, &[POISON], seconds(5)), Some(POISON));
}
