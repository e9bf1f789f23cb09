//! A stub of a plain service that counts its runs by idempotency key.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Extension;
use axum::Json;
use axum::Router;
use axum::extract::Request;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use base::Name;
use bytes::Bytes;
use http_body_util::BodyExt;
use parking_lot::Mutex;
use serde::Deserialize;
use serde::Serialize;
use state::view;
use tokio::net::TcpListener;
use wire::endpoint;
use wire::endpoint::Announcement;
use wire::endpoint::Fault;
use wire::endpoint::Reason;
use wire::endpoint::Running;
use wire::header;

use crate::announce;
use crate::client::Client;
use crate::clock;
use crate::fault::Faults;
use crate::fault::Injector;
use crate::record::Record;
use crate::record::Recorder;
use crate::record::Start;
use crate::record::Status;
use crate::server;
use crate::server::Connection;
use crate::server::Switch;

/// The settings of a service.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of the endpoint.
    pub name: Name,
    /// The kind of the service.
    pub kind: Name,
    /// The host that it announces.
    pub host: Name,
    /// The failure domain of the host.
    pub domain: Name,
    /// The gates to announce to; if empty, the service does not announce itself.
    pub announce: Vec<Name>,
    /// The address to announce, if different from the listening address.
    pub advertise: Option<Name>,
    /// The maximum number of concurrent calls.
    pub batch: u32,
    /// The duration of a call.
    pub call_time: Duration,
    /// Whether it refuses stale fencing tokens.
    pub fenced: bool,
    /// The minimum time between the announcement that it leaves and the stop.
    pub linger: Duration,
    /// The token that it sends to gates as `Authorization: Bearer`.
    pub token: Option<Name>,
    /// The initial faults.
    pub faults: Faults,
    /// The seed for random faults.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            name: Name::from("ledger-1"),
            kind: Name::from("ledger"),
            host: Name::from("ledger-host-1"),
            domain: Name::from("a"),
            announce: Vec::new(),
            advertise: None,
            batch: 16,
            call_time: Duration::from_millis(5),
            fenced: true,
            linger: Duration::ZERO,
            token: None,
            faults: Faults::default(),
            seed: 1,
        }
    }
}

/// The response to a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Receipt {
    /// The name of the endpoint.
    pub service: Name,
    /// The id of the request.
    pub request: Name,
    /// The idempotency key, if any.
    pub key: Option<Name>,
    /// The method and the path.
    pub call: String,
    /// The digest of the body.
    pub digest: u64,
    /// The number of the run at this endpoint.
    pub run: u64,
}

/// A running service; it stops when dropped.
pub struct Service {
    address: SocketAddr,
    shared: Arc<Shared>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

struct Shared {
    settings: Settings,
    address: Name,
    generation: u64,
    injector: Injector,
    switch: Switch,
    inner: Mutex<Inner>,
}

struct Inner {
    /// The highest fencing token received.
    fence: u64,
    leaving: bool,
    recorder: Recorder,
}

impl Service {
    /// Starts a service on a listener.
    pub fn start(listener: TcpListener, settings: Settings) -> io::Result<Service> {
        let address = listener.local_addr()?;
        let injector = Injector::new(settings.faults.clone(), settings.seed);
        let generation = clock::now();
        let recorder = Recorder::new(settings.name.clone(), generation, settings.batch);
        let inner = Inner { fence: 0, leaving: false, recorder };
        let shared = Arc::new(Shared {
            address: advertised(&settings.advertise, address),
            generation,
            injector,
            switch: Switch::default(),
            inner: Mutex::new(inner),
            settings,
        });
        let router = router(shared.clone());
        let mut tasks = vec![tokio::spawn(server::serve(listener, router, shared.switch.clone()))];
        let client = Client::new(shared.settings.token.clone());
        let current = shared.clone();
        let seeds = &shared.settings.announce;
        tasks.extend(announce::start(seeds, client, move || current.announcement()));
        Ok(Service { address, shared, tasks })
    }

    /// Returns the listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns a copy of the record.
    pub fn record(&self) -> Record {
        self.shared.inner.lock().recorder.snapshot()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.injector.set(faults);
    }

