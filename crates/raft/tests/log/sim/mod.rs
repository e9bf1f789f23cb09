//! Simulation of a cluster in one process, driven by a seeded schedule of faults.

pub(crate) mod check;
pub(crate) mod files;
pub(crate) mod network;
pub(crate) mod rates;
pub(crate) mod replica;

// The tests of the crate `disk` use the methods that are unused here.
#[allow(dead_code)]
#[path = "../../../../disk/tests/store/memory.rs"]
pub(crate) mod memory;

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use raft::Message;
use raft::Node;
use raft::message::Id;
use raft::message::Members;
use raft::node::Config;
use raft::node::Ready;
use raft::node::Role;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use self::check::Checker;
use self::rates::Rates;
use self::rates::Report;
use self::replica::Replica;

/// Number of hosts in a random schedule.
pub(crate) const HOSTS: usize = 5;
/// Number of hosts with a disk, in half of the schedules; all hosts have one in the others.
const DISKS: usize = 3;
const STEP: Duration = Duration::from_millis(5);
/// Steps within which a cluster must converge after the faults end; 6000 steps are 30 s.
const HEAL_STEPS: usize = 6_000;

/// Time within which a requested removal can still take effect: by then the leader has carried it
/// out or lost its leadership.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(5);

/// Time without contact after which the leader replaces a voter, if the number of voters is limited.
const VOTER_TIMEOUT: Duration = Duration::from_secs(1);

/// Sizes by which the entries and snapshots of some schedules are sent in parts, in bytes.
const SMALL_SIZES: Config = Config {
    max_batch_bytes: 60,
    part_bytes: 50,
    max_in_flight_bytes: 400,
    retained_bytes: 300,
    ..replica::CONFIG
};
/// Upper bound of the data of a large entry and of the padding of a snapshot in those schedules, in
/// bytes.
const MAX_LARGE_BYTES: usize = 1_000;

/// A message in transit.
struct Delivery {
    from: Id,
    from_host: usize,
    to: Id,
    message: Message,
}

/// A simulated cluster.
pub(crate) struct Cluster {
    seed: u64,
    random: SmallRng,
    now: Duration,
    pub(crate) replicas: Vec<Replica>,
    in_transit: BTreeMap<(Duration, u64), Delivery>,
    sent: u64,
    /// The network partition of each host; hosts with different values can't communicate.
    partitions: Vec<u8>,
    /// Hosts from this one on have no disk.
    disks: usize,
    /// The number of voters to keep; `None` if all hosts vote.
    voters: Option<usize>,
    rates: Rates,
    config: Config,
    /// The size of snapshots beyond the state, in bytes.
    pub(crate) snapshot_padding: usize,
    /// Whether the replicas know messages that are sent in parts.
    pub(crate) with_parts: bool,
    faulty: bool,
    /// Voters with a requested removal, and the time until which it can still take effect.
    pending_removals: Vec<(Id, Duration)>,
    check: Checker,
    next_value: u64,
    report: Report,
}

impl Cluster {
    /// Creates a cluster whose hosts all vote.
    pub(crate) fn new(seed: u64, hosts: usize) -> Cluster {
        Cluster::with_voters(seed, hosts, None)
    }

    /// Creates a cluster that keeps a number of voters, or in which all hosts vote. A third of the
    /// seeds send large entries and snapshots in parts.
    pub(crate) fn with_voters(seed: u64, hosts: usize, voters: Option<usize>) -> Cluster {
        let config = if seed % 3 == 2 { SMALL_SIZES } else { replica::CONFIG };
        Cluster::with_config(seed, hosts, voters, config)
    }

    pub(crate) fn with_config(
        seed: u64,
        hosts: usize,
        voters: Option<usize>,
        config: Config,
    ) -> Cluster {
        let mut random = SmallRng::seed_from_u64(seed);
        let rates = Rates::random(&mut random);
        let disks = if random.random_bool(0.5) { DISKS } else { hosts };
        let replicas = (0..hosts)
            .map(|host| Replica::new(random.random(), host, seed % 2 == 1, config))
            .collect();
        let mut cluster = Cluster {
            seed,
            random,
            now: Duration::ZERO,
            replicas,
            in_transit: BTreeMap::new(),
            sent: 0,
            partitions: vec![0; hosts],
            disks,
            voters,
            rates,
            config,
            snapshot_padding: MAX_LARGE_BYTES,
            with_parts: config.max_batch_bytes == SMALL_SIZES.max_batch_bytes,
            faulty: false,
            pending_removals: Vec::new(),
            check: Checker::default(),
            next_value: 0,
            report: Report::default(),
        };
        cluster.boot();
        cluster
    }

