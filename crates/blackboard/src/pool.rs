//! The endpoints that this gate owns and the requests queued for them.

use std::collections::VecDeque;
use std::time::Duration;

use base::Code;
use base::Map;
use base::Name;
use tokio::sync::oneshot;
use tokio::time::Instant;
use wire::endpoint::Model;

use crate::disconnect::Disconnects;
use crate::endpoint::Endpoint;
use crate::endpoint::InFlight;
use crate::endpoint::Phase;
use crate::ticket::Ticket;

/// The adapter version or service that a request runs on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Target {
    /// A version of an adapter.
    Model(Model),
    /// A plain service, by its kind.
    Service(Name),
}

impl Target {
    /// Returns the adapter version; `None` for a plain service.
    pub fn model(&self) -> Option<&Model> {
        match self {
            Target::Model(model) => Some(model),
            Target::Service(_) => None,
        }
    }
}

/// A queued request.
#[derive(Debug)]
pub struct Waiter {
    /// The id of the request.
    pub request: Name,
    /// The endpoint that the router chose.
    pub endpoint: Option<Name>,
    /// Whether it may run at the chosen endpoint only, because an attempt at another one failed.
    pub bound: bool,
    /// The priority from 0 (low) to 9 (high).
    pub priority: u8,
    /// The time at which it was queued.
    pub arrived: Instant,
    /// The deadline of its response.
    pub deadline: Instant,
    /// Whether it must run alone.
    pub alone: bool,
    /// The fingerprint of the request.
    pub fingerprint: u64,
    /// Receives the ticket, or the result code if the request is refused.
    pub reply: oneshot::Sender<Result<Ticket, Code>>,
}

/// The assignment of a queued request to an endpoint.
pub struct Dispatch {
    /// The request.
    pub waiter: Waiter,
    /// The endpoint.
    pub endpoint: Name,
    /// The address of the endpoint.
    pub address: Name,
    /// The fencing token of the ownership.
    pub fence: u64,
    /// The generation of the endpoint.
    pub generation: u64,
    /// The time for which the request waited for the adapter to load.
    pub stall: Duration,
    /// The requests at the endpoint, including this one.
    pub fill: usize,
    /// The batch size, in requests.
    pub batch: usize,
}

/// A crash of an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Crash {
    /// The endpoint.
    pub endpoint: Name,
    /// The generation that crashed.
    pub generation: u64,
    /// The fingerprints of the requests in progress, in ascending order.
    pub fingerprints: Vec<u64>,
}

impl Crash {
    pub(crate) fn new(endpoint: Name, generation: u64, mut fingerprints: Vec<u64>) -> Crash {
        fingerprints.sort_unstable();
        fingerprints.dedup();
        Crash { endpoint, generation, fingerprints }
    }
}

/// The endpoints that this gate owns and the requests queued for them.
#[derive(Debug, Default)]
pub struct Pool {
    /// The crashes that were not yet reported to the keepers.
    pub crashes: Vec<Crash>,
    /// The requests whose connections broke while it is not known whether the endpoint crashed.
    pub(crate) disconnects: Disconnects,
    /// The endpoints by name.
    pub endpoints: Map<Name, Endpoint>,
    /// The queued requests by target, in descending priority and then in order of arrival.
    ///
    /// Invariant: no queue is empty.
    pub queues: Map<Target, VecDeque<Waiter>>,
}

impl Pool {
    /// Implicates the requests whose connections to a silent endpoint broke.
    pub fn endpoint_silent(&mut self, endpoint: &Name) {
        let Some(generation) = self.endpoints.get(endpoint).map(|entry| entry.info.generation)
        else {
            return;
        };
        let fingerprints = self.disconnects.take(endpoint);
        if !fingerprints.is_empty() {
            self.crashes.push(Crash::new(endpoint.clone(), generation, fingerprints));
        }
    }

    /// Resets an endpoint that is owned under `fence` and has started again, and implicates the requests in flight
    /// and those whose connections to it broke.
    pub(crate) fn end_generation(&mut self, endpoint: &Name, fence: u64, generation: u64) {
        let Some(entry) = self.endpoints.get_mut(endpoint) else { return };
        let former = entry.info.generation;
        if entry.fence != fence || generation <= former {
            return;
        }
        let mut fingerprints = self.disconnects.take(endpoint);
        fingerprints.extend(entry.in_flight.values().map(|request| request.fingerprint));
        entry.restart(generation);
        if !fingerprints.is_empty() {
            self.crashes.push(Crash::new(endpoint.clone(), former, fingerprints));
        }
    }

