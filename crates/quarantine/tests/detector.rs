//! Which requests and which parts of prompts are quarantined after which crashes.

use std::time::Duration;

use base::Name;
use fleet::quarantine::Fingerprint;
use fleet::quarantine::Loss;
use fleet::quarantine::Subject;
use fleet::quarantine::Survival;
use quarantine::Detector;

const POISON: u64 = 1;
const OTHER: u64 = 2;
/// The first part of all prompts.
const SHARED: u64 = 10;
const BAD: u64 = 11;
const SOUND: u64 = 12;
/// The time that a request runs before it is lost.
const RUN: Duration = Duration::from_millis(100);
/// The time from a crash to its evaluation.
const SETTLE: Duration = Duration::from_millis(200);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[derive(Default)]
struct Cell {
    detector: Detector,
    /// The number of requests so far, each of which has a digest of its own.
    requests: u64,
}

impl Cell {
    /// Reports the loss of an endpoint under a request.
    fn lose(&mut self, endpoint: &str, request: u64, parts: &[u64], now: Duration) {
        self.lose_after(RUN, endpoint, request, parts, now);
    }

    fn lose_after(
        &mut self,
        run: Duration,
        endpoint: &str,
        request: u64,
        parts: &[u64],
        now: Duration,
    ) {
        let ran_ms = run.as_millis() as u32;
        self.detector.record(&Loss { ran_ms, ..loss(endpoint, request, parts) }, now);
    }

    /// Reports the loss of an endpoint that had been answering a request, unlike any other, for a time.
    fn lose_answering(
        &mut self,
        answering: Duration,
        endpoint: &str,
        parts: &[u64],
        now: Duration,
    ) {
        self.requests += 1;
        let answering_ms = answering.as_millis() as u32;
        let loss = loss(endpoint, 1_000 + self.requests, parts);
        self.detector.record(&Loss { answering_ms, ran_ms: answering_ms, ..loss }, now);
    }

    /// Reports the loss of an endpoint that had been answering a request for a time.
    fn lose_same_answering(
        &mut self,
        answering: Duration,
        endpoint: &str,
        request: u64,
        now: Duration,
    ) {
        let answering_ms = answering.as_millis() as u32;
        let loss = loss(endpoint, request, &[]);
        self.detector.record(&Loss { answering_ms, ran_ms: answering_ms, ..loss }, now);
    }

    /// Reports the loss of an endpoint under a request unlike any other.
    fn lose_new(&mut self, endpoint: &str, parts: &[u64], now: Duration) {
        self.requests += 1;
        self.lose(endpoint, 1_000 + self.requests, parts, now);
    }

    fn survive(&mut self, endpoint: &str, subjects: &[Subject], now: Duration) {
        let (endpoint, subjects) = (Name::from(endpoint), subjects.to_vec());
        self.detector.record_survival(&Survival { endpoint, born: 1, subjects }, now);
    }

    /// Returns what is quarantined once the last crash has settled.
    fn evaluate(&mut self, now: Duration) -> Vec<Subject> {
        let causes = self.detector.poll(now + SETTLE);
        causes.into_iter().map(|cause| cause.subject).collect()
    }
}

/// Returns a loss of which the response had not begun.
fn loss(endpoint: &str, request: u64, parts: &[u64]) -> Loss {
    Loss {
        endpoint: Name::from(endpoint),
        born: 1,
        fingerprint: Fingerprint { request, parts: parts.to_vec() },
        ran_ms: RUN.as_millis() as u32,
        answering_ms: 0,
        age_ms: 0,
    }
}

#[test]
fn a_request_is_quarantined_after_three_crashes() {
    let mut cell = Cell::default();
    for (number, endpoint) in ["a", "b", "c"].into_iter().enumerate() {
        assert_eq!(cell.evaluate(ms(900)), []);
        cell.lose(endpoint, POISON, &[], ms(1_000 + number as u64));
    }
    assert_eq!(cell.evaluate(ms(1_002)), [Subject::Request(POISON)]);
}

