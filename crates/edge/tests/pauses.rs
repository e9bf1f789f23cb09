//! The pauses between the events of a stream.

use std::time::Duration;

use edge::Pauses;
use tokio::time::Instant;

/// Returns the longest pause of a stream: a list of times, in ms, at which the gate waits (`None`) or has received that
/// many events.
fn longest(steps: &[(u64, Option<u64>)]) -> Option<Duration> {
    let start = Instant::now();
    let mut pauses = Pauses::default();
    for (at, events) in steps {
        let now = start + Duration::from_millis(*at);
        match events {
            Some(events) => pauses.record(*events, now),
            None => pauses.wait(now),
        }
    }
    pauses.longest()
}

// Guards against the wait for the first event, which contains the engine's queue, that counts as a pause.
#[test]
fn the_wait_for_the_first_event_is_no_pause() {
    assert_eq!(longest(&[(0, None), (900, Some(1))]), None);
    let steps =
        [(0, None), (900, Some(1)), (900, None), (930, Some(2)), (930, None), (950, Some(3))];
    assert_eq!(longest(&steps), Some(Duration::from_millis(30)));
}

// Guards against a slow caller whose own pauses are taken for those of the engine.
#[test]
fn time_in_which_the_caller_does_not_read_does_not_count() {
    let steps = [(0, Some(1)), (700, None), (740, Some(2)), (2_000, Some(3))];
    assert_eq!(longest(&steps), Some(Duration::from_millis(40)));
}

// Guards against comments and parts of events that hide a pause.
#[test]
fn only_a_complete_event_ends_a_pause() {
    let steps = [(0, Some(1)), (0, None), (200, Some(1)), (200, None), (450, Some(2))];
    assert_eq!(longest(&steps), Some(Duration::from_millis(450)));
}
