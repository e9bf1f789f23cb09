//! The task that owns the replica, the state machine and the files.

use std::collections::VecDeque;
use std::time::Duration;

use base::Event;
use base::Map;
use base::Name;
use conf::Config;
use disk::Identity;
use raft::message::Entry;
use raft::message::Id;
use raft::message::Index;
use raft::message::Message;
use raft::message::Payload;
use raft::message::Snapshot;
use raft::node::Node;
use raft::node::Ready;
use raft::node::Role;
use state::Command;
use state::Limits;
use state::Machine;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::Interval;
use tokio::time::MissedTickBehavior;
use wire::keeper::Envelope;
use wire::keeper::Fault;

use crate::clock::Clock;
use crate::error::Error;
use crate::history::History;
use crate::leadership::Leadership;
use crate::metrics::Metrics;
use crate::peer::Peers;
use crate::request::Request;
use crate::storage::Storage;
use crate::trace;
use crate::transfer::Assembler;

/// The number of Raft ticks per heartbeat interval.
const TICKS_PER_HEARTBEAT: u32 = 4;
/// The minimum size of the commands after which a snapshot is taken, in bytes.
pub(crate) const MIN_SNAPSHOT_AFTER_BYTES: usize = 8 << 20;
/// The maximum number of requests deferred while the state is encoded.
const MAX_DEFERRED: usize = 8_192;
/// The maximum number of cached hosts of replicas; above it the cache is cleared and refilled.
const MAX_CACHED_HOSTS: usize = 256;

/// The state of the driver task.
pub(crate) struct Driver {
    pub(crate) config: Config,
    pub(crate) limits: Limits,
    pub(crate) host: Name,
    /// The Raft group; 0 until a new replica receives its first message.
    pub(crate) group: u64,
    /// Whether the identity on disk contains `group`.
    pub(crate) identity_written: bool,
    pub(crate) clock: Clock,
    pub(crate) node: Node,
    pub(crate) machine: Machine,
    /// The index of the last entry applied to `machine`.
    pub(crate) applied: Index,
    /// The index of the last entry in the latest snapshot.
    pub(crate) snapshot_index: Index,
    /// The maximum number of requests that share one write of the log.
    pub(crate) max_batch: usize,
    /// The number of entries after which a snapshot is taken.
    pub(crate) snapshot_after_entries: u64,
    /// The size of the commands applied since the last snapshot, in bytes.
    pub(crate) applied_bytes: usize,
    /// The size of the commands after which a snapshot is taken, in bytes. At least the size of the last
    /// snapshot, so that snapshots write no more than the log does.
    pub(crate) snapshot_after_bytes: usize,
    pub(crate) history: History,
    pub(crate) storage: Storage,
    pub(crate) peers: Peers,
    /// The output of the replica that concerns the state machine and is not processed yet. It accumulates
    /// while the state is encoded.
    pub(crate) deferred_ready: VecDeque<Ready>,
    /// The requests received while the state was encoded.
    pub(crate) deferred_requests: Vec<Request>,
    /// The hosts of known replicas.
    pub(crate) hosts: Map<Id, Name>,
    /// Reassembles a snapshot received in chunks.
    pub(crate) assembler: Assembler,
    /// `Some` while this replica is the leader.
    pub(crate) leadership: Option<Leadership>,
    pub(crate) metrics: Metrics,
    /// The time at which the stop was requested, if it was.
    pub(crate) stop_requested: Option<Duration>,
}

impl Driver {
    /// Runs until a stop is requested and the pending calls are answered or time out.
    pub(crate) async fn run(mut self, mut inbox: mpsc::Receiver<Request>) -> Result<(), Error> {
        let heartbeat = Duration::from_millis(self.config.timing.heartbeat_ms);
        let mut ticker = tokio::time::interval(heartbeat / TICKS_PER_HEARTBEAT);
        ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.process_ready().await?;
        while !self.has_stopped() {
            let first = tokio::select! {
                request = inbox.recv() => request,
                _ = ticker.tick() => None,
            };
            // If the process was paused, an outdated leader steps down here, before it handles a request.
            self.node.tick(self.clock.now());
            self.update_leadership();
            let deferred = std::mem::take(&mut self.deferred_requests);
            let more = std::iter::from_fn(|| inbox.try_recv().ok()).take(self.max_batch - 1);
            for request in deferred.into_iter().chain(first).chain(more) {
                self.handle(request);
            }
            self.run_leader_tasks();
            self.process_ready().await?;
            if self.is_snapshot_due() {
                self.compact(&mut inbox, &mut ticker).await?;
                self.apply_deferred()?;
            }
            self.update_metrics();
        }
        self.end_leadership();
        Ok(())
    }

