//! The other gates through which this gate reaches endpoints while it is cut off from them.

use std::net::SocketAddr;
use std::time::Duration;

use base::Map;
use base::Name;
use fleet::message::Peer;
use parking_lot::Mutex;
use rand::seq::SliceRandom;

/// The time for which a gate that has opened no connection is not tried again.
const AVOID_TIME: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
struct State {
    peers: Vec<Peer>,
    /// The time until which a gate is not tried.
    avoided: Map<SocketAddr, Duration>,
}

/// The gates that may open connections for this gate.
#[derive(Debug)]
pub(crate) struct Peers {
    domain: Name,
    /// The port at which gates accept tunnels.
    port: u16,
    state: Mutex<State>,
}

impl Peers {
    pub(crate) fn new(domain: Name, port: u16) -> Peers {
        Peers { domain, port, state: Mutex::default() }
    }

    /// Replaces the list of gates.
    pub(crate) fn set(&self, peers: Vec<Peer>) {
        self.state.lock().peers = peers;
    }

    /// Returns up to `most` gates in random order, those of the own failure domain first.
    pub(crate) fn choose(&self, most: usize, now: Duration) -> Vec<SocketAddr> {
        let mut state = self.state.lock();
        state.avoided.retain(|_, until| now < *until);
        let mut peers: Vec<(bool, SocketAddr)> = state
            .peers
            .iter()
            .filter_map(|peer| {
                let front: SocketAddr = peer.front.parse().ok()?;
                Some((peer.domain != self.domain, SocketAddr::new(front.ip(), self.port)))
            })
            .filter(|(_, address)| !state.avoided.contains_key(address))
            .collect();
        peers.shuffle(&mut rand::rng());
        peers.sort_by_key(|(remote, _)| *remote);
        peers.into_iter().map(|(_, address)| address).take(most).collect()
    }

    /// Excludes a gate for [`AVOID_TIME`].
    pub(crate) fn avoid(&self, peer: SocketAddr, now: Duration) {
        self.state.lock().avoided.insert(peer, now + AVOID_TIME);
    }
}
