//! The RPC server of a keeper.

use std::sync::Arc;

use base::Event;
use futures::StreamExt;
use raft::message::Member;
use state::Command;
use state::Outcome;
use state::View;
use tarpc::context::Context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::JoinSet;
use wire::keeper::Bid;
use wire::keeper::Chunk;
use wire::keeper::Envelope;
use wire::keeper::Fault;
use wire::keeper::Grant;
use wire::keeper::Keeper;
use wire::keeper::Permit;
use wire::keeper::Renewal;
use wire::keeper::Status;

use crate::request::Reply;
use crate::request::Request;

/// The maximum number of concurrent connections.
const MAX_CONNECTIONS: usize = 512;
/// The maximum number of concurrent calls per connection.
const MAX_CALLS_PER_CONNECTION: usize = 1_024;

/// Forwards calls to the driver.
#[derive(Clone, Debug)]
struct Server {
    driver: mpsc::Sender<Request>,
}

impl Server {
    /// Sends a request to the driver and waits for the reply.
    ///
    /// # Errors
    ///
    /// The fault of the driver, [`Fault::Busy`] if its queue is full, or [`Fault::Unknown`] if it ended before
    /// it replied.
    async fn request<T>(&self, make: impl FnOnce(Reply<T>) -> Request) -> Result<T, Fault> {
        let (reply, result) = oneshot::channel();
        if self.driver.try_send(make(reply)).is_err() {
            return Err(Fault::Busy);
        }
        result.await.unwrap_or(Err(Fault::Unknown))
    }
}

impl Keeper for Server {
    async fn deliver(self, _: Context, parcel: Envelope) {
        // If the queue is full, the messages are dropped; the replicas resend them.
        self.driver.try_send(Request::Deliver(parcel)).ok();
    }

    async fn install(self, _: Context, piece: Chunk) {
        self.driver.send(Request::Install(Box::new(piece))).await.ok();
    }

    async fn enroll(self, _: Context, member: Member) -> Result<(), Fault> {
        self.request(|reply| Request::Enroll(member, reply)).await
    }

    async fn renew(self, _: Context, renewal: Renewal) -> Result<Grant, Fault> {
        self.request(|reply| Request::Renew(renewal, reply)).await
    }

    async fn submit(self, _: Context, command: Command) -> Result<Outcome, Fault> {
        self.request(|reply| Request::Submit(command, reply)).await
    }

    async fn permit(self, _: Context, wish: Bid) -> Result<Permit, Fault> {
        self.request(|reply| Request::Permit(wish, reply)).await
    }

    async fn settle(self, _: Context, permit: u64) {
        self.driver.send(Request::Settle(permit)).await.ok();
    }

    async fn view(self, _: Context) -> Result<View, Fault> {
        self.request(Request::View).await
    }

    async fn status(self, _: Context) -> Status {
        let (reply, status) = oneshot::channel();
        self.driver.send(Request::Status(reply)).await.ok();
        match status.await {
            Ok(status) => status,
            // The driver has ended and there is no status to return; the deadline of the call ends this.
            Err(_) => std::future::pending().await,
        }
    }
}

/// Accepts connections and serves their calls until it is aborted.
pub(crate) async fn serve(listener: TcpListener, driver: mpsc::Sender<Request>) {
    let server = Server { driver };
    let connection_limit = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok(permit) = connection_limit.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                let server = server.clone();
                connections.spawn(async move {
                    serve_connection(stream, server).await;
                    drop(permit);
                });
            }
            Err(error) => {
                base::event!(WARN, Event::Fault, %error, "cannot accept a connection");
                tokio::task::yield_now().await;
            }
        }
    }
}

/// Serves the calls of one connection.
async fn serve_connection(stream: TcpStream, server: Server) {
    let channel = BaseChannel::with_defaults(wire::transport::wrap(stream));
    let calls = channel.max_concurrent_requests(MAX_CALLS_PER_CONNECTION).execute(server.serve());
    calls.for_each_concurrent(MAX_CALLS_PER_CONNECTION, |call| call).await;
}
