//! A small group whose messages take one step and whose writes succeed at once.

use std::time::Duration;

use base::Set;
use bytes::Bytes;
use raft::Message;
use raft::Node;
use raft::message::Id;
use raft::message::Index;
use raft::message::Member;
use raft::node::Config;
use raft::node::Ready;
use raft::node::Role;
use raft::node::Stored;

const STEP: Duration = Duration::from_millis(5);

struct Replica {
    id: Id,
    node: Node,
    stored: Stored,
    up: bool,
    cut: bool,
    applied: Index,
    installed: usize,
    reads: Vec<u64>,
}

/// A group; the replica of host 0 starts it.
pub(crate) struct Group {
    now: Duration,
    replicas: Vec<Replica>,
    next_id: Id,
    parcels: Vec<(Id, Id, Message)>,
}

impl Group {
    pub(crate) fn new(hosts: usize) -> Group {
        let mut group =
            Group { now: Duration::ZERO, replicas: Vec::new(), next_id: 100, parcels: Vec::new() };
        for _ in 0..hosts {
            let replica = group.empty();
            group.replicas.push(replica);
        }
        let member = group.member(0);
        group.node(0).bootstrap(member);
        for host in 1..hosts {
            group.enroll(host);
        }
        group.run(500);
        group
    }

    fn empty(&mut self) -> Replica {
        self.next_id += 1;
        let id = self.next_id;
        let node = Node::new(id, config(), Stored::default(), self.now);
        let stored = Stored::default();
        Replica {
            id,
            node,
            stored,
            up: true,
            cut: false,
            applied: 0,
            installed: 0,
            reads: Vec::new(),
        }
    }

    pub(crate) fn member(&self, host: usize) -> Member {
        Member { id: self.replicas[host].id, host: format!("h{host}") }
    }

    /// Asks the leader to add a host until it votes; panics if it never does.
    pub(crate) fn enroll(&mut self, host: usize) {
        let member = self.member(host);
        for _ in 0..100 {
            if let Some(leader) = self.leader() {
                self.node(leader).add_learner(member.clone()).expect("leads");
            }
            self.run(50);
            let leader = self.leader().unwrap_or(0);
            if self.node(leader).members().voters.contains(&member) {
                return;
            }
        }
        panic!("host {host} did not become a voter");
    }

    pub(crate) fn leader(&self) -> Option<usize> {
        let up = self.replicas.iter().enumerate().filter(|(_, replica)| replica.up);
        let leaders = up.filter(|(_, replica)| replica.node.role() == Role::Leader);
        leaders.max_by_key(|(_, replica)| replica.node.term()).map(|(host, _)| host)
    }

    pub(crate) fn node(&mut self, host: usize) -> &mut Node {
        &mut self.replicas[host].node
    }

    pub(crate) fn id(&self, host: usize) -> Id {
        self.replicas[host].id
    }

    pub(crate) fn applied(&self, host: usize) -> Index {
        self.replicas[host].applied
    }

    pub(crate) fn installed(&self, host: usize) -> usize {
        self.replicas[host].installed
    }

    pub(crate) fn reads(&self, host: usize) -> &[u64] {
        &self.replicas[host].reads
    }

    pub(crate) fn now(&self) -> Duration {
        self.now
    }

    /// Cuts a host off from all others.
    pub(crate) fn cut(&mut self, host: usize) {
        self.replicas[host].cut = true;
    }

    /// Ends all cuts.
    pub(crate) fn join(&mut self) {
        self.replicas.iter_mut().for_each(|replica| replica.cut = false);
    }

    pub(crate) fn crash(&mut self, host: usize) {
        self.replicas[host].up = false;
    }

    /// Starts a host with what it had written.
    pub(crate) fn restart(&mut self, host: usize) {
        let now = self.now;
        let replica = &mut self.replicas[host];
        replica.node = Node::new(replica.id, config(), replica.stored.clone(), now);
        replica.applied = 0;
        replica.up = true;
    }

    /// Starts a host with an empty disk and so as another replica.
    pub(crate) fn replace(&mut self, host: usize) {
        self.replicas[host] = self.empty();
    }

    /// Appends commands one by one and waits until they are committed.
    pub(crate) fn propose(&mut self, count: usize) {
        let leader = self.leader().expect("one leads");
        let data = Bytes::from_static(b"data");
        let mut last = 0;
        for _ in 0..count {
            last = self.node(leader).propose(data.clone()).expect("leads");
        }
        self.run(500);
        assert!(self.replicas[leader].applied >= last);
    }

    /// Lets time pass, in milliseconds.
    pub(crate) fn run(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let down: Set<Id> =
            self.replicas.iter().filter(|one| one.cut || !one.up).map(|one| one.id).collect();
        for (from, to, message) in std::mem::take(&mut self.parcels) {
            let target = self.replicas.iter_mut().find(|replica| replica.id == to);
            if let Some(replica) = target.filter(|_| !down.contains(&from) && !down.contains(&to)) {
                replica.node.step(from, message, self.now);
            }
        }
        for replica in self.replicas.iter_mut().filter(|replica| replica.up) {
            replica.node.tick(self.now);
            let ready = replica.node.ready();
            let messages = replica.carry_out(ready);
            let id = replica.id;
            self.parcels.extend(messages.into_iter().map(|(to, message)| (id, to, message)));
        }
    }
}

impl Replica {
    fn carry_out(&mut self, ready: Ready) -> Vec<(Id, Message)> {
        if let Some(snapshot) = ready.snapshot {
            self.applied = snapshot.index;
            self.installed += 1;
            self.stored.entries.clear();
            self.stored.snapshot = Some(snapshot);
        }
        if let Some(first) = ready.entries.first() {
            self.stored.entries.retain(|entry| entry.index < first.index);
        }
        self.stored.entries.extend(ready.entries);
        self.stored.hard = ready.hard.unwrap_or(self.stored.hard);
        self.applied = ready.committed.last().map_or(self.applied, |entry| entry.index);
        self.reads.extend(ready.reads);
        ready.messages
    }
}

fn config() -> Config {
    Config {
        heartbeat: Duration::from_millis(50),
        election: Duration::from_millis(200),
        batch_bytes: 200,
        seed: 1,
    }
}
