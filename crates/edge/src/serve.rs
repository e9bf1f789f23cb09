//! Accepts and serves callers' connections.

use std::convert::Infallible;
use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use base::Event;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::gate::Gate;
use crate::protocol::Protocol;

/// The smallest limit for a request head, in bytes.
const MIN_HEAD_BYTES: usize = 8 << 10;
/// The pause after a failed accept, for example when file descriptors run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Accepts callers until the gate shuts down, then waits for the open connections to end.
pub(crate) async fn run<P: Protocol>(gate: Arc<Gate<P>>, listener: TcpListener) -> io::Result<()> {
    let connections = tokio_util::task::TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = gate.shutdown.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => drop(connections.spawn(serve_connection(gate.clone(), stream))),
            Err(error) => {
                base::event!(ERROR, Event::Fault, error = %error, "failed to accept a connection");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
    drop(listener);
    connections.close();
    connections.wait().await;
    Ok(())
}

async fn serve_connection<P: Protocol>(gate: Arc<Gate<P>>, stream: TcpStream) {
    if link::set_options(&stream).is_err() {
        return;
    }
    let limits = gate.view.table().map(|table| table.plan().limits.clone()).unwrap_or_default();
    let shutdown = gate.shutdown.clone();
    let service = service_fn(move |request| {
        let gate = gate.clone();
        async move { Ok::<_, Infallible>(gate.handle(request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // The timer starts when the previous response ends, so it also bounds idle connections.
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.header_bytes.max(MIN_HEAD_BYTES) * 2)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    // Connection errors are caused by the caller, or were logged when the relayed response failed.
    tokio::select! {
        ended = connection.as_mut() => drop(ended),
        () = shutdown.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await.ok();
        }
    }
}
