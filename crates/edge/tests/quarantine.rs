//! What a gate knows about requests and parts of prompts that crash endpoints.

use std::time::Duration;

use base::Name;
use edge::Quarantine;
use fleet::quarantine::Fingerprint;
use fleet::quarantine::Loss;
use fleet::quarantine::Subject;

const REQUEST: Subject = Subject::Request(1);
const PART: Subject = Subject::Part(7);

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn fingerprint(request: u64) -> Fingerprint {
    Fingerprint { request, parts: vec![7] }
}

fn loss(endpoint: &str, request: u64) -> Loss {
    Loss {
        endpoint: Name::from(endpoint),
        born: 1,
        fingerprint: fingerprint(request),
        ran_ms: 100,
        answering_ms: 0,
        age_ms: 0,
    }
}

/// Returns the subject for which a gate refuses a request, and whether it reports that.
fn refusal(quarantine: &Quarantine, request: u64, now: Duration) -> Option<(Subject, bool)> {
    quarantine.check(&fingerprint(request), now).map(|hit| (hit.subject, hit.report))
}

#[test]
fn refusals_of_a_subject_are_reported_every_ten_seconds() {
    let quarantine = Quarantine::default();
    assert_eq!(refusal(&quarantine, 1, seconds(1)), None);
    quarantine.set_quarantined(&[PART]);
    assert_eq!(refusal(&quarantine, 1, seconds(1)), Some((PART, true)));
    assert_eq!(refusal(&quarantine, 2, seconds(10)), Some((PART, false)));
    quarantine.set_quarantined(&[PART, REQUEST]);
    assert_eq!(refusal(&quarantine, 2, seconds(10)), Some((PART, false)));
    assert_eq!(refusal(&quarantine, 2, seconds(11)), Some((PART, true)));
    quarantine.set_quarantined(&[]);
    assert_eq!(refusal(&quarantine, 2, seconds(12)), None);
}

#[test]
fn a_trial_admits_a_single_request() {
    let quarantine = Quarantine::default();
    quarantine.set_quarantined(&[PART]);
    quarantine.start_probe(PART);
    assert_eq!(refusal(&quarantine, 2, seconds(1)), None);
    assert_eq!(quarantine.end_probes(&fingerprint(2)), [PART]);
    assert_eq!(quarantine.end_probes(&fingerprint(3)), []);
    assert_eq!(refusal(&quarantine, 3, seconds(1)), Some((PART, true)));
    assert_eq!(quarantine.clear(&fingerprint(2)), [PART]);
}

#[test]
fn a_request_with_another_quarantined_subject_gets_no_trial() {
    let quarantine = Quarantine::default();
    quarantine.set_quarantined(&[PART, REQUEST]);
    quarantine.start_probe(PART);
    assert_eq!(refusal(&quarantine, 1, seconds(1)), Some((REQUEST, true)));
    assert_eq!(refusal(&quarantine, 2, seconds(1)), None);
}

#[test]
fn losses_are_kept_for_the_next_leader() {
    let quarantine = Quarantine::default();
    assert!(quarantine.losses(seconds(1)).is_empty());
    let losses = vec![(seconds(1), loss("a", 1)), (seconds(1), loss("a", 2))];
    let reported = quarantine.add_losses(losses, seconds(2));
    assert!(reported.iter().all(|loss| loss.age_ms == 1_000));
    let kept: Vec<u64> =
        quarantine.losses(seconds(3)).iter().map(|loss| loss.fingerprint.request).collect();
    assert_eq!(kept, [1, 2]);
    assert_eq!(quarantine.losses(seconds(3))[0].age_ms, 2_000);
    assert!(quarantine.losses(seconds(601)).is_empty());
}

#[test]
fn a_request_that_an_endpoint_survived_is_reported_once_and_its_losses_are_dropped() {
    let quarantine = Quarantine::default();
    let losses = vec![(seconds(1), loss("a", 1)), (seconds(1), loss("a", 2))];
    quarantine.add_losses(losses, seconds(1));
    quarantine.add_suspects(&[REQUEST, Subject::Request(2), PART]);
    assert_eq!(quarantine.clear(&fingerprint(1)), [REQUEST, PART]);
    assert_eq!(quarantine.clear(&fingerprint(1)), []);
    let kept = quarantine.losses(seconds(2));
    assert_eq!(kept.len(), 1);
    assert_eq!(kept[0].fingerprint, Fingerprint { request: 2, parts: Vec::new() });
}
