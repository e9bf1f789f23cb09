//! The state that the handlers of an engine share.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use base::Event;
use base::Map;
use base::Name;
use parking_lot::Mutex;
use state::view;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use wire::endpoint::Announcement;
use wire::endpoint::Model;
use wire::endpoint::Reason;
use wire::endpoint::Running;
use wire::endpoint::State;

use crate::client::Client;
use crate::clock;
use crate::engine::Settings;
use crate::engine::batch::Batch;
use crate::engine::order::Outcome;
use crate::engine::prefix::Cache;
use crate::fault::Injector;
use crate::record::Kind;
use crate::record::Recorder;
use crate::server::Switch;

/// Number of past states kept, from which a delayed report is chosen.
const MAX_REPORTS: usize = 64;

/// State shared by the handlers of an engine.
pub(crate) struct Shared {
    pub(crate) settings: Settings,
    pub(crate) address: Name,
    pub(crate) injector: Injector,
    pub(crate) switch: Switch,
    pub(crate) client: Client,
    pub(crate) batch: Arc<Batch>,
    /// Incremented when a load ends.
    pub(crate) loads: watch::Sender<u64>,
    pub(crate) inner: Mutex<Inner>,
}

/// The mutable state, under one lock.
pub(crate) struct Inner {
    pub(crate) role: view::Role,
    /// The highest fencing token received in this generation.
    pub(crate) fence: u64,
    pub(crate) leaving: bool,
    pub(crate) slots: Map<Model, Slot>,
    pub(crate) orders: Map<Name, Outcome>,
    /// Cancellation tokens of the requests that wait or run, by request id, each with its arrival number.
    pub(crate) cancels: Map<Name, (u64, CancellationToken)>,
    pub(crate) arrivals: u64,
    pub(crate) prefixes: Cache,
    pub(crate) recorder: Recorder,
    reports: VecDeque<(Instant, State)>,
}

/// An adapter's slot.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Slot {
    /// Whether the load has completed.
    pub(crate) loaded: bool,
    /// The number of requests that wait or run; invariant: 0 while the adapter is not loaded.
    pub(crate) users: u32,
}

impl Shared {
    pub(crate) fn new(settings: Settings, address: Name) -> Shared {
        let role = view::Role::Engine {
            base: settings.base.clone(),
            slots: settings.slots,
            batch: settings.batch,
        };
        let inner = Inner {
            role,
            fence: 0,
            leaving: false,
            slots: Map::default(),
            orders: Map::default(),
            cancels: Map::default(),
            arrivals: 0,
            prefixes: Cache::default(),
            recorder: Recorder::new(settings.name.clone(), clock::now(), settings.batch),
            reports: VecDeque::new(),
        };
        Shared {
            address,
            injector: Injector::new(settings.faults.clone(), settings.seed),
            switch: Switch::default(),
            client: Client::default(),
            batch: Arc::new(Batch::new(settings.batch, settings.queue)),
            loads: watch::Sender::new(0),
            inner: Mutex::new(inner),
            settings,
        }
    }

    /// Checks the fencing token of an order or a request.
    pub(crate) fn check_fence(&self, fence: u64, what: &str) -> Result<(), Reason> {
        let mut inner = self.inner.lock();
        if fence >= inner.fence {
            inner.fence = fence;
            return Ok(());
        }
        if self.settings.fenced {
            return Err(Reason::StaleFence);
        }
        let what = format!("{what} with fence {fence} after {}", inner.fence);
        inner.recorder.record_violation(Kind::StaleFence, what);
        Ok(())
    }

    /// Restarts with empty slots; connections are reset during `downtime`.
    pub(crate) fn restart(self: Arc<Shared>, downtime: Duration) {
        self.switch.set_down(true);
        {
            let mut inner = self.inner.lock();
            let generation = clock::now().max(inner.recorder.generation() + 1);
            inner.recorder.restart(generation);
            inner.fence = 0;
            inner.slots.clear();
            inner.orders.clear();
            inner.cancels.clear();
            inner.prefixes.clear();
            inner.reports.clear();
        }
        self.loads.send_modify(|count| *count += 1);
        self.switch.reset();
        base::event!(WARN, Event::FaultInjected, engine = %self.settings.name, "restart");
        tokio::spawn(async move {
            tokio::time::sleep(downtime).await;
            self.switch.set_down(false);
        });
    }

    /// Returns the number of requests that wait or run.
    pub(crate) fn in_progress(&self) -> usize {
        self.inner.lock().cancels.len()
    }

    /// Returns the current state.
    pub(crate) fn state(&self) -> State {
        let inner = self.inner.lock();
        let loaded = inner.slots.iter().filter(|(_, slot)| slot.loaded);
        let mut loaded: Vec<Model> = loaded.map(|(model, _)| model.clone()).collect();
        loaded.sort();
        let running = inner.recorder.running();
        let running = running
            .map(|run| Running { request: run.request.clone(), model: run.model.clone() })
            .collect();
        let generation = inner.recorder.generation();
        State { generation, loaded, running, waiting: self.batch.waiting() }
    }

    /// Returns the next announcement; `None` while the engine is down or silent.
    pub(crate) fn announcement(&self) -> Option<Announcement> {
        if self.switch.is_down() || self.injector.faults().silent {
            return None;
        }
        let state = self.report();
        let inner = self.inner.lock();
        let endpoint = view::Endpoint {
            name: self.settings.name.clone(),
            address: self.address.clone(),
            host: self.settings.host.clone(),
            domain: self.settings.domain.clone(),
            role: inner.role.clone(),
            fenced: self.settings.fenced,
            generation: inner.recorder.generation(),
        };
        Some(Announcement { endpoint, state, leaving: inner.leaving })
    }

    /// Returns the state to announce, with the lag and the gaps that the faults specify.
    fn report(&self) -> State {
        let faults = self.injector.faults();
        let now = self.state();
        let lag = Duration::from_millis(faults.report_lag_ms);
        let mut state = {
            let mut inner = self.inner.lock();
            inner.reports.push_back((Instant::now(), now.clone()));
            if inner.reports.len() > MAX_REPORTS {
                inner.reports.pop_front();
            }
            let old = inner.reports.iter().rev().find(|(at, _)| at.elapsed() >= lag);
            old.map_or_else(
                || State { generation: now.generation, ..State::default() },
                |(_, old)| old.clone(),
            )
        };
        state.loaded.retain(|_| !self.injector.chance(faults.report_gap_percent));
        state
    }
}
