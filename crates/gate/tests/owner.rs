//! Ownership of endpoints: leases, handovers, pinned adapters, draining and crashes.

mod fake;

use std::time::Duration;

use fake::engine::Engine;
use fake::engine::Mode;
use fake::keeper::Keeper;
use fake::site;
use fake::site::Running;
use fake::site::send;
use serde_json::Value;

fn completions_url(gate: &Running) -> String {
    format!("http://{}/v1/completions", gate.entry.gate)
}

async fn addresses(gate: &Running) -> Vec<String> {
    let url = format!("http://{}/v1/addresses", gate.entry.gate);
    let reply = send(&site::http(), "GET", &url, &[], "").await;
    let body: Value = serde_json::from_str(&reply.body).expect("JSON");
    let list = body["addresses"].as_array().expect("a list");
    list.iter().map(|entry| entry["address"].as_str().expect("text").to_owned()).collect()
}

#[tokio::test]
async fn gate_without_a_lease_refuses_as_not_run() {
    let keeper = Keeper::start(site::view()).await;
    let gate = site::start(&site::config(&["h1"], &keeper), "h1").await;
    let engine = Engine::start("e1", site::engine_role(2, 4)).await;
    site::announce(&engine, &gate);
    site::wait_for_endpoints(&gate, 1).await;
    keeper.tables.lock().partitioned = true;
    let http = site::http();
    site::wait_until("the lease expires", async || {
        send(&http, "POST", &completions_url(&gate), &[], "{\"model\":\"a\"}").await.code() == 1300
    })
    .await;
    let runs = engine.runs();
    let reply = send(&http, "POST", &completions_url(&gate), &[], "{\"model\":\"a\"}").await;
    assert_eq!((reply.code(), reply.ran().as_str()), (1300, "no"));
    assert_eq!(reply.header("retry-after"), "1");
    assert_eq!(engine.runs(), runs);
    assert!(addresses(&gate).await.is_empty());
    keeper.tables.lock().partitioned = false;
    site::wait_for_endpoints(&gate, 1).await;
}

#[tokio::test]
async fn ended_lease_is_replaced_by_a_new_incarnation() {
    let keeper = Keeper::start(site::view()).await;
    let gate = site::start(&site::config(&["h1"], &keeper), "h1").await;
    site::wait_for_endpoints(&gate, 0).await;
    let first = keeper.tables.lock().view.gates["h1"].incarnation;
    keeper.tables.lock().ended.insert(first);
    site::wait_until("the gate joins as a new incarnation", async || {
        keeper.tables.lock().view.gates["h1"].incarnation != first
    })
    .await;
    site::wait_for_endpoints(&gate, 0).await;
}

#[tokio::test]
async fn adapter_in_use_is_not_evicted_by_the_next_owner() {
    let keeper = Keeper::start(site::view()).await;
    let config = site::config(&["h1", "h2"], &keeper);
    let first = site::start(&config, "h1").await;
    site::wait_for_endpoints(&first, 0).await;
    let second = site::start(&config, "h2").await;
    let engine = Engine::start("e1", site::engine_role(1, 4)).await;
    site::announce(&engine, &second);
    site::wait_for_endpoints(&first, 1).await;
    engine.set_mode(Mode::Paused);
    let http = site::http();
    let url = completions_url(&first);
    let long = tokio::spawn({
        let (http, url) = (http.clone(), url.clone());
        async move { send(&http, "POST", &url, &[], "{\"model\":\"a\",\"stream\":true}").await }
    });
    site::wait_until("the stream runs", async || engine.runs() == 1).await;
    keeper.assign("e1", "h2");
    site::wait_for_endpoints(&second, 1).await;
    let body = "{\"model\":\"b1\",\"stream\":true}";
    let headers = [("x-deadline-ms", "3000")];
    let reply = send(&http, "POST", &completions_url(&second), &headers, body).await;
    assert_eq!((reply.status, reply.ran().as_str()), (504, "no"), "{reply:?}");
    engine.set_mode(Mode::Normal);
    engine.resume.notify_waiters();
    let reply = long.await.expect("an answer");
    assert!(reply.body.ends_with("data: [DONE]\n\n") && reply.complete, "{reply:?}");
    let reply = send(&http, "POST", &completions_url(&second), &[], body).await;
    assert!(reply.body.ends_with("data: [DONE]\n\n"), "{reply:?}");
    assert_eq!(engine.tables.lock().violations, Vec::<String>::new());
}

#[tokio::test]
async fn disconnect_of_the_caller_cancels_the_request_at_the_engine() {
    let keeper = Keeper::start(site::view()).await;
    let gate = site::start(&site::config(&["h1"], &keeper), "h1").await;
    let engine = Engine::start("e1", site::engine_role(2, 4)).await;
    site::announce(&engine, &gate);
    site::wait_for_endpoints(&gate, 1).await;
    engine.set_mode(Mode::Paused);
    let url = completions_url(&gate);
    let call = tokio::spawn(async move {
        send(&site::http(), "POST", &url, &[], "{\"model\":\"a\",\"stream\":true}").await
    });
    site::wait_until("the stream runs", async || engine.runs() == 1).await;
    call.abort();
    site::wait_until("the request is cancelled", async || {
        engine.tables.lock().cancelled.len() == 1
    })
    .await;
}

