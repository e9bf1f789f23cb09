//! Replicas on links of limited speed that keep the order of messages.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use raft::Message;
use raft::Node;
use raft::message::Body;
use raft::message::Id;
use raft::message::Member;
use raft::node::Config;
use raft::node::PersistentState;
use raft::node::Role;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const STEP: Duration = Duration::from_millis(5);
/// The time of a message on the way, beyond that for its size.
const LATENCY: Duration = Duration::from_millis(2);
/// Upper bound of the time by which a delayed message is late.
const MAX_DELAY_MS: u64 = 60;
/// The size of a message beyond its data, in bytes.
const OVERHEAD_BYTES: usize = 64;

/// Rates of faults per thousand messages.
#[derive(Clone, Copy, Default)]
pub(crate) struct Faults {
    pub(crate) loss: u32,
    pub(crate) repeat: u32,
    pub(crate) delay: u32,
}

/// A link in one direction.
#[derive(Default)]
struct Link {
    cut: bool,
    /// The time at which the last message has been sent.
    free_at: Duration,
    /// The messages on the way, each with the time of its delivery.
    queue: VecDeque<(Duration, Message)>,
}

/// Replicas whose writes take no time.
pub(crate) struct Network {
    pub(crate) config: Config,
    pub(crate) now: Duration,
    pub(crate) nodes: BTreeMap<Id, Node>,
    /// The snapshot that each replica installed or took last.
    pub(crate) states: BTreeMap<Id, Bytes>,
    pub(crate) leader: Id,
    pub(crate) faults: Faults,
    /// The number of entries behind the snapshots that stay in memory at most.
    pub(crate) retained_entries: u64,
    /// Whether the replicas know parts.
    pub(crate) knows_parts: bool,
    /// The longest time without a message of the leader, by receiver.
    pub(crate) max_silence: BTreeMap<Id, Duration>,
    last_heard: BTreeMap<Id, Duration>,
    pub(crate) sent_bytes: BTreeMap<(Id, Id), usize>,
    /// The largest size of the messages on one link.
    pub(crate) max_queued_bytes: usize,
    pub(crate) part_messages: usize,
    links: BTreeMap<(Id, Id), Link>,
    bytes_per_s: usize,
    random: SmallRng,
}

impl Network {
    pub(crate) fn new(replicas: usize, config: Config, bytes_per_s: usize) -> Network {
        let mut network = Network {
            config,
            now: Duration::ZERO,
            nodes: BTreeMap::new(),
            states: BTreeMap::new(),
            leader: 1,
            faults: Faults::default(),
            retained_entries: 0,
            knows_parts: true,
            max_silence: BTreeMap::new(),
            last_heard: BTreeMap::new(),
            sent_bytes: BTreeMap::new(),
            max_queued_bytes: 0,
            part_messages: 0,
            links: BTreeMap::new(),
            bytes_per_s,
            random: SmallRng::seed_from_u64(1),
        };
        network.start(1);
        network.node(1).bootstrap(member(1));
        network.run_for(STEP * 2);
        for _ in 1..replicas {
            network.join();
        }
        network
    }

    pub(crate) fn seed(&mut self, seed: u64) {
        self.random = SmallRng::seed_from_u64(seed);
    }

    fn start(&mut self, id: Id) {
        let config = Config { seed: id, ..self.config };
        let node = Node::new(id, config, PersistentState::default(), self.now);
        self.nodes.insert(id, node);
    }

    fn node(&mut self, id: Id) -> &mut Node {
        self.nodes.get_mut(&id).expect("running")
    }

    /// Adds an empty replica on a new host; returns its id.
    pub(crate) fn join(&mut self) -> Id {
        let id = self
            .sent_bytes
            .keys()
            .map(|(from, _)| *from)
            .max()
            .unwrap_or(1)
            .max(self.nodes.keys().copied().max().unwrap_or(1))
            + 1;
        self.start(id);
        let leader = self.leader;
        self.node(leader).add_learner(member(id)).expect("leads");
        id
    }

    /// Ends a replica for good.
    pub(crate) fn stop(&mut self, id: Id) {
        self.nodes.remove(&id);
        self.max_silence.remove(&id);
    }

    pub(crate) fn term(&self) -> u64 {
        self.nodes[&self.leader].term()
    }

    pub(crate) fn voters(&self) -> usize {
        self.nodes[&self.leader].members().voters.len()
    }

    pub(crate) fn followers(&self) -> Vec<Id> {
        self.nodes.keys().copied().filter(|id| *id != self.leader).collect()
    }

    /// Cuts a link in one direction; the messages on the way are lost.
    pub(crate) fn cut(&mut self, from: Id, to: Id) {
        let link = self.links.entry((from, to)).or_default();
        link.queue.clear();
        link.cut = true;
    }

