//! A pool of HTTP connections to endpoints, which go through other gates while this gate is cut off from the endpoints.

use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base::Map;
use base::Name;
use bytes::Bytes;
use fleet::endpoint::Endpoint;
use fleet::tunnel::Answer;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use rand::seq::IteratorRandom;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::path::Path;
use crate::peers::Peers;
use crate::settings::CONNECT_TIMEOUT;
use crate::settings::DEFAULT_IDLE_TIMEOUT;
use crate::settings::IDLE_TIMEOUT_SHARE;
use crate::settings::MAX_HEAD_BYTES;
use crate::settings::MAX_TUNNEL_TRIES;
use crate::settings::Settings;
use crate::settings::TUNNEL_DELAY;
use crate::tunnel;
use crate::view::View;

/// The most idle connections per endpoint.
const MAX_IDLE_CONNECTIONS: usize = 64;
/// The interval at which the time of the next probe of a lost path is checked.
const PROBE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The sending side of a connection.
#[derive(Debug)]
pub(crate) struct Sender {
    sender: SendRequest<Full<Bytes>>,
    /// The gate through which the connection goes, if any.
    pub(crate) via: Option<SocketAddr>,
}

impl Sender {
    pub(crate) async fn try_send_request(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.sender.try_send_request(request).await
    }
}

/// An idle connection.
#[derive(Debug)]
struct Idle {
    sender: Sender,
    expires: Instant,
}

/// HTTP connections to endpoints.
#[derive(Debug)]
pub(crate) struct Pool {
    ip: IpAddr,
    view: Arc<View>,
    pub(crate) path: Path,
    pub(crate) peers: Peers,
    idle: Mutex<Map<Name, Vec<Idle>>>,
}

impl Pool {
    pub(crate) fn new(settings: &Settings, view: &Arc<View>) -> Pool {
        Pool {
            ip: settings.ip,
            view: view.clone(),
            path: Path::default(),
            peers: Peers::new(settings.domain.clone(), settings.tunnels.port()),
            idle: Mutex::default(),
        }
    }

