//! Callers' connections.

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

use crate::dialect::Dialect;
use crate::gate::Gate;

/// The fewest bytes that must be set aside for a head.
const HEAD_BYTES: usize = 8 << 10;
/// The wait after a failure to accept, as when descriptors run out.
const ACCEPT_AGAIN: Duration = Duration::from_millis(50);

/// Takes callers until the connections are ended.
pub(crate) async fn run<D: Dialect>(gate: Arc<Gate<D>>, listener: TcpListener) -> io::Result<()> {
    let connections = tokio_util::task::TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = gate.ending.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => drop(connections.spawn(connection(gate.clone(), stream))),
            Err(error) => {
                base::event!(ERROR, Event::Fault, error = %error, "can't accept a connection");
                tokio::time::sleep(ACCEPT_AGAIN).await;
            }
        }
    }
    drop(listener);
    connections.close();
    connections.wait().await;
    Ok(())
}

async fn connection<D: Dialect>(gate: Arc<Gate<D>>, stream: TcpStream) {
    if link::set_options(&stream).is_err() {
        return;
    }
    let limits = gate.board.table().map(|table| table.plan().limits.clone()).unwrap_or_default();
    let ending = gate.ending.clone();
    let service = service_fn(move |request| {
        let gate = gate.clone();
        async move { Ok::<_, Infallible>(gate.handle(request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // The time counts from the end of the last answer, so it bounds idle connections too.
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.header_bytes.max(HEAD_BYTES) * 2)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    // Errors of a connection are the caller's doing or were logged where an answer broke off.
    tokio::select! {
        ended = connection.as_mut() => drop(ended),
        () = ending.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await.ok();
        }
    }
}
