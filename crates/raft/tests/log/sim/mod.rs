//! Five hosts in one process under a seeded schedule of faults.

pub(crate) mod check;
pub(crate) mod files;
pub(crate) mod replica;

// The tests of the files use the rest of it.
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
use raft::node::Ready;
use raft::node::Role;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use self::check::Check;
use self::replica::Replica;

/// The hosts of a schedule.
pub(crate) const HOSTS: usize = 5;
/// The hosts with a disk, in half of the schedules; all in the others.
const DISKS: usize = 3;
const STEP: Duration = Duration::from_millis(5);
/// The steps within which a healed group must agree: 30 s.
const HEAL_STEPS: usize = 6_000;

/// How long a removal that was asked for may still be made: the leader makes it or loses its lead.
const REMOVAL: Duration = Duration::from_secs(5);

/// A message on its way.
struct Parcel {
    from: Id,
    from_host: usize,
    to: Id,
    message: Message,
}

/// The rates of faults in a schedule, per thousand.
struct Rates {
    loss: u32,
    twice: u32,
    late: u32,
    slow_sync: u32,
    crash: u32,
    /// Of the leader.
    topple: u32,
    revive: u32,
    wipe: u32,
    /// A process stands still for a while.
    freeze: u32,
    split: u32,
    remove: u32,
}

/// What a schedule did.
#[derive(Debug, Default)]
pub(crate) struct Report {
    pub(crate) committed: u64,
    pub(crate) terms: usize,
    pub(crate) reads: usize,
    pub(crate) installs: usize,
    pub(crate) crashes: usize,
    pub(crate) wipes: usize,
    pub(crate) splits: usize,
    pub(crate) removals: usize,
}

/// Five hosts.
pub(crate) struct World {
    seed: u64,
    random: SmallRng,
    now: Duration,
    pub(crate) replicas: Vec<Replica>,
    parcels: BTreeMap<(Duration, u64), Parcel>,
    sent: u64,
    sides: Vec<u8>,
    /// The hosts from this one on have no disk.
    disks: usize,
    rates: Rates,
    faulty: bool,
    /// The voters whose removal was asked for, and until when it may still be made.
    leaving: Vec<(Id, Duration)>,
    check: Check,
    next_value: u64,
    report: Report,
}

impl World {
    pub(crate) fn new(seed: u64, hosts: usize) -> World {
        let mut random = SmallRng::seed_from_u64(seed);
        let rates = Rates {
            loss: random.random_range(0..200),
            twice: random.random_range(0..100),
            late: random.random_range(0..100),
            slow_sync: random.random_range(0..60),
            crash: random.random_range(0..10),
            topple: random.random_range(0..2) * random.random_range(0..60),
            revive: random.random_range(10..300),
            wipe: random.random_range(0..4),
            freeze: random.random_range(0..10),
            split: random.random_range(0..8),
            remove: random.random_range(0..2) * random.random_range(0..30),
        };
        let disks = if random.random_bool(0.5) { DISKS } else { hosts };
        let replicas =
            (0..hosts).map(|host| Replica::new(random.random(), host, seed % 2 == 1)).collect();
        let mut world = World {
            seed,
            random,
            now: Duration::ZERO,
            replicas,
            parcels: BTreeMap::new(),
            sent: 0,
            sides: vec![0; hosts],
            disks,
            rates,
            faulty: false,
            leaving: Vec::new(),
            check: Check::default(),
            next_value: 0,
            report: Report::default(),
        };
        world.boot();
        world
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
    }

    fn chance(&mut self, per_thousand: u32) -> bool {
        self.random.random_range(0..1_000) < per_thousand
    }

    /// Runs with faults for some steps.
    pub(crate) fn torment(&mut self, steps: usize) {
        self.faulty = true;
        for _ in 0..steps {
            self.inject();
            self.step();
        }
        self.faulty = false;
    }

    /// Runs without faults until all hosts vote and hold the same; panics if they don't get there.
    pub(crate) fn heal(&mut self) {
        self.sides.fill(0);
        for host in 0..self.replicas.len() {
            if self.replicas[host].node.is_none() {
                self.start(host);
            }
        }
        for _ in 0..HEAL_STEPS {
            self.step();
            if self.agreed() {
                return;
            }
        }
        panic!("no agreement after the faults ended: {}", self.describe());
    }