    /// Queues a request for its target; fails with [`Code::QueueFull`] if `limit` requests are queued
    /// already.
    pub fn admit(&mut self, target: Target, waiter: Waiter, limit: usize) -> Result<(), Code> {
        let queue = self.queues.entry(target).or_default();
        queue.retain(|waiting| !waiting.reply.is_closed());
        if queue.len() >= limit.max(1) {
            return Err(Code::QueueFull);
        }
        let place = queue.partition_point(|waiting| waiting.priority >= waiter.priority);
        queue.insert(place, waiter);
        Ok(())
    }

    /// Assigns queued requests to endpoints that have room and records them as in flight.
    ///
    /// The target whose oldest request has waited longest goes first.
    pub fn dispatch(&mut self, now: Instant, liveness_timeout: Duration) -> Vec<Dispatch> {
        let mut targets: Vec<(Instant, Target)> = Vec::new();
        for (target, queue) in &self.queues {
            let oldest = queue.iter().map(|waiter| waiter.arrived).min();
            targets.push((oldest.unwrap_or(now), target.clone()));
        }
        targets.sort();
        let mut dispatches = Vec::new();
        for (_, target) in targets {
            self.dispatch_target(&target, now, liveness_timeout, &mut dispatches);
        }
        dispatches
    }

    fn dispatch_target(
        &mut self,
        target: &Target,
        now: Instant,
        liveness_timeout: Duration,
        dispatches: &mut Vec<Dispatch>,
    ) {
        let Some(mut queue) = self.queues.remove(target) else { return };
        let mut remaining = VecDeque::new();
        while let Some(waiter) = queue.pop_front() {
            if waiter.reply.is_closed() || waiter.deadline <= now {
                self.unreserve(&waiter.request);
                continue;
            }
            match self.find(target, &waiter, now, liveness_timeout) {
                Some(name) => dispatches.extend(self.assign(name, target, waiter, now)),
                None => {
                    self.reserve(target, &waiter, now, liveness_timeout);
                    remaining.push_back(waiter);
                }
            }
        }
        if !remaining.is_empty() {
            self.queues.insert(target.clone(), remaining);
        }
    }

    fn find(
        &self,
        target: &Target,
        waiter: &Waiter,
        now: Instant,
        liveness_timeout: Duration,
    ) -> Option<Name> {
        let candidates = self.endpoints.values().filter(|endpoint| {
            let allowed = !waiter.bound || waiter.endpoint.as_ref() == Some(&endpoint.info.name);
            allowed
                && endpoint.serves(target)
                && endpoint.ready(now, liveness_timeout)
                && endpoint.has_room(waiter)
        });
        let batched = target.model().is_some();
        let best = candidates.max_by_key(|endpoint| {
            let chosen = waiter.endpoint.as_ref() == Some(&endpoint.info.name);
            let fill = endpoint.occupancy();
            // Engines are filled one after the other, for full batches. A plain service gains nothing
            // from a full batch, so its requests are spread.
            let weight = if batched { fill } else { usize::MAX - fill };
            (weight, chosen, std::cmp::Reverse(endpoint.info.name.clone()))
        });
        best.map(|endpoint| endpoint.info.name.clone())
    }

    /// Reserves an endpoint for a request that must run alone, so that no other request is dispatched to it.
    fn reserve(
        &mut self,
        target: &Target,
        waiter: &Waiter,
        now: Instant,
        liveness_timeout: Duration,
    ) {
        let held = |endpoint: &Endpoint| endpoint.reserved_for.as_ref() == Some(&waiter.request);
        if !waiter.alone || self.endpoints.values().any(held) {
            return;
        }
        let candidates = self.endpoints.values_mut().filter(|endpoint| {
            let allowed = !waiter.bound || waiter.endpoint.as_ref() == Some(&endpoint.info.name);
            allowed
                && endpoint.serves(target)
                && endpoint.ready(now, liveness_timeout)
                && endpoint.reserved_for.is_none()
        });
        if let Some(endpoint) = candidates.min_by_key(|endpoint| endpoint.occupancy()) {
            endpoint.reserved_for = Some(waiter.request.clone());
        }
    }

