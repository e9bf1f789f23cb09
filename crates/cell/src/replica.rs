//! The task that owns the replica and its files.

use std::sync::Arc;
use std::time::Duration;

use base::Event;
use base::Map;
use base::Name;
use bytes::Bytes;
use disk::Identity;
use fleet::message::Envelope;
use fleet::message::Frame;
use parking_lot::RwLock;
use raft::message::Entry;
use raft::message::Id;
use raft::message::Index;
use raft::message::Member;
use raft::message::Message;
use raft::message::Payload;
use raft::node::Config;
use raft::node::Node;
use raft::node::Role;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;

use crate::error::Error;
use crate::peers::Peers;
use crate::settings::COMPACT_BYTES;
use crate::settings::COMPACT_ENTRIES;
use crate::settings::ELECTION;
use crate::settings::HEARTBEAT;
use crate::settings::JOIN;
use crate::settings::REMOVE;
use crate::settings::REOPEN;
use crate::settings::Settings;
use crate::settings::TICK;
use crate::settings::VOTERS;
use crate::state::Command;
use crate::state::State;
use crate::storage::Found;
use crate::storage::Storage;

/// The requests taken before the log is written once for all of them.
const BATCH: usize = 128;
/// The most bytes of entries in one message.
const BATCH_BYTES: usize = 1 << 20;

/// What the replica is asked for.
#[derive(Debug)]
pub(crate) enum Request {
    /// Messages of another replica.
    Deliver(Envelope),
    /// A change; answered once it is applied, dropped if that is not certain.
    Propose(Command, oneshot::Sender<()>),
    /// A moment at which the state is certainly the newest; dropped if there is none.
    Read(oneshot::Sender<()>),
    /// A replica wants to become a member.
    Join { id: Id, host: Name },
    /// The link to a host broke.
    Disconnected { host: Name },
}

/// Runs a replica, and opens its files again after a failure: a full or broken disk may recover, and
/// what was not synced was promised to nobody.
pub(crate) async fn keep(
    settings: Settings,
    peers: Arc<Peers>,
    state: Arc<RwLock<State>>,
    status: Arc<watch::Sender<Status>>,
    first: Replica,
    mut inbox: mpsc::Receiver<Request>,
) -> Result<(), Error> {
    let mut opened = Ok(first);
    loop {
        let ended = match opened {
            Ok(replica) => replica.run(&mut inbox).await,
            Err(error) => Err(error),
        };
        let Err(Error::Disk(error)) = ended else { return ended };
        base::event!(ERROR, Event::DiskFailed, error = %error);
        status.send_replace(Status::default());
        tokio::time::sleep(REOPEN).await;
        opened = Replica::open(&settings, peers.clone(), state.clone(), status.clone()).await;
    }
}

/// What the rest of the keeper must know of the replica.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Status {
    /// The term in which this replica leads and has all that was committed before.
    pub(crate) leads: Option<u64>,
    /// The leader's address for links.
    pub(crate) leader: Option<Name>,
    /// The members' addresses for links.
    pub(crate) members: Vec<Name>,
    /// The last entry applied.
    pub(crate) applied: Index,
}

/// The task that owns the replica and its files.
pub(crate) struct Replica {
    host: Name,
    /// The group; 0 until a new replica has been enrolled.
    group: u64,
    /// Whether `group` is on disk.
    identified: bool,
    started: Instant,
    node: Node,
    state: Arc<RwLock<State>>,
    storage: Storage,
    peers: Arc<Peers>,
    status: Arc<watch::Sender<Status>>,
    /// The hosts of the replicas that were heard of.
    hosts: Map<Id, Name>,
    proposals: Map<Index, (u64, oneshot::Sender<()>)>,
    reads: Map<u64, oneshot::Sender<()>>,
    next_read: u64,
    compacted: Index,
    applied: Index,
    log_bytes: usize,
    /// When a leader was known last, or this replica asked to join.
    joined: Duration,
    /// When the members were looked over last.
    reviewed: Duration,
}

