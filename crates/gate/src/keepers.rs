//! Calls to the keepers' leader.

use std::future::Future;
use std::time::Duration;

use base::Map;
use base::Name;
use conf::Config;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
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

/// The pause after no keeper accepted a call.
const RETRY_PAUSE: Duration = Duration::from_millis(25);

/// The keepers of the site and the clients for them.
pub(crate) struct Keepers {
    addresses: Vec<(Name, Name)>,
    clients: Mutex<Map<Name, KeeperClient>>,
    leader: Mutex<Option<Name>>,
    /// The timeout of a call to one keeper.
    call_timeout: Duration,
}

impl Keepers {
    /// Creates the table of the keepers in the settings.
    pub(crate) fn new(config: &Config) -> Keepers {
        let entries = config.entries.iter().filter(|entry| !entry.keeper.is_empty());
        Keepers {
            addresses: entries.map(|entry| (entry.host.clone(), entry.keeper.clone())).collect(),
            clients: Mutex::default(),
            leader: Mutex::default(),
            call_timeout: Duration::from_millis(config.timing.call_ms),
        }
    }

    /// Renews the lease within `timeout`.
    pub(crate) async fn renew(&self, renewal: &Renewal, timeout: Duration) -> Result<Grant, Fault> {
        let attempt_timeout = self.call_timeout.min(timeout);
        self.call_leader(timeout, attempt_timeout, |client, context| {
            let renewal = renewal.clone();
            async move { client.renew(context, renewal).await }
        })
        .await
    }

    /// Commits a command within `timeout`; fails with [`Fault::Unknown`] if it may have been committed.
    pub(crate) async fn submit(
        &self,
        command: &Command,
        timeout: Duration,
    ) -> Result<Outcome, Fault> {
        self.call_leader(timeout, self.call_timeout, |client, context| {
            let command = command.clone();
            async move { client.submit(context, command).await }
        })
        .await
    }

    /// Waits for a load permit.
    pub(crate) async fn permit(&self, bid: &Bid) -> Result<Permit, Fault> {
        let timeout = Duration::from_millis(bid.patience_ms) + self.call_timeout;
        self.call_leader(timeout, timeout, |client, context| {
            let bid = bid.clone();
            async move { client.permit(context, bid).await }
        })
        .await
    }

    /// Returns a permit to the leader.
    pub(crate) async fn settle(&self, permit: u64) {
        self.call_leader(self.call_timeout, self.call_timeout, |client, context| async move {
            client.settle(context, permit).await.map(Ok)
        })
        .await
        .ok();
    }

    /// Reads the view with a confirmation by a majority.
    pub(crate) async fn view(&self) -> Result<View, Fault> {
        self.call_leader(self.call_timeout * 2, self.call_timeout, |client, context| async move {
            client.view(context).await
        })
        .await
    }

    /// Returns the status of each keeper; those that do not answer are missing.
    pub(crate) async fn status(&self) -> Vec<Status> {
        let calls: Vec<_> =
            self.addresses.iter().map(|(host, address)| self.status_of(host, address)).collect();
        futures::future::join_all(calls).await.into_iter().flatten().collect()
    }

    /// Returns whether a revision of the configuration is in force on every gate.
    ///
    /// # Errors
    ///
    /// [`Fault::NotLeader`] if too few keepers answer to tell.
    pub(crate) async fn in_force(&self, revision: u64) -> Result<bool, Fault> {
        let mut statuses: FuturesUnordered<_> =
            self.addresses.iter().map(|(host, address)| self.status_of(host, address)).collect();
        let mut answers = 0;
        let mut leader_answered = false;
        while let Some(status) = statuses.next().await {
            let Some(status) = status else { continue };
            if status.in_force >= revision {
                return Ok(true);
            }
            answers += 1;
            leader_answered |= status.leader.as_ref() == Some(&status.host);
            if leader_answered && self.is_majority(answers) {
                return Ok(false);
            }
        }
        if self.is_majority(answers) { Ok(false) } else { Err(Fault::NotLeader { leader: None }) }
    }

