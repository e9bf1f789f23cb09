//! The tables that the parts of a gate share.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base::Event;
use base::Map;
use base::Name;
use base::Set;
use fleet::endpoint::Endpoint;
use fleet::message::Holding;
use fleet::message::Version;
use fleet::plan::Plan;
use fleet::routing::Table;
use parking_lot::Mutex;
use parking_lot::RwLock;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The weight of the latest outcome in the share of failures.
const WEIGHT: f64 = 0.2;
/// The time in which the share of failures halves without requests.
const FORGET: Duration = Duration::from_secs(2);
/// The time after which an endpoint's word on its load counts half.
const LOAD_AGE: Duration = Duration::from_millis(100);

/// How an endpoint did lately, seen from this gate.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    /// The requests of this gate that are there.
    pub running: u32,
    /// The requests that it said were there, and when.
    pub told: Option<(u32, Duration)>,
    /// The share of requests that failed, and when it was updated.
    failures: (f64, Duration),
}

impl Stats {
    /// Returns the requests that are likely there.
    pub fn queue(&self, now: Duration) -> f64 {
        let own = f64::from(self.running);
        let Some((told, at)) = self.told else { return own };
        let age = now.saturating_sub(at).as_secs_f64() / LOAD_AGE.as_secs_f64();
        own.max(f64::from(told) * (-age).exp2())
    }

    /// Returns the share of requests that are likely to fail.
    pub fn risk(&self, now: Duration) -> f64 {
        let (share, at) = self.failures;
        let age = now.saturating_sub(at).as_secs_f64() / FORGET.as_secs_f64();
        share * (-age).exp2()
    }

    /// Notes how a request ended.
    pub fn note(&mut self, failed: bool, now: Duration) {
        let share = self.risk(now);
        let outcome = f64::from(u8::from(failed));
        self.failures = (share + WEIGHT * (outcome - share), now);
    }
}

/// The tables that the parts of a gate share.
#[derive(Debug)]
pub(crate) struct Board {
    started: Instant,
    table: RwLock<Option<Arc<Table>>>,
    /// Notified when a plan comes into force.
    planned: Notify,
    endpoints: RwLock<Arc<Map<Name, Endpoint>>>,
    versions: RwLock<Map<(Name, Name), u64>>,
    /// The adapters of each engine.
    holdings: RwLock<Map<Name, Set<Name>>>,
    pub(crate) stats: Mutex<Map<Name, Stats>>,
    draining: AtomicBool,
}

impl Board {
    pub(crate) fn new() -> Board {
        Board {
            started: Instant::now(),
            table: RwLock::default(),
            planned: Notify::new(),
            endpoints: RwLock::default(),
            versions: RwLock::default(),
            holdings: RwLock::default(),
            stats: Mutex::default(),
            draining: AtomicBool::new(false),
        }
    }

    /// Returns the time since the start.
    pub(crate) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Takes a plan unless a newer one is in force; returns whether it is the newest.
    pub(crate) fn set_plan(&self, plan: &Plan) -> bool {
        let mut table = self.table.write();
        let held = table.as_ref().map(|table| table.plan().version);
        if held.is_some_and(|held| held >= plan.version) {
            return false;
        }
        base::event!(
            INFO,
            Event::PlanApplied,
            version = plan.version,
            former = held.unwrap_or_default(),
            routes = plan.routes.len()
        );
        *table = Some(Arc::new(Table::new(plan.clone())));
        self.planned.notify_waiters();
        true
    }

    pub(crate) fn table(&self) -> Option<Arc<Table>> {
        self.table.read().clone()
    }

    /// Waits for the first plan; none if there is none in time.
    pub(crate) async fn await_table(&self, limit: Duration) -> Option<Arc<Table>> {
        let planned = self.planned.notified();
        if let Some(table) = self.table() {
            return Some(table);
        }
        // Elapsing leaves it to the caller to refuse the request.
        tokio::time::timeout(limit, planned).await.ok();
        self.table()
    }

    pub(crate) fn set_versions(&self, versions: &[Version]) {
        let mut held = self.versions.write();
        for version in versions {
            let key = (version.model.clone(), version.adapter.clone());
            let newest = held.entry(key).or_default();
            *newest = (*newest).max(version.version);
        }
    }

    pub(crate) fn version(&self, model: &Name, adapter: &Name) -> Option<u64> {
        self.versions.read().get(&(model.clone(), adapter.clone())).copied()
    }

    /// Replaces the endpoints that take work.
    pub(crate) fn set_endpoints(&self, endpoints: Vec<Endpoint>) {
        let new: Map<Name, Endpoint> =
            endpoints.into_iter().map(|endpoint| (endpoint.id.clone(), endpoint)).collect();
        self.holdings.write().retain(|id, _| new.contains_key(id));
        self.stats.lock().retain(|id, stats| new.contains_key(id) || stats.running > 0);
        *self.endpoints.write() = Arc::new(new);
    }

    pub(crate) fn endpoints(&self) -> Arc<Map<Name, Endpoint>> {
        self.endpoints.read().clone()
    }

    pub(crate) fn hold(&self, holding: Holding) {
        let mut holdings = self.holdings.write();
        let adapters = holdings.entry(holding.endpoint).or_default();
        if holding.held {
            adapters.insert(holding.adapter);
        } else {
            adapters.remove(&holding.adapter);
        }
    }

    /// Returns whether an engine is known to hold an adapter.
    pub(crate) fn holds(&self, endpoint: &Name, adapter: &Name) -> bool {
        self.holdings.read().get(endpoint).is_some_and(|held| held.contains(adapter))
    }

    pub(crate) fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Returns whether the gate can serve callers.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_draining() && self.table.read().is_some() && !self.endpoints.read().is_empty()
    }
}