    pub(crate) fn restore(&mut self, from: Id, to: Id) {
        let link = self.links.entry((from, to)).or_default();
        (link.cut, link.free_at) = (false, self.now);
    }

    pub(crate) fn propose(&mut self, bytes: usize) {
        let leader = self.leader;
        self.node(leader).propose(Bytes::from(vec![0; bytes])).expect("leads");
    }

    /// Gives all replicas a state of this size, and drops the entries behind it.
    pub(crate) fn compact_all(&mut self, bytes: usize) {
        self.propose(1);
        self.run_for(Duration::from_millis(500));
        let data = Bytes::from(vec![0; bytes]);
        for (id, node) in &mut self.nodes {
            node.set_retained_entries(self.retained_entries);
            node.compact(node.applied(), data.clone()).expect("a newer snapshot");
            self.states.insert(*id, data.clone());
        }
    }

    pub(crate) fn in_transit_to(&mut self, id: Id) -> impl Iterator<Item = &mut Message> {
        let links = self.links.iter_mut().filter(move |((_, to), _)| *to == id);
        links.flat_map(|(_, link)| link.queue.iter_mut().map(|(_, message)| message))
    }

    pub(crate) fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until a condition holds; panics if it does not in time.
    pub(crate) fn run_until(
        &mut self,
        timeout: Duration,
        mut condition: impl FnMut(&mut Network) -> bool,
    ) {
        let end = self.now + timeout;
        while !condition(self) {
            assert!(self.now < end, "the condition does not hold after {timeout:?}");
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        let ids: Vec<Id> = self.nodes.keys().copied().collect();
        for id in &ids {
            let receivers = if self.knows_parts { ids.clone() } else { Vec::new() };
            let now = self.now;
            let node = self.node(*id);
            node.tick(now);
            node.set_part_receivers(receivers);
            self.carry_out(*id);
            if self.nodes[id].role() == Role::Leader
                && self.nodes[id].term() >= self.nodes.get(&self.leader).map_or(0, Node::term)
            {
                self.leader = *id;
            }
        }
        for ((from, to), link) in &self.links {
            if *from == self.leader && self.nodes.contains_key(to) {
                let queued = link.queue.iter().map(|(_, message)| size(message)).sum();
                self.max_queued_bytes = self.max_queued_bytes.max(queued);
            }
        }
    }

    /// Carries out the output of a replica until there is none left.
    fn carry_out(&mut self, id: Id) {
        loop {
            let ready = self.node(id).ready();
            if let Some(snapshot) = ready.install {
                self.states.insert(id, snapshot.data);
            }
            let done = ready.messages.is_empty() && ready.committed.is_empty();
            for (to, message) in ready.messages {
                self.send(id, to, message);
            }
            if done {
                return;
            }
        }
    }

    fn send(&mut self, from: Id, to: Id, message: Message) {
        let bytes = size(&message);
        *self.sent_bytes.entry((from, to)).or_default() += bytes;
        self.part_messages += usize::from(matches!(message.body, Body::Part { .. }));
        let mut chance = |rate: u32| self.random.random_range(0..1_000) < rate;
        let Faults { loss, repeat, delay } = self.faults;
        let (lost, repeated, late) = (chance(loss), chance(repeat), chance(delay));
        let link = self.links.entry((from, to)).or_default();
        if link.cut || lost {
            return;
        }
        let time = Duration::from_secs_f64(bytes as f64 / self.bytes_per_s as f64);
        link.free_at = link.free_at.max(self.now) + time;
        let late = if late { self.random.random_range(0..MAX_DELAY_MS) } else { 0 };
        let at = link.free_at + LATENCY + Duration::from_millis(late);
        if repeated {
            link.queue.push_back((at + LATENCY, message.clone()));
        }
        link.queue.push_back((at, message));
    }

    fn deliver(&mut self) {
        let now = self.now;
        for ((from, to), link) in &mut self.links {
            let Some(node) = self.nodes.get_mut(to) else {
                link.queue.clear();
                continue;
            };
            let mut due: Vec<(Duration, Message)> = Vec::new();
            link.queue.retain(|(at, message)| {
                let is_due = *at <= now;
                if is_due {
                    due.push((*at, message.clone()));
                }
                !is_due
            });
            due.sort_by_key(|(at, _)| *at);
            for (_, message) in due {
                if *from == self.leader {
                    let last = self.last_heard.insert(*to, now).unwrap_or(now);
                    let silence = self.max_silence.entry(*to).or_default();
                    *silence = (*silence).max(now - last);
                }
                node.step(*from, message, now);
            }
        }
    }
}

fn member(id: Id) -> Member {
    Member { id, host: format!("h{id}") }
}

fn size(message: &Message) -> usize {
    OVERHEAD_BYTES + message.data_bytes()
}
