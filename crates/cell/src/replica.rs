//! Task that owns the replica and its files.

use std::sync::Arc;
use std::time::Duration;

use base::Event;
use base::Map;
use base::Name;
use bytes::Bytes;
use disk::Identity;
use fleet::message::Envelope;
use fleet::message::Frame;
use fleet::revision::Revision;
use parking_lot::RwLock;
use prometheus::HistogramVec;
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

use crate::budget::Budget;
use crate::delay::Delay;
use crate::error::Error;
use crate::peers::Peers;
use crate::settings::COMPACT_BYTES;
use crate::settings::COMPACT_ENTRIES;
use crate::settings::ELECTION_TIMEOUT;
use crate::settings::HEARTBEAT_INTERVAL;
use crate::settings::JOIN_INTERVAL;
use crate::settings::Settings;
use crate::settings::TICK_INTERVAL;
use crate::settings::VOTER_TIMEOUT;
use crate::state::Command;
use crate::state::State;
use crate::storage::Recovery;
use crate::storage::Storage;
use crate::tolerance::Tolerance;
use crate::watchdog::Pulse;
use crate::watchdog::Watchdog;

/// Maximum number of requests handled before the log is written once for all of them.
const MAX_REQUESTS_PER_WRITE: usize = 128;
/// Maximum size of the entries in one message, and of the messages in one frame if there are more, in
/// bytes. Heartbeats wait behind it: 250 ms on a link of 1 MB a second.
const MAX_MESSAGE_BYTES: usize = 256 << 10;
/// Size of a part of a larger entry or snapshot, in bytes.
const PART_BYTES: usize = 64 << 10;

/// A request to the replica. It has no `Debug` output, because a command may contain API keys.
pub(crate) enum Request {
    /// Messages from another replica.
    Deliver(Envelope),
    /// Proposes an encoded command. The sender fires once it is applied and is dropped if the outcome is
    /// unknown.
    Propose(Bytes, oneshot::Sender<()>),
    /// Linearizable read. The sender fires once the state contains all commands committed before
    /// this request, and is dropped on loss of leadership.
    Read(oneshot::Sender<()>),
    /// Another replica requests to become a member.
    Join { id: Id, host: Name },
    /// The link to a host broke.
    Disconnected { host: Name },
}

/// The metrics of a replica's task and the pulse of the main thread.
#[derive(Clone, Debug)]
pub(crate) struct Monitor {
    pub(crate) delays: HistogramVec,
    pub(crate) pulse: Pulse,
}

/// The replica's status, published to the other tasks of the keeper.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Status {
    /// The term if this replica leads and has applied all entries committed in earlier terms.
    pub(crate) leads: Option<u64>,
    /// The leader's link address.
    pub(crate) leader: Option<Name>,
    /// The members' link addresses.
    pub(crate) members: Vec<Name>,
    /// The number of voters.
    pub(crate) voters: usize,
    /// The number of members that only receive the log.
    pub(crate) standbys: usize,
    /// Index of the last applied entry.
    pub(crate) applied: Index,
    /// Whether the last write failed. The replica does not run then.
    pub(crate) disk_failed: bool,
}

/// A replica of the log with its files.
pub(crate) struct Replica {
    host: Name,
    /// The group id; 0 until a new replica has been enrolled.
    group: u64,
    /// Whether `group` has been written to disk.
    identified: bool,
    started: Instant,
    node: Node,
    budget: Budget,
    state: Arc<RwLock<State>>,
    storage: Storage,
    peers: Arc<Peers>,
    status: Arc<watch::Sender<Status>>,
    /// Link addresses of known replicas.
    hosts: Map<Id, Name>,
    /// Proposals not applied yet by index, each with its term.
    proposals: Map<Index, (u64, oneshot::Sender<()>)>,
    reads: Map<u64, oneshot::Sender<()>>,
    next_read: u64,
    snapshot_index: Index,
    applied: Index,
    bytes_since_snapshot: usize,
    /// Start of the wait before the next request to join: the last tick as a member with a known
    /// leader, or the last request.
    join_timer_start: Duration,
    /// Time of the last check for unresponsive voters.
    last_voter_check: Duration,
    tolerance: Tolerance,
    delay: Delay,
    watchdog: Watchdog,
}