    fn boot(&mut self) {
        for host in 0..self.replicas.len() {
            self.start(host);
        }
        let member = self.replicas[0].member();
        self.replicas[0].node.as_mut().expect("started").bootstrap(member);
    }

    pub(crate) fn start(&mut self, host: usize) {
        let seed = self.random.random();
        self.replicas[host].start(seed, self.now);
        if let Some(voters) = self.voters {
            self.node(host).set_voters(voters, voters);
        }
    }

    fn chance(&mut self, per_thousand: u32) -> bool {
        self.random.random_range(0..1_000) < per_thousand
    }

    /// Runs a number of steps with random faults.
    pub(crate) fn run_with_faults(&mut self, steps: usize) {
        self.faulty = true;
        for _ in 0..steps {
            self.inject_faults();
            self.step();
        }
        self.faulty = false;
    }

    /// Runs without faults until all hosts are members, as many as wanted are voters, and all have
    /// applied the same entries. Panics if that takes more than `HEAL_STEPS`.
    pub(crate) fn heal(&mut self) {
        self.partitions.fill(0);
        for host in 0..self.replicas.len() {
            if self.replicas[host].node.is_none() {
                self.start(host);
            }
        }
        for _ in 0..HEAL_STEPS {
            self.step();
            if self.has_converged() {
                return;
            }
        }
        panic!("the cluster did not converge after the faults ended: {}", self.describe());
    }

