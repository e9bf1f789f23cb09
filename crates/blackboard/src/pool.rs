//! The endpoints that this gate owns and the requests that wait for them.

use std::collections::VecDeque;
use std::time::Duration;

use base::Code;
use base::Map;
use base::Name;
use tokio::sync::oneshot;
use tokio::time::Instant;
use wire::endpoint::Model;

use crate::endpoint::Endpoint;
use crate::endpoint::InFlight;
use crate::endpoint::Phase;
use crate::ticket::Ticket;

/// What a request runs on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Target {
    /// A version of an adapter.
    Model(Model),
    /// A plain service of a kind.
    Service(Name),
}

impl Target {
    /// Returns the version of an adapter, if it is one.
    pub fn model(&self) -> Option<&Model> {
        match self {
            Target::Model(model) => Some(model),
            Target::Service(_) => None,
        }
    }
}

/// A request that waits for an endpoint.
#[derive(Debug)]
pub struct Waiter {
    /// The id of the request.
    pub request: Name,
    /// The endpoint that the router chose.
    pub endpoint: Option<Name>,
    /// Whether no other endpoint may take it, because one failed it before.
    pub bound: bool,
    /// The priority from 0 (low) to 9 (high).
    pub priority: u8,
    /// When it began to wait.
    pub arrived: Instant,
    /// When its answer is needed.
    pub deadline: Instant,
    /// Whether nothing else may run beside it.
    pub alone: bool,
    /// The fingerprint of the request.
    pub fingerprint: u64,
    /// Where it is told of its endpoint or why it gets none.
    pub reply: oneshot::Sender<Result<Ticket, Code>>,
}

/// A place for a waiting request.
pub struct Dispatch {
    /// The request.
    pub waiter: Waiter,
    /// The endpoint.
    pub endpoint: Name,
    /// The address of the endpoint.
    pub address: Name,
    /// The fencing number.
    pub fence: u64,
    /// The generation of the endpoint.
    pub generation: u64,
    /// How long the request waited for the adapter to load.
    pub stall: Duration,
    /// The requests in flight there, this one included.
    pub fill: usize,
    /// The requests of a full batch.
    pub batch: usize,
}

/// A crash of an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Crash {
    /// The endpoint.
    pub endpoint: Name,
    /// The generation that crashed.
    pub generation: u64,
    /// The fingerprints of the requests in progress.
    pub fingerprints: Vec<u64>,
}

/// The endpoints that this gate owns and the requests that wait for them.
#[derive(Debug, Default)]
pub struct Pool {
    /// The crashes that the keepers are not yet told of.
    pub crashes: Vec<Crash>,
    /// The endpoints by name.
    pub endpoints: Map<Name, Endpoint>,
    /// The waiting requests, the highest priority first and in order of arrival within it.
    ///
    /// Invariant: no queue is empty.
    pub queues: Map<Target, VecDeque<Waiter>>,
}

impl Pool {
    /// Puts a request into the queue of its target, refused if `limit` requests wait there.
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

    /// Matches waiting requests with endpoints that have room, and counts each at its endpoint.
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
        let mut rest = VecDeque::new();
        while let Some(waiter) = queue.pop_front() {
            if waiter.reply.is_closed() || waiter.deadline <= now {
                self.unreserve(&waiter.request);
                continue;
            }
            match self.find(target, &waiter, now, liveness_timeout) {
                Some(name) => dispatches.extend(self.take(name, target, waiter, now)),
                None => {
                    self.reserve(target, &waiter, now, liveness_timeout);
                    rest.push_back(waiter);
                }
            }
        }
        if !rest.is_empty() {
            self.queues.insert(target.clone(), rest);
        }
    }

    fn find(
        &self,
        target: &Target,
        waiter: &Waiter,
        now: Instant,
        liveness_timeout: Duration,
    ) -> Option<Name> {
        let fit = self.endpoints.values().filter(|endpoint| {
            let open = !waiter.bound || waiter.endpoint.as_ref() == Some(&endpoint.info.name);
            open && endpoint.serves(target)
                && endpoint.ready(now, liveness_timeout)
                && endpoint.has_room(waiter)
        });
        let model = target.model().is_some();
        let best = fit.max_by_key(|endpoint| {
            let chosen = waiter.endpoint.as_ref() == Some(&endpoint.info.name);
            let fill = endpoint.occupancy();
            // A plain service gains nothing from a full batch, so its work is spread.
            let weight = if model { fill } else { usize::MAX - fill };
            (weight, chosen, std::cmp::Reverse(endpoint.info.name.clone()))
        });
        best.map(|endpoint| endpoint.info.name.clone())
    }

    /// Keeps an endpoint free of new work for a request that has to run alone.
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
        let fit = self.endpoints.values_mut().filter(|endpoint| {
            let open = !waiter.bound || waiter.endpoint.as_ref() == Some(&endpoint.info.name);
            open && endpoint.serves(target)
                && endpoint.ready(now, liveness_timeout)
                && endpoint.reserved_for.is_none()
        });
        if let Some(endpoint) = fit.min_by_key(|endpoint| endpoint.occupancy()) {
            endpoint.reserved_for = Some(waiter.request.clone());
        }
    }

    /// Ends the reservation for a request.
    pub fn unreserve(&mut self, request: &Name) {
        for endpoint in self.endpoints.values_mut() {
            if endpoint.reserved_for.as_ref() == Some(request) {
                endpoint.reserved_for = None;
            }
        }
    }

    fn take(
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

    /// Ends the count of a request at an endpoint.
    pub fn release(&mut self, endpoint: &Name, fence: u64, request: &Name) {
        if let Some(endpoint) = self.endpoints.get_mut(endpoint)
            && endpoint.fence == fence
        {
            endpoint.in_flight.remove(request);
        }
    }

    /// Returns whether the adapter serves or is being loaded at an owned endpoint that takes work.
    pub fn has_model(&self, model: &Model, now: Instant, liveness_timeout: Duration) -> bool {
        self.endpoints.values().any(|endpoint| {
            let slot = endpoint.slots.get(model);
            let held = slot.is_some_and(|slot| slot.phase != Phase::Unloading);
            held && endpoint.ready(now, liveness_timeout)
        })
    }

    /// Takes the requests out of their queues whose only endpoint takes no work.
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

    /// Returns the adapters that requests wait for at one endpoint only, which lacks them.
    pub fn bound_models(&self) -> Vec<(Model, Name)> {
        let mut wanted = Vec::new();
        for (target, queue) in &self.queues {
            let Some(model) = target.model() else { continue };
            for waiter in queue.iter().filter(|waiter| waiter.bound) {
                let Some(name) = &waiter.endpoint else { continue };
                let lacks = self.endpoints.get(name).filter(|own| !own.slots.contains_key(model));
                if lacks.is_some() {
                    wanted.push((model.clone(), name.clone()));
                }
            }
        }
        wanted.sort();
        wanted.dedup();
        wanted
    }

    /// Takes all requests that wait for `target` out of their queue.
    pub fn drain(&mut self, target: &Target) -> Vec<Waiter> {
        let waiters: Vec<Waiter> = self.queues.remove(target).unwrap_or_default().into();
        for waiter in &waiters {
            self.unreserve(&waiter.request);
        }
        waiters
    }
}
