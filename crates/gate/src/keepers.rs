//! Calls to the keepers' leader.

use std::future::Future;
use std::time::Duration;

use base::Map;
use base::Name;
use conf::Config;
use parking_lot::Mutex;
use state::Command;
use state::Outcome;
use state::View;
use tarpc::client::RpcError;
use tokio::time::Instant;
use wire::keeper::Bid;
use wire::keeper::Fault;
use wire::keeper::Grant;
use wire::keeper::KeeperClient;
use wire::keeper::Permit;
use wire::keeper::Renewal;
use wire::keeper::Status;

/// The pause after all keepers were asked in vain.
const PAUSE: Duration = Duration::from_millis(25);

/// The keepers of the site and the connections to them.
pub(crate) struct Keepers {
    addresses: Vec<(Name, Name)>,
    links: Mutex<Map<Name, KeeperClient>>,
    leader: Mutex<Option<Name>>,
    /// How long a call may take.
    call: Duration,
}

impl Keepers {
    /// Returns the keepers that the settings name.
    pub(crate) fn new(config: &Config) -> Keepers {
        let named = config.entries.iter().filter(|entry| !entry.keeper.is_empty());
        Keepers {
            addresses: named.map(|entry| (entry.host.clone(), entry.keeper.clone())).collect(),
            links: Mutex::default(),
            leader: Mutex::default(),
            call: Duration::from_millis(config.timing.call_ms),
        }
    }

    /// Renews the lease within `patience`.
    pub(crate) async fn renew(
        &self,
        renewal: &Renewal,
        patience: Duration,
    ) -> Result<Grant, Fault> {
        let each = self.call.min(patience);
        self.ask(patience, each, |client, context| {
            let renewal = renewal.clone();
            async move { client.renew(context, renewal).await }
        })
        .await
    }

    /// Commits a command; `Unknown` if it may have been committed within `patience`.
    pub(crate) async fn submit(
        &self,
        command: &Command,
        patience: Duration,
    ) -> Result<Outcome, Fault> {
        self.ask(patience, self.call, |client, context| {
            let command = command.clone();
            async move { client.submit(context, command).await }
        })
        .await
    }

    /// Waits for a permit to load.
    pub(crate) async fn permit(&self, wish: &Bid) -> Result<Permit, Fault> {
        let patience = Duration::from_millis(wish.patience_ms) + self.call;
        self.ask(patience, patience, |client, context| {
            let wish = wish.clone();
            async move { client.permit(context, wish).await }
        })
        .await
    }

    /// Gives a permit back to the leader.
    pub(crate) async fn settle(&self, permit: u64) {
        self.ask(self.call, self.call, |client, context| async move {
            client.settle(context, permit).await.map(Ok)
        })
        .await
        .ok();
    }

    /// Reads the view, confirmed by a majority.
    pub(crate) async fn view(&self) -> Result<View, Fault> {
        self.ask(
            self.call * 2,
            self.call,
            |client, context| async move { client.view(context).await },
        )
        .await
    }

    /// Asks each keeper how it is; those that do not answer are missing.
    pub(crate) async fn status(&self) -> Vec<Status> {
        let calls: Vec<_> = self.addresses.iter().map(|(host, at)| self.one(host, at)).collect();
        futures::future::join_all(calls).await.into_iter().flatten().collect()
    }

    async fn one(&self, host: &Name, address: &Name) -> Option<Status> {
        let client = self.link(host, address).await?;
        client.status(self.context(self.call)).await.ok()
    }

    /// Asks the leader, following hints, until it answers or `patience` ends.
    async fn ask<T, F>(
        &self,
        patience: Duration,
        each: Duration,
        call: impl Fn(KeeperClient, tarpc::context::Context) -> F,
    ) -> Result<T, Fault>
    where
        F: Future<Output = Result<Result<T, Fault>, RpcError>>,
    {
        let end = Instant::now() + patience;
        let mut unknown = false;
        while Instant::now() < end {
            let mut order = self.order();
            let mut dead: Vec<Name> = Vec::new();
            while let Some((host, address)) = order.pop() {
                let left = end.saturating_duration_since(Instant::now()).min(each);
                if left.is_zero() {
                    break;
                }
                let Some(client) = self.link(&host, &address).await else {
                    dead.push(host);
                    continue;
                };
                let context = self.context(left);
                match tokio::time::timeout(left, call(client, context)).await {
                    Ok(Ok(Ok(value))) => {
                        *self.leader.lock() = Some(host);
                        return Ok(value);
                    }
                    Ok(Ok(Err(Fault::NotLeader { leader }))) => {
                        let hint = leader.filter(|leader| !dead.contains(leader));
                        *self.leader.lock() = hint.clone();
                        if let Some(hint) = hint {
                            dead.push(host);
                            self.prefer(&mut order, &hint);
                        }
                    }
                    Ok(Ok(Err(Fault::Unknown))) => unknown = true,
                    Ok(Ok(Err(fault))) => {
                        *self.leader.lock() = Some(host);
                        // An earlier try of the same call may have been committed.
                        let settled = !unknown || fault == Fault::LeaseEnded;
                        return Err(if settled { fault } else { Fault::Unknown });
                    }
                    Ok(Err(_)) | Err(_) => {
                        unknown = true;
                        self.links.lock().remove(&host);
                        dead.push(host);
                        *self.leader.lock() = None;
                    }
                }
            }
            tokio::time::sleep(PAUSE).await;
        }
        Err(if unknown { Fault::Unknown } else { Fault::NotLeader { leader: None } })
    }

    /// Returns the keepers to ask, the last one first.
    fn order(&self) -> Vec<(Name, Name)> {
        let mut order = self.addresses.clone();
        let shift = rand::random_range(0..order.len().max(1));
        order.rotate_left(shift);
        if let Some(leader) = self.leader.lock().clone() {
            self.prefer(&mut order, &leader);
        }
        order
    }

    fn prefer(&self, order: &mut Vec<(Name, Name)>, host: &Name) {
        order.retain(|(name, _)| name != host);
        order.extend(self.addresses.iter().find(|(name, _)| name == host).cloned());
    }

    async fn link(&self, host: &Name, address: &Name) -> Option<KeeperClient> {
        if let Some(client) = self.links.lock().get(host) {
            return Some(client.clone());
        }
        let opening = wire::transport::connect(address);
        let transport = tokio::time::timeout(self.call / 2, opening).await.ok()?.ok()?;
        let client = KeeperClient::new(tarpc::client::Config::default(), transport).spawn();
        self.links.lock().insert(host.clone(), client.clone());
        Some(client)
    }

    fn context(&self, patience: Duration) -> tarpc::context::Context {
        let mut context = tarpc::context::current();
        context.deadline = std::time::Instant::now() + patience;
        context
    }
}