    /// Runs for a time in milliseconds.
    pub(crate) fn run_for(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.step();
        }
    }

    /// Cuts all connections of a host.
    pub(crate) fn isolate(&mut self, host: usize) {
        self.partitions[host] = 1;
    }

    /// Removes all network partitions.
    pub(crate) fn reconnect_all(&mut self) {
        self.partitions.fill(0);
    }

    pub(crate) fn now(&self) -> Duration {
        self.now
    }

    pub(crate) fn node(&mut self, host: usize) -> &mut Node {
        self.replicas[host].node.as_mut().expect("running")
    }

    fn has_converged(&self) -> bool {
        let Some(leader) = self.leader() else { return false };
        let members = self.members_of(leader);
        let last = self.check.committed();
        let voters = self.voters.unwrap_or(self.replicas.len());
        members.voters.len() == voters
            && members.learners.len() == self.replicas.len() - voters
            && self.replicas.iter().all(|replica| replica.applied == last)
            && self.in_transit.values().all(|delivery| delivery.from == self.replicas[leader].id)
    }

    fn members_of(&self, host: usize) -> &Members {
        self.replicas[host].node.as_ref().expect("running").members()
    }

    /// Returns the host of the leader with the highest term.
    pub(crate) fn leader(&self) -> Option<usize> {
        let nodes =
            self.replicas.iter().filter_map(|replica| Some((replica.host, replica.node.as_ref()?)));
        let leaders = nodes.filter(|(_, node)| node.role() == Role::Leader);
        leaders.max_by_key(|(_, node)| node.term()).map(|(host, _)| host)
    }

    fn describe(&self) -> String {
        let lines = self.replicas.iter().map(|replica| {
            let node = replica.node.as_ref();
            let shown = node.map(|node| {
                (node.role(), node.term(), node.commit(), node.last_index(), node.members().clone())
            });
            format!("\n{} {:x} applied {}: {shown:?}", replica.host, replica.id, replica.applied)
        });
        format!("seed {}, {:?}{}", self.seed, self.now, lines.collect::<String>())
    }

    /// Advances the simulation by one step.
    pub(crate) fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        for host in 0..self.replicas.len() {
            self.run(host);
        }
    }

    fn deliver(&mut self) {
        let later = self.in_transit.split_off(&(self.now, u64::MAX));
        let due = std::mem::replace(&mut self.in_transit, later);
        for delivery in due.into_values() {
            let partitions = self.partitions.clone();
            let found = self.replicas.iter_mut().find(|replica| replica.id == delivery.to);
            let Some(replica) = found.filter(|replica| replica.node.is_some()) else { continue };
            if partitions[replica.host] == partitions[delivery.from_host] {
                replica.inbox.push_back((delivery.from, delivery.message));
            }
        }
    }

    fn run(&mut self, host: usize) {
        let paused = self.replicas[host].paused_until > self.now;
        if paused || self.replicas[host].node.is_none() || !self.finish_write(host) {
            return;
        }
        let skipped = self.faulty && self.chance(100);
        if !skipped {
            self.replicas[host].receive(self.now);
        }
        let node = self.node(host);
        let (role, term, id) = (node.role(), node.term(), node.id());
        if role == Role::Leader {
            self.check.check_leader(term, id);
            self.send_client_requests(host);
            self.replace_lost_voter(host);
        }
        if self.with_parts {
            let ids = self.replicas.iter().map(|replica| replica.id).collect();
            self.node(host).set_part_receivers(ids);
            self.replicas[host].snapshot_padding = self.snapshot_padding;
        }
        let ready = self.node(host).ready();
        self.write(host, ready);
    }

    /// Completes a finished write and returns `true`. Returns `false` while a write is in progress.
    fn finish_write(&mut self, host: usize) -> bool {
        let Some((until, ready)) = self.replicas[host].writing.take() else { return true };
        if until > self.now {
            self.replicas[host].writing = Some((until, ready));
            return false;
        }
        self.finish(host, ready);
        true
    }

    fn write(&mut self, host: usize, ready: Ready) {
        let writes =
            ready.snapshot.is_some() || !ready.entries.is_empty() || ready.hard_state.is_some();
        if !writes {
            return self.finish(host, ready);
        }
        let slow = self.faulty && self.chance(self.rates.slow_sync);
        let wait =
            if slow { self.random.random_range(5..600) } else { self.random.random_range(0..8) };
        self.replicas[host].writing = Some((self.now + Duration::from_millis(wait), ready));
    }

    fn finish(&mut self, host: usize, ready: Ready) {
        let messages = self.replicas[host].finish(ready, &mut self.check);
        let from = self.replicas[host].id;
        for (to, message) in messages {
            if self.faulty && self.chance(self.rates.loss) {
                continue;
            }
            if self.faulty && self.chance(self.rates.duplicate) {
                self.send(Delivery { from, from_host: host, to, message: message.clone() });
            }
            self.send(Delivery { from, from_host: host, to, message });
        }
    }

    fn send(&mut self, delivery: Delivery) {
        let late = self.faulty && self.chance(self.rates.delay);
        let delay =
            if late { self.random.random_range(20..900) } else { self.random.random_range(1..12) };
        self.sent += 1;
        self.in_transit.insert((self.now + Duration::from_millis(delay), self.sent), delivery);
    }

    /// Simulates client proposals and reads, requests to join, and removals.
    fn send_client_requests(&mut self, host: usize) {
        if self.faulty && self.chance(400) {
            self.propose(host);
        }
        if self.chance(200) {
            self.read(host);
        }
        if self.chance(100) {
            self.request_join(host);
        }
        if self.faulty && self.chance(self.rates.remove) {
            self.remove(host);
        }
    }

    fn propose(&mut self, host: usize) {
        for _ in 0..self.random.random_range(1..4) {
            self.next_value += 1;
            let mut data = format!("value {} of {}", self.next_value, host);
            if self.with_parts && self.chance(50) {
                let length = self.random.random_range(0..MAX_LARGE_BYTES);
                data.extend(std::iter::repeat_n('x', length));
            }
            let data = Bytes::from(data);
            self.node(host).propose(data).expect("leads");
        }
    }

    fn read(&mut self, host: usize) {
        self.next_value += 1;
        let replica = &mut self.replicas[host];
        replica.reads.insert(self.next_value, self.check.committed());
        replica.node.as_mut().expect("running").read(self.next_value).expect("leads");
    }

    fn request_join(&mut self, host: usize) {
        let joiner = self.random.random_range(0..self.replicas.len());
        if self.partitions[joiner] == self.partitions[host] && self.replicas[joiner].node.is_some()
        {
            let member = self.replicas[joiner].member();
            self.node(host).add_learner(member).expect("leads");
        }
    }

    fn remove(&mut self, host: usize) {
        let voters = self.members_of(host).voters.clone();
        let chosen = voters[self.random.random_range(0..voters.len())].id;
        if voters.len() == self.replicas.len() && self.can_lose(chosen) {
            self.report.removals += 1;
            self.pending_removals.push((chosen, self.now + REMOVAL_TIMEOUT));
            self.node(host).remove(chosen).expect("leads");
        }
    }

    /// Lets a leader replace a voter that it has not heard for a while.
    fn replace_lost_voter(&mut self, host: usize) {
        if self.voters.is_none() {
            return;
        }
        let node = self.node(host);
        if let Some(lost) = node.unresponsive_voters(VOTER_TIMEOUT).first() {
            node.replace(*lost).expect("leads");
        }
    }

    /// Injects random faults between two steps.
    fn inject_faults(&mut self) {
        if self.chance(self.rates.split) {
            self.report.splits += 1;
            self.partitions.fill_with(|| self.random.random_range(0..2));
        }
        if self.chance(8) {
            self.partitions.fill(0);
        }
        if self.chance(self.rates.pause) {
            let host = self.random.random_range(0..self.replicas.len());
            let wait = Duration::from_millis(self.random.random_range(50..1_500));
            self.replicas[host].paused_until = self.now + wait;
        }
        if let Some(leader) = self.leader().filter(|_| self.chance(self.rates.crash_leader)) {
            self.stop(leader);
        }
        let host = self.random.random_range(0..self.replicas.len());
        if self.replicas[host].node.is_none() {
            if self.chance(self.rates.restart) {
                self.start(host);
            }
        } else if self.chance(self.rates.crash) {
            self.stop(host);
        } else if self.chance(self.rates.wipe) && self.can_lose(self.replicas[host].id) {
            self.crash(host, true);
        }
    }

    /// Crashes a host. A host without a disk is only crashed if the cluster can lose its replica.
    fn stop(&mut self, host: usize) {
        let has_disk = host < self.disks;
        if has_disk || self.can_lose(self.replicas[host].id) {
            self.crash(host, !has_disk);
        }
    }

    /// Crashes a host. After a wipe it restarts as a new replica with another id.
    pub(crate) fn crash(&mut self, host: usize, wiped: bool) {
        self.replicas[host].crash(&mut self.random);
        self.report.crashes += 1;
        if wiped {
            self.report.wipes += 1;
            self.report.installs += self.replicas[host].installed;
            self.report.reads += self.replicas[host].confirmed;
            let id = self.random.random();
            self.replicas[host] = Replica::new(id, host, self.seed % 2 == 1, self.config);
        }
    }

    /// Returns whether every member list known to a replica keeps a majority without this replica.
    /// Voters with a pending removal count as lost: the cluster survives two losses, but not a
    /// removal in addition.
    fn can_lose(&self, id: Id) -> bool {
        let is_leaving = |other: Id| {
            self.pending_removals.iter().any(|(id, end)| *id == other && *end > self.now)
        };
        let alive = |other: Id| {
            let exists = self.replicas.iter().any(|replica| replica.id == other);
            exists && other != id && !is_leaving(other)
        };
        let views = self.replicas.iter().filter_map(|replica| replica.known_members());
        let mut views = views.filter(|members| !members.voters.is_empty());
        views.all(|members| {
            let remaining = members.voters.iter().filter(|member| alive(member.id)).count();
            remaining > members.voters.len() / 2 && self.tolerates(&members, id)
        })
    }

    /// Returns whether the number of voters to keep allows the loss of a replica in addition to the
    /// members lost before. Learners count too, since one may be promoted before its loss is noticed.
    fn tolerates(&self, members: &Members, id: Id) -> bool {
        let Some(voters) = self.voters else { return true };
        let exists = |other: Id| self.replicas.iter().any(|replica| replica.id == other);
        let all = members.voters.iter().chain(&members.learners).map(|member| member.id);
        all.filter(|other| *other != id && !exists(*other)).count() < voters / 2
    }

    /// Returns the counters of the run.
    pub(crate) fn report(mut self) -> Report {
        self.report.committed = self.check.committed();
        self.report.terms = self.check.terms();
        self.report.installs +=
            self.replicas.iter().map(|replica| replica.installed).sum::<usize>();
        self.report.reads += self.replicas.iter().map(|replica| replica.confirmed).sum::<usize>();
        self.report
    }
}