    /// Cancels the reservation for a request.
    pub fn unreserve(&mut self, request: &Name) {
        for endpoint in self.endpoints.values_mut() {
            if endpoint.reserved_for.as_ref() == Some(request) {
                endpoint.reserved_for = None;
            }
        }
    }

    fn assign(
        &mut self,
        name: Name,
        target: &Target,
        waiter: Waiter,
        now: Instant,
    ) -> Option<Dispatch> {
        self.unreserve(&waiter.request);
        let endpoint = self.endpoints.get_mut(&name)?;
        let entry = InFlight {
            target: target.clone(),
            fingerprint: waiter.fingerprint,
            alone: waiter.alone,
        };
        endpoint.in_flight.insert(waiter.request.clone(), entry);
        let mut stall = Duration::ZERO;
        if let Some(slot) = target.model().and_then(|model| endpoint.slots.get_mut(model)) {
            stall = slot.since.saturating_duration_since(waiter.arrived);
            slot.last_used = now;
        }
        Some(Dispatch {
            endpoint: name,
            address: endpoint.info.address.clone(),
            fence: endpoint.fence,
            generation: endpoint.info.generation,
            stall,
            fill: endpoint.occupancy(),
            batch: endpoint.batch(),
            waiter,
        })
    }

    /// Removes a request from those in flight at an endpoint.
    pub fn release(&mut self, endpoint: &Name, fence: u64, request: &Name) {
        if let Some(endpoint) = self.endpoints.get_mut(endpoint)
            && endpoint.fence == fence
        {
            endpoint.in_flight.remove(request);
        }
    }

    /// Returns whether the adapter is loaded or being loaded at an owned endpoint that accepts requests.
    pub fn has_model(&self, model: &Model, now: Instant, liveness_timeout: Duration) -> bool {
        self.endpoints.values().any(|endpoint| {
            let slot = endpoint.slots.get(model);
            let held = slot.is_some_and(|slot| slot.phase != Phase::Unloading);
            held && endpoint.ready(now, liveness_timeout)
        })
    }

    /// Removes and returns the requests that are bound to an endpoint that accepts no requests.
    pub fn take_stranded(&mut self, now: Instant, liveness_timeout: Duration) -> Vec<Waiter> {
        let endpoints = &self.endpoints;
        let stranded = |waiter: &Waiter| {
            let endpoint = waiter.endpoint.as_ref().and_then(|name| endpoints.get(name));
            waiter.bound && endpoint.is_none_or(|endpoint| !endpoint.ready(now, liveness_timeout))
        };
        let mut taken = Vec::new();
        for queue in self.queues.values_mut() {
            let (out, kept) = queue.drain(..).partition(&stranded);
            *queue = kept;
            let out: VecDeque<Waiter> = out;
            taken.extend(out);
        }
        self.queues.retain(|_, queue| !queue.is_empty());
        for waiter in &taken {
            self.unreserve(&waiter.request);
        }
        taken
    }

    /// Returns the adapters that bound requests need and that are absent from the endpoint to which the
    /// requests are bound.
    pub fn bound_models(&self) -> Vec<(Model, Name)> {
        let mut missing = Vec::new();
        for (target, queue) in &self.queues {
            let Some(model) = target.model() else { continue };
            for waiter in queue.iter().filter(|waiter| waiter.bound) {
                let Some(name) = &waiter.endpoint else { continue };
                let lacks =
                    self.endpoints.get(name).filter(|endpoint| !endpoint.slots.contains_key(model));
                if lacks.is_some() {
                    missing.push((model.clone(), name.clone()));
                }
            }
        }
        missing.sort();
        missing.dedup();
        missing
    }

    /// Removes and returns all requests queued for `target`.
    pub fn drain(&mut self, target: &Target) -> Vec<Waiter> {
        let waiters: Vec<Waiter> = self.queues.remove(target).unwrap_or_default().into();
        for waiter in &waiters {
            self.unreserve(&waiter.request);
        }
        waiters
    }
}