    /// Takes an idle connection that is open and has not expired; `None` if there is none.
    pub(crate) fn take(&self, endpoint: &Endpoint) -> Option<Sender> {
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(&endpoint.id)?;
        let now = Instant::now();
        while let Some(Idle { sender, expires }) = connections.pop() {
            if now < expires && sender.sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    /// Opens a connection.
    pub(crate) async fn open(self: &Arc<Pool>, endpoint: &Endpoint) -> io::Result<Sender> {
        self.open_watched(endpoint).await.map(|(sender, _)| sender)
    }

    /// Opens a connection; the task ends when the connection is closed. An error of kind `ConnectionRefused` was
    /// confirmed by another gate, unless none is available.
    pub(crate) async fn open_watched(
        self: &Arc<Pool>,
        endpoint: &Endpoint,
    ) -> io::Result<(Sender, JoinHandle<()>)> {
        if self.path.needs_tunnel()
            && let Some(tunnel) = self.open_tunnel(endpoint).await
        {
            return tunnel;
        }
        let direct = self.open_direct(endpoint);
        tokio::pin!(direct);
        if let Ok(opened) = tokio::time::timeout(TUNNEL_DELAY, &mut direct).await {
            return match opened {
                Ok(connection) => Ok(connection),
                Err(error) => self.open_tunnel_after(endpoint, error).await,
            };
        }
        let tunnel = self.open_tunnel(endpoint);
        tokio::pin!(tunnel);
        tokio::select! {
            opened = &mut direct => match opened {
                Ok(connection) => Ok(connection),
                Err(error) => tunnel.await.unwrap_or(Err(error)),
            },
            opened = &mut tunnel => match opened {
                Some(Ok(connection)) => {
                    self.record_failure(endpoint);
                    Ok(connection)
                }
                Some(Err(_)) | None => direct.await,
            },
        }
    }

    async fn open_direct(
        self: &Arc<Pool>,
        endpoint: &Endpoint,
    ) -> io::Result<(Sender, JoinHandle<()>)> {
        let connected = link::connect(self.ip, endpoint.address, CONNECT_TIMEOUT).await;
        match connected {
            Ok(stream) => handshake(stream, None).await,
            Err(error) => {
                self.record_failure(endpoint);
                Err(error)
            }
        }
    }

    /// Opens a connection through another gate after a failure of a direct one, which stands if there is no other gate.
    async fn open_tunnel_after(
        &self,
        endpoint: &Endpoint,
        error: io::Error,
    ) -> io::Result<(Sender, JoinHandle<()>)> {
        self.open_tunnel(endpoint).await.unwrap_or(Err(error))
    }

    /// Opens a connection through another gate; `None` if no gate is available.
    async fn open_tunnel(
        &self,
        endpoint: &Endpoint,
    ) -> Option<io::Result<(Sender, JoinHandle<()>)>> {
        for peer in self.peers.choose(MAX_TUNNEL_TRIES, self.view.now()) {
            match tunnel::open(self.ip, peer, endpoint).await {
                Ok((Answer::Opened, stream)) => return Some(handshake(stream, Some(peer)).await),
                Ok((Answer::Refused, _)) => {
                    return Some(Err(io::Error::from(io::ErrorKind::ConnectionRefused)));
                }
                Ok((Answer::Unreachable, _)) => {
                    return Some(Err(io::Error::from(io::ErrorKind::TimedOut)));
                }
                Ok((Answer::Unavailable, _)) | Err(_) => self.peers.avoid(peer, self.view.now()),
            }
        }
        None
    }

    /// Records that an endpoint could not be reached directly. When that makes the path count as lost, closes the silent
    /// idle connections and starts to probe the path.
    pub(crate) fn record_failure(self: &Arc<Pool>, endpoint: &Endpoint) {
        let now = self.view.now();
        if !self.path.record_failure(&endpoint.id, now) {
            return;
        }
        if now >= self.path.succeeded_at() + CONNECT_TIMEOUT {
            for connections in self.idle.lock().values_mut() {
                connections.retain(|idle| idle.sender.via.is_some());
            }
        }
        tokio::spawn(self.clone().probe_path());
    }

    /// Connects to endpoints at random, with a backoff, until one accepts.
    async fn probe_path(self: Arc<Pool>) {
        while self.path.is_lost() {
            tokio::time::sleep(PROBE_CHECK_INTERVAL).await;
            if !self.path.take_probe(self.view.now()) {
                continue;
            }
            let endpoints = self.view.endpoints();
            let Some(endpoint) = endpoints.values().choose(&mut rand::rng()) else { continue };
            if link::connect(self.ip, endpoint.address, CONNECT_TIMEOUT).await.is_ok() {
                self.path.allow_trial();
            }
        }
    }

    /// Returns a connection to the pool after its response was read in full; `idle_timeout` is the one that
    /// the endpoint announced. The connection is closed if the pool is full.
    pub(crate) fn put(&self, endpoint: &Name, sender: Sender, idle_timeout: Option<Duration>) {
        let timeout = idle_timeout
            .map_or(DEFAULT_IDLE_TIMEOUT, |timeout| timeout.mul_f64(IDLE_TIMEOUT_SHARE));
        let expires = Instant::now() + timeout;
        let mut idle = self.idle.lock();
        let connections = idle.entry(endpoint.clone()).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(Idle { sender, expires });
        }
    }

    /// Closes the idle connections to endpoints for which `known` returns false.
    pub(crate) fn retain(&self, known: impl Fn(&Name) -> bool) {
        self.idle.lock().retain(|id, _| known(id));
    }
}

async fn handshake(
    stream: impl AsyncRead + AsyncWrite + Send + Unpin + 'static,
    via: Option<SocketAddr>,
) -> io::Result<(Sender, JoinHandle<()>)> {
    let handshake =
        http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(io::Error::other)?;
    // Errors of the connection are reported to the request that uses it.
    let closed = tokio::spawn(async move { drop(connection.await) });
    Ok((Sender { sender, via }, closed))
}
