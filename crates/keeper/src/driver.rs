//! The task that owns the replica, the state and the files.

use std::collections::VecDeque;
use std::time::Duration;

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
use tokio::time::Interval;
use tokio::time::MissedTickBehavior;
use wire::keeper::Envelope;
use wire::keeper::Fault;

use crate::clock::Clock;
use crate::error::Error;
use crate::leading::Leading;
use crate::metrics::Metrics;
use crate::peer::Peers;
use crate::request::Request;
use crate::ring::Ring;
use crate::storage::Storage;
use crate::trace;
use crate::transfer::Assembly;

/// The ticks in the time between two heartbeats.
const TICKS: u32 = 4;
/// The fewest bytes of commands after which a snapshot is taken.
pub(crate) const COMPACT_BYTES: usize = 8 << 20;
/// The requests that may wait while the state is being encoded.
const LATE: usize = 8_192;
/// The replicas whose hosts are remembered beside those of the members.
const HOSTS: usize = 256;

/// The task that owns the replica, the state and the files.
pub(crate) struct Driver {
    pub(crate) config: Config,
    pub(crate) limits: Limits,
    pub(crate) host: Name,
    /// The group; 0 until a fresh replica has been enrolled.
    pub(crate) group: u64,
    /// Whether `group` is on disk.
    pub(crate) identified: bool,
    pub(crate) clock: Clock,
    pub(crate) node: Node,
    pub(crate) machine: Machine,
    /// The last entry applied to `machine`.
    pub(crate) applied: Index,
    /// The last entry in the latest snapshot.
    pub(crate) compacted: Index,
    /// The most requests that share one write of the log.
    pub(crate) batch: usize,
    /// The entries after which a snapshot is taken.
    pub(crate) compact_entries: u64,
    /// The bytes of the commands applied since the last snapshot.
    pub(crate) log_bytes: usize,
    /// The bytes of commands after which a snapshot is taken; at least those of the last snapshot, so
    /// that snapshots take no more writes than the log does.
    pub(crate) compact_bytes: usize,
    pub(crate) ring: Ring,
    pub(crate) storage: Storage,
    pub(crate) peers: Peers,
    /// What the replica wants done with the state while that is being encoded.
    pub(crate) put_off: VecDeque<Ready>,
    /// The requests that came while the state was being encoded.
    pub(crate) late: Vec<Request>,
    /// The hosts of the replicas that were heard of.
    pub(crate) hosts: Map<Id, Name>,
    /// A snapshot that arrives in pieces.
    pub(crate) assembly: Assembly,
    /// Present while this replica leads.
    pub(crate) leading: Option<Leading>,
    pub(crate) metrics: Metrics,
    /// When the stop was asked for, if it was.
    pub(crate) stopping: Option<Duration>,
}

impl Driver {
    /// Runs until it is told to stop.
    pub(crate) async fn run(mut self, mut inbox: mpsc::Receiver<Request>) -> Result<(), Error> {
        let heartbeat = Duration::from_millis(self.config.timing.heartbeat_ms);
        let mut ticker = tokio::time::interval(heartbeat / TICKS);
        ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.pump().await?;
        while !self.has_stopped() {
            let first = tokio::select! {
                request = inbox.recv() => request,
                _ = ticker.tick() => None,
            };
            // A leader that was frozen steps down here, before it takes a request.
            self.node.tick(self.clock.now());
            self.follow_role();
            let late = std::mem::take(&mut self.late);
            let more = std::iter::from_fn(|| inbox.try_recv().ok()).take(self.batch - 1);
            for request in late.into_iter().chain(first).chain(more) {
                self.handle(request);
            }
            self.lead();
            self.pump().await?;
            if self.wants_snapshot() {
                self.compact(&mut inbox, &mut ticker).await?;
                self.catch_up()?;
            }
            self.measure();
        }
        self.lose_leadership();
        Ok(())
    }

    /// Returns whether the stop was asked for and nobody waits any more.
    fn has_stopped(&self) -> bool {
        let Some(since) = self.stopping else { return false };
        let call = Duration::from_millis(self.config.timing.call_ms);
        let idle = self
            .leading
            .as_ref()
            .is_none_or(|leading| leading.proposals.is_empty() && leading.reads.is_empty());
        idle || self.clock.now() >= since + call
    }

    /// Carries out what the replica wants until it wants nothing more.
    async fn pump(&mut self) -> Result<(), Error> {
        while self.write_log().await? {
            self.catch_up()?;
        }
        Ok(())
    }

    /// Writes what the replica wants written, then sends its messages; what concerns the state is put
    /// off. Returns whether there was anything.
    async fn write_log(&mut self) -> Result<bool, Error> {
        self.identify().await?;
        let mut ready = self.node.ready();
        if is_empty(&ready) {
            return Ok(false);
        }
        let timer = self.metrics.sync.start_timer();
        if self.storage.write(&mut ready).await? {
            timer.observe_duration();
        } else {
            timer.stop_and_discard();
        }
        self.send(std::mem::take(&mut ready.messages));
        self.put_off.push_back(ready);
        Ok(true)
    }

