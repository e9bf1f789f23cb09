//! An HTTP server whose connections can be reset, as when a process crashes.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use axum::Extension;
use axum::Router;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::server::conn::auto;
use hyper_util::service::TowerToHyperService;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Resets the connections of a server and takes the server down and up.
#[derive(Clone, Debug)]
pub struct Switch {
    state: Arc<watch::Sender<State>>,
}

/// The state that a [`Switch`] sends to connections.
#[derive(Clone, Copy, Debug, Default)]
struct State {
    /// Incremented by each reset; a connection of an older epoch is reset.
    epoch: u64,
    /// Whether new connections are reset immediately.
    down: bool,
}

impl Default for Switch {
    fn default() -> Switch {
        Switch { state: Arc::new(watch::Sender::new(State::default())) }
    }
}

impl Switch {
    /// Resets all connections except those marked with [`Connection::keep_open`].
    pub fn reset(&self) {
        self.state.send_modify(|state| state.epoch += 1);
    }

    /// Sets whether new connections are reset immediately.
    pub fn set_down(&self, down: bool) {
        self.state.send_modify(|state| state.down = down);
    }

    /// Returns whether new connections are reset immediately.
    pub fn is_down(&self) -> bool {
        self.state.borrow().down
    }
}

/// The connection on which a request arrived.
#[derive(Clone, Debug, Default)]
pub struct Connection {
    keep_open: Arc<AtomicBool>,
    reset: Arc<tokio::sync::Notify>,
}

impl Connection {
    /// Exempts the connection from [`Switch::reset`].
    pub fn keep_open(&self) {
        self.keep_open.store(true, Ordering::Relaxed);
    }

    /// Resets the connection immediately.
    pub fn reset(&self) {
        self.reset.notify_one();
    }
}

/// Accepts connections until the future is dropped; open connections continue.
pub async fn serve(listener: TcpListener, router: Router, switch: Switch) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::task::yield_now().await;
            continue;
        };
        if switch.is_down() {
            set_reset_on_close(&stream);
            continue;
        }
        // Subscribes before the first byte is read, so that no reset is missed.
        let resets = switch.state.subscribe();
        let epoch = resets.borrow().epoch;
        tokio::spawn(serve_connection(stream, router.clone(), resets, epoch));
    }
}

async fn serve_connection(
    stream: TcpStream,
    router: Router,
    resets: watch::Receiver<State>,
    epoch: u64,
) {
    stream.set_nodelay(true).ok();
    let connection = Connection::default();
    let abort = Arc::new(AtomicBool::new(false));
    let io = TokioIo::new(Stream { inner: stream, abort: abort.clone() });
    let service = TowerToHyperService::new(router.layer(Extension(connection.clone())));
    let builder = auto::Builder::new(TokioExecutor::new());
    let serving = builder.serve_connection(io, service);
    tokio::pin!(serving);
    tokio::select! {
        _ = &mut serving => return,
        () = reset_requested(resets, epoch, &connection) => {}
        () = connection.reset.notified() => {}
    }
    abort.store(true, Ordering::Relaxed);
}

/// Waits for a reset that applies to the connection.
async fn reset_requested(
    mut resets: watch::Receiver<State>,
    mut epoch: u64,
    connection: &Connection,
) {
    while resets.changed().await.is_ok() {
        let now = resets.borrow_and_update().epoch;
        if now != epoch && !connection.keep_open.load(Ordering::Relaxed) {
            return;
        }
        epoch = now;
    }
    std::future::pending::<()>().await;
}

fn set_reset_on_close(stream: &TcpStream) {
    stream.set_zero_linger().ok();
}

/// A TCP stream that is closed with a reset if `abort` is set.
struct Stream {
    inner: TcpStream,
    abort: Arc<AtomicBool>,
}

impl Drop for Stream {
    fn drop(&mut self) {
        if self.abort.load(Ordering::Relaxed) {
            set_reset_on_close(&self.inner);
        }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
