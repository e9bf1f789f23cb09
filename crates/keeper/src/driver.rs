//! The task that owns the replica, the state and the files.

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
use tokio::time::MissedTickBehavior;
use wire::keeper::Fault;
use wire::keeper::Parcel;
use wire::keeper::Status;

use crate::clock::Clock;
use crate::error::Error;
use crate::leading::Leading;
use crate::metrics::Metrics;
use crate::peer::Peers;
use crate::request::Request;
use crate::ring::Ring;
use crate::storage::Storage;
use crate::transfer::Assembly;

/// The ticks in the time between two heartbeats.
const TICKS: u32 = 4;
/// The fewest bytes of commands after which a snapshot is taken.
pub(crate) const COMPACT_BYTES: usize = 8 << 20;
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
            let more = std::iter::from_fn(|| inbox.try_recv().ok());
            for request in first.into_iter().chain(more).take(self.batch) {
                self.handle(request);
            }
            self.lead();
            self.pump().await?;
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
        self.identify().await?;
        loop {
            let mut ready = self.node.ready();
            if is_empty(&ready) {
                return self.compact().await;
            }
            let timer = self.metrics.sync.start_timer();
            if self.storage.write(&mut ready).await? {
                timer.observe_duration();
            } else {
                timer.stop_and_discard();
            }
            self.send(std::mem::take(&mut ready.messages));
            if let Some(snapshot) = ready.install.take() {
                self.install(&snapshot)?;
            }
            for entry in ready.committed {
                self.apply(entry)?;
            }
            self.follow_role();
            for token in ready.reads {
                self.confirm(token);
            }
        }
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
            let parcel = Parcel { group, from, host: self.host.clone(), to, messages };
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
        let (outcome, deltas) = self.machine.apply(command);
        self.ring.extend(deltas);
        let now = self.clock.now();
        let Some(leading) = &mut self.leading else { return Ok(()) };
        leading.leases.follow(self.machine.view(), now);
        if let Some(proposal) = leading.proposals.remove(&entry.index) {
            self.resolve(proposal, entry.term, outcome);
        }
        Ok(())
    }

    /// Takes a snapshot if enough entries were applied since the last one.
    async fn compact(&mut self) -> Result<(), Error> {
        let many = self.applied >= self.compacted + self.compact_entries;
        if !many && self.log_bytes < self.compact_bytes {
            return Ok(());
        }
        let snapshot = self.machine.snapshot();
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
    pub(crate) fn deliver(&mut self, parcel: Parcel) {
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

    /// Returns how this keeper is.
    pub(crate) fn status(&self) -> Status {
        let names = |members: &[raft::message::Member]| {
            members.iter().map(|member| Name::from(member.host.as_str())).collect()
        };
        let members = self.node.members();
        let role = match self.node.role() {
            Role::Leader => "leader",
            Role::Follower => "follower",
            Role::Candidate => "candidate",
            Role::Learner => "learner",
        };
        Status {
            host: self.host.clone(),
            id: self.node.id(),
            group: self.group,
            role: Name::from(role),
            term: self.node.term(),
            leader: self.leader(),
            commit: self.node.commit(),
            applied: self.applied,
            voters: names(&members.voters),
            learners: names(&members.learners),
            configuration: self.machine.view().configuration,
            in_force: self.in_force(),
        }
    }

    /// Returns the revision that is in force at every gate; 0 on followers.
    pub(crate) fn in_force(&self) -> u64 {
        let revision = self.machine.view().revision;
        self.leading.as_ref().map_or(0, |leading| leading.leases.in_force(revision))
    }

    /// Brings the metrics up to date.
    fn measure(&self) {
        let metrics = &self.metrics;
        metrics.term.set(self.node.term() as i64);
        metrics.leader.set(i64::from(self.leading.is_some()));
        metrics.commit.set(self.node.commit() as i64);
        metrics.applied.set(self.applied as i64);
        metrics.lag.set(self.node.last_index().saturating_sub(self.node.commit()) as i64);
        metrics.voters.set(self.node.members().voters.len() as i64);
        metrics.in_force.set(self.in_force() as i64);
        metrics.revision.set(self.machine.view().revision as i64);
        metrics.keys.set(self.machine.keys() as i64);
        metrics.bytes.set(self.machine.bytes() as i64);
        let count = |of: fn(&Leading) -> usize| self.leading.as_ref().map_or(0, of) as i64;
        metrics.leases.set(count(|leading| leading.leases.len()));
        metrics.proposals.set(count(|leading| leading.proposals.len()));
        metrics.permits.set(count(|leading| leading.permits.in_flight()));
        metrics.wishes.set(count(|leading| leading.permits.waiting()));
    }
}

/// Returns whether nothing is to be carried out.
fn is_empty(ready: &Ready) -> bool {
    ready.snapshot.is_none()
        && ready.entries.is_empty()
        && ready.hard.is_none()
        && ready.messages.is_empty()
        && ready.install.is_none()
        && ready.committed.is_empty()
        && ready.reads.is_empty()
}
