//! Broken links and partitioned hosts, through the fault-injecting proxy.

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use site_tests::Options;
use site_tests::Site;
use site_tests::wait;

const TIMEOUT: Duration = Duration::from_secs(25);
const IN_FORCE: Duration = Duration::from_secs(3);
/// Time after which a lost gate holds no lease.
const MAX_LEASE: Duration = Duration::from_secs(3);

fn options() -> Options {
    Options { engines: 2, proxied: true, ..Options::default() }
}

/// Waits until a gate refuses requests because it holds no lease.
async fn wait_until_not_serving(site: &Site, gate: usize) {
    wait::until("the partitioned gate refuses", TIMEOUT, || async {
        let answer = site.complete(gate, "quotes@v1", "cut off").await.ok()?;
        (answer.code() == 1300 && answer.not_run()).then_some(())
    })
    .await;
}

#[tokio::test]
async fn a_partitioned_host_stops_serving_and_changes_come_into_force_without_it() {
    let site = Site::start(options()).await;
    site.create_adapter("quotes", 1).await;
    let leader = site.leader(1).await;
    let partitioned = 1 + leader % 5;
    let other = 1 + (leader + 1) % 5;
    site.isolate(partitioned).await;
    let begin = Instant::now();
    site.ctl_ok(&["version", "create", "quotes", "v2", "--wait", "10"]).await;
    let took = begin.elapsed();
    assert!(took < IN_FORCE, "in force after {took:?}");
    wait_until_not_serving(&site, partitioned).await;
    let answer = site.complete(other, "quotes@v2", "new version").await.expect("a response");
    assert_eq!(answer.status, 200, "{}", answer.text());
    site.heal(partitioned).await;
    wait::until("the healed gate serves the new version", TIMEOUT, || async {
        let answer = site.complete(partitioned, "quotes@v2", "healed").await.ok()?;
        assert_ne!(answer.code(), 1101, "served without the change");
        (answer.status == 200).then_some(())
    })
    .await;
    assert_eq!(site.violations().await, Vec::<Value>::new());
}

#[tokio::test]
async fn a_change_sent_to_a_partitioned_gate_comes_into_force_through_another_gate() {
    let site = Site::start(options()).await;
    site.create_adapter("quotes", 1).await;
    let partitioned = 1 + site.leader(1).await % 5;
    let address = site.config.entries[partitioned - 1].gate_admin.to_string();
    site.isolate(partitioned).await;
    let begin = Instant::now();
    let change = ["version", "create", "quotes", "v2", "--wait", "10", "--address", &address];
    site.ctl_ok(&change).await;
    let took = begin.elapsed();
    assert!(took < IN_FORCE, "in force after {took:?}");
}

#[tokio::test]
async fn a_request_relayed_into_a_partition_is_answered_before_its_deadline() {
    let site = Site::start(options()).await;
    site.create_adapter("quotes", 1).await;
    let owners = [site.owner("engine-1").await, site.owner("engine-2").await];
    let partitioned = (1..=5).find(|gate| !owners.contains(gate)).expect("a gate without engines");
    site.isolate(partitioned).await;
    let begin = Instant::now();
    let answer = site.complete(partitioned, "quotes@v1", "relayed").await.expect("a response");
    let took = begin.elapsed();
    assert_eq!(answer.code(), 1504, "{}", answer.text());
    assert!(took < MAX_LEASE, "answered after {took:?}");
}