#[test]
fn the_losses_of_one_crash_count_once() {
    let mut cell = Cell::default();
    for number in 0..5 {
        cell.lose("a", POISON, &[], ms(1_000 + number));
        cell.lose("b", POISON, &[], ms(1_000 + number));
    }
    assert_eq!(cell.evaluate(ms(2_000)), []);
}

#[test]
fn a_request_beside_the_cause_of_crashes_is_not_quarantined() {
    let mut cell = Cell::default();
    for endpoint in ["a", "b", "c"] {
        cell.lose(endpoint, POISON, &[], ms(1_000));
    }
    cell.lose("a", OTHER, &[], ms(1_000));
    cell.lose("b", OTHER, &[], ms(1_000));
    assert_eq!(cell.evaluate(ms(1_000)), [Subject::Request(POISON)]);
    for endpoint in ["c", "d", "e"] {
        cell.lose(endpoint, OTHER, &[], ms(2_000));
    }
    assert_eq!(cell.evaluate(ms(2_000)), []);
}

#[test]
fn a_crash_under_a_quarantined_request_does_not_count_against_others() {
    let mut cell = Cell::default();
    for endpoint in ["a", "b"] {
        cell.lose(endpoint, OTHER, &[], ms(1_000));
    }
    cell.detector.record_explained(&loss("c", POISON, &[]), ms(2_000));
    cell.lose("c", OTHER, &[], ms(2_000));
    assert_eq!(cell.evaluate(ms(2_000)), []);
}

#[test]
fn a_request_that_an_endpoint_survived_starts_anew() {
    let mut cell = Cell::default();
    cell.lose("a", OTHER, &[], ms(1_000));
    cell.lose("b", OTHER, &[], ms(2_000));
    cell.survive("x", &[Subject::Request(OTHER)], ms(2_500));
    cell.lose("c", OTHER, &[], ms(3_000));
    cell.lose("d", OTHER, &[], ms(4_000));
    assert_eq!(cell.evaluate(ms(4_000)), []);
    cell.lose("e", OTHER, &[], ms(5_000));
    assert_eq!(cell.evaluate(ms(5_000)), [Subject::Request(OTHER)]);
}

// Guards against a request that ends just before the crash that it causes.
#[test]
fn an_endpoint_that_crashes_soon_afterwards_has_not_survived() {
    let mut cell = Cell::default();
    cell.lose("a", POISON, &[], ms(1_000));
    cell.lose("b", POISON, &[], ms(2_000));
    cell.survive("x", &[Subject::Request(POISON)], ms(2_500));
    cell.lose("x", OTHER, &[], ms(2_600));
    cell.lose("c", POISON, &[], ms(3_000));
    assert_eq!(cell.evaluate(ms(3_000)), [Subject::Request(POISON)]);
}

#[test]
fn a_lost_connection_to_an_endpoint_that_lives_on_is_no_crash() {
    let mut cell = Cell::default();
    for endpoint in ["a", "b"] {
        cell.lose(endpoint, OTHER, &[], ms(1_000));
        // A delayed announcement proves nothing.
        cell.detector.endpoint_announced(endpoint, 1, ms(2_000));
    }
    cell.detector.endpoint_announced("a", 1, ms(5_000));
    cell.lose("c", OTHER, &[], ms(6_000));
    assert_eq!(cell.evaluate(ms(6_000)), []);
    cell.lose("d", OTHER, &[], ms(6_500));
    assert_eq!(cell.evaluate(ms(6_500)), [Subject::Request(OTHER)]);
}

#[test]
fn a_loss_before_the_retention_is_ignored() {
    let mut cell = Cell::default();
    let old = Loss { age_ms: 600_000, ..loss("a", POISON, &[]) };
    assert!(cell.detector.record(&old, ms(700_000)).is_empty());
    cell.lose("b", POISON, &[], ms(700_000));
    cell.lose("c", POISON, &[], ms(1_400_000));
    cell.lose("d", POISON, &[], ms(1_401_000));
    assert_eq!(cell.evaluate(ms(1_401_000)), []);
}

