//! A TCP proxy between two keepers that can stop forwarding without closing connections.

use std::net::TcpListener;

use base::Name;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// The maximum number of bytes forwarded at once.
const CHUNK_BYTES: usize = 64 << 10;

/// A TCP proxy. While it is closed, connections stay open and nothing is forwarded.
pub(crate) struct Link {
    /// The address of the proxy, used instead of the target.
    pub(crate) address: Name,
    open: watch::Sender<bool>,
    _tasks: JoinSet<()>,
}

impl Link {
    /// Starts a proxy to `target`.
    pub(crate) fn start(target: Name) -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = Name::from(listener.local_addr().unwrap().to_string());
        let (open, state) = watch::channel(true);
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, target, state));
        Link { address, open, _tasks: tasks }
    }

    /// Starts or stops forwarding.
    pub(crate) fn set_open(&self, open: bool) {
        self.open.send_replace(open);
    }
}

async fn accept(listener: TcpListener, target: Name, mut open: watch::Receiver<bool>) {
    let listener = tokio::net::TcpListener::from_std(listener).unwrap();
    let mut connections = JoinSet::new();
    while let Ok((client, _)) = listener.accept().await {
        if open.wait_for(|open| *open).await.is_err() {
            return;
        }
        let Ok(server) = TcpStream::connect(target.as_str()).await else { continue };
        let (client, server) = (client.into_split(), server.into_split());
        connections.spawn(forward(client.0, server.1, open.clone()));
        connections.spawn(forward(server.0, client.1, open.clone()));
    }
}

async fn forward(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut open: watch::Receiver<bool>) {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let Ok(length @ 1..) = from.read(&mut chunk).await else { return };
        if open.wait_for(|open| *open).await.is_err() {
            return;
        }
        if to.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
}
