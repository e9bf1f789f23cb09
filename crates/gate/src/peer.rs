//! Calls between gates: the server and the clients of the other gates.

use std::sync::Arc;
use std::time::Duration;

use base::Map;
use base::Name;
use futures::StreamExt;
use parking_lot::Mutex;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tokio::net::TcpListener;
use tokio::time::Instant;
use wire::endpoint::Announcement;
use wire::gate::Gate;
use wire::gate::GateClient;
use wire::gate::Summary;

use crate::announce;
use crate::context::Context;

/// The pause after a connection could not be accepted.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// The clients of the other gates, by address.
pub(crate) struct Clients {
    clients: Mutex<Map<Name, GateClient>>,
    timeout: Duration,
}

impl Clients {
    /// Creates an empty table; `timeout` limits each call.
    pub(crate) fn new(timeout: Duration) -> Clients {
        Clients { clients: Mutex::default(), timeout }
    }

    /// Sends a summary; returns `false` if the other gate did not answer.
    pub(crate) async fn summary(&self, address: &Name, summary: Summary) -> bool {
        let Some(client) = self.client(address).await else { return false };
        let sent = client.summary(self.rpc_context(), summary).await;
        self.forget_if_failed(address, sent.is_ok())
    }

    /// Forwards an announcement; returns `false` if the other gate did not answer.
    pub(crate) async fn announce(&self, address: &Name, announcement: Announcement) -> bool {
        let Some(client) = self.client(address).await else { return false };
        let sent = client.announce(self.rpc_context(), announcement).await;
        self.forget_if_failed(address, sent.is_ok())
    }

    /// Reports a request whose endpoint crashed; returns `false` if the other gate did not answer.
    pub(crate) async fn suspect(&self, address: &Name, fingerprint: u64) -> bool {
        let Some(client) = self.client(address).await else { return false };
        let sent = client.suspect(self.rpc_context(), fingerprint).await;
        self.forget_if_failed(address, sent.is_ok())
    }

    /// Returns the other gate's trace of a request; empty if it did not answer.
    pub(crate) async fn explain(&self, address: &Name, request: Name) -> Vec<String> {
        let Some(client) = self.client(address).await else { return Vec::new() };
        let lines = client.explain(self.rpc_context(), request).await;
        self.forget_if_failed(address, lines.is_ok());
        lines.unwrap_or_default()
    }

    fn forget_if_failed(&self, address: &Name, answered: bool) -> bool {
        if !answered {
            self.clients.lock().remove(address);
        }
        answered
    }

    async fn client(&self, address: &Name) -> Option<GateClient> {
        if let Some(client) = self.clients.lock().get(address) {
            return Some(client.clone());
        }
        let connect = wire::transport::connect(address);
        let transport = tokio::time::timeout(self.timeout, connect).await.ok()?.ok()?;
        let client = GateClient::new(tarpc::client::Config::default(), transport).spawn();
        self.clients.lock().insert(address.clone(), client.clone());
        Some(client)
    }

    fn rpc_context(&self) -> tarpc::context::Context {
        let mut context = tarpc::context::current();
        context.deadline = std::time::Instant::now() + self.timeout;
        context
    }
}

/// Serves the calls of other gates.
#[derive(Clone)]
struct Server {
    context: Arc<Context>,
}

impl Gate for Server {
    async fn summary(self, _: tarpc::context::Context, summary: Summary) {
        self.context.board.peers.lock().insert(summary, Instant::now());
    }

    async fn announce(self, _: tarpc::context::Context, announcement: Announcement) {
        announce::record(&self.context, &announcement);
    }

    async fn suspect(self, _: tarpc::context::Context, fingerprint: u64) {
        self.context.suspects.add_crash(fingerprint);
    }

    async fn explain(self, _: tarpc::context::Context, request: Name) -> Vec<String> {
        self.context.trace.find(&request)
    }
}

/// Accepts connections from other gates for as long as the gate runs.
pub(crate) async fn run(context: Arc<Context>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            continue;
        };
        let server = Server { context: Arc::clone(&context) };
        tokio::spawn(async move {
            let channel = BaseChannel::with_defaults(wire::transport::wrap(stream));
            let calls = channel.execute(server.serve());
            calls
                .for_each(|call| async move {
                    tokio::spawn(call);
                })
                .await;
        });
    }
}
