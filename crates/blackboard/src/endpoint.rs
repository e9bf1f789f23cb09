//! An endpoint that this gate owns.

use std::time::Duration;

use base::Map;
use base::Name;
use state::view;
use state::view::Role;
use tokio::time::Instant;
use wire::endpoint::Model;

use crate::pool::Target;
use crate::pool::Waiter;

/// The consecutive unanswered reads of its state after which an endpoint gets no new work.
const PROBE_TIMEOUT_LIMIT: u32 = 2;

/// An endpoint that this gate owns.
#[derive(Debug)]
pub struct Endpoint {
    /// Its properties.
    pub info: view::Endpoint,
    /// The fencing number of the ownership.
    pub fence: u64,
    /// When it was last last_heard of.
    pub last_heard: Instant,
    /// Whether it announced that it leaves.
    pub leaving: bool,
    /// Whether its host drains.
    pub draining: bool,
    /// Whether its state was read since this gate owns it; before, it gets no work and no orders.
    pub probed: bool,
    /// When no former owner can send it work any more; nothing is evicted before.
    pub exclusive_from: Instant,
    /// Counts the starts and ends of orders: a state read across one is not applied.
    pub order_epoch: u64,
    /// The consecutive reads of its state that it did not answer in time.
    pub probe_timeouts: u32,
    /// The adapters that it holds or loads.
    pub slots: Map<Model, Slot>,
    /// The requests that this gate sent and that may still run.
    pub in_flight: Map<Name, InFlight>,
    /// The requests that run there and were sent by a former owner.
    pub inherited: Map<Name, Option<Model>>,
    /// The fingerprints of requests whose connection broke in this generation.
    pub broken_requests: Vec<u64>,
    /// The request alone for which the endpoint is being emptied.
    pub reserved_for: Option<Name>,
}

/// An adapter at an endpoint.
#[derive(Clone, Debug)]
pub struct Slot {
    /// What becomes of it.
    pub phase: Phase,
    /// When the phase began.
    pub since: Instant,
    /// When it was last asked for.
    pub last_used: Instant,
}

/// What becomes of an adapter at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It is being loaded.
    Loading,
    /// It serves requests.
    Ready,
    /// It is being evicted.
    Unloading,
}

/// A request at an endpoint.
#[derive(Clone, Debug)]
pub struct InFlight {
    /// What it runs on.
    pub target: Target,
    /// The fingerprint of the request.
    pub fingerprint: u64,
    /// Whether nothing else may run beside it.
    pub alone: bool,
}

impl Endpoint {
    /// Returns an endpoint that was just given to this gate.
    pub fn new(info: view::Endpoint, fence: u64, now: Instant) -> Endpoint {
        Endpoint {
            info,
            fence,
            last_heard: now,
            leaving: false,
            draining: false,
            probed: false,
            exclusive_from: now,
            order_epoch: 0,
            probe_timeouts: 0,
            slots: Map::default(),
            in_flight: Map::default(),
            inherited: Map::default(),
            broken_requests: Vec::new(),
            reserved_for: None,
        }
    }

    /// Returns whether the endpoint takes new work; `liveness_timeout` is the longest time between signs of it.
    pub fn ready(&self, now: Instant, liveness_timeout: Duration) -> bool {
        self.probed && !self.leaving && !self.draining && self.responsive(now, liveness_timeout)
    }

    /// Returns whether the endpoint announces itself and answers when its state is read.
    pub fn responsive(&self, now: Instant, liveness_timeout: Duration) -> bool {
        self.probe_timeouts < PROBE_TIMEOUT_LIMIT
            && now.duration_since(self.last_heard) <= liveness_timeout
    }

    /// Returns the requests of a full batch.
    pub fn batch(&self) -> usize {
        match &self.info.role {
            Role::Engine { batch, .. } | Role::Service { batch, .. } => *batch as usize,
        }
    }

    /// Returns the adapters that the endpoint holds at once.
    pub fn adapter_slots(&self) -> usize {
        match &self.info.role {
            Role::Engine { slots, .. } => *slots as usize,
            Role::Service { .. } => 0,
        }
    }

    /// Returns the requests that may run there.
    pub fn occupancy(&self) -> usize {
        self.in_flight.len() + self.inherited.len()
    }

    /// Returns whether a request on `model` may run there.
    pub fn pinned(&self, model: &Model) -> bool {
        let own = self.in_flight.values().any(|entry| entry.target.model() == Some(model));
        let inherited = self.inherited.values().any(|running| running.as_ref() == Some(model));
        own || inherited
    }

    /// Returns whether adapters that no request uses may be evicted.
    ///
    /// An endpoint that ignores fencing numbers may yet get requests of a former owner while some run.
    pub fn evictable(&self, now: Instant) -> bool {
        let alone = self.info.fenced || self.inherited.is_empty();
        self.probed && now >= self.exclusive_from && alone
    }

    /// Returns whether it can run `target` without a load.
    pub fn serves(&self, target: &Target) -> bool {
        match (target, &self.info.role) {
            (Target::Model(model), Role::Engine { .. }) => {
                self.slots.get(model).is_some_and(|slot| slot.phase == Phase::Ready)
            }
            (Target::Service(kind), Role::Service { kind: own, .. }) => kind == own,
            _ => false,
        }
    }

    /// Returns whether `waiter` may be sent now, apart from readiness.
    pub fn has_room(&self, waiter: &Waiter) -> bool {
        if self.reserved_for.as_ref().is_some_and(|request| *request != waiter.request) {
            return false;
        }
        if waiter.alone {
            return self.occupancy() == 0;
        }
        let occupied = self.in_flight.values().any(|entry| entry.alone);
        !occupied && self.occupancy() < self.batch()
    }
}
