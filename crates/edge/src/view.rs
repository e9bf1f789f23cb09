//! The gate's view of the site: the plan, the endpoints, the adapters that they hold and their load.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base::Event;
use base::Map;
use base::Name;
use base::Set;
use capacity::Estimate;
use fleet::endpoint::Endpoint;
use fleet::message::Holding;
use fleet::message::Version;
use fleet::plan::Plan;
use fleet::routing::Table;
use parking_lot::Mutex;
use parking_lot::RwLock;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The weight of the latest outcome in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.2;
/// The half-life of the failure rate of an endpoint without requests.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);
/// The half-life of a load that an endpoint reported.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(100);

/// The recent load and failures of an endpoint, as seen by this gate.
#[derive(Clone, Debug, Default)]
pub struct Stats {
    /// The number of requests that this gate has in progress at the endpoint.
    pub running: u32,
    /// The number of requests that the endpoint last reported, and the time of the report.
    pub reported: Option<(u32, Duration)>,
    /// The estimate of a plain endpoint's capacity; only of one that states the pace of its host.
    pub estimate: Option<Box<Estimate>>,
    /// The moving average of failures, from 0 to 1, and the time of its update.
    failures: (f64, Duration),
}

impl Stats {
    /// Returns the estimated number of requests at the endpoint; a reported load decays with its age.
    pub fn load(&self, now: Duration) -> f64 {
        let own = f64::from(self.running);
        let Some((reported, at)) = self.reported else { return own };
        let age = now.saturating_sub(at).as_secs_f64() / LOAD_HALF_LIFE.as_secs_f64();
        own.max(f64::from(reported) * (-age).exp2())
    }

    /// Returns the failure rate from 0 to 1, decayed since its last update.
    pub fn failure_rate(&self, now: Duration) -> f64 {
        let (rate, at) = self.failures;
        let age = now.saturating_sub(at).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        rate * (-age).exp2()
    }

    /// Records the outcome of a request.
    pub fn record(&mut self, failed: bool, now: Duration) {
        let rate = self.failure_rate(now);
        let outcome = f64::from(u8::from(failed));
        self.failures = (rate + FAILURE_WEIGHT * (outcome - rate), now);
    }
}

/// The gate's view of the site, shared by all requests.
#[derive(Debug)]
pub(crate) struct View {
    started: Instant,
    /// The routing table of the plan in force.
    table: RwLock<Option<Arc<Table>>>,
    /// Notified when a plan is applied.
    plan_applied: Notify,
    /// The endpoints that accept requests, by id.
    endpoints: RwLock<Arc<Map<Name, Endpoint>>>,
    /// The newest version of each adapter, by base model and adapter.
    versions: RwLock<Map<(Name, Name), u64>>,
    /// The adapters that each engine holds.
    holdings: RwLock<Map<Name, Set<Name>>>,
    /// The statistics of each endpoint.
    pub(crate) stats: Mutex<Map<Name, Stats>>,
    draining: AtomicBool,
    /// The number of gates of the cell; 0 if it is unknown.
    gates: AtomicU32,
}

impl View {
    pub(crate) fn new() -> View {
        View {
            started: Instant::now(),
            table: RwLock::default(),
            plan_applied: Notify::new(),
            endpoints: RwLock::default(),
            versions: RwLock::default(),
            holdings: RwLock::default(),
            stats: Mutex::default(),
            draining: AtomicBool::new(false),
            gates: AtomicU32::new(0),
        }
    }

    /// Returns the time since the gate started.
    pub(crate) fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Applies a plan unless the same or a newer version is in force; returns whether it was applied.
    pub(crate) fn apply_plan(&self, plan: &Plan) -> bool {
        let mut table = self.table.write();
        let former = table.as_ref().map(|table| table.plan().version);
        if former.is_some_and(|former| former >= plan.version) {
            return false;
        }
        base::event!(
            INFO,
            Event::PlanApplied,
            version = plan.version,
            former = former.unwrap_or_default(),
            routes = plan.routes.len()
        );
        *table = Some(Arc::new(Table::new(plan.clone())));
        self.plan_applied.notify_waiters();
        true
    }

    pub(crate) fn table(&self) -> Option<Arc<Table>> {
        self.table.read().clone()
    }

    /// Waits for the first plan; returns `None` if there is none before the timeout.
    pub(crate) async fn await_table(&self, timeout: Duration) -> Option<Arc<Table>> {
        let applied = self.plan_applied.notified();
        if let Some(table) = self.table() {
            return Some(table);
        }
        // Without a plan the request handler refuses the request.
        tokio::time::timeout(timeout, applied).await.ok();
        self.table()
    }

    /// Updates the adapters' versions; an older version never replaces a newer one.
    pub(crate) fn update_versions(&self, versions: &[Version]) {
        let mut known = self.versions.write();
        for version in versions {
            let key = (version.model.clone(), version.adapter.clone());
            let newest = known.entry(key).or_default();
            *newest = (*newest).max(version.version);
        }
    }

    pub(crate) fn version(&self, model: &Name, adapter: &Name) -> Option<u64> {
        self.versions.read().get(&(model.clone(), adapter.clone())).copied()
    }

    /// Replaces the list of endpoints that accept requests.
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

    /// Records that an engine holds an adapter, or no longer does.
    pub(crate) fn update_holding(&self, holding: Holding) {
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

    /// Sets the number of gates of the cell.
    pub(crate) fn set_gates(&self, gates: u32) {
        self.gates.store(gates, Ordering::Relaxed);
    }

    /// Returns the number of gates of the cell; `None` if it is unknown.
    pub(crate) fn gates(&self) -> Option<u32> {
        Some(self.gates.load(Ordering::Relaxed)).filter(|gates| *gates > 0)
    }

    pub(crate) fn set_draining(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Returns whether the gate can serve requests: it is not draining and knows a plan and endpoints.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_draining() && self.table.read().is_some() && !self.endpoints.read().is_empty()
    }
}
