//! The shared tables of a gate and the operations that span several of them.

use std::sync::Arc;
use std::time::Duration;

use base::Code;
use base::Name;
use parking_lot::Mutex;
use parking_lot::RwLock;
use state::Delta;
use state::View;
use state::command::Incarnation;
use state::view::Ownership;
use state::view::Patch;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::time::Instant;
use wire::endpoint::Model;
use wire::endpoint::State;
use wire::keeper::Update;

use crate::endpoint::Endpoint;
use crate::endpoint::Phase;
use crate::endpoint::Slot;
use crate::lease::Lease;
use crate::peers::Peers;
use crate::pool::Crash;
use crate::pool::Pool;
use crate::pool::Target;
use crate::pool::Waiter;
use crate::ticket::Abandoned;
use crate::ticket::Ticket;

/// The shared tables of a gate.
#[derive(Debug)]
pub struct Board {
    /// The name of this gate's host.
    pub host: Name,
    /// The time without an announcement or an answered probe after which an endpoint receives no new requests.
    pub liveness_timeout: Duration,
    /// The maximum time after a change of owner for which the previous owner may send requests to an
    /// endpoint: until it applies the change or its lease ends.
    pub handover_timeout: Duration,
    /// The replicated view; its revision never decreases.
    pub view: RwLock<View>,
    /// The lease of this gate.
    pub lease: Mutex<Lease>,
    /// The endpoints that this gate owns and the requests queued for them.
    pub pool: Mutex<Pool>,
    /// The latest summaries from the other gates.
    pub peers: Mutex<Peers>,
    /// Wakes the loader to decide on loads and evictions.
    pub placement_wakeup: Notify,
    /// Wakes the prober after a change of ownership.
    pub probe_wakeup: Notify,
    abandoned: mpsc::UnboundedSender<Abandoned>,
}

impl Board {
    /// Creates an empty board and the receiver of abandoned requests.
    pub fn new(
        host: Name,
        liveness_timeout: Duration,
        handover_timeout: Duration,
    ) -> (Arc<Board>, mpsc::UnboundedReceiver<Abandoned>) {
        let (abandoned, receiver) = mpsc::unbounded_channel();
        let board = Board {
            host,
            liveness_timeout,
            handover_timeout,
            view: RwLock::default(),
            lease: Mutex::default(),
            pool: Mutex::default(),
            peers: Mutex::default(),
            placement_wakeup: Notify::new(),
            probe_wakeup: Notify::new(),
            abandoned,
        };
        (Arc::new(board), receiver)
    }

    /// Returns whether this gate holds its lease, without which it neither accepts nor dispatches requests
    /// nor sends orders.
    pub fn serving(&self) -> bool {
        self.lease.lock().holds()
    }

    /// Returns whether this gate holds its lease and owns an endpoint under the fencing token `fence`.
    pub fn owns(&self, endpoint: &Name, fence: u64) -> bool {
        let lease = self.lease.lock();
        let pool = self.pool.lock();
        let owned = pool.endpoints.get(endpoint).is_some_and(|entry| entry.fence == fence);
        owned && lease.holds()
    }

    /// Applies an update to the view; returns `false` if a full view is needed instead.
    pub fn update(&self, update: &Update) -> bool {
        let mut view = self.view.write();
        match update {
            Update::Deltas(deltas) => deltas.iter().all(|delta| self.apply_delta(&mut view, delta)),
            Update::Whole(full) if full.revision >= view.revision => {
                *view = (**full).clone();
                self.sync_ownership(&view, |_| true);
                true
            }
            Update::Whole(_) => false,
        }
    }

    /// Applies a delta unless the view contains it; returns `false` if an earlier delta is missing.
    fn apply_delta(&self, view: &mut View, delta: &Delta) -> bool {
        if delta.revision <= view.revision {
            return true;
        }
        let previous_owner = match &delta.patch {
            Patch::Endpoint(name, _) => owner(view, name),
            _ => None,
        };
        if !view.apply(delta) {
            return false;
        }
        if matches!(&delta.patch, Patch::Endpoint(..) | Patch::Draining(..)) {
            self.sync_ownership(view, |view| lease_held(view, previous_owner.as_ref()));
        }
        true
    }

