//! Startup and graceful shutdown of a gate.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::Router;
use base::Event;
use base::Name;
use blackboard::Abandoned;
use blackboard::Board;
use conf::Config;
use conf::Entry;
use tokio::net::TcpListener;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::admin;
use crate::caller;
use crate::cancel;
use crate::context::Context;
use crate::loader;
use crate::peer;
use crate::probe;
use crate::relay;
use crate::session;
use crate::summary;
use crate::sweep;

/// The time for which a gate that shuts down keeps serving after callers have discarded its cached address.
const ADDRESS_CACHE_MARGIN: Duration = Duration::from_millis(1_000);
/// The time between two checks for claims in progress.
const CLAIM_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The timeout for connections to close after the last request.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// An error that prevents the start of a gate.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings contain no entry for the host.
    #[error("the settings have no entry for the host '{0}'")]
    Host(Name),
    /// A listener could not be bound to an address.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: Name,
        /// The cause.
        source: io::Error,
    },
    /// The settings require TLS, which this version does not support.
    #[error("tls: this version serves plain HTTP only; remove the setting to serve without TLS")]
    Tls,
    /// A metric could not be registered.
    #[error("cannot register metrics: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// A gate with bound listeners.
pub struct Gate {
    context: Arc<Context>,
    abandoned: UnboundedReceiver<Abandoned>,
    callers: TcpListener,
    peers: TcpListener,
    relays: TcpListener,
    operators: TcpListener,
}

impl Gate {
    /// Binds listeners to the addresses of `host`; the port 0 is replaced by a free port.
    pub async fn bind(config: Config, host: &str) -> Result<Gate, Error> {
        let entry = config.entry(host).ok_or_else(|| Error::Host(Name::from(host)))?;
        let mut entry = entry.clone();
        if config.tls.is_some() {
            return Err(Error::Tls);
        }
        let callers = listen(&mut entry.gate).await?;
        let peers = listen(&mut entry.peer).await?;
        let relays = listen(&mut entry.relay).await?;
        let operators = listen(&mut entry.gate_admin).await?;
        let liveness_timeout = Duration::from_millis(config.timing.silent_ms);
        let (board, abandoned) =
            Board::new(entry.host.clone(), liveness_timeout, config.timing.lease_timeout());
        board.lease.lock().incarnation = session::new_incarnation();
        let context = Arc::new(Context::new(config, entry, board)?);
        Ok(Gate { context, abandoned, callers, peers, relays, operators })
    }

    /// Returns the entry with the addresses of the listeners.
    pub fn entry(&self) -> &Entry {
        &self.context.entry
    }

    /// Serves until `stop` completes, then drains: requests in progress are completed.
    pub async fn run(self, stop: impl Future<Output = ()>) {
        let context = self.context;
        let closing = CancellationToken::new();
        let servers = vec![
            serve_http(self.callers, caller::router(Arc::clone(&context)), &closing),
            serve_http(self.relays, relay::router(Arc::clone(&context)), &closing),
            serve_http(self.operators, admin::router(Arc::clone(&context)), &closing),
        ];
        let session = tokio::spawn(session::run(Arc::clone(&context)));
        let controllers = vec![
            tokio::spawn(peer::run(Arc::clone(&context), self.peers)),
            tokio::spawn(summary::run(Arc::clone(&context))),
            tokio::spawn(probe::run(Arc::clone(&context))),
            tokio::spawn(cancel::run(Arc::clone(&context), self.abandoned)),
            tokio::spawn(loader::run(Arc::clone(&context))),
            tokio::spawn(sweep::run(Arc::clone(&context))),
        ];
        base::event!(INFO, Event::Started, host = %context.entry.host);
        stop.await;
        drain(&context).await;
        session.abort();
        session::release(&context).await;
        context.admission.idle().await;
        closing.cancel();
        tokio::time::timeout(CLOSE_TIMEOUT, futures::future::join_all(servers)).await.ok();
        for controller in controllers {
            controller.abort();
        }
        base::event!(INFO, Event::Stopped, host = %context.entry.host);
    }
}

async fn listen(address: &mut Name) -> Result<TcpListener, Error> {
    let failed = |source| Error::Listen { address: address.clone(), source };
    let listener = TcpListener::bind(address.as_str()).await.map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    *address = Name::from(bound.to_string());
    Ok(listener)
}

fn serve_http(
    listener: TcpListener,
    router: Router,
    closing: &CancellationToken,
) -> JoinHandle<()> {
    let closing = closing.clone();
    let service = router.into_make_service_with_connect_info::<SocketAddr>();
    let listener = axum::serve::ListenerExt::tap_io(listener, |stream| {
        stream.set_nodelay(true).ok();
    });
    tokio::spawn(async move {
        let served =
            axum::serve(listener, service).with_graceful_shutdown(closing.cancelled_owned()).await;
        if let Err(error) = served {
            base::event!(ERROR, Event::Fault, %error);
        }
    })
}

/// Removes this gate from the addresses for callers, waits until no caller uses them any more, refuses new
/// requests and waits for the claims in progress.
///
/// Requests relayed by other gates are accepted until the lease is released, because the endpoints have no
/// other owner before then. Keys are not claimed any more, because a claim must end under the same lease.
async fn drain(context: &Context) {
    base::event!(INFO, Event::Stopping, host = %context.entry.host);
    context.draining.store(true, Ordering::Relaxed);
    let cached = Duration::from_millis(context.config.timing.addresses_ms);
    tokio::time::sleep(cached + ADDRESS_CACHE_MARGIN).await;
    context.refusing.store(true, Ordering::Relaxed);
    while !context.claims.lock().is_empty() {
        tokio::time::sleep(CLAIM_POLL_INTERVAL).await;
    }
}
