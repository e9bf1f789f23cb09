//! Sending to other keepers.

use std::time::Duration;

use base::Map;
use base::Name;
use conf::Config;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use tarpc::client::RpcError;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::Instant;
use wire::keeper::Chunk;
use wire::keeper::Envelope;
use wire::keeper::KeeperClient;

use crate::transfer;

/// The parcels that wait for one keeper; more are dropped, and the replicas send again.
const QUEUE: usize = 256;
/// The parcels sent to one keeper and not confirmed yet.
const IN_FLIGHT: usize = 64;
/// The first wait before a connection is tried again.
const BACKOFF: Duration = Duration::from_millis(20);
/// The longest wait before a connection is tried again.
const BACKOFF_MAX: Duration = Duration::from_millis(500);

/// The queues to the other keepers.
#[derive(Debug)]
pub(crate) struct Peers {
    queues: Map<Name, mpsc::Sender<Envelope>>,
    /// Aborted when this is dropped.
    _tasks: JoinSet<()>,
}

impl Peers {
    /// Starts one task for each other entry host of the settings.
    pub(crate) fn start(config: &Config, host: &Name) -> Peers {
        let call = Duration::from_millis(config.timing.call_ms);
        let mut queues = Map::default();
        let mut tasks = JoinSet::new();
        for entry in config.entries.iter().filter(|entry| entry.host != *host) {
            let (sender, receiver) = mpsc::channel(QUEUE);
            tasks.spawn(run(entry.keeper.clone(), receiver, call));
            queues.insert(entry.host.clone(), sender);
        }
        Peers { queues, _tasks: tasks }
    }

    /// Queues a parcel for a host without waiting.
    pub(crate) fn send(&self, host: &Name, parcel: Envelope) {
        if let Some(queue) = self.queues.get(host) {
            queue.try_send(parcel).ok();
        }
    }
}

/// Connects to a keeper within `call`.
pub(crate) async fn connect(address: &str, call: Duration) -> Option<KeeperClient> {
    let transport =
        tokio::time::timeout(call, wire::transport::connect(address)).await.ok()?.ok()?;
    Some(KeeperClient::new(tarpc::client::Config::default(), transport).spawn())
}

/// Returns the context of a call that ends within `call`.
pub(crate) fn context(call: Duration) -> tarpc::context::Context {
    let mut context = tarpc::context::current();
    context.deadline = (Instant::now() + call).into_std();
    context
}

/// Sends what is queued, and connects again after a fault.
async fn run(address: Name, mut queue: mpsc::Receiver<Envelope>, call: Duration) {
    let mut backoff = BACKOFF;
    while !queue.is_closed() {
        let Some(client) = connect(&address, call).await else {
            tokio::time::sleep(backoff).await;
            backoff = (backoff * 2).min(BACKOFF_MAX);
            continue;
        };
        backoff = BACKOFF;
        // What waited for the connection is out of date.
        while queue.try_recv().is_ok() {}
        pass(&client, &mut queue, call).await;
    }
}

/// Sends what is queued until the connection fails or the queue is closed.
///
/// A large snapshot goes in pieces beside the other parcels, so that heartbeats do not wait for it;
/// while one is on its way, another one is dropped.
async fn pass(client: &KeeperClient, queue: &mut mpsc::Receiver<Envelope>, call: Duration) {
    let mut sent = FuturesUnordered::new();
    let mut installs = FuturesUnordered::new();
    loop {
        tokio::select! {
            Some(result) = sent.next() => {
                let result: Result<(), RpcError> = result;
                if result.is_err() {
                    return;
                }
            }
            Some(result) = installs.next() => {
                let result: Result<(), RpcError> = result;
                if result.is_err() {
                    return;
                }
            }
            parcel = queue.recv(), if sent.len() < IN_FLIGHT => {
                let Some(mut parcel) = parcel else { return };
                let large = transfer::split(&mut parcel).pop();
                if let Some(pieces) = large.filter(|_| installs.is_empty()) {
                    installs.push(install(client, pieces, call));
                }
                if !parcel.messages.is_empty() {
                    sent.push(client.deliver(context(call), parcel));
                }
            }
        }
    }
}

async fn install(
    client: &KeeperClient,
    pieces: Vec<Chunk>,
    call: Duration,
) -> Result<(), RpcError> {
    for piece in pieces {
        client.install(context(call), piece).await?;
    }
    Ok(())
}