    /// Adds the endpoints that the view assigns to this gate and removes all others.
    ///
    /// `contested` returns whether the previous owner may still hold its lease.
    fn sync_ownership(&self, view: &View, contested: impl Fn(&View) -> bool) {
        let now = Instant::now();
        let mut pool = self.pool.lock();
        let owned_here = |owned: &&Ownership| owned.owner.as_ref() == Some(&self.host);
        pool.endpoints.retain(|name, _| view.endpoints.get(name).filter(owned_here).is_some());
        for owned in view.endpoints.values().filter(owned_here) {
            let info = &owned.endpoint;
            let draining = view.draining.contains(&info.host);
            pool.end_generation(&info.name, owned.fence, info.generation);
            match pool.endpoints.get_mut(&info.name) {
                Some(endpoint) if endpoint.fence == owned.fence => {
                    endpoint.draining = draining;
                    endpoint.info = info.clone();
                }
                _ => {
                    let mut endpoint = Endpoint::new(info.clone(), owned.fence, now);
                    endpoint.draining = draining;
                    if contested(view) {
                        endpoint.exclusive_from = now + self.handover_timeout;
                    }
                    pool.endpoints.insert(info.name.clone(), endpoint);
                }
            }
        }
        let crashes = pool.disconnects.take_ended(view);
        pool.crashes.extend(crashes);
        drop(pool);
        self.probe_wakeup.notify_one();
        self.placement_wakeup.notify_one();
    }

    /// Removes all endpoints after the lease of this incarnation has ended.
    pub fn drop_endpoints(&self) {
        self.pool.lock().endpoints.clear();
    }

    /// Queues a request for its target and dispatches; fails with [`Code::QueueFull`] if `limit` requests
    /// are queued already.
    pub fn admit(
        self: &Arc<Board>,
        target: Target,
        waiter: Waiter,
        limit: usize,
    ) -> Result<(), Code> {
        self.pool.lock().admit(target, waiter, limit)?;
        self.dispatch();
        Ok(())
    }

    /// Issues tickets to queued requests for which an endpoint has room.
    pub fn dispatch(self: &Arc<Board>) {
        let now = Instant::now();
        let lease = self.lease.lock();
        if !lease.holds() {
            return;
        }
        let mut pool = self.pool.lock();
        let dispatches = pool.dispatch(now, self.liveness_timeout);
        let waiting = !pool.queues.is_empty();
        drop(pool);
        drop(lease);
        for dispatch in dispatches {
            let ticket = Ticket::new(Arc::clone(self), &dispatch);
            // If the request was cancelled in the meantime, its ticket is dropped and releases the place.
            drop(dispatch.waiter.reply.send(Ok(ticket)));
        }
        if waiting {
            self.placement_wakeup.notify_one();
        }
    }

    /// Removes a request from those in flight at an endpoint and wakes the loader.
    pub fn release(self: &Arc<Board>, endpoint: &Name, fence: u64, request: &Name) {
        self.pool.lock().release(endpoint, fence, request);
        self.placement_wakeup.notify_one();
    }

    /// Records that the connection of a request to a generation of an endpoint broke before the end of the
    /// response.
    pub fn record_disconnect(&self, endpoint: &Name, generation: u64, fingerprint: u64) {
        let view = self.view.read();
        let mut pool = self.pool.lock();
        let current = view.endpoints.get(endpoint);
        if current.is_some_and(|current| generation < current.endpoint.generation) {
            pool.crashes.push(Crash::new(endpoint.clone(), generation, vec![fingerprint]));
            return;
        }
        pool.disconnects.record(endpoint, generation, fingerprint);
        if let Some(entry) = pool.endpoints.get_mut(endpoint) {
            // Discards a probe in progress, which may have read the state before the crash.
            entry.order_epoch += 1;
        }
    }