    /// Announces that the service leaves and waits until no call is in progress.
    pub async fn leave(&self) {
        self.shared.inner.lock().leaving = true;
        let shared = &self.shared;
        let settings = &shared.settings;
        let client = Client::new(settings.token.clone());
        let busy = || !shared.state().running.is_empty();
        let announcement = shared.announcement();
        announce::leave(&settings.announce, client, announcement, settings.linger, busy).await;
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/v1/state", get(read_state))
        .route("/control/record", get(read_record).delete(reset_record))
        .route("/control/faults", post(set_faults).get(read_faults))
        .route("/control/leave", post(leave))
        .fallback(call)
        .with_state(shared)
}

async fn call(
    State(shared): State<Arc<Shared>>,
    Extension(connection): Extension<Connection>,
    request: Request,
) -> Response {
    if shared.injector.faults().deaf {
        std::future::pending::<()>().await;
    }
    let (parts, body) = request.into_parts();
    let Ok(body) = body.collect().await else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let fence = header_number(&parts.headers, header::FENCE);
    if let Err(reason) = shared.admit(fence) {
        return refusal(reason);
    }
    let call = format!("{} {}", parts.method, parts.uri);
    let receipt = shared.begin(call, &parts.headers, fence, &body.to_bytes());
    let late = shared.injector.should_inject(|faults| faults.late_percent);
    let delay = if late { shared.injector.faults().late_ms } else { 0 };
    let guard = Guard { shared: &shared, number: receipt.run, end: Status::Cancelled };
    tokio::time::sleep(shared.settings.call_time + Duration::from_millis(delay)).await;
    if shared.injector.should_inject(|faults| faults.hang_percent) {
        guard.finish(Status::Cut);
        std::future::pending::<()>().await;
    } else if shared.injector.should_inject(|faults| faults.cut_percent) {
        guard.finish(Status::Cut);
        connection.reset();
        std::future::pending::<()>().await;
    } else {
        guard.finish(Status::Complete);
    }
    let id = receipt.request.to_string();
    ([(header::REQUEST, id)], Json(receipt)).into_response()
}

async fn read_state(State(shared): State<Arc<Shared>>) -> Json<endpoint::State> {
    if shared.injector.faults().deaf {
        std::future::pending::<()>().await;
    }
    Json(shared.state())
}

async fn read_record(State(shared): State<Arc<Shared>>) -> Json<Record> {
    Json(shared.inner.lock().recorder.snapshot())
}

async fn reset_record(State(shared): State<Arc<Shared>>) {
    shared.inner.lock().recorder.reset();
}

async fn read_faults(State(shared): State<Arc<Shared>>) -> Json<Faults> {
    Json(shared.injector.faults())
}

async fn set_faults(State(shared): State<Arc<Shared>>, Json(faults): Json<Faults>) {
    shared.injector.set(faults);
}

async fn leave(State(shared): State<Arc<Shared>>) {
    shared.inner.lock().leaving = true;
}

impl Shared {
    fn admit(&self, fence: u64) -> Result<(), Reason> {
        if self.injector.faults().refuse {
            return Err(Reason::Busy);
        }
        let mut inner = self.inner.lock();
        if fence != 0 && fence < inner.fence && self.settings.fenced {
            return Err(Reason::StaleFence);
        }
        inner.fence = inner.fence.max(fence);
        if inner.recorder.running().count() >= self.settings.batch as usize {
            inner.recorder.totals().busy += 1;
            return Err(Reason::Busy);
        }
        Ok(())
    }

    /// Records the start of a call; from here on the call counts as run.
    fn begin(&self, call: String, headers: &HeaderMap, fence: u64, body: &Bytes) -> Receipt {
        let request = header_text(headers, header::REQUEST).unwrap_or_default();
        let key = header_text(headers, header::IDEMPOTENCY_KEY);
        let digest = base::digest(body);
        let start =
            Start { request: request.clone(), model: None, key: key.clone(), digest, fence };
        let number = self.inner.lock().recorder.begin(start);
        let service = self.settings.name.clone();
        Receipt { service, request, key, call, digest, run: number }
    }

    fn state(&self) -> endpoint::State {
        let inner = self.inner.lock();
        let running = inner
            .recorder
            .running()
            .map(|run| Running { request: run.request.clone(), model: None });
        endpoint::State {
            generation: self.generation,
            loaded: Vec::new(),
            running: running.collect(),
            waiting: 0,
        }
    }

    fn announcement(&self) -> Option<Announcement> {
        if self.injector.faults().silent {
            return None;
        }
        let role =
            view::Role::Service { kind: self.settings.kind.clone(), batch: self.settings.batch };
        let endpoint = view::Endpoint {
            name: self.settings.name.clone(),
            address: self.address.clone(),
            host: self.settings.host.clone(),
            domain: self.settings.domain.clone(),
            role,
            fenced: self.settings.fenced,
            generation: self.generation,
        };
        let leaving = self.inner.lock().leaving;
        Some(Announcement { endpoint, state: self.state(), leaving })
    }
}

/// Records the end of a run when dropped, also if its caller closed the connection.
struct Guard<'a> {
    shared: &'a Shared,
    number: u64,
    end: Status,
}

impl Guard<'_> {
    fn finish(mut self, end: Status) {
        self.end = end;
    }
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        self.shared.inner.lock().recorder.end(self.number, self.end);
    }
}

/// Returns the address to announce.
pub(crate) fn advertised(advertise: &Option<Name>, address: SocketAddr) -> Name {
    advertise.clone().unwrap_or_else(|| Name::from(address.to_string()))
}

pub(crate) fn refusal(error: Reason) -> Response {
    let status = match error {
        Reason::BadRequest => StatusCode::BAD_REQUEST,
        _ => StatusCode::CONFLICT,
    };
    (status, Json(Fault { error, message: String::new() })).into_response()
}

pub(crate) fn header_text(headers: &HeaderMap, name: &str) -> Option<Name> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(Name::from)
}

pub(crate) fn header_number(headers: &HeaderMap, name: &str) -> u64 {
    header_text(headers, name).and_then(|text| text.parse().ok()).unwrap_or_default()
}
