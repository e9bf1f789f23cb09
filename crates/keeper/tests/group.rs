//! Groups of keepers: creation, new replicas, crashes and snapshots.

mod site;

use base::Name;
use site::*;
use state::Command;
use state::Outcome;
use state::journal::Answer;
use state::journal::Claim;
use state::journal::Key;

#[tokio::test]
async fn one_keeper_creates_the_group_and_the_others_join() {
    let site = Site::start_new(5).await;
    let outcome = site.submit(&create_adapter("a")).await;
    assert!(matches!(outcome, Outcome::Done { .. }), "{outcome:?}");
    assert!(site.view().await.adapters.contains_key("a"));
}

#[tokio::test]
async fn committed_commands_survive_crashes_of_the_leader() {
    let mut site = Site::start_new(3).await;
    let first = site.submit(&create_adapter("a")).await;
    for _ in 0..3 {
        let leader = site.wait_until_settled().await;
        site.crash(&leader);
        assert_eq!(site.submit(&create_adapter("a")).await, first);
        site.start(&leader, false).await;
        site.wait_until_settled().await;
    }
    assert_eq!(site.view().await.adapters.len(), 1);
}

#[tokio::test]
async fn group_survives_a_second_crash_after_a_replacement() {
    let mut site = Site::start_new(3).await;
    site.submit(&create_adapter("a")).await;
    let before = site.status("h1").await.unwrap().id;
    site.crash("h1");
    site.start("h1", false).await;
    site.wait_until_settled().await;
    assert_ne!(site.status("h1").await.unwrap().id, before);
    site.crash("h2");
    site.submit(&create_adapter("b")).await;
    assert_eq!(site.view().await.adapters.len(), 2);
}

#[tokio::test]
async fn new_replica_catches_up_from_a_snapshot() {
    let mut site = Site::new(3, None);
    site.snapshot_after_entries = 16;
    site.start_all().await;
    for index in 0..400 {
        site.submit(&create_adapter(&format!("a{index}"))).await;
    }
    let revision = site.view().await.configuration;
    site.crash("h1");
    site.start("h1", false).await;
    site.wait_until_settled().await;
    wait_until("the new replica has all changes", async || {
        let status = site.status("h1").await?;
        (status.configuration == revision).then_some(())
    })
    .await;
}

/// Claims a new key and records a large response for it.
async fn record(site: &Site, number: usize) {
    let key = Key { scope: Name::from("ledger"), key: Name::from(number.to_string()) };
    let claim = Claim {
        key: key.clone(),
        digest: 1,
        request: Name::from(number.to_string()),
        gate: Name::from("g1"),
        incarnation: 1,
        created_ms: None,
    };
    let claimed = site.submit(&Command::Claim { claim, now_ms: 0 }).await;
    let Outcome::Claimed { claim } = claimed else { panic!("{claimed:?}") };
    let body = Some(vec![0; 60_000].into());
    let answer = Answer { status: 200, content_type: Name::from("text/plain"), body };
    let finish = Command::Finish { key, claim, answer, now_ms: 0 };
    assert!(matches!(site.submit(&finish).await, Outcome::Done { .. }));
}

#[tokio::test]
async fn new_replica_catches_up_from_a_large_snapshot() {
    let mut site = Site::new(3, None);
    site.config.timing.lease_ms = 60_000;
    site.snapshot_after_entries = 16;
    site.start_all().await;
    site.renew(&renewal("g1", 1, 0)).await.unwrap();
    // More entries than a replica keeps in memory after a snapshot, so that the new one needs the snapshot.
    for number in 0..150 {
        record(&site, number).await;
    }
    site.crash("h1");
    site.start("h1", false).await;
    site.wait_until_settled().await;
    site.crash("h2");
    record(&site, 150).await;
}

#[tokio::test]
async fn stopping_leader_answers_all_calls() {
    let mut site = Site::start_new(3).await;
    let leader = site.wait_until_settled().await;
    let client = site.client(&leader).await.unwrap();
    let mut calls = tokio::task::JoinSet::new();
    for index in 0..50 {
        let client = client.clone();
        calls.spawn(
            async move { client.submit(context(), create_adapter(&format!("a{index}"))).await },
        );
    }
    let keeper = site.keepers.remove(&leader).unwrap();
    keeper.stop().await.unwrap();
    let mut done = 0;
    while let Some(result) = calls.join_next().await {
        done += usize::from(matches!(result.unwrap(), Ok(Ok(Outcome::Done { .. }))));
    }
    let created = site.view().await.adapters.len();
    assert_eq!(done, created);
}
