//! A stub of the weight store: a rate limit, and loads that slow down beyond a number in flight.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::extract::Path;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use base::Event;
use base::Name;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::time::Instant;
use wire::endpoint::Model;

use crate::clock;
use crate::fault::Faults;
use crate::fault::Injector;
use crate::record;
use crate::record::Change;
use crate::record::Kind;
use crate::record::Status;
use crate::record::Violation;
use crate::server;
use crate::server::Switch;

/// Interval at which the speed of a load is adjusted to the number of loads in flight.
const UPDATE_INTERVAL: Duration = Duration::from_millis(20);

/// The settings of a store.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The rate limit, in loads per second.
    pub rate: f64,
    /// The burst size of the rate limit, in loads.
    pub burst: f64,
    /// The number of loads in flight up to which each runs at full speed.
    pub in_flight: u32,
    /// The duration of a load at full speed.
    pub load_time: Duration,
    /// The initial faults.
    pub faults: Faults,
    /// The seed for random faults.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            rate: 5.0,
            burst: 5.0,
            in_flight: 8,
            load_time: Duration::from_millis(250),
            faults: Faults::default(),
            seed: 1,
        }
    }
}

/// The record of a store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The loads that completed or failed.
    pub loads: Vec<Change>,
    /// The maximum number of concurrent loads.
    pub most_in_flight: u32,
    /// The loads refused by the rate limit.
    pub refused: u64,
    /// The violations.
    pub violations: Vec<Violation>,
}

/// A running store; it stops when dropped.
pub struct Store {
    address: SocketAddr,
    shared: Arc<Shared>,
    task: tokio::task::JoinHandle<()>,
}

struct Shared {
    settings: Settings,
    injector: Injector,
    inner: Mutex<Inner>,
}

struct Inner {
    /// The tokens of the rate limiter; invariant: at most `burst`.
    tokens: f64,
    /// The time of the last refill.
    refilled: Instant,
    in_flight: u32,
    record: Record,
}

impl Store {
    /// Starts a store on a listener.
    pub fn start(listener: TcpListener, settings: Settings) -> io::Result<Store> {
        let address = listener.local_addr()?;
        let inner = Inner {
            tokens: settings.burst,
            refilled: Instant::now(),
            in_flight: 0,
            record: Record::default(),
        };
        let injector = Injector::new(settings.faults.clone(), settings.seed);
        let shared = Arc::new(Shared { settings, injector, inner: Mutex::new(inner) });
        let router = router(shared.clone());
        let task = tokio::spawn(server::serve(listener, router, Switch::default()));
        Ok(Store { address, shared, task })
    }

    /// Returns the listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a copy of the record.
    pub fn record(&self) -> Record {
        self.shared.inner.lock().record.clone()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.injector.set(faults);
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/v1/weights/{adapter}/{version}", get(load))
        .route("/control/record", get(read_record).delete(reset_record))
        .route("/control/faults", post(set_faults).get(read_faults))
        .with_state(shared)
}

async fn load(
    State(shared): State<Arc<Shared>>,
    Path((adapter, version)): Path<(String, String)>,
) -> Response {
    let model = Model { adapter: Name::from(adapter), version: Name::from(version) };
    if shared.injector.faults().refuse {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    if !shared.admit(&model) {
        return (StatusCode::TOO_MANY_REQUESTS, [("retry-after", "1")]).into_response();
    }
    let start_ms = clock::now();
    let fails = shared.injector.should_inject(|faults| faults.load_fail_percent);
    let in_flight = InFlight::begin(&shared);
    let fraction = if fails { 0.5 } else { 1.0 };
    shared.transfer(shared.settings.load_time.mul_f64(fraction)).await;
    drop(in_flight);
    let end = if fails { Status::Failed } else { Status::Complete };
    shared.finish(Change { model: model.clone(), load: true, start_ms, end_ms: clock::now(), end });
    if fails {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    }
    Json(model).into_response()
}

async fn read_record(State(shared): State<Arc<Shared>>) -> Json<Record> {
    Json(shared.inner.lock().record.clone())
}

async fn reset_record(State(shared): State<Arc<Shared>>) {
    shared.inner.lock().record = Record::default();
}

async fn read_faults(State(shared): State<Arc<Shared>>) -> Json<Faults> {
    Json(shared.injector.faults())
}

async fn set_faults(State(shared): State<Arc<Shared>>, Json(faults): Json<Faults>) {
    shared.injector.set(faults);
}

impl Shared {
    /// Takes a token of the rate limiter; records a violation if there is none.
    fn admit(&self, model: &Model) -> bool {
        let mut inner = self.inner.lock();
        let passed = inner.refilled.elapsed().as_secs_f64();
        inner.refilled = Instant::now();
        inner.tokens = (inner.tokens + passed * self.settings.rate).min(self.settings.burst);
        if inner.tokens >= 1.0 {
            inner.tokens -= 1.0;
            return true;
        }
        inner.record.refused += 1;
        let what = format!("load of {}@{} above the rate", model.adapter, model.version);
        base::event!(WARN, Event::Violation, what = %what);
        let violation = Violation { at_ms: clock::now(), kind: Kind::RateExceeded, what };
        inner.record.violations.push(violation);
        record::trim(&mut inner.record.violations);
        false
    }

    /// Waits as long as a load of `full_speed_time` takes at the speed that the loads in flight allow.
    async fn transfer(&self, full_speed_time: Duration) {
        let mut remaining = full_speed_time.as_secs_f64();
        while remaining > 0.0 {
            let speed = self.speed();
            let step = UPDATE_INTERVAL.min(Duration::from_secs_f64(remaining / speed));
            let start = Instant::now();
            tokio::time::sleep(step).await;
            remaining -= start.elapsed().max(step).as_secs_f64() * speed;
        }
    }

    /// Returns the current speed of a load as a fraction of full speed.
    fn speed(&self) -> f64 {
        let in_flight = self.inner.lock().in_flight.max(1);
        (f64::from(self.settings.in_flight) / f64::from(in_flight)).min(1.0)
    }

    fn finish(&self, change: Change) {
        let mut inner = self.inner.lock();
        inner.record.loads.push(change);
        record::trim(&mut inner.record.loads);
    }
}

/// A load in flight; counted until dropped, also if the engine closed the connection.
struct InFlight<'a> {
    shared: &'a Shared,
}

impl<'a> InFlight<'a> {
    fn begin(shared: &'a Shared) -> InFlight<'a> {
        let mut inner = shared.inner.lock();
        inner.in_flight += 1;
        inner.record.most_in_flight = inner.record.most_in_flight.max(inner.in_flight);
        drop(inner);
        InFlight { shared }
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.shared.inner.lock().in_flight -= 1;
    }
}
