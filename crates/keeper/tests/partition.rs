//! A leader that is cut off without a sign.

mod site;

use base::Name;
use site::*;
use state::Command;
use state::Outcome;
use state::journal::Claim;
use state::journal::Key;
use tokio::task::JoinSet;
use wire::keeper::Fault;

/// Starts a site with links and cuts the leader off once another one leads; returns the former.
async fn cut_off(site: &mut Site) -> Name {
    site.link();
    site.start_all().await;
    site.renew(&renewal("g1", 1, 0)).await.unwrap();
    site.renew(&renewal("g2", 1, 0)).await.unwrap();
    let former = site.settled().await;
    site.cut(&former, true);
    former
}

/// Waits until another keeper leads.
async fn replaced(site: &Site, former: &Name) -> Name {
    until("another keeper leads", async || {
        for host in site.running().iter().filter(|host| *host != former) {
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
async fn a_cut_off_leader_grants_and_commits_nothing() {
    let mut site = Site::new(3, None);
    let former = cut_off(&mut site).await;
    let client = site.client(&former).await.unwrap();
    let granted = client.renew(context(), renewal("g1", 1, 1)).await;
    assert!(!matches!(granted, Ok(Ok(_))), "{granted:?}");
    let committed = client.submit(context(), create("a")).await;
    assert!(!matches!(committed, Ok(Ok(_))), "{committed:?}");
    let read = client.view(context()).await;
    assert!(!matches!(read, Ok(Ok(_))), "{read:?}");
    let next = replaced(&site, &former).await;
    let mended = site.client(&next).await.unwrap();
    let granted = mended.renew(context(), renewal("g2", 1, 1)).await;
    assert!(matches!(granted, Ok(Ok(_))), "{granted:?}");
}

#[tokio::test]
async fn a_cut_off_leader_follows_when_it_comes_back() {
    let mut site = Site::new(3, None);
    let former = cut_off(&mut site).await;
    let next = replaced(&site, &former).await;
    let client = site.client(&next).await.unwrap();
    client.submit(context(), create("a")).await.unwrap().unwrap();
    site.cut(&former, false);
    until("the former leader has the change", async || {
        let status = site.status(&former).await?;
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
async fn racing_claims_of_a_key_have_one_winner_over_a_change_of_the_leader() {
    let mut site = Site::new(3, None);
    site.config.timing.lease_ms = 60_000;
    let former = cut_off(&mut site).await;
    let mut calls = JoinSet::new();
    for request in 0..20 {
        for host in site.running() {
            let client = site.client(&host).await.unwrap();
            let gate = if request % 2 == 0 { "g1" } else { "g2" };
            calls.spawn(async move {
                let answer = client.submit(context(), claim(gate, request)).await;
                (request, answer)
            });
        }
    }
    let mut winners = Vec::new();
    while let Some(answer) = calls.join_next().await {
        if let (request, Ok(Ok(Outcome::Claimed { .. }))) = answer.unwrap() {
            winners.push(request);
        }
    }
    replaced(&site, &former).await;
    site.cut(&former, false);
    site.settled().await;
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
async fn without_a_majority_no_lease_is_renewed() {
    let mut site = Site::started(3).await;
    site.renew(&renewal("g1", 1, 0)).await.unwrap();
    site.kill("h1");
    site.kill("h2");
    let client = site.client("h0").await.unwrap();
    let granted = client.renew(context(), renewal("g1", 1, 1)).await;
    assert!(!matches!(granted, Ok(Ok(_))), "{granted:?}");
    until("the keeper says that it does not lead", async || {
        let answer = client.renew(context(), renewal("g1", 1, 1)).await;
        matches!(answer, Ok(Err(Fault::NotLeader { leader: None }))).then_some(())
    })
    .await;
}
