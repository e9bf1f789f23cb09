//! An adapter in use is never evicted, and a failed endpoint gets no new requests.

use std::time::Duration;
use std::time::Instant;

use http_body_util::BodyExt;
use nix::sys::signal::Signal;
use serde_json::Value;
use serde_json::json;
use site_tests::Options;
use site_tests::Site;
use site_tests::wait;

const TIMEOUT: Duration = Duration::from_secs(20);
/// Time after which a failed endpoint must not get new requests.
const DETECTION_TIME: Duration = Duration::from_secs(3);

fn one_engine(fenced: bool) -> Options {
    Options { engines: 1, services: 0, fenced, ..Options::default() }
}

/// Runs a long stream, sends `signal` to the gate that owns the engine, and requests many other adapters
/// through another gate, so that the engine must evict.
///
/// Checks that the new owner does not evict the adapter of the stream.
async fn stream_is_not_evicted(fenced: bool, signal: Signal) {
    let site = Site::start(one_engine(fenced)).await;
    for adapter in 0..9 {
        site.create_adapter(&format!("adapter-{adapter}"), 1).await;
    }
    let owner = site.owner("engine-1").await;
    let sender = 1 + owner % 5;
    let body =
        json!({"model": "adapter-0@v1", "prompt": "long", "max_tokens": 250, "stream": true});
    let url = site.url(owner, "/v1/completions");
    let stream = site.client.open("POST", &url, &[], body.to_string()).await.expect("a stream");
    let mut stream = stream.into_body();
    stream.frame().await.expect("a first frame").expect("a first event");
    site.processes[&format!("gate-{owner}")].signal(signal);
    for adapter in 1..9 {
        let model = format!("adapter-{adapter}@v1");
        wait::until("another adapter is served", TIMEOUT, || async {
            let answer = site.complete(sender, &model, "short").await.ok()?;
            (answer.status == 200).then_some(())
        })
        .await;
    }
    if signal == Signal::SIGSTOP {
        site.processes[&format!("gate-{owner}")].signal(Signal::SIGCONT);
    }
    assert_eq!(site.violations().await, Vec::<Value>::new());
}

#[tokio::test]
async fn no_eviction_in_use_when_the_owner_is_killed() {
    stream_is_not_evicted(true, Signal::SIGKILL).await;
}

#[tokio::test]
async fn no_eviction_in_use_when_the_owner_is_frozen() {
    stream_is_not_evicted(true, Signal::SIGSTOP).await;
}

#[tokio::test]
async fn no_eviction_in_use_when_the_owner_is_frozen_without_fencing() {
    stream_is_not_evicted(false, Signal::SIGSTOP).await;
}

#[tokio::test]
async fn a_planned_move_of_an_endpoint_does_not_abort_a_request_in_progress() {
    let site = Site::start(one_engine(true)).await;
    site.create_adapter("quotes", 1).await;
    let owner = site.owner("engine-1").await;
    let body = json!({"model": "quotes@v1", "prompt": "long", "max_tokens": 300});
    let url = site.url(1 + owner % 5, "/v1/completions");
    let client = site.client.clone();
    let answer = tokio::spawn(async move {
        let headers = [("x-deadline-ms", "60000")];
        client.send("POST", &url, &headers, body.to_string()).await.expect("a response")
    });
    wait::until("the request runs", TIMEOUT, || async {
        (site.record("engine-1").await["totals"]["begun"] == 1).then_some(())
    })
    .await;
    site.ctl_ok(&["drain", &format!("entry-{owner}")]).await;
    wait::until("the endpoint has moved", TIMEOUT, || async {
        let endpoints = site.ctl_ok(&["endpoints"]).await;
        let line = endpoints.lines().find(|line| line.contains("engine-1"))?;
        let former = format!("entry-{owner}");
        (line.contains("entry-") && !line.contains(&former)).then_some(())
    })
    .await;
    assert!(!answer.is_finished(), "the request ended before the move");
    let answer = answer.await.expect("the task does not panic");
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert_eq!(site.violations().await, Vec::<Value>::new());
}

/// Sends requests until [`DETECTION_TIME`] has passed and one succeeds, then checks that requests through all
/// gates succeed.
async fn check_requests_avoid_the_endpoint(site: &Site) {
    let begin = Instant::now();
    wait::until("a successful request after the detection time", TIMEOUT, || async {
        let answer = site.complete(2, "quotes@v1", "again").await.ok()?;
        (begin.elapsed() > DETECTION_TIME && answer.status == 200).then_some(())
    })
    .await;
    for gate in 1..=5 {
        let answer = site.complete(gate, "quotes@v1", "later").await.expect("a response");
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
}

async fn two_engines() -> Site {
    let site = Site::start(Options { engines: 2, services: 0, ..Options::default() }).await;
    site.create_adapter("quotes", 1).await;
    let answer = site.complete(1, "quotes@v1", "first").await.expect("a response");
    assert_eq!(answer.status, 200, "{}", answer.text());
    site
}

#[tokio::test]
async fn a_killed_endpoint_gets_no_new_requests() {
    let site = two_engines().await;
    for engine in ["engine-1", "engine-2"] {
        let record = site.record(engine).await;
        if record["totals"]["begun"] != 0 {
            site.processes[engine].signal(Signal::SIGKILL);
        }
    }
    check_requests_avoid_the_endpoint(&site).await;
}

#[tokio::test]
async fn an_endpoint_that_accepts_but_does_not_respond_gets_no_new_requests() {
    let site = two_engines().await;
    for engine in ["engine-1", "engine-2"] {
        let record = site.record(engine).await;
        if record["totals"]["begun"] != 0 {
            site.set_faults(engine, json!({"deaf": true, "silent": false})).await;
        }
    }
    check_requests_avoid_the_endpoint(&site).await;
}