    /// Returns whether a stop was requested and no call is pending or the call timeout has passed.
    fn has_stopped(&self) -> bool {
        let Some(since) = self.stop_requested else { return false };
        let call_timeout = Duration::from_millis(self.config.timing.call_ms);
        let idle = self.leadership.as_ref().is_none_or(|leadership| {
            leadership.proposals.is_empty() && leadership.reads.is_empty()
        });
        idle || self.clock.now() >= since + call_timeout
    }

    /// Processes the output of the replica until there is none.
    async fn process_ready(&mut self) -> Result<(), Error> {
        while self.write_log().await? {
            self.apply_deferred()?;
        }
        Ok(())
    }

    /// Writes the log entries, hard state and snapshot in the output of the replica, then sends its messages.
    /// The part that concerns the state machine is deferred. Returns `false` if there was no output.
    async fn write_log(&mut self) -> Result<bool, Error> {
        self.write_identity().await?;
        let mut ready = self.node.ready();
        if is_empty(&ready) {
            return Ok(false);
        }
        let started = Instant::now();
        if self.storage.write(&mut ready).await? {
            self.record_write(started.elapsed());
        }
        self.send(std::mem::take(&mut ready.messages));
        self.deferred_ready.push_back(ready);
        Ok(true)
    }

    /// Records the duration of a write; logs one that delays heartbeats.
    fn record_write(&self, took: Duration) {
        self.metrics.sync.observe(took.as_secs_f64());
        if took >= Duration::from_millis(self.config.timing.heartbeat_ms) {
            base::event!(WARN, Event::ReplicaDelayed, wait = "write", ms = took.as_millis() as u64);
        }
    }

    /// Applies the deferred output to the state machine and completes confirmed reads.
    fn apply_deferred(&mut self) -> Result<(), Error> {
        while let Some(ready) = self.deferred_ready.pop_front() {
            if let Some(snapshot) = &ready.install {
                self.install(snapshot)?;
            }
            for entry in ready.committed {
                self.apply(entry)?;
            }
            self.update_leadership();
            for token in ready.reads {
                self.complete_read(token);
            }
        }
        Ok(())
    }

    /// Writes the group to disk before this replica takes part in it. Does nothing if it is already written.
    async fn write_identity(&mut self) -> Result<(), Error> {
        if self.identity_written {
            return Ok(());
        }
        let (group, replica, host) = (self.group, self.node.id(), self.host.clone());
        self.storage.write_identity(Identity { group, replica, host }).await?;
        self.identity_written = true;
        Ok(())
    }

    /// Sends messages, combined into one envelope per replica.
    fn send(&mut self, messages: Vec<(Id, Message)>) {
        if self.hosts.len() > MAX_CACHED_HOSTS {
            self.hosts.clear();
        }
        let members = self.node.members();
        for member in members.voters.iter().chain(&members.learners) {
            self.hosts.insert(member.id, Name::from(member.host.as_str()));
        }
        let mut by_replica: Map<Id, Vec<Message>> = Map::default();
        for (to, message) in messages {
            by_replica.entry(to).or_default().push(message);
        }
        for (to, messages) in by_replica {
            let Some(host) = self.hosts.get(&to) else { continue };
            let (group, from) = (self.group, self.node.id());
            let envelope = Envelope { group, from, host: self.host.clone(), to, messages };
            self.peers.send(host, envelope);
        }
    }

    /// Replaces the state machine by a snapshot.
    fn install(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        self.machine = Machine::restore(self.limits, &snapshot.data)?;
        self.applied = snapshot.index;
        self.snapshot_index = snapshot.index;
        self.applied_bytes = 0;
        self.history.clear();
        Ok(())
    }

    /// Applies a committed entry and replies to the caller that proposed it.
    fn apply(&mut self, entry: Entry) -> Result<(), Error> {
        self.applied = entry.index;
        let Payload::Data(bytes) = &entry.payload else { return Ok(()) };
        self.applied_bytes += bytes.len();
        let command: Command = postcard::from_bytes(bytes)
            .map_err(|error| Error::Command { index: entry.index, message: error.to_string() })?;
        let logged = self.leadership.is_some().then(|| command.clone());
        let (outcome, deltas) = self.machine.apply(command);
        self.history.extend(deltas.iter().cloned());
        let now = self.clock.now();
        let Some(leadership) = &mut self.leadership else { return Ok(()) };
        if let Some(command) = logged {
            trace::command(&command, &outcome);
        }
        trace::deltas(&deltas);
        leadership.leases.sync(self.machine.view(), now);
        if let Some(proposal) = leadership.proposals.remove(&entry.index) {
            self.complete_proposal(proposal, entry.term, outcome);
        }
        Ok(())
    }

