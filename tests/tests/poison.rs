//! A request that crashes engines is quarantined; concurrent requests on these engines are not.

use std::time::Duration;

use base::Set;
use futures::future::join_all;
use serde_json::json;
use site_tests::Answer;
use site_tests::Options;
use site_tests::Site;
use site_tests::wait;

const TIMEOUT: Duration = Duration::from_secs(40);
/// Time within which a change is in force at all gates.
const IN_FORCE: Duration = Duration::from_secs(3);
/// Maximum number of engines that one poisonous request may crash.
const MAX_CRASHES: usize = 3;

/// Sends the poisonous request through a gate.
async fn send_poison(site: &Site, gate: usize) -> Result<Answer, String> {
    site.complete(gate, "quotes@v1", "BOOM").await
}

/// Returns the number of engine generations that ended with a crash.
async fn count_crashes(site: &Site) -> usize {
    let mut crashed = Set::default();
    for engine in 1..=4 {
        let record = site.record(&format!("engine-{engine}")).await;
        let runs = record["runs"].as_array().cloned().unwrap_or_default();
        let ended = runs.iter().filter(|run| run["end"] == "crashed");
        crashed.extend(ended.map(|run| (engine, run["generation"].as_u64())));
    }
    crashed.len()
}

#[tokio::test]
async fn a_poisonous_request_is_quarantined() {
    let args = ["--poison", "BOOM", "--down-ms", "300"].map(str::to_owned).to_vec();
    let options = Options { engines: 4, services: 0, engine_args: args, ..Options::default() };
    let site = Site::start(options).await;
    site.create_adapter("quotes", 1).await;
    let innocents = (0..30).map(|index| {
        let site = &site;
        async move {
            let body = json!({"model": "quotes@v1", "prompt": format!("innocent {index}"), "max_tokens": 12});
            let url = site.url(1 + index % 5, "/v1/completions");
            let headers = [("x-deadline-ms", "30000")];
            let answer = wait::until("a response to an innocent request", TIMEOUT, || async {
                let answer = site.client.send("POST", &url, &headers, body.to_string()).await.ok()?;
                assert_ne!(answer.code(), 1400, "an innocent request is quarantined");
                (answer.status == 200).then_some(answer)
            })
            .await;
            answer.status
        }
    });
    let sender = async {
        let mut gate = 0;
        wait::until("the quarantine", TIMEOUT, || {
            gate = 1 + gate % 5;
            let site = &site;
            async move {
                let answer = send_poison(site, gate).await.ok()?;
                assert_ne!(answer.status, 200);
                (answer.code() == 1400).then_some(())
            }
        })
        .await;
    };
    let (answers, ()) = tokio::join!(join_all(innocents), sender);
    assert!(answers.iter().all(|status| *status == 200));
    let crashes = count_crashes(&site).await;
    assert!(crashes <= MAX_CRASHES, "{crashes} engines crashed");
    // A gate receives changes with the next renewal of its lease. Until then it refuses the request as
    // suspected, and no engine runs it.
    let quarantined_at = std::time::Instant::now();
    for gate in 1..=5 {
        wait::until("a gate that applies the quarantine", IN_FORCE, || async {
            let answer = send_poison(&site, gate).await.expect("a response");
            assert!(answer.not_run(), "{}", answer.text());
            assert!([1400, 1401].contains(&answer.code()), "{}", answer.text());
            (answer.code() == 1400).then_some(())
        })
        .await;
    }
    assert!(quarantined_at.elapsed() <= IN_FORCE, "{:?}", quarantined_at.elapsed());
    assert_eq!(count_crashes(&site).await, crashes, "the request ran after the quarantine");
    let list = site.ctl_ok(&["quarantine"]).await;
    assert_eq!(list.lines().count(), 2, "{list}");
}
