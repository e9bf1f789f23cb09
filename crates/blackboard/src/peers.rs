//! What the other gates tell of their endpoints.

use std::time::Duration;

use base::Map;
use base::Name;
use tokio::time::Instant;
use wire::gate::Endpoint;
use wire::gate::Summary;

/// Another gate's last summary.
#[derive(Clone, Debug)]
pub struct Peer {
    /// The summary.
    pub summary: Summary,
    /// When it came.
    pub received: Instant,
}

/// The other gates' summaries.
#[derive(Debug, Default)]
pub struct Peers {
    gates: Map<Name, Peer>,
}

impl Peers {
    /// Takes a summary unless a later one of the same run came before.
    pub fn insert(&mut self, summary: Summary, now: Instant) {
        if let Some(peer) = self.gates.get(&summary.gate) {
            let same = peer.summary.incarnation == summary.incarnation;
            if same && peer.summary.sequence >= summary.sequence {
                return;
            }
        }
        self.gates.insert(summary.gate.clone(), Peer { summary, received: now });
    }

    /// Returns a gate's last summary if it belongs to the run `incarnation`.
    pub fn get(&self, gate: &str, incarnation: u64) -> Option<&Peer> {
        self.gates.get(gate).filter(|peer| peer.summary.incarnation == incarnation)
    }

    /// Returns what the owner tells of an endpoint, unless that is older than `max_age`.
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

    /// Returns all last summaries.
    pub fn summaries(&self) -> Vec<Summary> {
        self.gates.values().map(|peer| peer.summary.clone()).collect()
    }
}