#[tokio::test]
async fn the_leading_host_is_partitioned() {
    let site = Site::start(options()).await;
    site.create_adapter("quotes", 1).await;
    site.mark_sign_non_idempotent().await;
    let leader = site.leader(1).await;
    let other = 1 + leader % 5;
    site.isolate(leader).await;
    wait::until("a change through another leader", TIMEOUT, || async {
        let args = ["version", "create", "quotes", "v2", "--id", "after-the-cut"];
        site.ctl(&args).await.status.success().then_some(())
    })
    .await;
    wait_until_not_serving(&site, leader).await;
    let signed = wait::until("a signed order", TIMEOUT, || async {
        let answer = site.sign(other, "order-cut", "{}").await.ok()?;
        (answer.status == 200).then_some(answer)
    })
    .await;
    site.heal(leader).await;
    wait::until("the former leader replays the response", TIMEOUT, || async {
        let answer = site.sign(leader, "order-cut", "{}").await.ok()?;
        (answer.body == signed.body).then_some(())
    })
    .await;
    assert_eq!(site.key_runs("order-cut").await, 1);
}

#[tokio::test]
async fn a_request_refused_as_not_run_did_not_run() {
    let site = Site::start(options()).await;
    site.create_adapter("quotes", 1).await;
    let rules = [
        json!({"cut": true}),
        json!({"cut_request_after": 0}),
        json!({"cut_request_after": 60}),
        json!({"cut_answer_after": 0}),
        json!({"cut_answer_after": 80}),
    ];
    for (step, rule) in rules.iter().enumerate() {
        site.set_links("endpoint-engine", rule.clone()).await;
        for index in 0..6 {
            let id = format!("request-{step}-{index}");
            let body = json!({"model": "quotes@v1", "prompt": id, "max_tokens": 2}).to_string();
            let url = site.url(1 + index % 5, "/v1/completions");
            let headers = [("x-request-id", id.as_str()), ("x-deadline-ms", "3000")];
            let Ok(answer) = site.client.send("POST", &url, &headers, body).await else { continue };
            let id = answer.header("x-request-id").to_owned();
            if answer.status != 200 && answer.not_run() {
                assert!(!ran(&site, &id).await, "ran: {id}: {}", answer.text());
            }
        }
        site.set_links("endpoint-engine", json!({})).await;
        wait::until("the site serves again", TIMEOUT, || async {
            let answer = site.complete(1, "quotes@v1", "again").await.ok()?;
            (answer.status == 200).then_some(())
        })
        .await;
    }
}

async fn ran(site: &Site, request: &str) -> bool {
    for engine in ["engine-1", "engine-2"] {
        let record = site.record(engine).await;
        let runs = record["runs"].as_array().cloned().unwrap_or_default();
        if runs.iter().any(|run| run["request"] == request) {
            return true;
        }
    }
    false
}

#[tokio::test]
async fn a_call_whose_link_is_cut_runs_at_most_once() {
    let site = Site::start(options()).await;
    site.mark_sign_non_idempotent().await;
    let rules = [
        json!({"cut_request_after": 0, "times": 1}),
        json!({"cut_request_after": 40, "times": 1}),
        json!({"cut_answer_after": 0, "times": 1}),
        json!({"cut_answer_after": 60, "times": 1}),
    ];
    let mut unknown = 0;
    for (step, rule) in rules.iter().enumerate() {
        let key = format!("order-{step}");
        site.set_links("endpoint-ledger", rule.clone()).await;
        let first = site.sign(1 + step % 5, &key, "{}").await.expect("a response");
        site.set_links("endpoint-ledger", json!({})).await;
        if first.status != 200 && first.not_run() {
            assert_eq!(site.key_runs(&key).await, 0, "{}", first.text());
        }
        for gate in 1..=5 {
            let again = wait::until("a final response", TIMEOUT, || async {
                let answer = site.sign(gate, &key, "{}").await.ok()?;
                let retryable = matches!(answer.code(), 1202 | 1300 | 1302 | 1308 | 1700 | 1701);
                (!retryable).then_some(answer)
            })
            .await;
            assert!(again.status == 200 || again.code() == 1203, "{}", again.text());
            unknown += usize::from(again.code() == 1203);
        }
        assert!(site.key_runs(&key).await <= 1);
    }
    println!("answers with unknown outcome: {unknown} of 20");
}
