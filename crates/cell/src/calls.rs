//! Calls that the leader answers, wherever they arrive.

use std::time::Duration;

use fleet::message::Call;
use fleet::message::Reply;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::engines::Engines;
use crate::keeper::Keeper;
use crate::replica::Request;
use crate::settings::CALL;
use crate::state::Command;

/// The wait before it is looked again who leads.
const LOOK_AGAIN: Duration = Duration::from_millis(20);

impl<E: Engines> Keeper<E> {
    /// Has the leader answer a call; waits a little for one.
    pub async fn call(&self, call: Call) -> Reply {
        let name = name(&call);
        let until = Instant::now() + CALL;
        let reply = loop {
            let status = self.status.borrow().clone();
            let reply = if status.leads.is_some() {
                Some(self.answer(call.clone()).await)
            } else if let Some(leader) = &status.leader {
                Some(self.peers.call(leader, call.clone()).await)
            } else {
                None
            };
            match reply {
                Some(reply) if reply != Reply::Unsure => break reply,
                _ if Instant::now() + LOOK_AGAIN >= until => break Reply::Unsure,
                _ => tokio::time::sleep(LOOK_AGAIN).await,
            }
        };
        let outcome = if reply == Reply::Unsure { "unsure" } else { "done" };
        self.metrics.calls.with_label_values(&[name, outcome]).inc();
        reply
    }

    /// Answers a call if this keeper leads.
    pub(crate) async fn answer(&self, call: Call) -> Reply {
        match call {
            Call::Publish { plan, document } => {
                self.propose(Command::Publish { plan, document }).await
            }
            Call::Name(version) => self.propose(Command::Name(version)).await,
            Call::Document => {
                let (reply, read) = oneshot::channel();
                match self.certain(Request::Read(reply), read).await {
                    true => Reply::Document(self.state.read().document.clone()),
                    false => Reply::Unsure,
                }
            }
            Call::Announce(announcement) if !self.names(&announcement.service) => Reply::Done,
            Call::Announce(announcement) => {
                self.change(|coordinator| coordinator.announce(announcement))
            }
            Call::Leave { id, born } => self.change(|coordinator| coordinator.leave(&id, born)),
        }
    }

    /// Returns whether the plan has a service, or there is no plan yet.
    fn names(&self, service: &str) -> bool {
        let state = self.state.read();
        state.plan.as_ref().is_none_or(|plan| plan.service(service).is_some())
    }

    fn change(&self, change: impl FnOnce(&mut crate::coordinator::Coordinator)) -> Reply {
        let mut coordinator = self.coordinator.lock();
        if coordinator.leadership.is_none() {
            return Reply::Unsure;
        }
        change(&mut coordinator);
        drop(coordinator);
        self.wake();
        Reply::Done
    }

    async fn propose(&self, command: Command) -> Reply {
        let (reply, applied) = oneshot::channel();
        match self.certain(Request::Propose(command, reply), applied).await {
            true => Reply::Done,
            false => Reply::Unsure,
        }
    }

    async fn certain(&self, request: Request, done: oneshot::Receiver<()>) -> bool {
        let sent = self.replica.try_send(request).is_ok();
        sent && matches!(tokio::time::timeout(CALL, done).await, Ok(Ok(())))
    }
}

fn name(call: &Call) -> &'static str {
    match call {
        Call::Publish { .. } => "publish",
        Call::Name(_) => "name",
        Call::Document => "document",
        Call::Announce(_) => "announce",
        Call::Leave { .. } => "leave",
    }
}