    /// Lets time pass, in milliseconds.
    pub(crate) fn run_for(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.step();
        }
    }

    /// Cuts a host off from all others.
    pub(crate) fn cut(&mut self, host: usize) {
        self.sides[host] = 1;
    }

    /// Ends all cuts.
    pub(crate) fn join(&mut self) {
        self.sides.fill(0);
    }

    pub(crate) fn now(&self) -> Duration {
        self.now
    }

    pub(crate) fn node(&mut self, host: usize) -> &mut Node {
        self.replicas[host].node.as_mut().expect("running")
    }

    fn agreed(&self) -> bool {
        let Some(leader) = self.leader() else { return false };
        let members = self.members_of(leader);
        let last = self.check.committed();
        members.voters.len() == self.replicas.len()
            && members.learners.is_empty()
            && self.replicas.iter().all(|replica| replica.applied == last)
            && self.parcels.values().all(|parcel| parcel.from == self.replicas[leader].id)
    }

    fn members_of(&self, host: usize) -> &Members {
        self.replicas[host].node.as_ref().expect("running").members()
    }

    /// Returns the host of the leader of the latest term.
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

    /// Lets one step of time pass.
    pub(crate) fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        for host in 0..self.replicas.len() {
            self.run(host);
        }
    }

    fn deliver(&mut self) {
        let later = self.parcels.split_off(&(self.now, u64::MAX));
        let due = std::mem::replace(&mut self.parcels, later);
        for parcel in due.into_values() {
            let sides = self.sides.clone();
            let found = self.replicas.iter_mut().find(|replica| replica.id == parcel.to);
            let Some(replica) = found.filter(|replica| replica.node.is_some()) else { continue };
            if sides[replica.host] == sides[parcel.from_host] {
                replica.inbox.push_back((parcel.from, parcel.message));
            }
        }
    }

    fn run(&mut self, host: usize) {
        let asleep = self.replicas[host].frozen > self.now;
        if asleep || self.replicas[host].node.is_none() || !self.synced(host) {
            return;
        }
        let late = self.faulty && self.chance(100);
        if !late {
            self.replicas[host].take_in(self.now);
        }
        let node = self.node(host);
        let (role, term, id) = (node.role(), node.term(), node.id());
        if role == Role::Leader {
            self.check.leads(term, id);
            self.use_leader(host);
        }
        let ready = self.node(host).ready();
        self.write(host, ready);
    }

    /// Carries out what was being written once that is synced; returns false until then.
    fn synced(&mut self, host: usize) -> bool {
        let Some((until, ready)) = self.replicas[host].busy.take() else { return true };
        if until > self.now {
            self.replicas[host].busy = Some((until, ready));
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
        self.replicas[host].busy = Some((self.now + Duration::from_millis(wait), ready));
    }

    fn finish(&mut self, host: usize, ready: Ready) {
        let messages = self.replicas[host].finish(ready, &mut self.check);
        let from = self.replicas[host].id;
        for (to, message) in messages {
            if self.faulty && self.chance(self.rates.loss) {
                continue;
            }
            if self.faulty && self.chance(self.rates.twice) {
                self.post(Parcel { from, from_host: host, to, message: message.clone() });
            }
            self.post(Parcel { from, from_host: host, to, message });
        }
    }

    fn post(&mut self, parcel: Parcel) {
        let late = self.faulty && self.chance(self.rates.late);
        let delay =
            if late { self.random.random_range(20..900) } else { self.random.random_range(1..12) };
        self.sent += 1;
        self.parcels.insert((self.now + Duration::from_millis(delay), self.sent), parcel);
    }

    /// Callers' commands and reads, and hosts that ask to become members.
    fn use_leader(&mut self, host: usize) {
        if self.faulty && self.chance(400) {
            self.propose(host);
        }
        if self.chance(200) {
            self.read(host);
        }
        if self.chance(100) {
            self.enroll(host);
        }
        if self.faulty && self.chance(self.rates.remove) {
            self.remove(host);
        }
    }

    fn propose(&mut self, host: usize) {
        for _ in 0..self.random.random_range(1..4) {
            self.next_value += 1;
            let data = Bytes::from(format!("value {} of {}", self.next_value, host));
            self.node(host).propose(data).expect("leads");
        }
    }

    fn read(&mut self, host: usize) {
        self.next_value += 1;
        let replica = &mut self.replicas[host];
        replica.reads.insert(self.next_value, self.check.committed());
        replica.node.as_mut().expect("running").read(self.next_value).expect("leads");
    }

    fn enroll(&mut self, host: usize) {
        let asker = self.random.random_range(0..self.replicas.len());
        if self.sides[asker] == self.sides[host] && self.replicas[asker].node.is_some() {
            let member = self.replicas[asker].member();
            self.node(host).add_learner(member).expect("leads");
        }
    }

    fn remove(&mut self, host: usize) {
        let voters = self.members_of(host).voters.clone();
        let chosen = voters[self.random.random_range(0..voters.len())].id;
        if voters.len() == self.replicas.len() && self.expendable(chosen) {
            self.report.removals += 1;
            self.leaving.push((chosen, self.now + REMOVAL));
            self.node(host).remove(chosen).expect("leads");
        }
    }

    /// Faults between steps.
    fn inject(&mut self) {
        if self.chance(self.rates.split) {
            self.report.splits += 1;
            self.sides.fill_with(|| self.random.random_range(0..2));
        }
        if self.chance(8) {
            self.sides.fill(0);
        }
        if self.chance(self.rates.freeze) {
            let frozen = self.random.random_range(0..self.replicas.len());
            let wait = Duration::from_millis(self.random.random_range(50..1_500));
            self.replicas[frozen].frozen = self.now + wait;
        }
        if let Some(leader) = self.leader().filter(|_| self.chance(self.rates.topple)) {
            self.stop(leader);
        }
        let host = self.random.random_range(0..self.replicas.len());
        if self.replicas[host].node.is_none() {
            if self.chance(self.rates.revive) {
                self.start(host);
            }
        } else if self.chance(self.rates.crash) {
            self.stop(host);
        } else if self.chance(self.rates.wipe) && self.expendable(self.replicas[host].id) {
            self.crash(host, true);
        }
    }

    /// Stops a host; one without a disk only if the group survives it.
    fn stop(&mut self, host: usize) {
        let keeps = host < self.disks;
        if keeps || self.expendable(self.replicas[host].id) {
            self.crash(host, !keeps);
        }
    }

    /// Stops a host; a wiped one is another replica when it starts again.
    pub(crate) fn crash(&mut self, host: usize, wiped: bool) {
        self.replicas[host].crash(&mut self.random);
        self.report.crashes += 1;
        if wiped {
            self.report.wipes += 1;
            self.report.installs += self.replicas[host].installed;
            self.report.reads += self.replicas[host].confirmed;
            self.replicas[host] = Replica::new(self.random.random(), host, self.seed % 2 == 1);
        }
    }

    /// Returns whether a majority is left without a replica, by the members that any replica knows. A
    /// voter that is being removed counts as lost: the group survives two losses, not a removal more.
    fn expendable(&self, id: Id) -> bool {
        let leaving =
            |other: Id| self.leaving.iter().any(|(id, end)| *id == other && *end > self.now);
        let alive = |other: Id| {
            let there = self.replicas.iter().any(|replica| replica.id == other);
            there && other != id && !leaving(other)
        };
        let views = self.replicas.iter().filter_map(|replica| replica.view());
        let mut views = views.filter(|members| !members.voters.is_empty());
        views.all(|members| {
            let left = members.voters.iter().filter(|member| alive(member.id)).count();
            left > members.voters.len() / 2
        })
    }

    /// Ends the run.
    pub(crate) fn report(mut self) -> Report {
        self.report.committed = self.check.committed();
        self.report.terms = self.check.terms();
        self.report.installs +=
            self.replicas.iter().map(|replica| replica.installed).sum::<usize>();
        self.report.reads += self.replicas.iter().map(|replica| replica.confirmed).sum::<usize>();
        self.report
    }
}
