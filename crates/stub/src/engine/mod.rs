//! A stand-in for a model engine: batches, adapter slots, orders, recorded runs.

mod admission;
mod batch;
mod control;
mod generate;
mod order;
mod prefix;
mod request;
mod shared;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::routing::delete;
use axum::routing::get;
use axum::routing::post;
use base::Name;
use tokio::net::TcpListener;

use crate::announce;
use crate::client::Client;
use crate::engine::shared::Shared;
use crate::fault::Faults;
use crate::record::Record;
use crate::server;

/// How an engine behaves.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its name.
    pub name: Name,
    /// The host that it runs on.
    pub host: Name,
    /// The failure domain of the host.
    pub domain: Name,
    /// The base model.
    pub base: Name,
    /// The gates to announce to; none announces nothing.
    pub announce: Vec<Name>,
    /// The address to announce, where it is not the one it listens on.
    pub advertise: Option<Name>,
    /// The adapters it holds at once.
    pub slots: u32,
    /// The requests of a full batch.
    pub batch: u32,
    /// The requests that may wait for the batch.
    pub queue: u32,
    /// The address of the weight store; without one a load takes `load`.
    pub store: Option<Name>,
    /// How long a load takes without a store.
    pub load: Duration,
    /// Whether it refuses old fencing numbers.
    pub fenced: bool,
    /// The body text that crashes it.
    pub poison: Option<String>,
    /// How long it is down after a crash.
    pub down: Duration,
    /// The time to the first token and between tokens.
    pub latency: Latency,
    /// The least time between saying that it leaves and leaving.
    pub linger: Duration,
    /// What it sends gates as `Authorization: Bearer`.
    pub token: Option<Name>,
    /// The faults to begin with.
    pub faults: Faults,
    /// The seed of the faults.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            name: Name::from("engine-1"),
            host: Name::from("engine-host-1"),
            domain: Name::from("a"),
            base: Name::from("base"),
            announce: Vec::new(),
            advertise: None,
            slots: 6,
            batch: 16,
            queue: 16,
            store: None,
            load: Duration::from_millis(250),
            fenced: true,
            poison: None,
            down: Duration::from_millis(500),
            latency: Latency::default(),
            linger: Duration::ZERO,
            token: None,
            faults: Faults::default(),
            seed: 1,
        }
    }
}

/// The time to the first token and between tokens: a base and a part for each running request.
#[derive(Clone, Debug, PartialEq)]
pub struct Latency {
    /// The time to the first token without other requests, in milliseconds.
    pub first_token_ms: f64,
    /// What each running request adds to it, in milliseconds.
    pub first_token_per_request_ms: f64,
    /// The time between tokens without other requests, in milliseconds.
    pub token_ms: f64,
    /// What each running request adds to it, in milliseconds.
    pub token_per_request_ms: f64,
    /// The share of the time to the first token that is left when the prefix is cached, in percent.
    pub cached_prefix_percent: u8,
}

impl Default for Latency {
    fn default() -> Latency {
        Latency {
            first_token_ms: 60.0,
            first_token_per_request_ms: 4.0,
            token_ms: 20.0,
            token_per_request_ms: 1.0,
            cached_prefix_percent: 50,
        }
    }
}

/// A running engine; it stops when dropped.
pub struct Engine {
    address: SocketAddr,
    shared: Arc<Shared>,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Engine {
    /// Starts an engine on a listener.
    pub fn start(listener: TcpListener, settings: Settings) -> io::Result<Engine> {
        let address = listener.local_addr()?;
        let advertised = crate::service::advertised(&settings.advertise, address);
        let shared = Arc::new(Shared::new(settings, advertised));
        let router = router(shared.clone());
        let mut tasks = vec![tokio::spawn(server::serve(listener, router, shared.switch.clone()))];
        let client = Client::new(shared.settings.token.clone());
        let current = shared.clone();
        let seeds = &shared.settings.announce;
        tasks.extend(announce::start(seeds, client, move || current.announcement()));
        Ok(Engine { address, shared, tasks })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns what it saw.
    pub fn record(&self) -> Record {
        self.shared.inner.lock().recorder.snapshot()
    }

    /// Replaces its faults.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.injector.set(faults);
    }

    /// Restarts it cold: requests are cut, nothing is loaded, and it is down for a time.
    pub fn restart(&self, down: Duration) {
        self.shared.clone().restart(down);
    }

    /// Tells a gate that it leaves and waits until no request is in progress.
    pub async fn leave(&self) {
        self.shared.inner.lock().leaving = true;
        let shared = &self.shared;
        let settings = &shared.settings;
        let client = Client::new(settings.token.clone());
        let busy = || shared.in_progress() > 0;
        let announcement = shared.announcement();
        announce::leave(&settings.announce, client, announcement, settings.linger, busy).await;
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

fn router(shared: Arc<Shared>) -> Router {
    let face = Router::new()
        .route("/v1/completions", post(generate::completions))
        .route("/v1/chat/completions", post(generate::chat))
        .route("/v1/requests/{id}", delete(control::cancel))
        .route("/v1/orders", post(order::order))
        .route("/v1/state", get(control::state))
        .layer(axum::middleware::from_fn_with_state(shared.clone(), control::deaf));
    let control = Router::new()
        .route("/control/record", get(control::read_record).delete(control::reset_record))
        .route("/control/faults", get(control::read_faults).post(control::set_faults))
        .route("/control/restart", post(control::restart))
        .route("/control/leave", post(control::leave));
    face.merge(control).with_state(shared)
}