impl Replica {
    /// Starts a replica from its files; what it knows is told through `state` and `status`.
    pub(crate) async fn open(
        settings: &Settings,
        peers: Arc<Peers>,
        state: Arc<RwLock<State>>,
        status: Arc<watch::Sender<Status>>,
    ) -> Result<Replica, Error> {
        let (storage, Found { id, group, stored }) = Storage::open(settings).await?;
        let machine = match &stored.snapshot {
            Some(snapshot) => decode(snapshot.index, &snapshot.data)?,
            None => State::default(),
        };
        *state.write() = machine;
        let applied = stored.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let config = Config {
            heartbeat_interval: HEARTBEAT,
            election_timeout: ELECTION,
            max_batch_bytes: BATCH_BYTES,
            seed: rand::random(),
        };
        Ok(Replica {
            host: Name::from(settings.address.to_string()),
            group,
            identified: true,
            started: Instant::now(),
            node: Node::new(id, config, stored, Duration::ZERO),
            state,
            storage,
            peers,
            status,
            hosts: Map::default(),
            proposals: Map::default(),
            reads: Map::default(),
            next_read: 0,
            compacted: applied,
            applied,
            log_bytes: 0,
            joined: Duration::ZERO,
            reviewed: Duration::ZERO,
        })
    }

