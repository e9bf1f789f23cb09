//! Membership requests of a new replica.

use std::time::Duration;

use base::Event;
use base::Name;
use conf::Config;
use raft::message::Member;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::keeper::Options;
use crate::peer;
use crate::request::Request;

/// Requests membership from the other keepers while this replica is not a member. Returns when the driver has
/// ended.
pub(crate) async fn run(config: Config, member: Member, driver: mpsc::Sender<Request>) {
    let timeout = Duration::from_millis(config.timing.call_ms);
    let interval = Duration::from_millis(config.timing.election_ms);
    let others = config.entries.iter().filter(|entry| *entry.host != *member.host);
    let addresses: Vec<Name> = others.map(|entry| entry.keeper.clone()).collect();
    while let Some(is_member) = is_member(&driver).await {
        if !is_member {
            let requests =
                addresses.iter().map(|address| request_membership(address, &member, timeout));
            futures::future::join_all(requests).await;
        }
        tokio::time::sleep(interval).await;
    }
}

/// Returns whether a reachable keeper already belongs to a group, in which case no second group may be
/// created.
pub(crate) async fn group_exists(options: &Options) -> bool {
    let config = &options.config;
    let timeout = Duration::from_millis(config.timing.call_ms);
    let others = config.entries.iter().filter(|entry| entry.host != options.host);
    let queries = others.map(|entry| query_group(&entry.keeper, timeout));
    let groups = futures::future::join_all(queries).await;
    let existing = groups.into_iter().flatten().find(|group| *group != 0);
    if let Some(group) = existing {
        base::event!(WARN, Event::Settings, group, "a group already exists; ignoring --bootstrap");
    }
    existing.is_some()
}

/// Returns the group of a keeper, 0 if it has none yet, or `None` if the keeper cannot be reached.
async fn query_group(address: &Name, timeout: Duration) -> Option<u64> {
    let client = peer::connect(address, timeout).await?;
    let status = client.status(peer::context(timeout)).await.ok()?;
    Some(status.group)
}

/// Requests membership from one keeper; only the leader executes the request.
async fn request_membership(address: &Name, member: &Member, timeout: Duration) {
    if let Some(client) = peer::connect(address, timeout).await {
        client.enroll(peer::context(timeout), member.clone()).await.ok();
    }
}

/// Returns whether this replica is a member, or `None` if the driver has ended.
async fn is_member(driver: &mpsc::Sender<Request>) -> Option<bool> {
    let (reply, is_member) = oneshot::channel();
    driver.send(Request::Member(reply)).await.ok()?;
    is_member.await.ok()
}