#[test]
fn the_oldest_crash_is_dropped_first() {
    let mut cell = Cell::default();
    cell.lose("first", OTHER, &[], ms(1_000));
    cell.lose("second", POISON, &[], ms(2_000));
    cell.lose("third", POISON, &[], ms(3_000));
    for number in 0..253 {
        cell.lose_new(&format!("a{number}"), &[], ms(4_000));
    }
    cell.lose("fourth", POISON, &[], ms(5_000));
    assert_eq!(cell.evaluate(ms(5_000)), [Subject::Request(POISON)]);
}

#[test]
fn a_part_is_quarantined_after_three_crashes_under_different_requests() {
    let mut cell = Cell::default();
    for (number, endpoint) in ["a", "b", "c"].into_iter().enumerate() {
        let now = ms(1_000 * (number as u64 + 1));
        assert_eq!(cell.evaluate(now - SETTLE), []);
        cell.lose_new(endpoint, &[SHARED, BAD], now);
        // Sound requests with the same first part are in progress beside it, and end elsewhere.
        cell.lose_new(endpoint, &[SHARED, SOUND + number as u64], now);
        cell.survive("x", &[Subject::Part(SHARED)], now + ms(50));
    }
    assert_eq!(cell.evaluate(ms(3_000)), [Subject::Part(BAD)]);
}

// Guards against the quarantine of a part that is shared with the cause, while no engine answers anything.
#[test]
fn the_most_specific_part_is_quarantined_if_nothing_survives() {
    let mut cell = Cell::default();
    for (number, endpoint) in ["a", "b", "c", "d"].into_iter().enumerate() {
        let now = ms(1_000 * (number as u64 + 1));
        cell.lose_new(endpoint, &[SHARED, SOUND + number as u64], now);
        cell.lose_new(endpoint, &[SHARED, BAD], now);
    }
    assert_eq!(cell.evaluate(ms(4_000)), [Subject::Part(BAD)]);
    assert_eq!(cell.evaluate(ms(5_000)), []);
}

// Guards against the quarantine of parts when many engines crash at the same time.
#[test]
fn simultaneous_crashes_do_not_suffice_to_quarantine_a_part() {
    let mut cell = Cell::default();
    for wave in 1..=2 {
        for number in 0..18 {
            let endpoint = format!("wave-{wave}-{number}");
            let now = ms(10_000 * wave + 5 * number);
            cell.lose_new(&endpoint, &[SHARED, SOUND], now);
        }
    }
    assert_eq!(cell.evaluate(ms(21_000)), []);
}

// Guards against the quarantine of a shared part for crashes that become known late: gates report what speaks for a part
// only once they know that it is suspected.
#[test]
fn crashes_that_become_known_together_do_not_suffice_to_quarantine_a_part() {
    let mut cell = Cell::default();
    for (number, endpoint) in ["a", "b", "c", "d"].into_iter().enumerate() {
        let age_ms = 4_000 - 1_000 * number as u32;
        let loss = loss(endpoint, number as u64, &[SHARED]);
        cell.detector.record(&Loss { age_ms, ..loss }, ms(10_000));
    }
    assert_eq!(cell.evaluate(ms(10_000)), []);
    cell.lose_new("e", &[SHARED], ms(11_000));
    cell.lose_new("f", &[SHARED], ms(12_000));
    assert_eq!(cell.evaluate(ms(12_000)), [Subject::Part(SHARED)]);
}

// Guards against the quarantine of a rare part that is in progress each time that many engines crash.
#[test]
fn repeated_simultaneous_crashes_do_not_suffice_to_quarantine_a_part() {
    let mut cell = Cell::default();
    for wave in 1..=5 {
        for number in 0..6 {
            let endpoint = format!("wave-{wave}-{number}");
            let subject = if number < 2 { SOUND } else { SOUND + 1 + number };
            let now = ms(10_000 * wave + 10 * number);
            cell.lose_new(&endpoint, &[SHARED, subject], now);
        }
        cell.survive("x", &[Subject::Part(SHARED)], ms(10_000 * wave + 2_000));
        assert_eq!(cell.evaluate(ms(10_000 * wave + 3_000)), []);
    }
}

