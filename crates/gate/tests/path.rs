//! Requests through one gate and through two.

mod fake;

use fake::engine::Engine;
use fake::engine::Mode;
use fake::keeper::Keeper;
use fake::site;
use fake::site::send;

#[tokio::test]
async fn completion_is_loaded_on_demand_and_answered_by_its_version() {
    let keeper = Keeper::start(site::view()).await;
    let gate = site::start(&site::config(&["h1"], &keeper), "h1").await;
    let engine = Engine::start("e1", site::engine_role(2, 4)).await;
    let announcing = site::announce(&engine, &gate);
    site::wait_for_endpoints(&gate, 1).await;
    let http = site::http();
    let url = format!("http://{}/v1/completions", gate.entry.gate);
    for (model, version) in [("a", "v1"), ("a@v2", "v2"), ("b1", "v1"), ("b2@v1", "v1")] {
        let body = format!("{{\"model\":\"{model}\",\"stream\":true}}");
        let reply = send(&http, "POST", &url, &[], &body).await;
        assert_eq!(reply.status, 200, "{}", reply.body);
        assert_eq!(reply.header("x-version"), version);
        assert!(reply.body.ends_with("data: [DONE]\n\n") && reply.complete);
        assert_eq!(reply.body.matches("word").count(), 5);
    }
    let reply = send(&http, "POST", &url, &[], "{\"model\":\"a@v1\"}").await;
    assert!(reply.body.contains("word") && reply.status == 200, "{reply:?}");
    assert!(engine.tables.lock().violations.is_empty());
    announcing.abort();
}

#[tokio::test]
async fn refusals_carry_their_codes() {
    let keeper = Keeper::start(site::view()).await;
    let gate = site::start(&site::config(&["h1"], &keeper), "h1").await;
    site::wait_for_endpoints(&gate, 0).await;
    let http = site::http();
    let address = &gate.entry.gate;
    let large = "x".repeat(2 << 20);
    let cases = [
        ("POST", "/v1/completions", "{", &[][..], 1000),
        ("POST", "/v1/completions", &large, &[], 1001),
        ("GET", "/nothing", "", &[], 1002),
        ("GET", "/v1/completions", "", &[], 1003),
        ("POST", "/v1/completions", "{\"model\":\"a\"}", &[("x-priority", "10")], 1004),
        ("POST", "/v1/completions", "{\"model\":\"a@\"}", &[], 1006),
        ("POST", "/v1/completions", "{\"model\":\"z\"}", &[], 1100),
        ("POST", "/v1/completions", "{\"model\":\"a@v9\"}", &[], 1101),
        ("GET", "/v1/services/none/x", "", &[], 1104),
        ("POST", "/v1/services/ledger/orders", "x", &[], 1200),
        ("POST", "/v1/completions", "{\"model\":\"a\"}", &[], 1302),
    ];
    for (method, path, body, headers, code) in cases {
        let reply = send(&http, method, &format!("http://{address}{path}"), headers, body).await;
        assert_eq!(reply.code(), code, "{method} {path}: {}", reply.body);
        assert_eq!(reply.ran(), "no");
        assert!(!reply.header("x-request-id").is_empty());
    }
}

#[tokio::test]
async fn non_idempotent_call_runs_once_through_two_gates() {
    let keeper = Keeper::start(site::view()).await;
    let config = site::config(&["h1", "h2"], &keeper);
    let first = site::start(&config, "h1").await;
    site::wait_for_endpoints(&first, 0).await;
    let second = site::start(&config, "h2").await;
    let ledger = Engine::start("l1", site::service_role()).await;
    let announcing = site::announce(&ledger, &second);
    site::wait_for_endpoints(&first, 1).await;
    let http = site::http();
    let key = [("idempotency-key", "k1")];
    for (number, gate) in [&second, &first, &second].into_iter().enumerate() {
        let url = format!("http://{}/v1/services/ledger/orders", gate.entry.gate);
        let mut reply = send(&http, "POST", &url, &key, "pay").await;
        if number == 0 {
            // The second gate may not know of the endpoint yet.
            site::wait_until("the endpoint is known", async || {
                reply = send(&http, "POST", &url, &key, "pay").await;
                reply.status == 200
            })
            .await;
        }
        assert_eq!(reply.body, "run 1 of 3 bytes");
    }
    let url = format!("http://{}/v1/services/ledger/orders", first.entry.gate);
    let replay = send(&http, "POST", &url, &key, "pay").await;
    assert_eq!(replay.header("x-replayed"), "true");
    let other = send(&http, "POST", &url, &key, "pay twice").await;
    assert_eq!(other.code(), 1201);
    assert_eq!(ledger.runs(), 1);
    announcing.abort();
}

#[tokio::test]
async fn caller_over_its_limit_is_refused_and_others_are_not() {
    let mut view = site::view();
    view.defaults.caller_limit = 1;
    let keeper = Keeper::start(view).await;
    let gate = site::start(&site::config(&["h1"], &keeper), "h1").await;
    let engine = Engine::start("e1", site::engine_role(2, 4)).await;
    site::announce(&engine, &gate);
    site::wait_for_endpoints(&gate, 1).await;
    engine.set_mode(Mode::Paused);
    let url = format!("http://{}/v1/completions", gate.entry.gate);
    let body = "{\"model\":\"a\",\"stream\":true}";
    let held = tokio::spawn({
        let url = url.clone();
        async move { send(&site::http(), "POST", &url, &[("x-caller", "one")], body).await }
    });
    site::wait_until("the stream runs", async || engine.runs() == 1).await;
    engine.set_mode(Mode::Normal);
    let http = site::http();
    let reply = send(&http, "POST", &url, &[("x-caller", "one")], body).await;
    assert_eq!((reply.code(), reply.ran().as_str()), (1307, "no"));
    let reply = send(&http, "POST", &url, &[("x-caller", "two")], body).await;
    assert_eq!(reply.status, 200);
    engine.resume.notify_waiters();
    assert!(held.await.expect("an answer").complete);
}

#[tokio::test]
async fn request_is_explained_by_the_gates_that_decided() {
    let keeper = Keeper::start(site::view()).await;
    let config = site::config(&["h1", "h2"], &keeper);
    let first = site::start(&config, "h1").await;
    site::wait_for_endpoints(&first, 0).await;
    let second = site::start(&config, "h2").await;
    let engine = Engine::start("e1", site::engine_role(2, 4)).await;
    site::announce(&engine, &first);
    site::wait_for_endpoints(&first, 1).await;
    site::wait_for_endpoints(&second, 0).await;
    let http = site::http();
    let url = format!("http://{}/v1/completions", second.entry.gate);
    let mut id = String::new();
    site::wait_until("the second gate relays the request", async || {
        let reply = send(&http, "POST", &url, &[], "{\"model\":\"a\"}").await;
        id = reply.header("x-request-id").to_owned();
        reply.status == 200
    })
    .await;
    let url = format!("http://{}/v1/explain/{id}", second.entry.gate_admin);
    let lines = send(&http, "GET", &url, &[], "").await.body;
    assert!(lines.contains("h2: 205 Forwarded: to h1 for e1"), "{lines}");
    assert!(lines.contains("h1: 200 Routed: to e1"), "{lines}");
}
