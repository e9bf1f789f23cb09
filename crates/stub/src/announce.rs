//! Announces an endpoint to the first gate that answers and follows what the answer says.

use std::time::Duration;

use base::Name;
use hyper::Method;
use tokio::task::JoinHandle;
use wire::endpoint::Acknowledgment;
use wire::endpoint::Announcement;

use crate::client::Client;

/// The wait after no gate answered.
const RETRY: Duration = Duration::from_millis(200);

/// How long a gate may take to answer an announcement.
const LIMIT: Duration = Duration::from_secs(1);

/// The pause between two looks at what is in progress.
const PAUSE: Duration = Duration::from_millis(20);

/// Announces in a task of its own what `current` returns; none without a gate to announce to.
pub(crate) fn start(
    seeds: &[Name],
    client: Client,
    current: impl Fn() -> Option<Announcement> + Send + 'static,
) -> Option<JoinHandle<()>> {
    let seeds = seeds.to_vec();
    (!seeds.is_empty()).then(|| tokio::spawn(run(seeds, client, current)))
}

/// Tells a gate that the endpoint leaves, lingers, and waits until nothing is in progress.
pub(crate) async fn leave(
    seeds: &[Name],
    client: Client,
    announcement: Option<Announcement>,
    linger: Duration,
    busy: impl Fn() -> bool,
) {
    if let Some(announcement) = announcement {
        send(&client, seeds.iter(), &announcement).await;
    }
    tokio::time::sleep(linger).await;
    while busy() {
        tokio::time::sleep(PAUSE).await;
    }
}

/// Announces what `current` returns until the future is dropped; none skips an announcement.
async fn run(seeds: Vec<Name>, client: Client, current: impl Fn() -> Option<Announcement>) {
    let mut addresses = Vec::new();
    loop {
        let Some(announcement) = current() else {
            tokio::time::sleep(RETRY).await;
            continue;
        };
        let answer = send(&client, addresses.iter().chain(&seeds), &announcement).await;
        let Some(answer) = answer else {
            tokio::time::sleep(RETRY).await;
            continue;
        };
        addresses = answer.addresses;
        tokio::time::sleep(Duration::from_millis(answer.interval_ms.max(1))).await;
    }
}

/// Announces once to the first of the addresses that answers.
pub(crate) async fn send(
    client: &Client,
    addresses: impl Iterator<Item = &Name>,
    announcement: &Announcement,
) -> Option<Acknowledgment> {
    let body = serde_json::to_vec(announcement).ok()?;
    for address in addresses {
        let answer = client.send(Method::POST, address, "/v1/announce", body.clone(), LIMIT).await;
        let Ok(answer) = answer else { continue };
        if !answer.status().is_success() {
            continue;
        }
        if let Ok(announced) = serde_json::from_slice(answer.body()) {
            return Some(announced);
        }
    }
    None
}
