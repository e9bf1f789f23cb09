//! Incoming links from other nodes.

use std::time::Duration;

use base::Map;
use base::Name;
use base::Set;
use fleet::message::Frame;
use fleet::message::Hello;
use fleet::message::Peer;
use fleet::revision::Revision;
use link::Link;

use crate::state::State;

/// The limits on the peers that a gate is sent: those in its own failure domain and those in others.
const MAX_PEERS: (usize, usize) = (4, 12);

/// The time for which a gate without a link may still run; without a leader it uses less of the quotas after that.
const ABSENCE: Duration = Duration::from_secs(30);

/// A node behind an incoming link.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) hello: Hello,
    pub(crate) link: Link<Frame>,
    /// The peers that were last sent to it.
    sent_peers: Vec<Peer>,
}

/// Incoming links by link id.
#[derive(Debug, Default)]
pub(crate) struct Links {
    nodes: Map<u64, Node>,
    last_id: u64,
    /// The gates that have lost their only link because they fell silent, and when.
    absent: Map<Name, Duration>,
    /// Whether nodes have changed since peers were last sent.
    peers_changed: bool,
}

impl Links {
    /// Allocates the id of a new link.
    pub(crate) fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Stores the node behind a link. Returns `true` if it is the first hello on this link.
    pub(crate) fn insert(&mut self, link_id: u64, hello: Hello, link: &Link<Frame>) -> bool {
        self.peers_changed = true;
        self.absent.remove(&hello.node);
        let former = self.nodes.remove(&link_id);
        let first = former.is_none();
        let sent_peers = former.map(|node| node.sent_peers).unwrap_or_default();
        self.nodes.insert(link_id, Node { hello, link: link.clone(), sent_peers });
        first
    }

    pub(crate) fn remove(&mut self, link_id: u64, now: Duration) -> Option<Node> {
        self.peers_changed = true;
        let node = self.nodes.remove(&link_id)?;
        let name = &node.hello.node;
        let again = self.gates().any(|gate| gate.hello.node == *name);
        if node.hello.front.is_some() && node.link.is_silent() && !again {
            self.absent.insert(name.clone(), now);
        }
        Some(node)
    }

    /// Returns whether a gate has lost its only link.
    pub(crate) fn is_absent(&self, gate: &str) -> bool {
        self.absent.contains_key(gate)
    }

    /// Returns the gates that have lost their links lately.
    pub(crate) fn absent_gates(&mut self, now: Duration) -> Vec<Name> {
        self.absent.retain(|_, since| now < *since + ABSENCE);
        self.absent.keys().cloned().collect()
    }

    pub(crate) fn get(&self, link_id: u64) -> Option<&Node> {
        self.nodes.get(&link_id)
    }

    pub(crate) fn gates(&self) -> impl Iterator<Item = &Node> {
        self.nodes.values().filter(|node| node.hello.front.is_some())
    }

    /// Returns the number of gates.
    pub(crate) fn gate_count(&self) -> u32 {
        let names: Set<&Name> = self.gates().map(|gate| &gate.hello.node).collect();
        names.len() as u32
    }

    pub(crate) fn keepers(&self) -> impl Iterator<Item = &Node> {
        self.nodes.values().filter(|node| node.hello.front.is_none())
    }

    /// Sends a frame to all gates, but to those of an earlier release that does not know it.
    pub(crate) fn broadcast_to_gates(&self, frame: &Frame) {
        broadcast(self.gates(), frame);
    }

    /// Sends the plan in force to all gates, but to those that would serve it without checking API keys.
    pub(crate) fn broadcast_plan(&self, state: &State) {
        for gate in self.gates() {
            if let Some(frame) = state.plan_frame(gate.hello.revision) {
                gate.link.send(frame);
            }
        }
    }

    /// Sends a frame to all keepers, but to those of an earlier release that does not know it.
    pub(crate) fn broadcast_to_keepers(&self, frame: &Frame) {
        broadcast(self.keepers(), frame);
    }

    /// Sends each gate its peers, through which it may reach endpoints, if they have changed.
    pub(crate) fn send_peers(&mut self) {
        if !std::mem::take(&mut self.peers_changed) {
            return;
        }
        let able = |node: &Node| {
            let hello = &node.hello;
            hello.accepting && hello.revision >= Revision::TUNNELS && !node.link.is_closed()
        };
        let gates = self.nodes.iter().filter(|(_, node)| able(node));
        let mut ring: Vec<(u64, Peer)> = gates
            .filter_map(|(id, node)| {
                let (domain, front) = (node.hello.domain.clone(), node.hello.front.clone()?);
                Some((*id, Peer { domain, front }))
            })
            .collect();
        ring.sort_by_cached_key(|(_, peer)| base::digest(peer.front.as_bytes()));
        for (index, (id, _)) in ring.iter().enumerate() {
            let peers = peers_of(&ring, index);
            let Some(node) = self.nodes.get_mut(id) else { continue };
            if node.sent_peers == peers {
                continue;
            }
            if node.link.send(Frame::Peers(peers.clone())) {
                node.sent_peers = peers;
            } else {
                self.peers_changed = true;
            }
        }
    }

    /// Returns the addresses of gates that accept callers, with their failure domains.
    pub(crate) fn accepting_gates(&self) -> Vec<(Name, Name)> {
        let accepting = self.gates().filter(|gate| gate.hello.accepting && !gate.link.is_closed());
        let fronts = accepting
            .filter_map(|gate| Some((gate.hello.front.clone()?, gate.hello.domain.clone())));
        let mut fronts: Vec<(Name, Name)> = fronts.collect();
        fronts.sort();
        fronts.dedup();
        fronts
    }
}

/// Returns the peers of the gate at `index` of a ring: those that follow it, so that each gate serves equally many.
fn peers_of(ring: &[(u64, Peer)], index: usize) -> Vec<Peer> {
    let (_, own) = &ring[index];
    let (mut same, mut others) = (0, 0);
    let following = ring[index + 1..].iter().chain(&ring[..index]);
    let mut peers = Vec::new();
    for (_, peer) in following.filter(|(_, peer)| peer.front != own.front) {
        let (count, most) = match peer.domain == own.domain {
            true => (&mut same, MAX_PEERS.0),
            false => (&mut others, MAX_PEERS.1),
        };
        if *count < most {
            *count += 1;
            peers.push(peer.clone());
        }
        if (same, others) == MAX_PEERS {
            break;
        }
    }
    peers
}

fn broadcast<'a>(nodes: impl Iterator<Item = &'a Node>, frame: &Frame) {
    let able = nodes.filter(|node| frame.revision() <= node.hello.revision);
    link::broadcast(able.map(|node| &node.link), frame);
}
