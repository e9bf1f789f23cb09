//! How a new replica becomes a member.

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

/// Asks the other keepers whenever this replica is no member; ends with the driver.
pub(crate) async fn run(config: Config, member: Member, driver: mpsc::Sender<Request>) {
    let call = Duration::from_millis(config.timing.call_ms);
    let pause = Duration::from_millis(config.timing.election_ms);
    let others = config.entries.iter().filter(|entry| *entry.host != *member.host);
    let addresses: Vec<Name> = others.map(|entry| entry.keeper.clone()).collect();
    while let Some(is_member) = is_member(&driver).await {
        if !is_member {
            let asked = addresses.iter().map(|address| ask(address, &member, call));
            futures::future::join_all(asked).await;
        }
        tokio::time::sleep(pause).await;
    }
}

/// Returns whether another keeper that can be reached now has a group already; a second one must not
/// be founded beside it.
pub(crate) async fn group_exists(options: &Options) -> bool {
    let config = &options.config;
    let call = Duration::from_millis(config.timing.call_ms);
    let others = config.entries.iter().filter(|entry| entry.host != options.host);
    let asked = others.map(|entry| group(&entry.keeper, call));
    let groups = futures::future::join_all(asked).await;
    let known = groups.into_iter().flatten().find(|group| *group != 0);
    if let Some(group) = known {
        base::event!(WARN, Event::Settings, group, "no group is founded, since there is one");
    }
    known.is_some()
}

/// Asks one keeper for its group; 0 if it has none yet.
async fn group(address: &Name, call: Duration) -> Option<u64> {
    let client = peer::connect(address, call).await?;
    let status = client.status(peer::context(call)).await.ok()?;
    Some(status.group)
}

/// Asks one keeper; only the leader does what is asked.
async fn ask(address: &Name, member: &Member, call: Duration) {
    if let Some(client) = peer::connect(address, call).await {
        client.enroll(peer::context(call), member.clone()).await.ok();
    }
}

/// Returns whether this replica is a member; none if the driver has ended.
async fn is_member(driver: &mpsc::Sender<Request>) -> Option<bool> {
    let (reply, answer) = oneshot::channel();
    driver.send(Request::Member(reply)).await.ok()?;
    answer.await.ok()
}
