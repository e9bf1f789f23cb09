//! Groups of keepers: founding, joining, losses.

mod site;

use site::*;
use state::Outcome;

#[tokio::test]
async fn one_keeper_founds_the_group_and_the_others_join() {
    let site = Site::started(5).await;
    let outcome = site.submit(&create("a")).await;
    assert!(matches!(outcome, Outcome::Done { .. }), "{outcome:?}");
    assert!(site.view().await.adapters.contains_key("a"));
}

#[tokio::test]
async fn nothing_committed_is_lost_with_the_leader() {
    let mut site = Site::started(3).await;
    let first = site.submit(&create("a")).await;
    for _ in 0..3 {
        let leader = site.settled().await;
        site.kill(&leader);
        assert_eq!(site.submit(&create("a")).await, first);
        site.start(&leader, false).await;
        site.settled().await;
    }
    assert_eq!(site.view().await.adapters.len(), 1);
}

#[tokio::test]
async fn a_second_loss_right_after_a_repair_is_survived() {
    let mut site = Site::started(3).await;
    site.submit(&create("a")).await;
    let before = site.status("h1").await.unwrap().id;
    site.kill("h1");
    site.start("h1", false).await;
    site.settled().await;
    assert_ne!(site.status("h1").await.unwrap().id, before);
    site.kill("h2");
    site.submit(&create("b")).await;
    assert_eq!(site.view().await.adapters.len(), 2);
}

#[tokio::test]
async fn a_new_replica_catches_up_from_a_snapshot() {
    let mut site = Site::new(3, None);
    site.compact_entries = 16;
    site.start_all().await;
    for index in 0..400 {
        site.submit(&create(&format!("a{index}"))).await;
    }
    let revision = site.view().await.configuration;
    site.kill("h1");
    site.start("h1", false).await;
    site.settled().await;
    until("the new replica has it all", async || {
        let status = site.status("h1").await?;
        (status.configuration == revision).then_some(())
    })
    .await;
}

#[tokio::test]
async fn a_leader_that_stops_leaves_no_call_without_its_answer() {
    let mut site = Site::started(3).await;
    let leader = site.settled().await;
    let client = site.client(&leader).await.unwrap();
    let mut calls = tokio::task::JoinSet::new();
    for index in 0..50 {
        let client = client.clone();
        calls.spawn(async move { client.submit(context(), create(&format!("a{index}"))).await });
    }
    let keeper = site.keepers.remove(&leader).unwrap();
    keeper.stop().await.unwrap();
    let mut done = 0;
    while let Some(answer) = calls.join_next().await {
        done += usize::from(matches!(answer.unwrap(), Ok(Ok(Outcome::Done { .. }))));
    }
    let known = site.view().await.adapters.len();
    assert_eq!(done, known);
}
