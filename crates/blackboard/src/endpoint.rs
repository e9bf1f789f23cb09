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

/// The number of consecutive unanswered probes after which an endpoint receives no new requests.
const PROBE_TIMEOUT_LIMIT: u32 = 2;

/// An endpoint that this gate owns.
#[derive(Debug)]
pub struct Endpoint {
    /// The registered properties.
    pub info: view::Endpoint,
    /// The fencing token of the ownership.
    pub fence: u64,
    /// The time of its last announcement or answered probe.
    pub last_heard: Instant,
    /// Whether it announced that it is shutting down.
    pub leaving: bool,
    /// Whether its host is draining.
    pub draining: bool,
    /// Whether its state was read since this gate became its owner; until then it receives
    /// neither requests nor orders.
    pub probed: bool,
    /// The time from which no previous owner can send it requests; nothing is evicted before then.
    pub exclusive_from: Instant,
    /// The number of starts and ends of orders. A state read during which it changed is discarded.
    pub order_epoch: u64,
    /// The number of consecutive probes that it did not answer in time.
    pub probe_timeouts: u32,
    /// The adapters that are loaded, being loaded or being evicted.
    pub slots: Map<Model, Slot>,
    /// The requests that this gate sent and that may still run.
    pub in_flight: Map<Name, InFlight>,
    /// The requests that a previous owner sent and that still run, with their adapter versions.
    pub inherited: Map<Name, Option<Model>>,
    /// The request that must run alone; while it is set, no other request is dispatched.
    pub reserved_for: Option<Name>,
}

/// An adapter at an endpoint.
#[derive(Clone, Debug)]
pub struct Slot {
    /// The loading phase.
    pub phase: Phase,
    /// The start of the phase.
    pub since: Instant,
    /// The time of the last dispatch of a request for it, or of its placement if there was none.
    pub last_used: Instant,
}

/// The loading phase of an adapter at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It is being loaded.
    Loading,
    /// It serves requests.
    Ready,
    /// It is being evicted.
    Unloading,
}

/// A request that was sent to an endpoint and may still run.
#[derive(Clone, Debug)]
pub struct InFlight {
    /// The adapter version or service that it runs on.
    pub target: Target,
    /// The fingerprint of the request.
    pub fingerprint: u64,
    /// Whether it must run alone.
    pub alone: bool,
}

impl Endpoint {
    /// Creates an endpoint that was just assigned to this gate.
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
            reserved_for: None,
        }
    }

    /// Returns whether the endpoint accepts new requests.
    pub fn ready(&self, now: Instant, liveness_timeout: Duration) -> bool {
        self.probed && !self.leaving && !self.draining && self.responsive(now, liveness_timeout)
    }

    /// Returns whether the endpoint was heard from within `liveness_timeout` and answers probes.
    pub fn responsive(&self, now: Instant, liveness_timeout: Duration) -> bool {
        self.probe_timeouts < PROBE_TIMEOUT_LIMIT
            && now.duration_since(self.last_heard) <= liveness_timeout
    }

    /// Returns the batch size, in requests.
    pub fn batch(&self) -> usize {
        match &self.info.role {
            Role::Engine { batch, .. } | Role::Service { batch, .. } => *batch as usize,
        }
    }

    /// Returns the number of adapter slots; 0 for a plain service.
    pub fn adapter_slots(&self) -> usize {
        match &self.info.role {
            Role::Engine { slots, .. } => *slots as usize,
            Role::Service { .. } => 0,
        }
    }

    /// Returns the number of requests that may be running.
    pub fn occupancy(&self) -> usize {
        self.in_flight.len() + self.inherited.len()
    }

    /// Returns whether a request for `model` may be running.
    pub fn in_use(&self, model: &Model) -> bool {
        let sent = self.in_flight.values().any(|entry| entry.target.model() == Some(model));
        let inherited = self.inherited.values().any(|running| running.as_ref() == Some(model));
        sent || inherited
    }

    /// Returns whether adapters that no request uses may be evicted.
    ///
    /// An endpoint that does not check fencing tokens may still receive requests from a previous owner
    /// while such requests run.
    pub fn evictable(&self, now: Instant) -> bool {
        let alone = self.info.fenced || self.inherited.is_empty();
        self.probed && now >= self.exclusive_from && alone
    }

    /// Returns whether it can run `target` without loading an adapter.
    pub fn serves(&self, target: &Target) -> bool {
        match (target, &self.info.role) {
            (Target::Model(model), Role::Engine { .. }) => {
                self.slots.get(model).is_some_and(|slot| slot.phase == Phase::Ready)
            }
            (Target::Service(kind), Role::Service { kind: served, .. }) => kind == served,
            _ => false,
        }
    }

    /// Returns whether there is room for `waiter`. Does not check readiness.
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
