//! Beyond capacity: refusals come in time, say when to come back, and goodput does not fall.

use std::time::Duration;
use std::time::Instant;

use futures::future::join_all;
use serde_json::json;
use site_tests::Options;
use site_tests::Site;

const DEADLINE: Duration = Duration::from_secs(2);
/// How long after its deadline a refusal may arrive.
const LATE: Duration = Duration::from_millis(500);
const PHASE: Duration = Duration::from_secs(5);
/// The share of the goodput at capacity that is kept at three times the callers.
const KEPT: f64 = 0.8;
/// The callers that fill the batch of the only engine.
const CAPACITY: usize = 8;

#[derive(Default)]
struct Tally {
    answered: usize,
    refused: usize,
}

/// A caller that sends the next request when it has the answer to the last, or when told to come back.
async fn caller(site: &Site, number: usize, end: Instant) -> Tally {
    let mut tally = Tally::default();
    let url = site.url(1 + number % 5, "/v1/completions");
    let deadline = DEADLINE.as_millis().to_string();
    let headers = [("x-deadline-ms", deadline.as_str())];
    while Instant::now() < end {
        let body = json!({"model": "quotes@v1", "prompt": number, "max_tokens": 8}).to_string();
        let begin = Instant::now();
        let answer = site.client.send("POST", &url, &headers, body).await.expect("an answer");
        let took = begin.elapsed();
        assert!(took <= DEADLINE + LATE, "{took:?}: {}", answer.text());
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

async fn phase(site: &Site, callers: usize) -> Tally {
    let end = Instant::now() + PHASE;
    let tallies = join_all((0..callers).map(|number| caller(site, number, end))).await;
    tallies.into_iter().fold(Tally::default(), |sum, one| Tally {
        answered: sum.answered + one.answered,
        refused: sum.refused + one.refused,
    })
}

#[tokio::test]
async fn three_times_capacity_keeps_goodput() {
    let site = Site::start(Options { engines: 1, services: 0, ..Options::default() }).await;
    site.create_adapter("quotes", 1).await;
    site.complete(1, "quotes@v1", "first").await.expect("an answer");
    let at_capacity = phase(&site, CAPACITY).await;
    let beyond = phase(&site, 3 * CAPACITY).await;
    println!(
        "answered {} at capacity, {} beyond; refused {} and {}",
        at_capacity.answered, beyond.answered, at_capacity.refused, beyond.refused
    );
    let kept = beyond.answered as f64 / at_capacity.answered as f64;
    assert!(kept >= KEPT, "{kept:.2} of the goodput is left");
}
