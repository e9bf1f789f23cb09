//! The path of requests through all processes of a site, and a graceful stop.

use std::time::Duration;

use serde_json::Value;
use site_tests::Options;
use site_tests::Site;

#[tokio::test]
async fn a_site_serves_completions_streams_and_journaled_calls() {
    let site = Site::start(Options::default()).await;
    site.create_adapter("quotes", 2).await;
    site.ctl_ok(&["service", "set", "ledger", "--non-idempotent", "POST /sign", "--wait", "10"])
        .await;

    let addresses =
        site.client.get(&site.url(2, "/v1/addresses")).await.expect("a response").json();
    assert_eq!(addresses["addresses"].as_array().map(Vec::len), Some(5), "{addresses}");

    for gate in 1..=5 {
        let answer =
            site.complete(gate, "quotes@v2", "compare the quotes").await.expect("a response");
        assert_eq!(answer.status, 200, "{}", answer.text());
        assert_eq!(answer.header("x-adapter"), "quotes");
        assert_eq!(answer.header("x-version"), "v2");
        assert_eq!(answer.json()["model"], "quotes@v2");
    }
    let default = site.complete(1, "quotes", "compare the quotes").await.expect("a response");
    assert_eq!(default.header("x-version"), "v1", "{}", default.text());

    let body = r#"{"model":"quotes@v1","prompt":"draft","max_tokens":5,"stream":true}"#;
    let url = site.url(3, "/v1/chat/completions");
    let body = body.replace(
        "\"prompt\":\"draft\"",
        "\"messages\":[{\"role\":\"user\",\"content\":\"draft\"}]",
    );
    let stream = site.client.send("POST", &url, &[], body).await.expect("a stream");
    let events: Vec<&str> = std::str::from_utf8(&stream.body)
        .expect("the stream is UTF-8")
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
        .collect();
    assert_eq!(events.last(), Some(&"[DONE]"), "{}", stream.text());
    for event in &events[..events.len() - 1] {
        let event: Value = serde_json::from_str(event).expect("the event is JSON");
        assert_eq!(event["model"], "quotes@v1");
        assert_eq!(event["id"], stream.header("x-request-id"));
    }

    let first = site.sign(1, "order-1", "{\"order\":1}").await.expect("a response");
    assert_eq!(first.status, 200, "{}", first.text());
    for gate in 2..=5 {
        let again = site.sign(gate, "order-1", "{\"order\":1}").await.expect("a response");
        assert_eq!(again.body, first.body);
        assert_eq!(again.header("x-replayed"), "true");
    }
    let other = site.sign(4, "order-1", "{\"order\":2}").await.expect("a response");
    assert_eq!(other.code(), 1201, "{}", other.text());
    let record = site.record("ledger-1").await;
    assert_eq!(record["keys"]["order-1"], 1, "{record}");
}

#[tokio::test]
async fn a_gate_stops_gracefully() {
    let mut site = Site::start(Options { engines: 1, ..Options::default() }).await;
    let limit = Duration::from_secs(20);
    let status = site.process("gate-2").stop(limit);
    assert!(status.success(), "{}", site.process("gate-2").log());
}
