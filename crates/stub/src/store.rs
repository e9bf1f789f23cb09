//! A stand-in for the weight store: a rate limit, and loads that slow down beyond a number in flight.

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

/// The time between two looks at how many loads are in flight.
const STEP: Duration = Duration::from_millis(20);

/// How a store behaves.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The loads a second that are allowed.
    pub rate: f64,
    /// The loads that may come at once after a pause.
    pub burst: f64,
    /// The loads in flight that run at full speed.
    pub in_flight: u32,
    /// How long a load takes at full speed.
    pub load: Duration,
    /// The faults to begin with.
    pub faults: Faults,
    /// The seed of the faults.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            rate: 5.0,
            burst: 5.0,
            in_flight: 8,
            load: Duration::from_millis(250),
            faults: Faults::default(),
            seed: 1,
        }
    }
}

/// What a store saw.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The loads that were answered, or failed half way.
    pub loads: Vec<Change>,
    /// The most loads in flight at once.
    pub most_in_flight: u32,
    /// The loads refused because of the rate.
    pub refused: u64,
    /// What must never happen and did.
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
    /// The loads that may come now; invariant: at most `burst`.
    tokens: f64,
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

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns what it saw.
    pub fn record(&self) -> Record {
        self.shared.inner.lock().record.clone()
    }

    /// Replaces its faults.
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
    let flight = Flight::begin(&shared);
    let part = if fails { 0.5 } else { 1.0 };
    shared.work(shared.settings.load.mul_f64(part)).await;
    drop(flight);
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
    /// Takes a token of the rate; records a violation if there is none.
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

    /// Waits until the work is done, at the speed that the loads in flight allow.
    async fn work(&self, work: Duration) {
        let mut left = work.as_secs_f64();
        while left > 0.0 {
            let speed = self.speed();
            let step = STEP.min(Duration::from_secs_f64(left / speed));
            let start = Instant::now();
            tokio::time::sleep(step).await;
            left -= start.elapsed().max(step).as_secs_f64() * speed;
        }
    }

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

/// A load in flight; ends when dropped, also when the engine went away.
struct Flight<'a> {
    shared: &'a Shared,
}

impl<'a> Flight<'a> {
    fn begin(shared: &'a Shared) -> Flight<'a> {
        let mut inner = shared.inner.lock();
        inner.in_flight += 1;
        inner.record.most_in_flight = inner.record.most_in_flight.max(inner.in_flight);
        drop(inner);
        Flight { shared }
    }
}

impl Drop for Flight<'_> {
    fn drop(&mut self) {
        self.shared.inner.lock().in_flight -= 1;
    }
}
