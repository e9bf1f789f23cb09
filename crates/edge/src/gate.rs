//! A running gate.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;

use base::Event;
use base::Name;
use fleet::message::Hello;
use fleet::revision::Revision;
use meter::Meter;
use parking_lot::Mutex;
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::budget::Budget;
use crate::charging;
use crate::keepers::Keepers;
use crate::metrics::Metrics;
use crate::pool::Pool;
use crate::protocol::Protocol;
use crate::serve;
use crate::settings::FLUSH_TIME;
use crate::settings::Settings;
use crate::tunnel;
use crate::upload;
use crate::view::View;

/// A running gate.
#[derive(Debug)]
pub struct Gate<P> {
    pub(crate) settings: Settings,
    pub(crate) protocol: P,
    pub(crate) view: Arc<View>,
    pub(crate) pool: Arc<Pool>,
    pub(crate) keepers: Arc<Keepers>,
    pub(crate) budget: Mutex<Budget>,
    pub(crate) metrics: Metrics,
    pub(crate) body_memory: Arc<upload::Memory>,
    /// Cancelled when the listener and idle connections are to be closed; requests in progress continue.
    pub(crate) shutdown: CancellationToken,
    /// When the grace period ends, once the gate has been asked to stop.
    pub(crate) end: OnceLock<Instant>,
    /// Cancelled at the end of the grace period, when requests in progress are to be answered.
    pub(crate) ended: CancellationToken,
}

impl<P: Protocol> Gate<P> {
    /// Creates a gate and connects it to the keepers. Requests are accepted by [`Gate::serve`].
    pub fn start(settings: Settings, protocol: P, meter: &Meter) -> Arc<Gate<P>> {
        let view = Arc::new(View::new());
        let pool = Arc::new(Pool::new(&settings, &view));
        let hello = Hello {
            node: settings.node.clone(),
            incarnation: rand::random(),
            domain: settings.domain.clone(),
            front: Some(Name::from(settings.front.to_string())),
            accepting: true,
            revision: Revision::CURRENT,
        };
        let keepers = Keepers::new(&view, &pool, hello, settings.keepers.clone());
        keepers.start();
        let metrics = Metrics::new(meter);
        tokio::spawn(charging::return_credit(keepers.clone(), metrics.clone()));
        let budget = Budget::new(settings.retries);
        Arc::new(Gate {
            protocol,
            view,
            pool,
            keepers,
            budget: Mutex::new(budget),
            metrics,
            body_memory: upload::Memory::new(settings.body_memory),
            shutdown: CancellationToken::new(),
            end: OnceLock::new(),
            ended: CancellationToken::new(),
            settings,
        })
    }

    /// Accepts callers until [`Gate::stop`] shuts the gate down, then waits for the open connections to end.
    pub async fn serve(self: Arc<Gate<P>>, listener: TcpListener) -> io::Result<()> {
        serve::run(self, listener).await
    }

    /// Accepts tunnels of other gates until [`Gate::stop`] shuts the gate down.
    pub async fn serve_tunnels(self: Arc<Gate<P>>, listener: TcpListener) {
        tunnel::serve(self, listener).await;
    }

    /// Connects to further keepers.
    pub fn add_keepers(&self, keepers: &[SocketAddr]) {
        self.keepers.add_seeds(keepers);
    }

    /// Returns whether the gate can serve requests.
    pub fn is_ready(&self) -> bool {
        self.view.is_ready()
    }

    /// Drains the gate: notifies the keepers that it accepts no more callers, continues to serve for the drain
    /// time, then closes the listener and idle connections. Answers what is still in progress at the end of the grace
    /// period. Returns when the process should exit, [`FLUSH_TIME`] later.
    pub async fn stop(&self) {
        base::event!(INFO, Event::Stopping, node = %self.settings.node);
        let end = *self.end.get_or_init(|| Instant::now() + self.settings.grace);
        self.view.set_draining();
        self.keepers.drain();
        tokio::time::sleep(self.settings.drain).await;
        self.shutdown.cancel();
        tokio::time::sleep_until(end).await;
        self.ended.cancel();
        tokio::time::sleep(FLUSH_TIME).await;
    }

    /// Returns whether the gate ends before `deadline`, so that a request with it might run in vain.
    pub(crate) fn ends_before(&self, deadline: Instant) -> bool {
        self.end.get().is_some_and(|end| *end < deadline)
    }
}
