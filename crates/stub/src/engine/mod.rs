//! A stub of a model engine: batching, adapter slots, orders and a record of runs.

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

/// The settings of an engine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of the endpoint.
    pub name: Name,
    /// The host that it announces.
    pub host: Name,
    /// The failure domain of the host.
    pub domain: Name,
    /// The base model.
    pub base: Name,
    /// The gates to announce to; if empty, the engine does not announce itself.
    pub announce: Vec<Name>,
    /// The address to announce, if different from the listening address.
    pub advertise: Option<Name>,
    /// The number of adapter slots.
    pub slots: u32,
    /// The batch capacity, in requests.
    pub batch: u32,
    /// The queue capacity, in requests that wait for the batch.
    pub queue: u32,
    /// The address of the weight store; without one, a load takes `load_time`.
    pub store: Option<Name>,
    /// The duration of a load without a store.
    pub load_time: Duration,
    /// Whether it refuses stale fencing tokens.
    pub fenced: bool,
    /// A request whose body contains this text crashes the engine.
    pub poison: Option<String>,
    /// The time that it is unreachable after a crash.
    pub downtime: Duration,
    /// The simulated latency of generation.
    pub latency: Latency,
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
            load_time: Duration::from_millis(250),
            fenced: true,
            poison: None,
            downtime: Duration::from_millis(500),
            latency: Latency::default(),
            linger: Duration::ZERO,
            token: None,
            faults: Faults::default(),
            seed: 1,
        }
    }
}

/// Simulated latency: time to first token and time between tokens, each with a part that grows with the
/// number of requests in the batch.
#[derive(Clone, Debug, PartialEq)]
pub struct Latency {
    /// The base time to first token, in milliseconds.
    pub first_token_ms: f64,
    /// The increase of the time to first token per request in the batch, in milliseconds.
    pub first_token_per_request_ms: f64,
    /// The base time between tokens, in milliseconds.
    pub token_ms: f64,
    /// The increase of the time between tokens per request in the batch, in milliseconds.
    pub token_per_request_ms: f64,
    /// The time to first token with a cached prefix, in percent of the time without.
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

    /// Simulates a crash: requests are cut off, all adapters are unloaded, and connections are reset
    /// during `downtime`.
    pub fn restart(&self, downtime: Duration) {
        self.shared.clone().restart(downtime);
    }

    /// Announces that the engine leaves and waits until no request is in progress.
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
    let data = Router::new()
        .route("/v1/completions", post(generate::completions))
        .route("/v1/chat/completions", post(generate::chat))
        .route("/v1/requests/{id}", delete(control::cancel))
        .route("/v1/orders", post(order::order))
        .route("/v1/state", get(control::state))
        .layer(axum::middleware::from_fn_with_state(shared.clone(), control::hang_if_deaf));
    let control = Router::new()
        .route("/control/record", get(control::read_record).delete(control::reset_record))
        .route("/control/faults", get(control::read_faults).post(control::set_faults))
        .route("/control/restart", post(control::restart))
        .route("/control/leave", post(control::leave));
    data.merge(control).with_state(shared)
}
