//! A non-idempotent request runs at most once when processes are killed or frozen and requests are resent.

use std::time::Duration;

use futures::future::join_all;
use nix::sys::signal::Signal;
use serde_json::json;
use site_tests::Answer;
use site_tests::Options;
use site_tests::Site;
use site_tests::wait;

const TIMEOUT: Duration = Duration::from_secs(20);

fn options() -> Options {
    Options { engines: 0, services: 2, ..Options::default() }
}

/// Delays the calls of all ledger endpoints.
async fn delay_ledger(site: &Site, millis: u64) {
    for ledger in ["ledger-1", "ledger-2"] {
        site.set_faults(ledger, json!({"late_percent": 100, "late_ms": millis})).await;
    }
}

/// Sends the same call through several gates concurrently; returns the responses received.
async fn send_through_gates(site: &Site, gates: &[usize], key: &str, body: &str) -> Vec<Answer> {
    let calls = gates.iter().map(|gate| site.sign(*gate, key, body));
    join_all(calls).await.into_iter().filter_map(Result::ok).collect()
}

/// Resends a call until the response is final.
async fn send_until_final(site: &Site, gate: usize, key: &str, body: &str) -> Answer {
    wait::until("a final response", TIMEOUT, || async {
        let answer = site.sign(gate, key, body).await.ok()?;
        let retryable = matches!(answer.code(), 1202 | 1300 | 1302 | 1308 | 1700 | 1701);
        (!retryable).then_some(answer)
    })
    .await
}

#[tokio::test]
async fn concurrent_calls_with_one_key() {
    let site = Site::start(options()).await;
    site.mark_sign_non_idempotent().await;
    delay_ledger(&site, 300).await;
    for round in 0..5 {
        let key = format!("order-{round}");
        let answers = send_through_gates(&site, &[1, 2, 3, 4, 5], &key, "{\"order\":7}").await;
        let answered = answers.iter().filter(|answer| answer.status == 200).count();
        assert!(answered >= 1, "{answers:?}");
        let last = send_until_final(&site, 1 + round, &key, "{\"order\":7}").await;
        assert_eq!(last.status, 200, "{}", last.text());
        for answer in answers.iter().filter(|answer| answer.status == 200) {
            assert_eq!(answer.body, last.body);
        }
        assert_eq!(site.key_runs(&key).await, 1);
    }
}

#[tokio::test]
async fn the_claiming_gate_is_killed() {
    let mut site = Site::start(options()).await;
    site.mark_sign_non_idempotent().await;
    delay_ledger(&site, 1_500).await;
    let (gate, key, body) = (2, "order-kill", "{\"order\":8}");
    let url = site.url(gate, "/v1/services/ledger/sign");
    let client = site.client.clone();
    let first =
        tokio::spawn(
            async move { client.send("POST", &url, &[("idempotency-key", key)], body).await },
        );
    wait::until("the call runs", TIMEOUT, || async {
        (site.key_runs(key).await == 1).then_some(())
    })
    .await;
    site.process("gate-2").kill();
    assert!(first.await.expect("the task does not panic").is_err());
    let answers = send_through_gates(&site, &[1, 3, 4, 5], key, body).await;
    for answer in &answers {
        assert!(!answer.not_run(), "claimed, but refused as not run: {}", answer.text());
    }
    let last = send_until_final(&site, 3, key, body).await;
    assert!(last.status == 200 || last.code() == 1203, "{}", last.text());
    site.process("gate-2").restart();
    site.wait_ready(2).await;
    let again = send_until_final(&site, 2, key, body).await;
    assert_eq!(again.code(), last.code());
    assert_eq!(site.key_runs(key).await, 1);
}

#[tokio::test]
async fn the_claiming_gate_is_frozen_past_its_lease() {
    let mut site = Site::start(options()).await;
    site.mark_sign_non_idempotent().await;
    delay_ledger(&site, 1_000).await;
    let (key, body) = ("order-freeze", "{\"order\":9}");
    let url = site.url(4, "/v1/services/ledger/sign");
    let client = site.client.clone();
    let first =
        tokio::spawn(
            async move { client.send("POST", &url, &[("idempotency-key", key)], body).await },
        );
    wait::until("the call runs", TIMEOUT, || async {
        (site.key_runs(key).await == 1).then_some(())
    })
    .await;
    site.process("gate-4").signal(Signal::SIGSTOP);
    let last = send_until_final(&site, 1, key, body).await;
    site.process("gate-4").signal(Signal::SIGCONT);
    let first = first.await.expect("the task does not panic").expect("a response");
    assert!(!first.not_run(), "{}", first.text());
    for answer in send_through_gates(&site, &[1, 2, 3, 4, 5], key, body).await {
        assert!(!answer.not_run() || answer.code() == 1300, "{}", answer.text());
    }
    assert!(last.status == 200 || last.code() == 1203, "{}", last.text());
    assert_eq!(site.key_runs(key).await, 1);
}

#[tokio::test]
async fn a_call_to_a_frozen_owner_is_decided_by_its_key() {
    let mut site = Site::start(Options { services: 1, ..options() }).await;
    site.mark_sign_non_idempotent().await;
    let owner = site.owner("ledger-1").await;
    let other = 1 + owner % 5;
    site.process(&format!("gate-{owner}")).signal(Signal::SIGSTOP);
    let answer = site.sign(other, "order-owner", "{}").await.expect("a response");
    let runs = site.key_runs("order-owner").await;
    site.process(&format!("gate-{owner}")).signal(Signal::SIGCONT);
    if answer.not_run() {
        assert_eq!(runs, 0, "{}", answer.text());
    }
    assert_ne!(answer.code(), 1504, "{}", answer.text());
    let last = send_until_final(&site, other, "order-owner", "{}").await;
    assert_eq!(last.status, 200, "{}", last.text());
    assert_eq!(site.key_runs("order-owner").await, 1);
}

#[tokio::test]
async fn the_leading_keeper_is_killed_during_calls() {
    let mut site = Site::start(options()).await;
    site.mark_sign_non_idempotent().await;
    for round in 0..3 {
        let key = format!("order-leader-{round}");
        let leader = site.leader(1).await;
        let calls = send_through_gates(&site, &[1, 2, 3], &key, "{}");
        kill_keeper(&site, leader);
        calls.await;
        let last = send_until_final(&site, 4, &key, "{}").await;
        assert!(last.status == 200 || last.code() == 1203, "{}", last.text());
        assert!(site.key_runs(&key).await <= 1);
        site.process(&format!("keeper-{leader}")).restart();
        site.wait_ready(2).await;
    }
}

fn kill_keeper(site: &Site, keeper: usize) {
    site.processes[&format!("keeper-{keeper}")].signal(Signal::SIGKILL);
}

#[tokio::test]
async fn all_gates_and_keepers_restart() {
    let mut site = Site::start(options()).await;
    site.mark_sign_non_idempotent().await;
    let first = send_until_final(&site, 1, "order-all", "{}").await;
    assert_eq!(first.status, 200, "{}", first.text());
    site.restart_entries();
    site.wait_ready(2).await;
    let again = send_until_final(&site, 5, "order-all", "{}").await;
    assert_eq!(again.body, first.body);
    assert_eq!(again.header("x-replayed"), "true");
    assert_eq!(site.key_runs("order-all").await, 1);
}
