//! The shared state of a gate.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base::Name;
use base::Set;
use blackboard::Board;
use conf::Config;
use conf::Entry;
use parking_lot::Mutex;
use route::Timing;
use state::journal::Key;
use state::view;

use crate::admission::Admission;
use crate::client::Client;
use crate::crash::Suspects;
use crate::keepers::Keepers;
use crate::liveness::Monitor;
use crate::load::Failures;
use crate::metrics::Metrics;
use crate::peer::Clients;
use crate::planner::History;
use crate::tenants::Tenants;
use crate::trace::Trace;

/// The maximum and initial number of retries in the retry budget.
const RETRY_BURST: u64 = 20;
/// The number of measurements in a moving mean.
const MEAN_WINDOW: u32 = 16;
/// The cost of a retry. A request deposits `limits.retry_percent`, so at 100 percent it pays for one retry.
const RETRY_COST: u64 = 100;

/// The shared state of a gate.
pub(crate) struct Context {
    /// The settings.
    pub(crate) config: Config,
    /// The entry host of this gate.
    pub(crate) entry: Entry,
    /// The shared tables.
    pub(crate) board: Arc<Board>,
    /// The clients of the keepers.
    pub(crate) keepers: Keepers,
    /// The clients of the other gates.
    pub(crate) peer_clients: Clients,
    /// The tenants by their keys.
    pub(crate) tenants: Tenants,
    /// The HTTP client for endpoints and other gates.
    pub(crate) client: Client,
    /// The metrics.
    pub(crate) metrics: Metrics,
    /// Recent decisions on requests.
    pub(crate) trace: Trace,
    /// The requests in progress and their limits.
    pub(crate) admission: Arc<Admission>,
    /// Whether the gate is omitted from the addresses for callers because it shuts down.
    pub(crate) draining: AtomicBool,
    /// Whether new requests are refused because the gate shuts down.
    pub(crate) refusing: AtomicBool,
    /// The idempotency keys of the requests in progress at this process.
    pub(crate) claims: Mutex<Set<Key>>,
    /// The requests that were in progress at an endpoint that crashed.
    pub(crate) suspects: Suspects,
    /// Notifies requests in progress that their endpoint or its owner is lost.
    pub(crate) liveness: Monitor,
    /// The consecutive load failures.
    pub(crate) failures: Failures,
    /// The history that placement plans from.
    ///
    /// Lock order: after the tables of the board.
    pub(crate) history: Mutex<History>,
    /// The mean times from which waits are estimated.
    pub(crate) route_timing: Mutex<Timing>,
    /// The retry budget, in hundredths of a retry.
    pub(crate) retry_budget: AtomicU64,
    /// The sequence number of the last summary.
    pub(crate) sequence: AtomicU64,
    /// The highest revision of the configuration known to be in force at every gate.
    pub(crate) in_force: AtomicU64,
}

impl Context {
    /// Creates the context of the gate on the host of `entry`.
    pub(crate) fn new(
        config: Config,
        entry: Entry,
        board: Arc<Board>,
    ) -> prometheus::Result<Context> {
        let call = Duration::from_millis(config.timing.call_ms);
        let half_life = Duration::from_millis(config.placement.half_life_ms);
        Ok(Context {
            keepers: Keepers::new(&config),
            peer_clients: Clients::new(call),
            tenants: Tenants::new(&config.tenants),
            client: Client::new(call),
            metrics: Metrics::new()?,
            trace: Trace::default(),
            admission: Arc::default(),
            draining: AtomicBool::new(false),
            refusing: AtomicBool::new(false),
            claims: Mutex::default(),
            suspects: Suspects::default(),
            liveness: Monitor::default(),
            failures: Mutex::default(),
            history: Mutex::new(History::new(half_life)),
            route_timing: Mutex::default(),
            retry_budget: AtomicU64::new(RETRY_BURST * RETRY_COST),
            sequence: AtomicU64::new(0),
            in_force: AtomicU64::new(0),
            config,
            entry,
            board,
        })
    }

    /// Returns the identity and addresses that this gate registers with the keepers.
    pub(crate) fn identity(&self) -> view::Gate {
        view::Gate {
            name: self.entry.host.clone(),
            incarnation: self.board.lease.lock().incarnation,
            domain: self.entry.domain.clone(),
            address: self.entry.gate.clone(),
            peer: self.entry.peer.clone(),
            relay: self.entry.relay.clone(),
        }
    }

    /// Returns the addresses of another gate; the settings take precedence over the view.
    pub(crate) fn remote(&self, host: &str) -> Option<Remote> {
        if let Some(entry) = self.config.entry(host) {
            return Some(Remote { peer: entry.peer.clone(), relay: entry.relay.clone() });
        }
        let view = self.board.view.read();
        let gate = view.gates.get(host)?;
        Some(Remote { peer: gate.peer.clone(), relay: gate.relay.clone() })
    }

    /// Returns the timeout of a call between processes.
    pub(crate) fn call_timeout(&self) -> Duration {
        Duration::from_millis(self.config.timing.call_ms)
    }

    /// Updates the mean time that a request occupies its place in a batch.
    pub(crate) fn record_service_time(&self, took: Duration) {
        let mut timing = self.route_timing.lock();
        timing.service_time = mean(timing.service_time, took);
    }

    /// Updates the mean time that a request waits for a load.
    pub(crate) fn record_load_stall(&self, took: Duration) {
        let mut timing = self.route_timing.lock();
        timing.load_time = mean(timing.load_time, took);
    }

    /// Deposits the share of one request in the retry budget.
    pub(crate) fn deposit_retry(&self) {
        let share = u64::from(self.config.limits.retry_percent);
        let limit = RETRY_BURST * RETRY_COST;
        let add = |budget: u64| Some((budget + share).min(limit));
        self.retry_budget.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).ok();
    }

    /// Withdraws one retry from the retry budget; returns `false` if the budget is exhausted.
    pub(crate) fn withdraw_retry(&self) -> bool {
        let take = |budget: u64| budget.checked_sub(RETRY_COST);
        self.retry_budget.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
    }
}

/// Returns the exponentially weighted moving mean.
fn mean(old: Duration, new: Duration) -> Duration {
    (old * (MEAN_WINDOW - 1) + new) / MEAN_WINDOW
}

/// The addresses of another gate.
#[derive(Clone, Debug)]
pub(crate) struct Remote {
    /// The address for calls between gates.
    pub(crate) peer: Name,
    /// The address for relayed requests.
    pub(crate) relay: Name,
}