    /// Returns whether enough entries or bytes were applied since the last snapshot.
    fn is_snapshot_due(&self) -> bool {
        let enough_entries = self.applied >= self.snapshot_index + self.snapshot_after_entries;
        enough_entries || self.applied_bytes >= self.snapshot_after_bytes
    }

    /// Takes a snapshot. The state is encoded on another thread while the replica continues, so that a leader
    /// with a large state keeps its leadership. Work on the state machine is deferred until then.
    async fn compact(
        &mut self,
        inbox: &mut mpsc::Receiver<Request>,
        ticker: &mut Interval,
    ) -> Result<(), Error> {
        let machine = std::mem::replace(&mut self.machine, Machine::new(self.limits));
        let mut encoding = tokio::task::spawn_blocking(move || {
            let snapshot = machine.snapshot();
            (machine, snapshot)
        });
        let encoded = loop {
            tokio::select! {
                encoded = &mut encoding => break encoded,
                Some(request) = inbox.recv(), if self.deferred_requests.len() < MAX_DEFERRED => match request {
                    Request::Deliver(envelope) => self.deliver(envelope),
                    request => self.deferred_requests.push(request),
                },
                _ = ticker.tick() => {}
            }
            self.node.tick(self.clock.now());
            while self.write_log().await? {}
        };
        let (machine, snapshot) = encoded.map_err(|error| Error::Task(error.to_string()))?;
        self.machine = machine;
        self.snapshot_index = self.applied;
        self.applied_bytes = 0;
        self.snapshot_after_bytes = snapshot.len().max(MIN_SNAPSHOT_AFTER_BYTES);
        match self.node.compact(self.applied, snapshot) {
            Some(snapshot) => self.storage.write_snapshot(snapshot).await,
            None => Ok(()),
        }
    }

    /// Starts or ends the leadership according to the role of the replica.
    pub(crate) fn update_leadership(&mut self) {
        let is_leader = self.node.role() == Role::Leader;
        let term = self.node.term();
        if self.leadership.as_ref().is_some_and(|leadership| !is_leader || leadership.term != term)
        {
            self.end_leadership();
        }
        if is_leader && self.leadership.is_none() {
            let view = self.machine.view();
            self.leadership = Some(Leadership::new(&self.config, term, view, self.clock.now()));
        }
    }

    /// Ends the leadership, if any, and fails all pending calls.
    fn end_leadership(&mut self) {
        if let Some(leadership) = self.leadership.take() {
            leadership.fail_pending(self.leader());
        }
    }

    /// Passes messages of another replica to the Raft node. A replica without a group joins that of the sender;
    /// messages of other groups are dropped.
    pub(crate) fn deliver(&mut self, envelope: Envelope) {
        if envelope.to != self.node.id() {
            return;
        }
        if self.group == 0 {
            self.group = envelope.group;
            self.identity_written = false;
        }
        if envelope.group != self.group {
            return;
        }
        self.hosts.insert(envelope.from, envelope.host);
        let now = self.clock.now();
        for message in envelope.messages {
            self.node.step(envelope.from, message, now);
        }
    }

    /// Returns whether this replica is a member of its group, according to its own log.
    pub(crate) fn is_member(&self) -> bool {
        let members = self.node.members();
        let mut members = members.voters.iter().chain(&members.learners);
        members.any(|member| member.id == self.node.id())
    }

    /// Returns the host of the leader, or `None` if it is not known.
    pub(crate) fn leader(&self) -> Option<Name> {
        let leader = self.node.leader()?;
        let members = self.node.members();
        let mut members = members.voters.iter().chain(&members.learners);
        members.find(|member| member.id == leader).map(|member| Name::from(member.host.as_str()))
    }

    /// Returns the fault of calls that only the leader executes, with the leader if it is another keeper.
    pub(crate) fn not_leader(&self) -> Fault {
        let leader = self.leader().filter(|leader| *leader != self.host);
        Fault::NotLeader { leader }
    }
}

/// Returns whether the output of the replica is empty.
fn is_empty(ready: &Ready) -> bool {
    ready.snapshot.is_none()
        && ready.entries.is_empty()
        && ready.hard_state.is_none()
        && ready.messages.is_empty()
        && ready.install.is_none()
        && ready.committed.is_empty()
        && ready.reads.is_empty()
}
