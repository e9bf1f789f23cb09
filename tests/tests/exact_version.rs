//! Each caller gets the complete response of the requested adapter and version, or an error with a result code.

use futures::future::join_all;
use serde_json::Value;
use serde_json::json;
use site_tests::Answer;
use site_tests::Options;
use site_tests::Site;

/// Checks a response: returns true for a complete one, false for a refusal with a result code.
fn check(answer: &Answer, model: &str) -> bool {
    if answer.status != 200 {
        assert!(answer.code() > 0, "no result code: {}", answer.text());
        return false;
    }
    let body = answer.json();
    assert_eq!(body["model"], model, "{}", answer.text());
    assert_eq!(body["id"], answer.header("x-request-id"));
    true
}

/// Sends `count` completions concurrently and returns the number of complete responses.
async fn send_completions(site: &Site, count: usize, adapters: usize) -> usize {
    let calls = (0..count).map(|index| async move {
        let model = format!("adapter-{}@v{}", index % adapters, 1 + index % 2);
        let answer = site.complete(1 + index % 5, &model, &format!("prompt {index}")).await;
        check(&answer.expect("a response"), &model)
    });
    join_all(calls).await.into_iter().filter(|complete| *complete).count()
}

async fn site(engine_faults: Value) -> Site {
    let site = Site::start(Options { services: 0, ..Options::default() }).await;
    for adapter in 0..4 {
        site.create_adapter(&format!("adapter-{adapter}"), 2).await;
    }
    for engine in 1..=3 {
        site.set_faults(&format!("engine-{engine}"), engine_faults.clone()).await;
    }
    site
}

#[tokio::test]
async fn engines_respond_with_another_version() {
    let site = site(json!({"wrong_version_percent": 30})).await;
    let complete = send_completions(&site, 60, 4).await;
    assert!(complete >= 30, "only {complete} of 60 answered");
    assert_eq!(site.violations().await, Vec::<Value>::new());
}

#[tokio::test]
async fn engines_respond_with_the_text_of_another_request() {
    let site = site(json!({"crossed_percent": 30})).await;
    let complete = send_completions(&site, 60, 4).await;
    assert!(complete >= 30, "only {complete} of 60 answered");
}

#[tokio::test]
async fn responses_are_cut_off_or_truncated() {
    let site = site(json!({"cut_percent": 20, "short_percent": 20})).await;
    let complete = send_completions(&site, 60, 4).await;
    assert!(complete >= 30, "only {complete} of 60 answered");
}

#[tokio::test]
async fn a_stream_that_is_cut_off_never_looks_complete() {
    let site = site(json!({"cut_percent": 25, "short_percent": 25})).await;
    let url = site.url(2, "/v1/completions");
    let mut complete = 0;
    for index in 0..30 {
        let body =
            json!({"model": "adapter-1@v2", "prompt": index, "max_tokens": 6, "stream": true});
        let Ok(answer) = site.client.send("POST", &url, &[], body.to_string()).await else {
            continue;
        };
        let text = answer.text();
        let tokens = text.matches("\"text\"").count();
        if text.contains("data: [DONE]") {
            assert!(tokens >= 6, "truncated stream with an end marker: {text}");
            complete += 1;
        } else {
            assert!(text.contains("\"error\""), "truncated stream without an error event: {text}");
        }
    }
    assert!(complete >= 10, "only {complete} of 30 streams complete");
}

#[tokio::test]
async fn engines_restart_with_empty_slots() {
    let site = site(json!({})).await;
    send_completions(&site, 20, 4).await;
    for engine in 1..=3 {
        let url = format!("http://{}/control/restart", site.endpoints[&format!("engine-{engine}")]);
        site.client.send("POST", &url, &[], "").await.expect("the engine responds");
        let complete = send_completions(&site, 20, 4).await;
        assert!(complete >= 15, "only {complete} of 20 answered after a cold start");
    }
    assert_eq!(site.violations().await, Vec::<Value>::new());
}