impl Replica {
    /// Opens the replica's files. Fills `state` from the snapshot; `status` is published while it
    /// runs. With `probe`, fails without a change of `state` unless a write succeeds.
    pub(crate) async fn open(
        settings: &Settings,
        peers: Arc<Peers>,
        state: Arc<RwLock<State>>,
        status: Arc<watch::Sender<Status>>,
        monitor: Monitor,
        probe: bool,
    ) -> Result<Replica, Error> {
        let (storage, Recovery { id, group, stored }) = Storage::open(settings, probe).await?;
        let restored = match &stored.snapshot {
            Some(snapshot) => decode_snapshot(snapshot.index, &snapshot.data)?,
            None => State::default(),
        };
        *state.write() = restored;
        let applied = stored.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let budget = Budget::new(settings.memory_bytes);
        let config = Config {
            heartbeat_interval: HEARTBEAT_INTERVAL,
            election_timeout: ELECTION_TIMEOUT,
            max_batch_bytes: MAX_MESSAGE_BYTES,
            part_bytes: PART_BYTES,
            max_object_bytes: budget.object,
            max_in_flight_bytes: budget.in_flight,
            retained_bytes: budget.retained,
            seed: rand::random(),
        };
        let mut node = Node::new(id, config, stored, Duration::ZERO);
        let tolerance = Tolerance::new(settings);
        tolerance.apply(&mut node);
        Ok(Replica {
            host: Name::from(settings.address.to_string()),
            group,
            identified: true,
            started: Instant::now(),
            node,
            budget,
            state,
            storage,
            peers,
            status,
            hosts: Map::default(),
            proposals: Map::default(),
            reads: Map::default(),
            next_read: 0,
            snapshot_index: applied,
            applied,
            bytes_since_snapshot: 0,
            join_timer_start: Duration::ZERO,
            last_voter_check: Duration::ZERO,
            tolerance,
            delay: Delay::new(monitor.delays),
            watchdog: Watchdog::new(monitor.pulse),
        })
    }

    /// Runs until the request queue is closed or an error occurs.
    pub(crate) async fn run(mut self, inbox: &mut mpsc::Receiver<Request>) -> Result<(), Error> {
        let mut ticker = tokio::time::interval(TICK_INTERVAL);
        ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.process_ready().await?;
        loop {
            self.delay.turn_ended();
            let first = tokio::select! {
                request = inbox.recv() => match request {
                    Some(request) => Some(request),
                    None => return Ok(()),
                },
                _ = ticker.tick() => None,
            };
            self.delay.turn_started();
            // Ticks first, so that a leader that was suspended steps down before it handles a
            // request.
            if !self.watchdog.is_stalled() {
                self.node.tick(self.now());
            }
            let more = std::iter::from_fn(|| inbox.try_recv().ok()).take(MAX_REQUESTS_PER_WRITE);
            self.update_part_receivers();
            for request in first.into_iter().chain(more) {
                self.handle(request);
            }
            self.process_ready().await?;
            self.request_to_join();
            self.replace_unresponsive_voter();
            self.tolerance.check(&self.node);
            if self.applied >= self.snapshot_index + COMPACT_ENTRIES
                || self.bytes_since_snapshot >= COMPACT_BYTES
            {
                self.compact().await?;
            }
            self.publish_status();
        }
    }

    fn now(&self) -> Duration {
        self.started.elapsed()
    }

