//! Handles calls that only the leader can answer, forwarding them to the leader when needed.

use std::sync::Arc;
use std::time::Duration;

use base::Event;
use base::Name;
use fleet::document::Document;
use fleet::endpoint;
use fleet::endpoint::Announcement;
use fleet::endpoint::Incarnation;
use fleet::extension::Extension;
use fleet::message::Call;
use fleet::message::Reply;
use fleet::origin::Origin;
use fleet::plan::Plan;
use fleet::revision::Revision;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::budget::Budget;
use crate::coordinator::Coordinator;
use crate::engines::Engines;
use crate::keeper::Keeper;
use crate::replica::Request;
use crate::settings::CALL_TIMEOUT;
use crate::state::Command;

/// Wait before checking again which keeper leads.
const LEADER_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// The longest wait for a level of the log that all members may support. A new group raises its level as soon as its
/// members have connected.
const LEVEL_TIMEOUT: Duration = Duration::from_millis(800);

impl<E: Engines> Keeper<E> {
    /// Forwards a call to the leader and returns its reply, or `Reply::Unsure` if no leader
    /// answered in time.
    pub async fn call(&self, call: Call) -> Reply {
        let name = call_name(&call);
        let deadline = Instant::now() + CALL_TIMEOUT;
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
                _ if Instant::now() + LEADER_RETRY_INTERVAL >= deadline => break Reply::Unsure,
                _ => tokio::time::sleep(LEADER_RETRY_INTERVAL).await,
            }
        };
        let outcome = match reply {
            Reply::Unsure => "unsure",
            Reply::TooLarge { .. } => "refused",
            Reply::Done | Reply::Document(_) => "done",
        };
        self.metrics.calls.with_label_values(&[name, outcome]).inc();
        reply
    }

    /// Answers a call locally. Returns `Reply::Unsure` if this keeper does not lead.
    pub(crate) async fn answer(&self, call: Call) -> Reply {
        let knows_limit = matches!(call, Call::PublishExtended { .. });
        match self.carry_out(call).await {
            // Callers of former releases repeat the call.
            Reply::TooLarge { .. } if !knows_limit => Reply::Unsure,
            reply => reply,
        }
    }

    async fn carry_out(&self, call: Call) -> Reply {
        match call {
            // A keeper of an earlier release reads a plan without its tenants, so its call must not end the check of keys.
            Call::Publish { plan, .. } if self.has_tenants() => {
                base::event!(
                    WARN,
                    Event::PlanDeferred,
                    version = plan.version,
                    "sent by a keeper of an earlier release"
                );
                Reply::Unsure
            }
            Call::Publish { plan, document } => {
                self.publish(plan, Arc::new(Extension::default()), document).await
            }
            Call::PublishExtended { plan, extension, document } => {
                self.publish(plan, extension, document).await
            }
            Call::Name(version) => self.propose(Command::Name(version)).await,
            Call::Document => {
                let (reply, read) = oneshot::channel();
                match self.request_replica(Request::Read(reply), read).await {
                    true => Reply::Document(self.state.read().document.clone()),
                    false => Reply::Unsure,
                }
            }
            Call::Announce(announcement) => self.announce(announcement).await,
            Call::Leave { id, born } => self.leave(id, born).await,
        }
    }

    /// Commits a plan. One with tenants waits until all members know tenants, because a former release would serve it
    /// without checking API keys; any other loses its extension if one of them is of a former release.
    async fn publish(
        &self,
        plan: Arc<Plan>,
        extension: Arc<Extension>,
        document: Document,
    ) -> Reply {
        let level = self.await_level(Revision::TENANTS).await;
        if level >= Revision::TENANTS {
            return self.propose(Command::PublishExtended { plan, extension, document }).await;
        }
        if extension.tenants.is_empty() {
            return self.propose(Command::Publish { plan, document }).await;
        }
        base::event!(WARN, Event::PlanDeferred, version = plan.version, level = %level);
        Reply::Unsure
    }

    /// Returns whether the plan in force has tenants.
    fn has_tenants(&self) -> bool {
        self.state.read().plan.as_ref().is_some_and(|plan| !plan.tenants.is_empty())
    }

    /// Waits until the log has reached a level, unless a member does not support it; returns the level.
    async fn await_level(&self, wanted: Revision) -> Revision {
        let deadline = Instant::now() + LEVEL_TIMEOUT;
        loop {
            let level = self.state.read().level();
            let members = self.status.borrow().members.clone();
            let supported = self.peers.supported_revision(&members);
            let unsupported = supported.is_some_and(|supported| supported < wanted);
            if level >= wanted || unsupported || Instant::now() >= deadline {
                return level;
            }
            tokio::time::sleep(LEADER_RETRY_INTERVAL).await;
        }
    }

    async fn announce(&self, announcement: Announcement) -> Reply {
        let leaves = matches!(announcement.state, endpoint::State::Draining(_));
        let departure = leaves.then(|| announcement.incarnation());
        let update = async {
            if !self.accepts_service(&announcement.service) {
                return Reply::Done;
            }
            self.update_registry(|coordinator| {
                let departed = &self.state.read();
                coordinator.announce(announcement, departed.departed())
            })
            .await
        };
        self.acknowledge(update, departure).await
    }

    async fn leave(&self, id: Name, born: Option<u64>) -> Reply {
        let latest = || self.coordinator.lock().registry.latest_start(&id);
        let departure = born.or_else(latest).map(|born| Incarnation { endpoint: id.clone(), born });
        let update = self.update_registry(|coordinator| coordinator.leave(&id, born));
        self.acknowledge(update, departure).await
    }

    /// Waits for an update of the registry and for the commit of a departure, if the endpoint leaves.
    async fn acknowledge(
        &self,
        update: impl Future<Output = Reply>,
        departure: Option<Incarnation>,
    ) -> Reply {
        let commit = async {
            match departure {
                Some(departure) => self.commit_departure(departure).await,
                None => Reply::Done,
            }
        };
        match tokio::join!(update, commit) {
            (Reply::Done, Reply::Done) => Reply::Done,
            _ => Reply::Unsure,
        }
    }

    /// Commits the departure of an endpoint, unless it is committed already.
    async fn commit_departure(&self, departure: Incarnation) -> Reply {
        let Incarnation { endpoint, born } = departure.clone();
        let level = {
            let state = self.state.read();
            if state.departed().includes(&endpoint, born) {
                return Reply::Done;
            }
            state.level()
        };
        let command = Command::Depart(departure);
        if command.level() > level {
            base::event!(
                WARN, Event::DepartureNotDurable, endpoint = %endpoint, born, level = %level
            );
            return Reply::Done;
        }
        self.propose(command).await
    }

    /// Raises the level of the log if all members support a higher one. Ignored unless this keeper leads.
    pub(crate) fn raise_level(self: &Arc<Keeper<E>>) {
        let members = {
            let status = self.status.borrow();
            if status.leads.is_none() {
                return;
            }
            status.members.clone()
        };
        let supported = self.peers.supported_revision(&members);
        let Some(supported) = supported.filter(|level| *level > self.state.read().level()) else {
            return;
        };
        // The command itself came with the first level.
        if supported >= Revision::DEPARTURES {
            let keeper = self.clone();
            tokio::spawn(async move { keeper.propose(Command::Raise(supported)).await });
        }
    }

    /// Returns where a stream began and, if this keeper does not know it, the only build of its service. A build may have
    /// joined at a later leader, so the latter is known only while a majority follows this keeper.
    pub(crate) async fn locate(
        &self,
        stream: u64,
        service: Option<Name>,
    ) -> (Option<Origin>, Option<Name>) {
        let sole_build = || {
            let coordinator = self.coordinator.lock();
            coordinator.sole_build(service.as_ref()?, &self.state.read())
        };
        let origin = {
            let coordinator = self.coordinator.lock();
            coordinator.origins.get(stream, coordinator.now())
        };
        if origin.is_some() || sole_build().is_none() {
            return (origin, None);
        }
        let (reply, read) = oneshot::channel();
        let leads = self.request_replica(Request::Read(reply), read).await;
        (None, leads.then(sole_build).flatten())
    }

    /// Returns whether the plan contains a service. Accepts any service while there is no plan.
    fn accepts_service(&self, service: &str) -> bool {
        let state = self.state.read();
        state.plan.as_ref().is_none_or(|plan| plan.service(service).is_some())
    }

    /// Applies a change to the registry; `change` returns whether it had an effect. Waits until the
    /// queues of the gates' links contain the change, so that an endpoint that may leave after the
    /// answer gets no further requests.
    async fn update_registry(&self, change: impl FnOnce(&mut Coordinator) -> bool) -> Reply {
        let mut sent = self.sent_changes.subscribe();
        let (term, number) = {
            let mut coordinator = self.coordinator.lock();
            let Some(term) = coordinator.term() else { return Reply::Unsure };
            if change(&mut coordinator) {
                self.wake_scheduler();
            }
            // Also without an effect: the change may be that of an earlier call that has not been sent yet.
            (term, coordinator.changes)
        };
        let is_sent = sent.wait_for(|sent| *sent >= number).await.is_ok();
        let still_leads = self.coordinator.lock().term() == Some(term);
        if is_sent && still_leads { Reply::Done } else { Reply::Unsure }
    }

    /// Commits a command, unless it is larger than the memory allows.
    pub(crate) async fn propose(&self, command: Command) -> Reply {
        // Encoded here, since a large command takes long and the replica sends heartbeats.
        let command = postcard::to_stdvec(&command).expect("a command can be encoded");
        let (bytes, limit) = (command.len(), Budget::new(self.settings.memory_bytes).change);
        if bytes > limit {
            base::event!(WARN, Event::PlanRefused, bytes, limit, reason = "too large");
            return Reply::TooLarge { bytes: bytes as u64, limit: limit as u64 };
        }
        let (reply, applied) = oneshot::channel();
        match self.request_replica(Request::Propose(command.into(), reply), applied).await {
            true => Reply::Done,
            false => Reply::Unsure,
        }
    }

    /// Sends a request to the replica and waits until it is done. Returns `false` if the outcome is
    /// unknown.
    async fn request_replica(&self, request: Request, done: oneshot::Receiver<()>) -> bool {
        let sent = self.replica.try_send(request).is_ok();
        sent && matches!(tokio::time::timeout(CALL_TIMEOUT, done).await, Ok(Ok(())))
    }
}

fn call_name(call: &Call) -> &'static str {
    match call {
        Call::Publish { .. } | Call::PublishExtended { .. } => "publish",
        Call::Name(_) => "name",
        Call::Document => "document",
        Call::Announce(_) => "announce",
        Call::Leave { .. } => "leave",
    }
}
