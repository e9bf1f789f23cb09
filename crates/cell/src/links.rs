//! Links that other nodes opened to this keeper.

use base::Map;
use base::Name;
use fleet::message::Frame;
use fleet::message::Hello;
use link::Link;

/// A node that opened a link.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) hello: Hello,
    pub(crate) link: Link<Frame>,
}

/// Links that other nodes opened to this keeper, by their numbers.
#[derive(Debug, Default)]
pub(crate) struct Links {
    nodes: Map<u64, Node>,
    next: u64,
}

impl Links {
    /// Returns the number of a new link.
    pub(crate) fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// Takes who a node is; returns whether it is new.
    pub(crate) fn greet(&mut self, number: u64, hello: Hello, link: &Link<Frame>) -> bool {
        let node = Node { hello, link: link.clone() };
        self.nodes.insert(number, node).is_none()
    }

    pub(crate) fn remove(&mut self, number: u64) -> Option<Node> {
        self.nodes.remove(&number)
    }

    pub(crate) fn get(&self, number: u64) -> Option<&Node> {
        self.nodes.get(&number)
    }

    /// Returns the gates.
    pub(crate) fn gates(&self) -> impl Iterator<Item = &Node> {
        self.nodes.values().filter(|node| node.hello.front.is_some())
    }

    /// Returns the keepers.
    pub(crate) fn keepers(&self) -> impl Iterator<Item = &Node> {
        self.nodes.values().filter(|node| node.hello.front.is_none())
    }

    /// Sends a frame to all gates.
    pub(crate) fn tell_gates(&self, frame: &Frame) {
        for gate in self.gates() {
            gate.link.send(frame.clone());
        }
    }

    /// Sends a frame to all keepers.
    pub(crate) fn tell_keepers(&self, frame: &Frame) {
        for keeper in self.keepers() {
            keeper.link.send(frame.clone());
        }
    }

    /// Returns where callers connect, with the failure domains.
    pub(crate) fn fronts(&self) -> Vec<(Name, Name)> {
        let accepting = self.gates().filter(|gate| gate.hello.accepting && !gate.link.is_closed());
        let fronts = accepting
            .filter_map(|gate| Some((gate.hello.front.clone()?, gate.hello.domain.clone())));
        let mut fronts: Vec<(Name, Name)> = fronts.collect();
        fronts.sort();
        fronts.dedup();
        fronts
    }
}
