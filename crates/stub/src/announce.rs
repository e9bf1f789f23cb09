//! Announces an endpoint to the first gate that responds.
//!
//! The response names the gates to announce to next and the interval.

use std::time::Duration;

use base::Name;
use hyper::Method;
use tokio::task::JoinHandle;
use wire::endpoint::Acknowledgment;
use wire::endpoint::Announcement;

use crate::client::Client;

/// Retry interval when no gate responds.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Request timeout of an announcement.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Interval between checks for requests in progress.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Spawns a task that announces what `current` returns; returns `None` if `seeds` is empty.
pub(crate) fn start(
    seeds: &[Name],
    client: Client,
    current: impl Fn() -> Option<Announcement> + Send + 'static,
) -> Option<JoinHandle<()>> {
    let seeds = seeds.to_vec();
    (!seeds.is_empty()).then(|| tokio::spawn(run(seeds, client, current)))
}

/// Announces that the endpoint leaves, waits for `linger`, then until no request is in progress.
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
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Announces what `current` returns until the future is dropped; skips a `None`.
async fn run(seeds: Vec<Name>, client: Client, current: impl Fn() -> Option<Announcement>) {
    let mut addresses = Vec::new();
    loop {
        let Some(announcement) = current() else {
            tokio::time::sleep(RETRY_INTERVAL).await;
            continue;
        };
        let answer = send(&client, addresses.iter().chain(&seeds), &announcement).await;
        let Some(answer) = answer else {
            tokio::time::sleep(RETRY_INTERVAL).await;
            continue;
        };
        addresses = answer.addresses;
        tokio::time::sleep(Duration::from_millis(answer.interval_ms.max(1))).await;
    }
}

/// Sends one announcement to the first of the addresses that responds.
pub(crate) async fn send(
    client: &Client,
    addresses: impl Iterator<Item = &Name>,
    announcement: &Announcement,
) -> Option<Acknowledgment> {
    let body = serde_json::to_vec(announcement).ok()?;
    for address in addresses {
        let answer =
            client.send(Method::POST, address, "/v1/announce", body.clone(), TIMEOUT).await;
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