    /// Carries out what concerns the state and was put off.
    fn catch_up(&mut self) -> Result<(), Error> {
        while let Some(ready) = self.put_off.pop_front() {
            if let Some(snapshot) = &ready.install {
                self.install(snapshot)?;
            }
            for entry in ready.committed {
                self.apply(entry)?;
            }
            self.follow_role();
            for token in ready.reads {
                self.confirm(token);
            }
        }
        Ok(())
    }

    /// Writes the group to disk before this replica takes part in it.
    async fn identify(&mut self) -> Result<(), Error> {
        if self.identified {
            return Ok(());
        }
        let (group, replica, host) = (self.group, self.node.id(), self.host.clone());
        self.storage.identify(Identity { group, replica, host }).await?;
        self.identified = true;
        Ok(())
    }

    /// Sends the messages, in one parcel for each replica.
    fn send(&mut self, messages: Vec<(Id, Message)>) {
        if self.hosts.len() > HOSTS {
            self.hosts.clear();
        }
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
            self.peers.send(host, parcel);
        }
    }

    /// Replaces the state by a snapshot.
    fn install(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        self.machine = Machine::restore(self.limits, &snapshot.data)?;
        self.applied = snapshot.index;
        self.compacted = snapshot.index;
        self.log_bytes = 0;
        self.ring.clear();
        Ok(())
    }

    /// Applies a committed entry and answers who waits for it.
    fn apply(&mut self, entry: Entry) -> Result<(), Error> {
        self.applied = entry.index;
        let Payload::Data(bytes) = &entry.payload else { return Ok(()) };
        self.log_bytes += bytes.len();
        let command: Command = postcard::from_bytes(bytes)
            .map_err(|error| Error::Command { index: entry.index, message: error.to_string() })?;
        let traced = self.leading.is_some().then(|| command.clone());
        let (outcome, deltas) = self.machine.apply(command);
        self.ring.extend(deltas.iter().cloned());
        let now = self.clock.now();
        let Some(leading) = &mut self.leading else { return Ok(()) };
        if let Some(command) = traced {
            trace::command(&command, &outcome);
        }
        trace::deltas(&deltas);
        leading.leases.follow(self.machine.view(), now);
        if let Some(proposal) = leading.proposals.remove(&entry.index) {
            self.resolve(proposal, entry.term, outcome);
        }
        Ok(())
    }

    /// Returns whether enough was applied since the last snapshot.
    fn wants_snapshot(&self) -> bool {
        let many = self.applied >= self.compacted + self.compact_entries;
        many || self.log_bytes >= self.compact_bytes
    }

    /// Takes a snapshot on another thread. The replica goes on meanwhile, so that a large state costs
    /// no leader its lead; what concerns the state waits.
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
                Some(request) = inbox.recv(), if self.late.len() < LATE => match request {
                    Request::Deliver(parcel) => self.deliver(parcel),
                    request => self.late.push(request),
                },
                _ = ticker.tick() => {}
            }
            self.node.tick(self.clock.now());
            while self.write_log().await? {}
        };
        let (machine, snapshot) = encoded.map_err(|error| Error::Task(error.to_string()))?;
        self.machine = machine;
        self.compacted = self.applied;
        self.log_bytes = 0;
        self.compact_bytes = snapshot.len().max(COMPACT_BYTES);
        match self.node.compact(self.applied, snapshot) {
            Some(snapshot) => self.storage.compact(snapshot).await,
            None => Ok(()),
        }
    }

    /// Starts or ends to lead as the replica does.
    pub(crate) fn follow_role(&mut self) {
        let leads = self.node.role() == Role::Leader;
        let term = self.node.term();
        if self.leading.as_ref().is_some_and(|leading| !leads || leading.term != term) {
            self.lose_leadership();
        }
        if leads && self.leading.is_none() {
            let view = self.machine.view();
            self.leading = Some(Leading::new(&self.config, term, view, self.clock.now()));
        }
    }

    /// Tells all who wait that this keeper leads no more.
    fn lose_leadership(&mut self) {
        if let Some(leading) = self.leading.take() {
            leading.fail(self.leader());
        }
    }

    /// Takes messages of another replica of the group.
    pub(crate) fn deliver(&mut self, parcel: Envelope) {
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
        let now = self.clock.now();
        for message in parcel.messages {
            self.node.step(parcel.from, message, now);
        }
    }

    /// Returns whether this replica is a member of its group, as far as it knows.
    pub(crate) fn is_member(&self) -> bool {
        let members = self.node.members();
        let mut members = members.voters.iter().chain(&members.learners);
        members.any(|member| member.id == self.node.id())
    }

    /// Returns the host of the leader, where it is known.
    pub(crate) fn leader(&self) -> Option<Name> {
        let leader = self.node.leader()?;
        let members = self.node.members();
        let mut members = members.voters.iter().chain(&members.learners);
        members.find(|member| member.id == leader).map(|member| Name::from(member.host.as_str()))
    }

    /// Returns the fault of calls that only the leader carries out.
    pub(crate) fn not_leader(&self) -> Fault {
        let leader = self.leader().filter(|leader| *leader != self.host);
        Fault::NotLeader { leader }
    }
}

/// Returns whether nothing is to be carried out.
fn is_empty(ready: &Ready) -> bool {
    ready.snapshot.is_none()
        && ready.entries.is_empty()
        && ready.hard_state.is_none()
        && ready.messages.is_empty()
        && ready.install.is_none()
        && ready.committed.is_empty()
        && ready.reads.is_empty()
}