    fn handle(&mut self, request: Request) {
        match request {
            Request::Deliver(envelope) => self.deliver(envelope),
            Request::Propose(bytes, reply) => {
                let log_bytes = self.node.log_bytes();
                if log_bytes + bytes.len() > self.budget.log {
                    // The caller repeats the call; by then entries may be committed and dropped.
                    base::event!(
                        WARN,
                        Event::LogFull,
                        bytes = bytes.len(),
                        held = log_bytes,
                        limit = self.budget.log
                    );
                    return;
                }
                // On error the reply is dropped: the outcome is unknown.
                if let Ok(index) = self.node.propose(bytes) {
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
                // Fails on followers. The joining replica broadcasts its request, so the leader
                // gets it too.
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

    /// Handles messages from another replica of the group. A new replica adopts the sender's group.
    fn deliver(&mut self, envelope: Envelope) {
        if envelope.to != self.node.id() {
            return;
        }
        if self.group == 0 {
            self.group = envelope.group;
            self.identified = false;
        }
        if envelope.group != self.group {
            return;
        }
        self.hosts.insert(envelope.from, envelope.host);
        let now = self.now();
        for message in envelope.messages {
            self.node.step(envelope.from, message, now);
        }
    }

    /// Writes, sends and applies the node's output until there is none left.
    async fn process_ready(&mut self) -> Result<(), Error> {
        if !self.identified {
            self.storage.write_identity(self.identity()).await?;
            self.identified = true;
        }
        loop {
            let mut ready = self.node.ready();
            let idle = ready.snapshot.is_none()
                && ready.entries.is_empty()
                && ready.hard_state.is_none()
                && ready.messages.is_empty()
                && ready.committed.is_empty()
                && ready.install.is_none()
                && ready.reads.is_empty();
            if idle {
                break;
            }
            let started = Instant::now();
            self.storage.write(&mut ready).await?;
            self.delay.written(started.elapsed());
            self.send(std::mem::take(&mut ready.messages));
            if let Some(snapshot) = &ready.install {
                *self.state.write() = decode_snapshot(snapshot.index, &snapshot.data)?;
                self.applied = snapshot.index;
                self.snapshot_index = snapshot.index;
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
        self.bytes_since_snapshot += bytes.len();
        let command: Command = decode(entry.index, bytes)?;
        command.log();
        self.state.write().apply(command);
        if let Some((term, reply)) = self.proposals.remove(&entry.index)
            && term == entry.term
        {
            reply.send(()).ok();
        }
        Ok(())
    }

    /// Sends messages, grouped into one envelope per replica.
    fn send(&mut self, messages: Vec<(Id, Message)>) {
        let members = self.node.members();
        for member in members.voters.iter().chain(&members.learners) {
            self.hosts.insert(member.id, Name::from(member.host.as_str()));
        }
        let mut by_receiver: Map<Id, (usize, Vec<Message>)> = Map::default();
        for (to, message) in messages {
            let (bytes, queued) = by_receiver.entry(to).or_default();
            *bytes += message.data_bytes();
            queued.push(message);
            if *bytes > MAX_MESSAGE_BYTES {
                let full = std::mem::take(queued);
                *bytes = 0;
                self.send_envelope(to, full);
            }
        }
        for (to, (_, messages)) in by_receiver {
            if !messages.is_empty() {
                self.send_envelope(to, messages);
            }
        }
    }

    fn send_envelope(&self, to: Id, messages: Vec<Message>) {
        let Some(host) = self.hosts.get(&to) else { return };
        let (group, from) = (self.group, self.node.id());
        let envelope = Envelope { group, from, host: self.host.clone(), to, messages };
        self.peers.send(host, Frame::Raft(envelope));
    }

    /// Tells the node which replicas know messages in parts.
    fn update_part_receivers(&mut self) {
        if self.node.role() != Role::Leader {
            return;
        }
        let members = self.node.members();
        let all = members.voters.iter().chain(&members.learners);
        let knows_parts =
            |member: &&Member| self.peers.revision(&member.host) >= Some(Revision::TENANTS);
        let receivers = all.filter(knows_parts).map(|member| member.id).collect();
        self.node.set_part_receivers(receivers);
    }

    /// Broadcasts a request to join if this replica has no leader or is not a member.
    fn request_to_join(&mut self) {
        let now = self.now();
        let id = self.node.id();
        let members = self.node.members();
        let is_voter = members.voters.iter().any(|member| member.id == id);
        let has_leader = self.node.leader().is_some();
        if has_leader && (is_voter || members.learners.iter().any(|member| member.id == id)) {
            self.join_timer_start = now;
        }
        let wait = if is_voter { ELECTION_TIMEOUT * 2 } else { JOIN_INTERVAL };
        if now < self.join_timer_start + wait {
            return;
        }
        self.join_timer_start = now;
        base::event!(INFO, Event::JoinRequested, replica = id);
        self.peers.broadcast(&Frame::Join { id, host: self.host.clone() });
    }

    /// Takes the next step of the replacement of an unresponsive voter.
    fn replace_unresponsive_voter(&mut self) {
        let now = self.now();
        if self.node.role() != Role::Leader || now < self.last_voter_check + HEARTBEAT_INTERVAL {
            return;
        }
        self.last_voter_check = now;
        if let Some(unresponsive) = self.node.unresponsive_voters(VOTER_TIMEOUT).first() {
            // Can't fail: this replica leads, as checked above.
            self.node.replace(*unresponsive).ok();
        }
    }

    async fn compact(&mut self) -> Result<(), Error> {
        let data = postcard::to_stdvec(&*self.state.read()).expect("the state can be encoded");
        self.snapshot_index = self.applied;
        self.bytes_since_snapshot = 0;
        match self.node.compact(self.applied, Bytes::from(data)) {
            Some(snapshot) => self.storage.compact(snapshot).await,
            None => Ok(()),
        }
    }

    /// Publishes the replica's status if it changed.
    fn publish_status(&mut self) {
        let members = self.node.members();
        let all = members.voters.iter().chain(&members.learners);
        let leader = self.node.leader();
        let host = |member: &Member| Name::from(member.host.as_str());
        let is_caught_up = self.node.role() == Role::Leader && self.node.is_caught_up_leader();
        let status = Status {
            leads: is_caught_up.then(|| self.node.term()),
            leader: all.clone().find(|member| Some(member.id) == leader).map(host),
            members: all.map(host).collect(),
            voters: members.voters.len(),
            standbys: members.learners.len(),
            applied: self.applied,
            disk_failed: false,
        };
        self.status.send_if_modified(|old| {
            let changed = *old != status;
            *old = status;
            changed
        });
    }

    pub(crate) fn identity(&self) -> Identity {
        Identity { group: self.group, replica: self.node.id(), host: self.host.clone() }
    }
}

fn decode<T: serde::de::DeserializeOwned>(index: Index, bytes: &[u8]) -> Result<T, Error> {
    postcard::from_bytes(bytes).map_err(|error| Error::Entry { index, message: error.to_string() })
}

fn decode_snapshot(index: Index, bytes: &[u8]) -> Result<State, Error> {
    State::decode(bytes).map_err(|error| Error::Entry { index, message: error.to_string() })
}
