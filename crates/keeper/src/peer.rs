//! Connections to other keepers.

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

/// The capacity of the queue to one keeper, in envelopes. Further ones are dropped; the replicas resend them.
const QUEUE_CAPACITY: usize = 256;
/// The maximum number of unacknowledged envelopes to one keeper.
const MAX_IN_FLIGHT: usize = 64;
/// The initial delay before a reconnect.
const MIN_BACKOFF: Duration = Duration::from_millis(20);
/// The maximum delay before a reconnect.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// The queues to the other keepers.
#[derive(Debug)]
pub(crate) struct Peers {
    queues: Map<Name, mpsc::Sender<Envelope>>,
    /// The sending tasks; aborted when this is dropped.
    _tasks: JoinSet<()>,
}

impl Peers {
    /// Starts a sending task for each other entry host in the settings.
    pub(crate) fn start(config: &Config, host: &Name) -> Peers {
        let timeout = Duration::from_millis(config.timing.call_ms);
        let mut queues = Map::default();
        let mut tasks = JoinSet::new();
        for entry in config.entries.iter().filter(|entry| entry.host != *host) {
            let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
            tasks.spawn(run(entry.keeper.clone(), receiver, timeout));
            queues.insert(entry.host.clone(), sender);
        }
        Peers { queues, _tasks: tasks }
    }

    /// Queues an envelope for a host without waiting; drops it if the queue is full or the host is unknown.
    pub(crate) fn send(&self, host: &Name, envelope: Envelope) {
        if let Some(queue) = self.queues.get(host) {
            queue.try_send(envelope).ok();
        }
    }
}

/// Connects to a keeper; returns `None` if the connection fails or times out.
pub(crate) async fn connect(address: &str, timeout: Duration) -> Option<KeeperClient> {
    let transport =
        tokio::time::timeout(timeout, wire::transport::connect(address)).await.ok()?.ok()?;
    Some(KeeperClient::new(tarpc::client::Config::default(), transport).spawn())
}

/// Returns the context of an RPC call with a timeout.
pub(crate) fn context(timeout: Duration) -> tarpc::context::Context {
    let mut context = tarpc::context::current();
    context.deadline = (Instant::now() + timeout).into_std();
    context
}

/// Sends queued envelopes and reconnects after errors, until the queue is closed.
async fn run(address: Name, mut queue: mpsc::Receiver<Envelope>, timeout: Duration) {
    let mut backoff = MIN_BACKOFF;
    while !queue.is_closed() {
        let Some(client) = connect(&address, timeout).await else {
            tokio::time::sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
            continue;
        };
        backoff = MIN_BACKOFF;
        // Envelopes queued before the connection was established are outdated.
        while queue.try_recv().is_ok() {}
        forward(&client, &mut queue, timeout).await;
    }
}

/// Sends queued envelopes until the connection fails or the queue is closed.
///
/// A large snapshot is sent in chunks concurrently with other envelopes, so that it does not delay
/// heartbeats. While one is being sent, further ones are dropped.
async fn forward(client: &KeeperClient, queue: &mut mpsc::Receiver<Envelope>, timeout: Duration) {
    let mut deliveries = FuturesUnordered::new();
    let mut installs = FuturesUnordered::new();
    loop {
        tokio::select! {
            Some(result) = deliveries.next() => {
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
            envelope = queue.recv(), if deliveries.len() < MAX_IN_FLIGHT => {
                let Some(mut envelope) = envelope else { return };
                let large = transfer::split(&mut envelope).pop();
                if let Some(chunks) = large.filter(|_| installs.is_empty()) {
                    installs.push(send_snapshot(client, chunks, timeout));
                }
                if !envelope.messages.is_empty() {
                    deliveries.push(client.deliver(context(timeout), envelope));
                }
            }
        }
    }
}

/// Sends the chunks of a snapshot in order.
async fn send_snapshot(
    client: &KeeperClient,
    chunks: Vec<Chunk>,
    timeout: Duration,
) -> Result<(), RpcError> {
    for chunk in chunks {
        client.install(context(timeout), chunk).await?;
    }
    Ok(())
}