#[tokio::test]
async fn draining_gate_leaves_the_addresses_and_completes_its_requests() {
    let keeper = Keeper::start(site::view()).await;
    let config = site::config(&["h1", "h2"], &keeper);
    let first = site::start(&config, "h1").await;
    site::wait_for_endpoints(&first, 0).await;
    let mut second = site::start(&config, "h2").await;
    let engine = Engine::start("e1", site::engine_role(2, 4)).await;
    site::announce(&engine, &first);
    site::wait_for_endpoints(&first, 1).await;
    site::wait_for_endpoints(&second, 0).await;
    let http = site::http();
    engine.set_mode(Mode::Paused);
    let url = completions_url(&second);
    site::wait_until("the second gate routes", async || {
        let reply = send(&http, "POST", &url, &[], "{\"model\":\"a\"}").await;
        reply.status == 200
    })
    .await;
    let long = tokio::spawn({
        let url = url.clone();
        async move { send(&site::http(), "POST", &url, &[], "{\"model\":\"a\",\"stream\":true}").await }
    });
    site::wait_until("the stream runs", async || engine.tables.lock().report.running.len() == 1)
        .await;
    second.stop.take().expect("the gate runs").send(()).expect("the gate awaits the signal");
    site::wait_until("both gates omit the draining gate", async || {
        let left = |list: Vec<String>| !list.contains(&second.entry.gate.to_string());
        left(addresses(&first).await) && left(addresses(&second).await)
    })
    .await;
    let reply = send(&http, "POST", &url, &[], "{\"model\":\"a\"}").await;
    assert_eq!(reply.status, 200, "a draining gate keeps serving: {reply:?}");
    site::wait_until("new requests are refused", async || {
        send(&http, "POST", &url, &[], "{\"model\":\"a\"}").await.code() == 1301
    })
    .await;
    assert!(!second.task.is_finished());
    engine.resume.notify_waiters();
    let reply = long.await.expect("an answer");
    assert!(reply.body.ends_with("data: [DONE]\n\n") && reply.complete, "{reply:?}");
    second.task.await.expect("the gate stops");
    assert!(!keeper.tables.lock().view.gates.contains_key("h2"), "the lease is released");
}

#[tokio::test]
async fn leaving_endpoint_receives_no_new_requests() {
    let keeper = Keeper::start(site::view()).await;
    let gate = site::start(&site::config(&["h1"], &keeper), "h1").await;
    let engine = Engine::start("e1", site::engine_role(2, 4)).await;
    let announcing = site::announce(&engine, &gate);
    site::wait_for_endpoints(&gate, 1).await;
    announcing.abort();
    let mut last = engine.announcement();
    last.leaving = true;
    let url = format!("http://{}/v1/announce", gate.entry.gate);
    let body = serde_json::to_string(&last).expect("JSON");
    let http = site::http();
    assert_eq!(send(&http, "POST", &url, &[], &body).await.status, 200);
    let reply = send(&http, "POST", &completions_url(&gate), &[], "{\"model\":\"a\"}").await;
    assert_eq!((reply.code(), reply.ran().as_str()), (1302, "no"));
    assert_eq!(engine.runs(), 0);
}

#[tokio::test]
async fn crash_implicates_requests_in_progress() {
    let keeper = Keeper::start(site::view()).await;
    let gate = site::start(&site::config(&["h1"], &keeper), "h1").await;
    let mut engine = Engine::start("e1", site::engine_role(2, 4)).await;
    let announcing = site::announce(&engine, &gate);
    site::wait_for_endpoints(&gate, 1).await;
    engine.set_mode(Mode::Paused);
    let url = completions_url(&gate);
    let call = tokio::spawn(async move {
        send(&site::http(), "POST", &url, &[], "{\"model\":\"a\",\"stream\":true}").await
    });
    site::wait_until("the stream runs", async || engine.runs() == 1).await;
    announcing.abort();
    engine.endpoint.generation = 2;
    engine.tables.lock().report = wire::endpoint::State { generation: 2, ..Default::default() };
    site::announce(&engine, &gate);
    site::wait_until("the request is implicated", async || {
        let tables = keeper.tables.lock();
        tables.implicated.first().is_some_and(|crash| &*crash.0 == "e1" && crash.1.len() == 1)
    })
    .await;
    call.abort();
}

#[tokio::test]
async fn repeated_load_failures_refuse_the_request() {
    let keeper = Keeper::start(site::view()).await;
    let gate = site::start(&site::config(&["h1"], &keeper), "h1").await;
    let engine = Engine::start("e1", site::engine_role(2, 4)).await;
    site::announce(&engine, &gate);
    site::wait_for_endpoints(&gate, 1).await;
    engine.tables.lock().load_failures = 3;
    let http = site::http();
    let url = completions_url(&gate);
    let call = send(&http, "POST", &url, &[], "{\"model\":\"a\"}");
    let reply = tokio::time::timeout(Duration::from_secs(20), call).await.expect("an answer");
    assert_eq!((reply.code(), reply.ran().as_str()), (1306, "no"), "{reply:?}");
    assert_eq!(engine.runs(), 0);
}
