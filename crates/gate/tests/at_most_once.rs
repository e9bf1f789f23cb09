//! Non-idempotent requests run at most once, and requests that are refused as not run did not run.

mod fake;

use std::time::Duration;

use fake::engine::Engine;
use fake::engine::Mode;
use fake::keeper::Keeper;
use fake::site;
use fake::site::Running;
use fake::site::send;

const KEY: [(&str, &str); 1] = [("idempotency-key", "k1")];

async fn start_ledger() -> (Keeper, Running, Engine) {
    let keeper = Keeper::start(site::view()).await;
    let gate = site::start(&site::config(&["h1"], &keeper), "h1").await;
    let ledger = Engine::start("l1", site::service_role()).await;
    site::announce(&ledger, &gate);
    site::wait_for_endpoints(&gate, 1).await;
    (keeper, gate, ledger)
}

fn orders_url(gate: &Running) -> String {
    format!("http://{}/v1/services/ledger/orders", gate.entry.gate)
}

#[tokio::test]
async fn parallel_calls_with_one_key_run_once() {
    let (_keeper, gate, ledger) = start_ledger().await;
    let http = site::http();
    let url = orders_url(&gate);
    let calls = (0..8).map(|_| send(&http, "POST", &url, &KEY, "pay"));
    let replies = futures::future::join_all(calls).await;
    assert!(replies.iter().any(|reply| reply.status == 200));
    for reply in replies {
        assert!(reply.status == 200 || reply.code() == 1202, "{reply:?}");
    }
    assert_eq!(ledger.runs(), 1);
}

#[tokio::test]
async fn claim_with_a_lost_response_is_retried() {
    let (keeper, gate, ledger) = start_ledger().await;
    keeper.tables.lock().lose_claims = 2;
    let reply = send(&site::http(), "POST", &orders_url(&gate), &KEY, "pay").await;
    assert_eq!(reply.body, "run 1 of 3 bytes");
    assert_eq!(ledger.runs(), 1);
}

#[tokio::test]
async fn broken_call_keeps_its_unknown_outcome() {
    let (_keeper, gate, ledger) = start_ledger().await;
    ledger.set_mode(Mode::Disconnected);
    let http = site::http();
    let reply = send(&http, "POST", &orders_url(&gate), &KEY, "pay").await;
    assert_eq!((reply.code(), reply.ran().as_str()), (1203, "unknown"), "{reply:?}");
    ledger.set_mode(Mode::Normal);
    let again = send(&http, "POST", &orders_url(&gate), &KEY, "pay").await;
    assert_eq!((again.code(), again.ran().as_str()), (1203, "unknown"), "{again:?}");
    assert_eq!(ledger.runs(), 1);
}

#[tokio::test]
async fn claim_of_a_refused_call_is_released() {
    let (keeper, gate, ledger) = start_ledger().await;
    ledger.set_mode(Mode::Busy);
    let http = site::http();
    let reply = send(&http, "POST", &orders_url(&gate), &KEY, "pay").await;
    assert_eq!(reply.ran(), "no", "{reply:?}");
    assert!(keeper.tables.lock().journal.is_empty());
    assert_eq!(ledger.runs(), 0);
    ledger.set_mode(Mode::Normal);
    let again = send(&http, "POST", &orders_url(&gate), &KEY, "pay").await;
    assert_eq!(again.body, "run 1 of 3 bytes");
}

#[tokio::test]
async fn caller_that_disconnected_gets_the_recorded_response_later() {
    let (_keeper, gate, ledger) = start_ledger().await;
    ledger.set_mode(Mode::Paused);
    let http = site::http();
    let url = orders_url(&gate);
    let call = send(&http, "POST", &url, &KEY, "pay");
    tokio::time::timeout(Duration::from_millis(200), call).await.expect_err("the call is paused");
    site::wait_until("the call runs", async || ledger.runs() == 1).await;
    let early = send(&http, "POST", &url, &KEY, "pay").await;
    assert_eq!((early.code(), early.ran().as_str()), (1202, "unknown"), "{early:?}");
    ledger.resume.notify_waiters();
    site::wait_until("the response is recorded", async || {
        let reply = send(&http, "POST", &url, &KEY, "pay").await;
        reply.body == "run 1 of 3 bytes" && reply.header("x-replayed") == "true"
    })
    .await;
    assert_eq!(ledger.runs(), 1);
}

#[tokio::test]
async fn recorded_response_is_returned_without_an_endpoint() {
    let (keeper, gate, ledger) = start_ledger().await;
    let http = site::http();
    let first = send(&http, "POST", &orders_url(&gate), &KEY, "pay").await;
    assert_eq!(first.status, 200);
    keeper.change(|view| view.endpoints.clear());
    site::wait_for_endpoints(&gate, 0).await;
    let again = send(&http, "POST", &orders_url(&gate), &KEY, "pay").await;
    assert_eq!(again.body, first.body, "{again:?}");
    let other = [("idempotency-key", "k2")];
    let refused = send(&http, "POST", &orders_url(&gate), &other, "pay").await;
    assert_eq!((refused.code(), refused.ran().as_str()), (1302, "no"));
    assert_eq!(ledger.runs(), 1);
}
