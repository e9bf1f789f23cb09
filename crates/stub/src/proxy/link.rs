//! A link: its rules, which can change at run time, and its counters.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use parking_lot::Mutex;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;

use crate::proxy::rule::Direction;
use crate::proxy::rule::Rules;

/// A link from an address to a target.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    to: SocketAddr,
    rules: watch::Sender<Version>,
    rng: Mutex<StdRng>,
    connections: AtomicU64,
    cuts: AtomicU64,
    request_bytes: AtomicU64,
    answer_bytes: AtomicU64,
}

/// Rules with a version number that is incremented by each change.
#[derive(Clone, Debug, Default)]
pub(crate) struct Version {
    pub(crate) number: u64,
    /// Incremented by each change to rules with `cut`.
    pub(crate) cuts: u64,
    pub(crate) rules: Rules,
}

/// The status of a link in the control API.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The listening address.
    pub address: SocketAddr,
    /// The target.
    pub to: SocketAddr,
    /// The current rules.
    pub rules: Rules,
    /// The connections accepted; at a UDP link, the senders seen.
    pub connections: u64,
    /// The connections that ended with a reset, by a rule or by either end.
    pub cuts: u64,
    /// The bytes forwarded to the target.
    pub request_bytes: u64,
    /// The bytes forwarded from the target.
    pub answer_bytes: u64,
}

impl Link {
    pub(crate) fn new(address: SocketAddr, to: SocketAddr, seed: u64) -> Link {
        Link {
            address,
            to,
            rules: watch::Sender::new(Version::default()),
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
            connections: AtomicU64::new(0),
            cuts: AtomicU64::new(0),
            request_bytes: AtomicU64::new(0),
            answer_bytes: AtomicU64::new(0),
        }
    }

    /// Returns the listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the target.
    pub fn to(&self) -> SocketAddr {
        self.to
    }

    /// Replaces the rules; they also apply to open connections immediately.
    pub fn set(&self, rules: Rules) {
        self.rules.send_modify(|version| {
            version.number += 1;
            version.cuts += u64::from(rules.cut);
            version.rules = rules;
        });
    }

    /// Returns the rules and the counters.
    pub fn status(&self) -> Status {
        Status {
            address: self.address,
            to: self.to,
            rules: self.rules.borrow().rules.clone(),
            connections: self.connections.load(Ordering::Relaxed),
            cuts: self.cuts.load(Ordering::Relaxed),
            request_bytes: self.request_bytes.load(Ordering::Relaxed),
            answer_bytes: self.answer_bytes.load(Ordering::Relaxed),
        }
    }

    pub(crate) fn version(&self) -> Version {
        self.rules.borrow().clone()
    }

    /// Waits until the rules meet a condition.
    pub(crate) async fn wait_for(&self, condition: impl Fn(&Rules) -> bool) {
        let mut changes = self.rules.subscribe();
        changes.wait_for(|version| condition(&version.rules)).await.ok();
    }

    /// Waits for a cut after the one with number `seen`; detects a cut that has ended again.
    pub(crate) async fn wait_for_cut(&self, seen: u64) {
        let mut changes = self.rules.subscribe();
        changes.wait_for(|version| version.rules.cut || version.cuts > seen).await.ok();
    }

    /// Decrements [`Rules::times`]; returns `false` if it is 0.
    pub(crate) fn consume_cut(&self) -> bool {
        let mut consumed = true;
        self.rules.send_if_modified(|version| {
            match &mut version.rules.times {
                Some(0) => consumed = false,
                Some(times) => *times -= 1,
                None => {}
            }
            false
        });
        consumed
    }

    /// Returns true with a probability of `percent`.
    pub(crate) fn chance(&self, percent: u8) -> bool {
        percent > 0 && self.rng.lock().random_range(0..100) < percent
    }

    pub(crate) fn count_connection(&self) {
        self.connections.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_cut(&self) {
        self.cuts.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count(&self, direction: Direction, bytes: usize) {
        let counter = match direction {
            Direction::Request => &self.request_bytes,
            Direction::Answer => &self.answer_bytes,
        };
        counter.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}
