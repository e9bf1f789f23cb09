//! Incoming links from other nodes.

use base::Map;
use base::Name;
use base::Set;
use fleet::message::Frame;
use fleet::message::Hello;
use link::Link;

/// A node behind an incoming link.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) hello: Hello,
    pub(crate) link: Link<Frame>,
}

/// Incoming links by link id.
#[derive(Debug, Default)]
pub(crate) struct Links {
    nodes: Map<u64, Node>,
    last_id: u64,
}

impl Links {
    /// Allocates the id of a new link.
    pub(crate) fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Stores the node behind a link. Returns `true` if it is the first hello on this link.
    pub(crate) fn insert(&mut self, link_id: u64, hello: Hello, link: &Link<Frame>) -> bool {
        let node = Node { hello, link: link.clone() };
        self.nodes.insert(link_id, node).is_none()
    }

    pub(crate) fn remove(&mut self, link_id: u64) -> Option<Node> {
        self.nodes.remove(&link_id)
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

    /// Sends a frame to all keepers, but to those of an earlier release that does not know it.
    pub(crate) fn broadcast_to_keepers(&self, frame: &Frame) {
        broadcast(self.keepers(), frame);
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

fn broadcast<'a>(nodes: impl Iterator<Item = &'a Node>, frame: &Frame) {
    let able = nodes.filter(|node| frame.revision() <= node.hello.revision);
    link::broadcast(able.map(|node| &node.link), frame);
}
