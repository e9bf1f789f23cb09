//! The calls that wait for an endpoint of a service.

use std::time::Duration;

use base::Name;
use fleet::message::Placement;

/// The most calls that wait for one service, against a flood. The largest known service
/// completes some 60 within the longest wait.
const MAX_WAITING: usize = 512;

/// A call that waits.
#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub(crate) gate: u64,
    /// The failure domain of the gate.
    pub(crate) domain: Name,
    pub(crate) placement: Placement,
    pub(crate) arrived: Duration,
    /// Until when it waits.
    pub(crate) until: Duration,
    /// What the call's tenant has received against its share; at least 1, so that an idle tenant has no advantage beyond
    /// its share.
    pub(crate) excess: f64,
}

impl Waiting {
    /// Returns whether a call goes first: by rank, then share, then age.
    fn precedes(&self, other: &Waiting) -> bool {
        let order = self.placement.rank.cmp(&other.placement.rank);
        let order = order.then(self.excess.total_cmp(&other.excess));
        order.then(self.arrived.cmp(&other.arrived)).is_lt()
    }
}

/// The calls that wait, in the order in which they are served.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    waiting: Vec<Waiting>,
}

impl Queue {
    /// Returns the number of calls that go before one of a rank and an excess.
    pub(crate) fn ahead(&self, rank: u8, excess: f64) -> usize {
        let before =
            |waiting: &&Waiting| (waiting.placement.rank, waiting.excess) <= (rank, excess);
        self.waiting.iter().filter(before).count()
    }

    /// Returns whether a new call of a rank and an excess would stay in the queue.
    pub(crate) fn admits(&self, rank: u8, excess: f64) -> bool {
        self.waiting.len() < MAX_WAITING || self.ahead(rank, excess) < self.waiting.len()
    }

    /// Adds a call; returns the last one if there are too many.
    pub(crate) fn push(&mut self, call: Waiting) -> Option<Waiting> {
        let at = self.waiting.partition_point(|waiting| !call.precedes(waiting));
        self.waiting.insert(at, call);
        if self.waiting.len() > MAX_WAITING { self.waiting.pop() } else { None }
    }

    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn get(&self, index: usize) -> Option<&Waiting> {
        self.waiting.get(index)
    }

    pub(crate) fn remove(&mut self, index: usize) -> Waiting {
        self.waiting.remove(index)
    }

    /// Removes a call that its gate no longer needs an endpoint for.
    pub(crate) fn withdraw(&mut self, gate: u64, request: u64) -> bool {
        let known = self.waiting.len();
        self.waiting.retain(|waiting| (waiting.gate, waiting.placement.request) != (gate, request));
        self.waiting.len() < known
    }

    /// Removes the calls of a gate.
    pub(crate) fn forget(&mut self, gate: u64) {
        self.waiting.retain(|waiting| waiting.gate != gate);
    }

    /// Returns the earliest time until which a call waits.
    pub(crate) fn earliest(&self) -> Option<Duration> {
        self.waiting.iter().map(|waiting| waiting.until).min()
    }
}