    fn is_majority(&self, keepers: usize) -> bool {
        2 * keepers > self.addresses.len()
    }

    async fn status_of(&self, host: &Name, address: &Name) -> Option<Status> {
        let client = self.client(host, address).await?;
        client.status(self.rpc_context(self.call_timeout)).await.ok()
    }

    /// Calls the leader, following the keepers' hints, until a call succeeds, fails for good or `timeout`
    /// ends.
    ///
    /// `attempt_timeout` limits the call to one keeper.
    async fn call_leader<T, F>(
        &self,
        timeout: Duration,
        attempt_timeout: Duration,
        call: impl Fn(KeeperClient, tarpc::context::Context) -> F,
    ) -> Result<T, Fault>
    where
        F: Future<Output = Result<Result<T, Fault>, RpcError>>,
    {
        let end = Instant::now() + timeout;
        let mut unknown = false;
        while Instant::now() < end {
            let mut candidates = self.candidates();
            let mut excluded: Vec<Name> = Vec::new();
            while let Some((host, address)) = candidates.pop() {
                let remaining = end.saturating_duration_since(Instant::now()).min(attempt_timeout);
                if remaining.is_zero() {
                    break;
                }
                let Some(client) = self.client(&host, &address).await else {
                    excluded.push(host);
                    continue;
                };
                let context = self.rpc_context(remaining);
                match tokio::time::timeout(remaining, call(client, context)).await {
                    Ok(Ok(Ok(value))) => {
                        *self.leader.lock() = Some(host);
                        return Ok(value);
                    }
                    Ok(Ok(Err(Fault::NotLeader { leader }))) => {
                        let hint = leader.filter(|leader| !excluded.contains(leader));
                        *self.leader.lock() = hint.clone();
                        if let Some(hint) = hint {
                            excluded.push(host);
                            self.prefer(&mut candidates, &hint);
                        }
                    }
                    Ok(Ok(Err(Fault::Unknown))) => unknown = true,
                    Ok(Ok(Err(fault))) => {
                        *self.leader.lock() = Some(host);
                        // An earlier attempt of the same call may have been committed.
                        let definite = !unknown || fault == Fault::LeaseEnded;
                        return Err(if definite { fault } else { Fault::Unknown });
                    }
                    Ok(Err(_)) | Err(_) => {
                        unknown = true;
                        self.clients.lock().remove(&host);
                        excluded.push(host);
                        *self.leader.lock() = None;
                    }
                }
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        Err(if unknown { Fault::Unknown } else { Fault::NotLeader { leader: None } })
    }

    /// Returns the keepers in the reverse order in which to call them; the last known leader is called
    /// first.
    fn candidates(&self) -> Vec<(Name, Name)> {
        let mut candidates = self.addresses.clone();
        let shift = rand::random_range(0..candidates.len().max(1));
        candidates.rotate_left(shift);
        if let Some(leader) = self.leader.lock().clone() {
            self.prefer(&mut candidates, &leader);
        }
        candidates
    }

    /// Moves a keeper to the end of the candidates, so that it is called next.
    fn prefer(&self, candidates: &mut Vec<(Name, Name)>, host: &Name) {
        candidates.retain(|(name, _)| name != host);
        candidates.extend(self.addresses.iter().find(|(name, _)| name == host).cloned());
    }

    async fn client(&self, host: &Name, address: &Name) -> Option<KeeperClient> {
        if let Some(client) = self.clients.lock().get(host) {
            return Some(client.clone());
        }
        let connect = wire::transport::connect(address);
        let transport = tokio::time::timeout(self.call_timeout / 2, connect).await.ok()?.ok()?;
        let client = KeeperClient::new(tarpc::client::Config::default(), transport).spawn();
        self.clients.lock().insert(host.clone(), client.clone());
        Some(client)
    }

    fn rpc_context(&self, timeout: Duration) -> tarpc::context::Context {
        let mut context = tarpc::context::current();
        context.deadline = std::time::Instant::now() + timeout;
        context
    }
}
