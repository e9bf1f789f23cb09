//! An adapter in use is never evicted and a leaving endpoint gets no new work.

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
/// A leaving endpoint gets no new work after this time.
const LEFT: Duration = Duration::from_secs(3);

fn one_engine(fenced: bool) -> Options {
    Options { engines: 1, services: 0, fenced, ..Options::default() }
}

/// Runs a long stream while its owner is stopped in `way`, with many other adapters asked for.
async fn stream_survives(fenced: bool, way: Signal) {
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
    site.processes[&format!("gate-{owner}")].signal(way);
    for adapter in 1..9 {
        let model = format!("adapter-{adapter}@v1");
        wait::until("another adapter is served", TIMEOUT, || async {
            let answer = site.complete(sender, &model, "short").await.ok()?;
            (answer.status == 200).then_some(())
        })
        .await;
    }
    if way == Signal::SIGSTOP {
        site.processes[&format!("gate-{owner}")].signal(Signal::SIGCONT);
    }
    assert_eq!(site.violations().await, Vec::<Value>::new());
}

#[tokio::test]
async fn eviction_with_the_owner_killed_fenced() {
    stream_survives(true, Signal::SIGKILL).await;
}

#[tokio::test]
async fn eviction_with_the_owner_frozen_fenced() {
    stream_survives(true, Signal::SIGSTOP).await;
}

#[tokio::test]
async fn eviction_with_the_owner_frozen_unfenced() {
    stream_survives(false, Signal::SIGSTOP).await;
}

#[tokio::test]
async fn a_planned_move_does_not_end_a_request_in_progress() {
    let site = Site::start(one_engine(true)).await;
    site.create_adapter("quotes", 1).await;
    let owner = site.owner("engine-1").await;
    let body = json!({"model": "quotes@v1", "prompt": "long", "max_tokens": 300});
    let url = site.url(1 + owner % 5, "/v1/completions");
    let client = site.client.clone();
    let answer = tokio::spawn(async move {
        let headers = [("x-deadline-ms", "60000")];
        client.send("POST", &url, &headers, body.to_string()).await.expect("an answer")
    });
    wait::until("it runs", TIMEOUT, || async {
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
    assert!(!answer.is_finished(), "the request is over before the move");
    let answer = answer.await.expect("sent");
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert_eq!(site.violations().await, Vec::<Value>::new());
}

/// Sends requests until none of those begun after `LEFT` runs at `engine-1`.
async fn gets_no_new_work(site: &Site) {
    let begin = Instant::now();
    wait::until("no new work", TIMEOUT, || async {
        let answer = site.complete(2, "quotes@v1", "again").await.ok()?;
        (begin.elapsed() > LEFT && answer.status == 200).then_some(())
    })
    .await;
    for gate in 1..=5 {
        let answer = site.complete(gate, "quotes@v1", "later").await.expect("an answer");
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
}

async fn two_engines() -> Site {
    let site = Site::start(Options { engines: 2, services: 0, ..Options::default() }).await;
    site.create_adapter("quotes", 1).await;
    let answer = site.complete(1, "quotes@v1", "first").await.expect("an answer");
    assert_eq!(answer.status, 200, "{}", answer.text());
    site
}

#[tokio::test]
async fn a_silent_endpoint() {
    let site = two_engines().await;
    for engine in ["engine-1", "engine-2"] {
        let record = site.record(engine).await;
        if record["totals"]["begun"] != 0 {
            site.processes[engine].signal(Signal::SIGKILL);
        }
    }
    gets_no_new_work(&site).await;
}

#[tokio::test]
async fn a_half_open_endpoint() {
    let site = two_engines().await;
    for engine in ["engine-1", "engine-2"] {
        let record = site.record(engine).await;
        if record["totals"]["begun"] != 0 {
            site.set_faults(engine, json!({"deaf": true, "silent": false})).await;
        }
    }
    gets_no_new_work(&site).await;
}
