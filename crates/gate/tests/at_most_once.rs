//! Non-idempotent requests run at most once, and what is refused as not run did not run.

mod fake;

use std::time::Duration;

use fake::engine::Engine;
use fake::engine::Mode;
use fake::keeper::Keeper;
use fake::site;
use fake::site::Running;
use fake::site::send;

const KEY: [(&str, &str); 1] = [("idempotency-key", "k1")];

async fn ledger() -> (Keeper, Running, Engine) {
    let keeper = Keeper::start(site::view()).await;
    let gate = site::start(&site::config(&["h1"], &keeper), "h1").await;
    let ledger = Engine::start("l1", site::service_role()).await;
    site::announce(&ledger, &gate);
    site::owns(&gate, 1).await;
    (keeper, gate, ledger)
}

fn orders(gate: &Running) -> String {
    format!("http://{}/v1/services/ledger/orders", gate.entry.gate)
}

#[tokio::test]
async fn parallel_calls_with_one_key_run_once() {
    let (_keeper, gate, ledger) = ledger().await;
    let http = site::http();
    let url = orders(&gate);
    let calls = (0..8).map(|_| send(&http, "POST", &url, &KEY, "pay"));
    let replies = futures::future::join_all(calls).await;
    assert!(replies.iter().any(|reply| reply.status == 200));
    for reply in replies {
        assert!(reply.status == 200 || reply.code() == 1202, "{reply:?}");
    }
    assert_eq!(ledger.runs(), 1);
}

#[tokio::test]
async fn lost_answer_of_a_claim_is_asked_for_again() {
    let (keeper, gate, ledger) = ledger().await;
    keeper.tables.lock().lose_claims = 2;
    let reply = send(&site::http(), "POST", &orders(&gate), &KEY, "pay").await;
    assert_eq!(reply.body, "run 1 of 3 bytes");
    assert_eq!(ledger.runs(), 1);
}

#[tokio::test]
async fn broken_call_is_unknown_ever_after() {
    let (_keeper, gate, ledger) = ledger().await;
    ledger.mode(Mode::Cut);
    let http = site::http();
    let reply = send(&http, "POST", &orders(&gate), &KEY, "pay").await;
    assert_eq!((reply.code(), reply.ran().as_str()), (1203, "unknown"), "{reply:?}");
    ledger.mode(Mode::Right);
    let again = send(&http, "POST", &orders(&gate), &KEY, "pay").await;
    assert_eq!((again.code(), again.ran().as_str()), (1203, "unknown"), "{again:?}");
    assert_eq!(ledger.runs(), 1);
}

#[tokio::test]
async fn refused_call_is_released_and_may_run_later() {
    let (keeper, gate, ledger) = ledger().await;
    ledger.mode(Mode::Busy);
    let http = site::http();
    let reply = send(&http, "POST", &orders(&gate), &KEY, "pay").await;
    assert_eq!(reply.ran(), "no", "{reply:?}");
    assert!(keeper.tables.lock().journal.is_empty());
    assert_eq!(ledger.runs(), 0);
    ledger.mode(Mode::Right);
    let again = send(&http, "POST", &orders(&gate), &KEY, "pay").await;
    assert_eq!(again.body, "run 1 of 3 bytes");
}

#[tokio::test]
async fn caller_that_goes_away_gets_the_recorded_answer_later() {
    let (_keeper, gate, ledger) = ledger().await;
    ledger.mode(Mode::Held);
    let http = site::http();
    let url = orders(&gate);
    let call = send(&http, "POST", &url, &KEY, "pay");
    tokio::time::timeout(Duration::from_millis(200), call).await.expect_err("it is held");
    site::until("the call runs", async || ledger.runs() == 1).await;
    let early = send(&http, "POST", &url, &KEY, "pay").await;
    assert_eq!((early.code(), early.ran().as_str()), (1202, "unknown"), "{early:?}");
    ledger.resume.notify_waiters();
    site::until("the answer is recorded", async || {
        let reply = send(&http, "POST", &url, &KEY, "pay").await;
        reply.body == "run 1 of 3 bytes" && reply.header("x-replayed") == "true"
    })
    .await;
    assert_eq!(ledger.runs(), 1);
}

#[tokio::test]
async fn key_is_known_when_no_endpoint_is_left() {
    let (keeper, gate, ledger) = ledger().await;
    let http = site::http();
    let first = send(&http, "POST", &orders(&gate), &KEY, "pay").await;
    assert_eq!(first.status, 200);
    keeper.change(|view| view.endpoints.clear());
    site::owns(&gate, 0).await;
    let again = send(&http, "POST", &orders(&gate), &KEY, "pay").await;
    assert_eq!(again.body, first.body, "{again:?}");
    let other = [("idempotency-key", "k2")];
    let refused = send(&http, "POST", &orders(&gate), &other, "pay").await;
    assert_eq!((refused.code(), refused.ran().as_str()), (1302, "no"));
    assert_eq!(ledger.runs(), 1);
}