    /// Runs until the inbox is closed or the files fail.
    pub(crate) async fn run(mut self, inbox: &mut mpsc::Receiver<Request>) -> Result<(), Error> {
        let mut ticker = tokio::time::interval(TICK);
        ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.pump().await?;
        loop {
            let first = tokio::select! {
                request = inbox.recv() => match request {
                    Some(request) => Some(request),
                    None => return Ok(()),
                },
                _ = ticker.tick() => None,
            };
            // A leader that was frozen steps down here, before it takes a request.
            self.node.tick(self.now());
            let more = std::iter::from_fn(|| inbox.try_recv().ok()).take(BATCH);
            for request in first.into_iter().chain(more) {
                self.handle(request);
            }
            self.pump().await?;
            self.join();
            self.review_members();
            if self.applied >= self.compacted + COMPACT_ENTRIES || self.log_bytes >= COMPACT_BYTES {
                self.compact().await?;
            }
            self.publish();
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn handle(&mut self, request: Request) {
        match request {
            Request::Deliver(parcel) => self.deliver(parcel),
            Request::Propose(command, reply) => {
                let bytes = postcard::to_stdvec(&command).expect("a command can be encoded");
                // Dropping the reply tells that the outcome is not known.
                if let Ok(index) = self.node.propose(Bytes::from(bytes)) {
                    self.proposals.insert(index, (self.node.term(), reply));
                }
            }
            Request::Read(reply) => {
                self.next_read += 1;
                if self.node.read(self.next_read).is_ok() {
                    self.reads.insert(self.next_read, reply);
                }
            }
            Request::Join { id, host } => {
                self.hosts.insert(id, host.clone());
                // Only a leader adds members; the others are told by the same replica again.
                self.node.add_learner(Member { id, host: host.to_string() }).ok();
            }
            Request::Disconnected { host } => {
                let voters = &self.node.members().voters;
                let member = voters.iter().find(|member| *member.host == *host);
                if let Some(id) = member.map(|member| member.id) {
                    self.node.peer_disconnected(id);
                }
            }
        }
    }

    /// Takes messages of another replica of the group.
    fn deliver(&mut self, parcel: Envelope) {
        if parcel.to != self.node.id() {
            return;
        }
        if self.group == 0 {
            self.group = parcel.group;
            self.identified = false;
        }
        if parcel.group != self.group {
            return;
        }
        self.hosts.insert(parcel.from, parcel.host);
        let now = self.now();
        for message in parcel.messages {
            self.node.step(parcel.from, message, now);
        }
    }

    /// Carries out what the replica wants until it wants nothing more.
    async fn pump(&mut self) -> Result<(), Error> {
        if !self.identified {
            self.storage.identify(self.identity()).await?;
            self.identified = true;
        }
        loop {
            let mut ready = self.node.ready();
            let nothing = ready.snapshot.is_none()
                && ready.entries.is_empty()
                && ready.hard_state.is_none()
                && ready.messages.is_empty()
                && ready.committed.is_empty()
                && ready.install.is_none()
                && ready.reads.is_empty();
            if nothing {
                break;
            }
            self.storage.write(&mut ready).await?;
            self.send(std::mem::take(&mut ready.messages));
            if let Some(snapshot) = &ready.install {
                *self.state.write() = decode(snapshot.index, &snapshot.data)?;
                self.applied = snapshot.index;
                self.compacted = snapshot.index;
            }
            for entry in ready.committed {
                self.apply(&entry)?;
            }
            for token in ready.reads {
                if let Some(reply) = self.reads.remove(&token) {
                    reply.send(()).ok();
                }
            }
        }
        if self.node.role() != Role::Leader {
            self.reads.clear();
            self.proposals.clear();
        }
        Ok(())
    }

    fn apply(&mut self, entry: &Entry) -> Result<(), Error> {
        self.applied = entry.index;
        let Payload::Data(bytes) = &entry.payload else { return Ok(()) };
        self.log_bytes += bytes.len();
        let command: Command = decode(entry.index, bytes)?;
        trace(&command);
        self.state.write().apply(command);
        if let Some((term, reply)) = self.proposals.remove(&entry.index)
            && term == entry.term
        {
            reply.send(()).ok();
        }
        Ok(())
    }

    /// Sends the messages, in one parcel for each replica.
    fn send(&mut self, messages: Vec<(Id, Message)>) {
        let members = self.node.members();
        for member in members.voters.iter().chain(&members.learners) {
            self.hosts.insert(member.id, Name::from(member.host.as_str()));
        }
        let mut parcels: Map<Id, Vec<Message>> = Map::default();
        for (to, message) in messages {
            parcels.entry(to).or_default().push(message);
        }
        for (to, messages) in parcels {
            let Some(host) = self.hosts.get(&to) else { continue };
            let (group, from) = (self.group, self.node.id());
            let parcel = Envelope { group, from, host: self.host.clone(), to, messages };
            self.peers.send(host, Frame::Raft(parcel));
        }
    }

    /// Asks to become a member while no leader tells this replica anything.
    fn join(&mut self) {
        let now = self.now();
        let id = self.node.id();
        let members = self.node.members();
        let votes = members.voters.iter().any(|member| member.id == id);
        let led = self.node.leader().is_some();
        if led && (votes || members.learners.iter().any(|member| member.id == id)) {
            self.joined = now;
        }
        let patience = if votes { ELECTION * 2 } else { JOIN };
        if now < self.joined + patience {
            return;
        }
        self.joined = now;
        base::event!(INFO, Event::JoinRequested, replica = id);
        self.peers.broadcast(&Frame::Join { id, host: self.host.clone() });
    }

    /// Removes a voter that is silent for long while enough others are left.
    fn review_members(&mut self) {
        let now = self.now();
        if self.node.role() != Role::Leader || now < self.reviewed + REMOVE / 8 {
            return;
        }
        self.reviewed = now;
        let voters = self.node.members().voters.len();
        if voters <= VOTERS {
            return;
        }
        if let Some(silent) = self.node.unresponsive_voters(REMOVE).first() {
            // It leads, as checked above.
            self.node.remove(*silent).ok();
        }
    }

    async fn compact(&mut self) -> Result<(), Error> {
        let data = postcard::to_stdvec(&*self.state.read()).expect("the state can be encoded");
        self.compacted = self.applied;
        self.log_bytes = 0;
        match self.node.compact(self.applied, Bytes::from(data)) {
            Some(snapshot) => self.storage.compact(snapshot).await,
            None => Ok(()),
        }
    }

    /// Tells the rest of the keeper what changed.
    fn publish(&mut self) {
        let members = self.node.members();
        let all = members.voters.iter().chain(&members.learners);
        let leader = self.node.leader();
        let host = |member: &Member| Name::from(member.host.as_str());
        let certain = self.node.role() == Role::Leader && self.node.is_caught_up_leader();
        let status = Status {
            leads: certain.then(|| self.node.term()),
            leader: all.clone().find(|member| Some(member.id) == leader).map(host),
            members: all.map(host).collect(),
            applied: self.applied,
        };
        self.status.send_if_modified(|old| {
            let changed = *old != status;
            *old = status;
            changed
        });
    }

    /// Returns who this replica is.
    pub(crate) fn identity(&self) -> Identity {
        Identity { group: self.group, replica: self.node.id(), host: self.host.clone() }
    }
}

fn decode<T: serde::de::DeserializeOwned>(index: Index, bytes: &[u8]) -> Result<T, Error> {
    postcard::from_bytes(bytes).map_err(|error| Error::Entry { index, message: error.to_string() })
}

fn trace(command: &Command) {
    match command {
        Command::Publish { plan, .. } => {
            base::event!(
                INFO,
                Event::PlanApplied,
                version = plan.version,
                routes = plan.routes.len()
            );
        }
        Command::Name(version) => {
            base::event!(
                INFO, Event::VersionNamed, adapter = %version.adapter, version = version.version
            );
        }
    }
}
