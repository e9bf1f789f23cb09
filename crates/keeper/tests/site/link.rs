//! A connection between two keepers that can be cut without a sign.

use std::net::TcpListener;

use base::Name;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// The bytes passed on at once.
const CHUNK: usize = 64 << 10;

/// Passes connections on; while it is cut they stay open and nothing goes through.
pub(crate) struct Link {
    /// Where to connect instead of the target.
    pub(crate) address: Name,
    open: watch::Sender<bool>,
    _tasks: JoinSet<()>,
}

impl Link {
    /// Starts to pass on to `target`.
    pub(crate) fn start(target: Name) -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = Name::from(listener.local_addr().unwrap().to_string());
        let (open, state) = watch::channel(true);
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(listener, target, state));
        Link { address, open, _tasks: tasks }
    }

    /// Cuts the link or mends it.
    pub(crate) fn set_open(&self, open: bool) {
        self.open.send_replace(open);
    }
}

async fn accept(listener: TcpListener, target: Name, mut open: watch::Receiver<bool>) {
    let listener = tokio::net::TcpListener::from_std(listener).unwrap();
    let mut connections = JoinSet::new();
    while let Ok((near, _)) = listener.accept().await {
        if open.wait_for(|open| *open).await.is_err() {
            return;
        }
        let Ok(far) = TcpStream::connect(target.as_str()).await else { continue };
        let (near, far) = (near.into_split(), far.into_split());
        connections.spawn(pass(near.0, far.1, open.clone()));
        connections.spawn(pass(far.0, near.1, open.clone()));
    }
}

async fn pass(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut open: watch::Receiver<bool>) {
    let mut chunk = vec![0; CHUNK];
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
