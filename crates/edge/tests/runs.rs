//! What a gate remembers of requests whose end at an endpoint it has not seen.

use std::time::Duration;

use base::Name;
use edge::Run;
use edge::Runs;
use fleet::quarantine::Fingerprint;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns a run that was sent at 1 s, began to be answered 100 ms later, and for which the gate no longer waits since
/// 2 s.
fn run(endpoint: &str, request: u64, until: Duration) -> Run {
    Run {
        endpoint: Name::from(endpoint),
        born: 1,
        fingerprint: Fingerprint { request, parts: Vec::new() },
        sent: ms(1_000),
        began: Some(ms(1_100)),
        ended: ms(2_000),
        until,
    }
}

fn requests(runs: &mut Runs, endpoint: &str, born: u64, alive: Duration) -> Vec<u64> {
    let losses = runs.take_crashed(endpoint, born, alive);
    losses.iter().map(|(_, loss)| loss.fingerprint.request).collect()
}

#[test]
fn an_endpoint_is_watched_once_until_its_runs_have_ended() {
    let mut runs = Runs::default();
    let endpoint = Name::from("a");
    assert!(runs.add(run("a", 1, ms(3_000))));
    assert!(!runs.add(run("a", 2, ms(5_000))));
    assert!(runs.add(run("b", 3, ms(2_000))));
    assert_eq!(runs.open_until("a", 1), Some(ms(5_000)));
    assert!(!runs.end_watch(&endpoint, 1, ms(4_999)));
    assert!(runs.end_watch(&endpoint, 1, ms(5_000)));
    assert!(runs.add(run("a", 4, ms(6_000))));
}

#[test]
fn a_crash_is_charged_to_the_runs_that_may_have_been_in_progress() {
    let mut runs = Runs::default();
    // A connection that broke well before the crash.
    runs.add(run("a", 1, ms(2_000)));
    runs.add(run("a", 2, ms(2_950)));
    runs.add(run("a", 3, ms(9_000)));
    runs.add(run("b", 4, ms(9_000)));
    assert!(requests(&mut runs, "a", 2, ms(3_000)).is_empty());
    assert_eq!(requests(&mut runs, "a", 1, ms(3_000)), [2, 3]);
    assert!(requests(&mut runs, "a", 1, ms(3_000)).is_empty());
    assert_eq!(requests(&mut runs, "b", 1, ms(3_000)), [4]);
}

#[test]
fn a_loss_is_dated_when_the_endpoint_was_last_known_to_run() {
    let mut runs = Runs::default();
    runs.add(run("a", 1, ms(2_000)));
    runs.add(run("b", 2, ms(9_000)));
    let broken = runs.take_crashed("a", 1, ms(2_000)).remove(0);
    assert_eq!(broken.0, ms(2_000));
    assert_eq!((broken.1.ran_ms, broken.1.answering_ms), (1_000, 900));
    let abandoned = runs.take_crashed("b", 1, ms(4_000)).remove(0);
    assert_eq!(abandoned.0, ms(4_000));
    assert_eq!((abandoned.1.ran_ms, abandoned.1.answering_ms), (3_000, 2_900));
}

#[test]
fn runs_are_dropped_some_time_after_their_deadline() {
    let mut runs = Runs::default();
    runs.add(run("a", 1, ms(3_000)));
    let later = Run { ended: ms(18_000), ..run("b", 2, ms(19_000)) };
    runs.add(later);
    assert!(requests(&mut runs, "a", 1, ms(3_000)).is_empty());
    assert_eq!(requests(&mut runs, "b", 1, ms(3_000)), [2]);
}
