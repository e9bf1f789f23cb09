//! What all parts of a gate share.

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
use crate::trace::Trace;

/// The retries that may be made before any request was counted.
const RETRY_BURST: u64 = 20;
/// The measurements over which a mean moves.
const MEAN_WINDOW: u32 = 16;
/// The share of a retry that one percent of the retry limit adds for a request.
const RETRY_COST: u64 = 100;

/// What all parts of a gate share.
pub(crate) struct Context {
    /// The settings.
    pub(crate) config: Config,
    /// The entry host of this gate.
    pub(crate) entry: Entry,
    /// The shared tables.
    pub(crate) board: Arc<Board>,
    /// The keepers.
    pub(crate) keepers: Keepers,
    /// The connections to the other gates.
    pub(crate) peer_clients: Clients,
    /// The HTTP client towards endpoints and other gates.
    pub(crate) client: Client,
    /// The metrics.
    pub(crate) metrics: Metrics,
    /// The last decisions.
    pub(crate) trace: Trace,
    /// The requests in progress.
    pub(crate) admission: Arc<Admission>,
    /// Whether the gate is left out of the callers' addresses because it stops.
    pub(crate) draining: AtomicBool,
    /// Whether new requests are refused because the gate stops.
    pub(crate) refusing: AtomicBool,
    /// The keys that this process is working on.
    pub(crate) claims: Mutex<Set<Key>>,
    /// The requests that were in progress at an endpoint that crashed.
    pub(crate) suspects: Suspects,
    /// Tells requests in progress that nobody will answer them.
    pub(crate) liveness: Monitor,
    /// The consecutive failures to load.
    pub(crate) failures: Failures,
    /// What placement remembers.
    ///
    /// Lock order: behind the tables of the board.
    pub(crate) history: Mutex<History>,
    /// The times that waits are estimated from.
    pub(crate) pace: Mutex<Timing>,
    /// The hundredths of retries that may be made.
    pub(crate) retries: AtomicU64,
    /// The sequence number of the last summary.
    pub(crate) sequence: AtomicU64,
    /// The highest revision of the configuration known to be in force at every gate.
    pub(crate) in_force: AtomicU64,
}

impl Context {
    /// Returns the context of the gate on `entry`.
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
            pace: Mutex::default(),
            retries: AtomicU64::new(RETRY_BURST * RETRY_COST),
            sequence: AtomicU64::new(0),
            in_force: AtomicU64::new(0),
            config,
            entry,
            board,
        })
    }

    /// Returns this gate as it is told to the keepers.
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

    /// Returns the addresses of another gate: those of the settings go before those of the view.
    pub(crate) fn remote(&self, host: &str) -> Option<Remote> {
        if let Some(entry) = self.config.entry(host) {
            return Some(Remote { peer: entry.peer.clone(), relay: entry.relay.clone() });
        }
        let view = self.board.view.read();
        let gate = view.gates.get(host)?;
        Some(Remote { peer: gate.peer.clone(), relay: gate.relay.clone() })
    }

    /// Returns how long a call between processes may take.
    pub(crate) fn call_timeout(&self) -> Duration {
        Duration::from_millis(self.config.timing.call_ms)
    }

    /// Moves the mean time that a request occupies a place of a batch towards a measured one.
    pub(crate) fn record_service_time(&self, took: Duration) {
        let mut pace = self.pace.lock();
        pace.service_time = mean(pace.service_time, took);
    }

    /// Moves the mean time that a request waits for a load towards a measured one.
    pub(crate) fn record_load_stall(&self, took: Duration) {
        let mut pace = self.pace.lock();
        pace.load_time = mean(pace.load_time, took);
    }

    /// Adds the share of a request to the budget of retries.
    pub(crate) fn deposit_retry(&self) {
        let share = u64::from(self.config.limits.retry_percent);
        let most = RETRY_BURST * RETRY_COST;
        let add = |budget: u64| Some((budget + share).min(most));
        self.retries.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).ok();
    }

    /// Takes a retry from the budget; false if it is spent.
    pub(crate) fn withdraw_retry(&self) -> bool {
        let take = |budget: u64| budget.checked_sub(RETRY_COST);
        self.retries.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
    }
}

/// Returns a moving mean.
fn mean(old: Duration, new: Duration) -> Duration {
    (old * (MEAN_WINDOW - 1) + new) / MEAN_WINDOW
}

/// The addresses of another gate.
#[derive(Clone, Debug)]
pub(crate) struct Remote {
    /// For calls.
    pub(crate) peer: Name,
    /// For requests that are passed on.
    pub(crate) relay: Name,
}