    pub(crate) fn abandon(&self, abandoned: Abandoned) {
        self.abandoned.send(abandoned).ok();
    }

    /// Applies a state read from an endpoint.
    ///
    /// Returns `false` and changes nothing if an order started or ended since `order_epoch` or if the
    /// state is from another generation. Returns `true` if the endpoint is no longer owned under `fence`.
    pub fn apply_state(&self, name: &Name, fence: u64, order_epoch: u64, state: &State) -> bool {
        let now = Instant::now();
        let mut pool = self.pool.lock();
        let Some(endpoint) =
            pool.endpoints.get_mut(name).filter(|endpoint| endpoint.fence == fence)
        else {
            return true;
        };
        if endpoint.order_epoch != order_epoch || state.generation != endpoint.info.generation {
            return false;
        }
        endpoint.last_heard = now;
        let mut slots = base::Map::default();
        for model in &state.loaded {
            let added = Slot { phase: Phase::Ready, since: now, last_used: now };
            slots.insert(model.clone(), endpoint.slots.remove(model).unwrap_or(added));
        }
        // Adapters with an order in progress keep their phase, whatever the state reports.
        slots.extend(endpoint.slots.drain().filter(|(_, slot)| slot.phase != Phase::Ready));
        endpoint.slots = slots;
        endpoint.probe_timeouts = 0;
        if endpoint.probed && now >= endpoint.exclusive_from {
            // The state may list requests of this gate that have ended since, so entries are only removed.
            endpoint
                .inherited
                .retain(|id, _| state.running.iter().any(|running| running.request == *id));
        } else {
            endpoint.inherited = endpoint.inherited_requests(state);
        }
        endpoint.probed = true;
        // The generation is still running, so the broken connections were not a crash.
        pool.disconnects.take(name);
        true
    }

    /// Sets the phase of an adapter at the start or end of an order; `None` removes the adapter.
    pub fn set_phase(&self, name: &Name, fence: u64, model: &Model, phase: Option<Phase>) {
        let now = Instant::now();
        let mut pool = self.pool.lock();
        let Some(endpoint) =
            pool.endpoints.get_mut(name).filter(|endpoint| endpoint.fence == fence)
        else {
            return;
        };
        endpoint.order_epoch += 1;
        match phase {
            Some(phase) => {
                let last_used = endpoint.slots.get(model).map_or(now, |slot| slot.last_used);
                endpoint.slots.insert(model.clone(), Slot { phase, since: now, last_used });
            }
            None => {
                endpoint.slots.remove(model);
            }
        }
    }
}

/// Returns the owner of an endpoint and its incarnation.
fn owner(view: &View, endpoint: &Name) -> Option<(Name, Incarnation)> {
    let owner = view.endpoints.get(endpoint)?.owner.as_ref()?;
    let gate = view.gates.get(owner)?;
    Some((gate.name.clone(), gate.incarnation))
}

/// Returns whether an incarnation of a gate holds its lease according to the view.
fn lease_held(view: &View, holder: Option<&(Name, Incarnation)>) -> bool {
    let Some((name, incarnation)) = holder else { return false };
    view.gates.get(name).is_some_and(|gate| gate.incarnation == *incarnation)
}

impl Endpoint {
    /// Resets what ended with the previous generation.
    pub(crate) fn restart(&mut self, generation: u64) {
        self.info.generation = generation;
        self.slots.clear();
        self.in_flight.clear();
        self.inherited.clear();
        self.reserved_for = None;
        self.leaving = false;
        self.probed = false;
        self.probe_timeouts = 0;
        self.order_epoch += 1;
    }

    /// Returns the running requests of a state that this gate did not send.
    fn inherited_requests(&self, state: &State) -> base::Map<Name, Option<Model>> {
        let inherited =
            state.running.iter().filter(|running| !self.in_flight.contains_key(&running.request));
        inherited.map(|running| (running.request.clone(), running.model.clone())).collect()
    }
}
