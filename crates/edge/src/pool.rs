//! Kept connections to endpoints.

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
use tokio::time::Instant;

use crate::settings::CONNECT;
use crate::settings::IDLE;
use crate::settings::IDLE_SHARE;

/// The connections kept for one endpoint.
const KEPT: usize = 64;

/// The sending side of a connection.
pub(crate) type Sender = SendRequest<Full<Bytes>>;

/// A connection that is not in use.
#[derive(Debug)]
struct Idle {
    sender: Sender,
    until: Instant,
}

/// Kept connections to endpoints.
#[derive(Debug)]
pub(crate) struct Pool {
    ip: IpAddr,
    idle: Mutex<Map<Name, Vec<Idle>>>,
}

impl Pool {
    pub(crate) fn new(ip: IpAddr) -> Pool {
        Pool { ip, idle: Mutex::default() }
    }

    /// Returns a kept connection that is open.
    pub(crate) fn take(&self, endpoint: &Endpoint) -> Option<Sender> {
        let mut idle = self.idle.lock();
        let kept = idle.get_mut(&endpoint.id)?;
        let now = Instant::now();
        while let Some(Idle { sender, until }) = kept.pop() {
            if now < until && sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    /// Opens a connection.
    pub(crate) async fn open(&self, endpoint: &Endpoint) -> std::io::Result<Sender> {
        let stream = link::connect(self.ip, endpoint.address, CONNECT).await?;
        let shaken = http1::Builder::new().handshake(TokioIo::new(stream)).await;
        let (sender, connection) = shaken.map_err(std::io::Error::other)?;
        // What goes wrong on the connection is told to the request that uses it.
        tokio::spawn(async move { connection.await.ok() });
        Ok(sender)
    }

    /// Keeps a connection whose answer was read to its end; `idle` is what the endpoint allows.
    pub(crate) fn keep(&self, endpoint: &Name, sender: Sender, idle: Option<Duration>) {
        let limit = idle.map_or(IDLE, |idle| idle.mul_f64(IDLE_SHARE));
        let until = Instant::now() + limit;
        let mut pool = self.idle.lock();
        let kept = pool.entry(endpoint.clone()).or_default();
        if kept.len() < KEPT {
            kept.push(Idle { sender, until });
        }
    }

    /// Closes the connections to endpoints that are not `known`.
    pub(crate) fn retain(&self, known: impl Fn(&Name) -> bool) {
        self.idle.lock().retain(|id, _| known(id));
    }
}
