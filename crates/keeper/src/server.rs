//! The calls that a keeper answers.

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

/// The connections served at once.
const CONNECTIONS: usize = 512;
/// The calls in progress on one connection.
const CALLS: usize = 1_024;

/// Answers calls by asking the driver.
#[derive(Clone, Debug)]
struct Server {
    driver: mpsc::Sender<Request>,
}

impl Server {
    /// Asks the driver; `Busy` if its queue is full, `Unknown` if it ended meanwhile.
    async fn ask<T>(&self, make: impl FnOnce(Reply<T>) -> Request) -> Result<T, Fault> {
        let (reply, answer) = oneshot::channel();
        if self.driver.try_send(make(reply)).is_err() {
            return Err(Fault::Busy);
        }
        answer.await.unwrap_or(Err(Fault::Unknown))
    }
}

impl Keeper for Server {
    async fn deliver(self, _: Context, parcel: Envelope) {
        // The replicas send again what is lost here.
        self.driver.try_send(Request::Deliver(parcel)).ok();
    }

    async fn install(self, _: Context, piece: Chunk) {
        self.driver.send(Request::Install(Box::new(piece))).await.ok();
    }

    async fn enroll(self, _: Context, member: Member) -> Result<(), Fault> {
        self.ask(|reply| Request::Enroll(member, reply)).await
    }

    async fn renew(self, _: Context, renewal: Renewal) -> Result<Grant, Fault> {
        self.ask(|reply| Request::Renew(renewal, reply)).await
    }

    async fn submit(self, _: Context, command: Command) -> Result<Outcome, Fault> {
        self.ask(|reply| Request::Submit(command, reply)).await
    }

    async fn permit(self, _: Context, wish: Bid) -> Result<Permit, Fault> {
        self.ask(|reply| Request::Permit(wish, reply)).await
    }

    async fn settle(self, _: Context, permit: u64) {
        self.driver.send(Request::Settle(permit)).await.ok();
    }

    async fn view(self, _: Context) -> Result<View, Fault> {
        self.ask(Request::View).await
    }

    async fn status(self, _: Context) -> Status {
        let (reply, answer) = oneshot::channel();
        self.driver.send(Request::Status(reply)).await.ok();
        match answer.await {
            Ok(status) => status,
            // The driver has ended: there is no status to tell, and the caller's deadline ends this.
            Err(_) => std::future::pending().await,
        }
    }
}

/// Serves calls until it is aborted.
pub(crate) async fn serve(listener: TcpListener, driver: mpsc::Sender<Request>) {
    let server = Server { driver };
    let slots = Arc::new(Semaphore::new(CONNECTIONS));
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok(slot) = slots.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                let server = server.clone();
                connections.spawn(async move {
                    answer(stream, server).await;
                    drop(slot);
                });
            }
            Err(error) => {
                base::event!(WARN, Event::Fault, %error, "cannot accept a connection");
                tokio::task::yield_now().await;
            }
        }
    }
}

/// Answers the calls of one connection.
async fn answer(stream: TcpStream, server: Server) {
    let channel = BaseChannel::with_defaults(wire::transport::wrap(stream));
    let calls = channel.max_concurrent_requests(CALLS).execute(server.serve());
    calls.for_each_concurrent(CALLS, |call| call).await;
}
