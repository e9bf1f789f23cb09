//! Summaries that the other gates send of their endpoints.

use std::time::Duration;

use base::Map;
use base::Name;
use tokio::time::Instant;
use wire::gate::Endpoint;
use wire::gate::Summary;

/// The latest summary from another gate.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The summary.
    pub summary: Summary,
    /// The time of its receipt.
    pub received: Instant,
}

/// The latest summaries from the other gates.
#[derive(Debug, Default)]
pub struct Peers {
    gates: Map<Name, Peer>,
}

impl Peers {
    /// Stores a summary unless the same incarnation has sent a newer one.
    pub fn insert(&mut self, summary: Summary, now: Instant) {
        if let Some(peer) = self.gates.get(&summary.gate) {
            let same = peer.summary.incarnation == summary.incarnation;
            if same && peer.summary.sequence >= summary.sequence {
                return;
            }
        }
        self.gates.insert(summary.gate.clone(), Peer { summary, received: now });
    }

    /// Returns a gate's latest summary if `incarnation` sent it.
    pub fn get(&self, gate: &str, incarnation: u64) -> Option<&Peer> {
        self.gates.get(gate).filter(|peer| peer.summary.incarnation == incarnation)
    }

    /// Returns an endpoint from its owner's latest summary; `None` if that is older than `max_age`.
    pub fn endpoint(
        &self,
        owner: &str,
        name: &str,
        now: Instant,
        max_age: Duration,
    ) -> Option<&Endpoint> {
        let peer = self.gates.get(owner)?;
        if now.duration_since(peer.received) > max_age {
            return None;
        }
        peer.summary.endpoints.iter().find(|endpoint| endpoint.name.as_str() == name)
    }

    /// Returns the gates whose latest summary is older than `max_age`.
    pub fn silent(&self, now: Instant, max_age: Duration) -> impl Iterator<Item = &Name> {
        let silent =
            self.gates.iter().filter(move |(_, peer)| now.duration_since(peer.received) > max_age);
        silent.map(|(gate, _)| gate)
    }

    /// Returns the latest summary of each gate.
    pub fn summaries(&self) -> Vec<Summary> {
        self.gates.values().map(|peer| peer.summary.clone()).collect()
    }
}
