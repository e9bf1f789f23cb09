//! Overload: refusals arrive in time with a retry delay, and goodput is kept.

use std::time::Duration;
use std::time::Instant;

use futures::future::join_all;
use serde_json::json;
use site_tests::Options;
use site_tests::Site;

const DEADLINE: Duration = Duration::from_secs(2);
/// Maximum time after the deadline at which a response may arrive.
const DEADLINE_GRACE: Duration = Duration::from_millis(500);
/// Duration of the load at each number of callers.
const PHASE: Duration = Duration::from_secs(5);
/// Minimum goodput with three times the callers, as a share of the goodput at capacity.
const MIN_GOODPUT_SHARE: f64 = 0.8;
/// Number of callers that fill the batch of the only engine.
const CAPACITY: usize = 8;

#[derive(Default)]
struct Tally {
    answered: usize,
    refused: usize,
}

/// Sends requests one after another until `end`; after a refusal, waits for its `retry_after_ms`.
async fn run_caller(site: &Site, number: usize, end: Instant) -> Tally {
    let mut tally = Tally::default();
    let url = site.url(1 + number % 5, "/v1/completions");
    let deadline = DEADLINE.as_millis().to_string();
    let headers = [("x-deadline-ms", deadline.as_str())];
    while Instant::now() < end {
        let body = json!({"model": "quotes@v1", "prompt": number, "max_tokens": 8}).to_string();
        let begin = Instant::now();
        let answer = site.client.send("POST", &url, &headers, body).await.expect("a response");
        let took = begin.elapsed();
        assert!(took <= DEADLINE + DEADLINE_GRACE, "{took:?}: {}", answer.text());
        if answer.status == 200 {
            tally.answered += 1;
            continue;
        }
        tally.refused += 1;
        assert!(answer.code() > 0, "no result code: {}", answer.text());
        let wait = answer.json()["error"]["retry_after_ms"].as_u64();
        tokio::time::sleep(Duration::from_millis(wait.unwrap_or(0))).await;
    }
    tally
}

async fn run_callers(site: &Site, callers: usize) -> Tally {
    let end = Instant::now() + PHASE;
    let tallies = join_all((0..callers).map(|number| run_caller(site, number, end))).await;
    tallies.into_iter().fold(Tally::default(), |sum, one| Tally {
        answered: sum.answered + one.answered,
        refused: sum.refused + one.refused,
    })
}

#[tokio::test]
async fn goodput_is_kept_at_three_times_the_capacity() {
    let site = Site::start(Options { engines: 1, services: 0, ..Options::default() }).await;
    site.create_adapter("quotes", 1).await;
    site.complete(1, "quotes@v1", "first").await.expect("a response");
    let at_capacity = run_callers(&site, CAPACITY).await;
    let overload = run_callers(&site, 3 * CAPACITY).await;
    println!(
        "answered {} at capacity, {} in overload; refused {} and {}",
        at_capacity.answered, overload.answered, at_capacity.refused, overload.refused
    );
    let share = overload.answered as f64 / at_capacity.answered as f64;
    assert!(share >= MIN_GOODPUT_SHARE, "{share:.2} of the goodput at capacity");
}