// Guards against the quarantine of a shared part when no request ends between crashes.
#[test]
fn a_part_of_a_stream_that_has_gone_on_for_a_while_is_not_quarantined() {
    let mut cell = Cell::default();
    for (number, endpoint) in ["a", "b", "c", "d", "e"].into_iter().enumerate() {
        let now = ms(5_000 * (number as u64 + 1));
        cell.lose_answering(ms(100), endpoint, &[SHARED], now);
        cell.lose_answering(ms(600), endpoint, &[SHARED], now);
        cell.lose_answering(ms(100), endpoint, &[SHARED], now);
        assert_eq!(cell.evaluate(now), []);
    }
}

// Guards against a request that clears itself by each long response at which it crashes its engine.
#[test]
fn a_request_that_crashes_endpoints_late_in_its_response_is_quarantined() {
    let mut cell = Cell::default();
    for (number, endpoint) in ["a", "b", "c"].into_iter().enumerate() {
        let now = ms(2_000 * (number as u64 + 1));
        assert_eq!(cell.evaluate(now - SETTLE), []);
        cell.lose_same_answering(ms(700), endpoint, POISON, now);
    }
    assert_eq!(cell.evaluate(ms(6_000)), [Subject::Request(POISON)]);
}

// Guards against a part whose requests clear it because each one is answered for a while before its engine crashes.
#[test]
fn a_part_that_crashes_engines_late_is_quarantined_after_five_crashes() {
    let mut cell = Cell::default();
    for (number, endpoint) in ["a", "b", "c", "d", "e"].into_iter().enumerate() {
        let now = ms(2_000 * (number as u64 + 1));
        assert_eq!(cell.evaluate(now - SETTLE), []);
        cell.lose_answering(ms(700), endpoint, &[SHARED, BAD], now);
        cell.lose_answering(ms(100), endpoint, &[SHARED], now);
    }
    assert_eq!(cell.evaluate(ms(10_000)), [Subject::Part(BAD)]);
}

#[test]
fn a_part_is_not_quarantined_for_a_request_that_crashes_endpoints() {
    let mut cell = Cell::default();
    for (number, endpoint) in ["a", "b", "c", "d", "e"].into_iter().enumerate() {
        cell.lose(endpoint, POISON, &[SHARED, SOUND], ms(1_000 * (number as u64 + 1)));
    }
    assert_eq!(cell.evaluate(ms(5_000)), [Subject::Request(POISON)]);
    cell.lose_new("f", &[SHARED, SOUND], ms(6_000));
    assert_eq!(cell.evaluate(ms(6_000)), []);
}

#[test]
fn a_part_is_quarantined_after_one_of_its_requests() {
    let mut cell = Cell::default();
    for (number, endpoint) in ["a", "b", "c"].into_iter().enumerate() {
        cell.lose(endpoint, POISON, &[SHARED, BAD], ms(1_000 * (number as u64 + 1)));
    }
    assert_eq!(cell.evaluate(ms(3_000)), [Subject::Request(POISON)]);
    cell.survive("x", &[Subject::Part(SHARED)], ms(3_500));
    cell.lose_new("d", &[SHARED, BAD], ms(4_000));
    cell.lose_new("e", &[SHARED, BAD], ms(5_000));
    assert_eq!(cell.evaluate(ms(5_000)), [Subject::Part(BAD)]);
}

#[test]
fn a_request_that_was_sent_before_the_last_crash_does_not_count_against_a_part() {
    let mut cell = Cell::default();
    cell.lose_new("a", &[BAD], ms(1_000));
    cell.lose_new("b", &[BAD], ms(2_000));
    cell.lose_after(ms(1_500), "c", 5, &[BAD], ms(3_000));
    assert_eq!(cell.evaluate(ms(3_000)), []);
    cell.lose_new("d", &[BAD], ms(4_000));
    assert_eq!(cell.evaluate(ms(4_000)), [Subject::Part(BAD)]);
}
