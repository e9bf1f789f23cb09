//! A pool of idle HTTP connections to endpoints.

use std::net::IpAddr;
use std::time::Duration;

use base::Map;
use base::Name;
use bytes::Bytes;
use fleet::endpoint::Endpoint;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::settings::CONNECT_TIMEOUT;
use crate::settings::DEFAULT_IDLE_TIMEOUT;
use crate::settings::IDLE_TIMEOUT_SHARE;
use crate::settings::MAX_HEAD_BYTES;

/// The most idle connections per endpoint.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// The sending side of a connection.
pub(crate) type Sender = SendRequest<Full<Bytes>>;

/// An idle connection.
#[derive(Debug)]
struct Idle {
    sender: Sender,
    expires: Instant,
}

/// Idle HTTP connections to endpoints.
#[derive(Debug)]
pub(crate) struct Pool {
    ip: IpAddr,
    idle: Mutex<Map<Name, Vec<Idle>>>,
}

impl Pool {
    pub(crate) fn new(ip: IpAddr) -> Pool {
        Pool { ip, idle: Mutex::default() }
    }

    /// Takes an idle connection that is open and has not expired; `None` if there is none.
    pub(crate) fn take(&self, endpoint: &Endpoint) -> Option<Sender> {
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(&endpoint.id)?;
        let now = Instant::now();
        while let Some(Idle { sender, expires }) = connections.pop() {
            if now < expires && sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    /// Opens a connection.
    pub(crate) async fn open(&self, endpoint: &Endpoint) -> std::io::Result<Sender> {
        self.open_watched(endpoint).await.map(|(sender, _)| sender)
    }

    /// Opens a connection; the task ends when the connection is closed.
    pub(crate) async fn open_watched(
        &self,
        endpoint: &Endpoint,
    ) -> std::io::Result<(Sender, JoinHandle<()>)> {
        let stream = link::connect(self.ip, endpoint.address, CONNECT_TIMEOUT).await?;
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) = handshake.map_err(std::io::Error::other)?;
        // Errors of the connection are reported to the request that uses it.
        let closed = tokio::spawn(async move { drop(connection.await) });
        Ok((sender, closed))
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
