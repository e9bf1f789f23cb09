//! Leaders that are isolated without connection errors, and the loss of the majority.

mod site;

use base::Name;
use site::*;
use state::Command;
use state::Outcome;
use state::journal::Claim;
use state::journal::Key;
use tokio::task::JoinSet;
use wire::keeper::Fault;

/// Starts a site with links and two gates, isolates the leader and returns its host.
async fn start_and_isolate_leader(site: &mut Site) -> Name {
    site.add_links();
    site.start_all().await;
    site.renew(&renewal("g1", 1, 0)).await.unwrap();
    site.renew(&renewal("g2", 1, 0)).await.unwrap();
    let isolated = site.wait_until_settled().await;
    site.set_isolated(&isolated, true);
    isolated
}

/// Waits until another keeper is the leader and returns its host.
async fn wait_for_other_leader(site: &Site, isolated: &Name) -> Name {
    wait_until("another keeper is the leader", async || {
        for host in site.running().iter().filter(|host| *host != isolated) {
            let status = site.status(host).await?;
            if status.role.as_str() == "leader" {
                return Some(host.clone());
            }
        }
        None
    })
    .await
}

#[tokio::test]
async fn isolated_leader_neither_grants_nor_commits() {
    let mut site = Site::new(3, None);
    let isolated = start_and_isolate_leader(&mut site).await;
    let client = site.client(&isolated).await.unwrap();
    let granted = client.renew(context(), renewal("g1", 1, 1)).await;
    assert!(!matches!(granted, Ok(Ok(_))), "{granted:?}");
    let committed = client.submit(context(), create_adapter("a")).await;
    assert!(!matches!(committed, Ok(Ok(_))), "{committed:?}");
    let read = client.view(context()).await;
    assert!(!matches!(read, Ok(Ok(_))), "{read:?}");
    let next = wait_for_other_leader(&site, &isolated).await;
    let next_client = site.client(&next).await.unwrap();
    let granted = next_client.renew(context(), renewal("g2", 1, 1)).await;
    assert!(matches!(granted, Ok(Ok(_))), "{granted:?}");
}

#[tokio::test]
async fn isolated_leader_follows_after_reconnecting() {
    let mut site = Site::new(3, None);
    let isolated = start_and_isolate_leader(&mut site).await;
    let next = wait_for_other_leader(&site, &isolated).await;
    let client = site.client(&next).await.unwrap();
    client.submit(context(), create_adapter("a")).await.unwrap().unwrap();
    site.set_isolated(&isolated, false);
    wait_until("the isolated leader follows and has the change", async || {
        let status = site.status(&isolated).await?;
        let follows = status.role.as_str() == "follower" && status.configuration > 0;
        follows.then_some(())
    })
    .await;
}

fn claim(gate: &str, request: u64) -> Command {
    let key = Key { scope: Name::from("ledger"), key: Name::from("k") };
    let claim = Claim {
        key,
        digest: 7,
        request: Name::from(request.to_string()),
        gate: Name::from(gate),
        incarnation: 1,
        created_ms: None,
    };
    Command::Claim { claim, now_ms: 0 }
}

#[tokio::test]
async fn concurrent_claims_of_a_key_have_one_winner_across_a_leader_change() {
    let mut site = Site::new(3, None);
    site.config.timing.lease_ms = 60_000;
    let isolated = start_and_isolate_leader(&mut site).await;
    let mut calls = JoinSet::new();
    for request in 0..20 {
        for host in site.running() {
            let client = site.client(&host).await.unwrap();
            let gate = if request % 2 == 0 { "g1" } else { "g2" };
            calls.spawn(async move {
                let result = client.submit(context(), claim(gate, request)).await;
                (request, result)
            });
        }
    }
    let mut winners = Vec::new();
    while let Some(result) = calls.join_next().await {
        if let (request, Ok(Ok(Outcome::Claimed { .. }))) = result.unwrap() {
            winners.push(request);
        }
    }
    wait_for_other_leader(&site, &isolated).await;
    site.set_isolated(&isolated, false);
    site.wait_until_settled().await;
    for request in 0..20 {
        let gate = if request % 2 == 0 { "g1" } else { "g2" };
        if let Outcome::Claimed { .. } = site.submit(&claim(gate, request)).await {
            winners.push(request);
        }
    }
    winners.dedup();
    assert_eq!(winners.len(), 1, "{winners:?}");
}

#[tokio::test]
async fn no_lease_is_renewed_without_a_majority() {
    let mut site = Site::start_new(3).await;
    site.renew(&renewal("g1", 1, 0)).await.unwrap();
    site.crash("h1");
    site.crash("h2");
    let client = site.client("h0").await.unwrap();
    let granted = client.renew(context(), renewal("g1", 1, 1)).await;
    assert!(!matches!(granted, Ok(Ok(_))), "{granted:?}");
    wait_until("the keeper reports that it is not the leader", async || {
        let result = client.renew(context(), renewal("g1", 1, 1)).await;
        matches!(result, Ok(Err(Fault::NotLeader { leader: None }))).then_some(())
    })
    .await;
}
