//! A connection that carries frames.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures::StreamExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;
use tokio_util::codec::Framed;
use tokio_util::codec::FramedParts;
use tokio_util::codec::FramedRead;
use tokio_util::codec::LengthDelimitedCodec;
use tokio_util::sync::CancellationToken;

/// The idle time after which a ping is sent.
const PING_INTERVAL: Duration = Duration::from_millis(300);
/// The time without a frame after which the peer counts as lost: four ping intervals.
const READ_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The capacity of the send queue, in frames; a link whose queue overflows is closed.
const SEND_QUEUE_FRAMES: usize = 8_192;
/// The capacity of the receive queue, in frames.
const RECEIVE_QUEUE_FRAMES: usize = 1_024;
/// The largest frame, in bytes; above the largest snapshot of a plan with its document.
const MAX_FRAME_BYTES: usize = 64 << 20;
/// The maximum number of frames in one write.
const WRITE_BATCH_FRAMES: usize = 64;
/// The size of the length before each frame, in bytes.
const LENGTH_BYTES: usize = size_of::<u32>();
/// The capacity that the write buffer keeps between writes, in bytes.
const WRITE_BUFFER_BYTES: usize = 64 << 10;

/// A frame in the send queue.
#[derive(Debug)]
enum Outgoing<T> {
    Frame(T),
    /// A frame that was encoded once for several links.
    Encoded(Bytes),
}

/// The sending side of a link; cheap to clone.
#[derive(Debug)]
pub struct Link<T> {
    queue: mpsc::Sender<Outgoing<T>>,
    closed: CancellationToken,
    silent: Arc<AtomicBool>,
}

impl<T> Clone for Link<T> {
    fn clone(&self) -> Link<T> {
        Link { queue: self.queue.clone(), closed: self.closed.clone(), silent: self.silent.clone() }
    }
}

impl<T> Link<T> {
    /// Queues a frame without waiting and returns whether it was queued; a link whose queue is full is
    /// closed.
    pub fn send(&self, frame: T) -> bool {
        self.enqueue(Outgoing::Frame(frame))
    }

    /// Returns whether the link was closed because nothing arrived from the peer, which may still run. A process that ends
    /// closes its connections.
    pub fn is_silent(&self) -> bool {
        self.silent.load(Ordering::Relaxed)
    }

    fn enqueue(&self, frame: Outgoing<T>) -> bool {
        let sent = self.queue.try_send(frame).is_ok();
        if !sent {
            self.closed.cancel();
        }
        sent
    }

    /// Closes the link.
    pub fn close(&self) {
        self.closed.cancel();
    }

    /// Returns whether the link is closed, by this side, by the peer or by a failure.
    pub fn is_closed(&self) -> bool {
        self.closed.is_cancelled()
    }
}

/// Queues a frame on several links as [`Link::send`] does, and encodes it only once.
pub fn broadcast<'a, T: Serialize + 'a>(links: impl Iterator<Item = &'a Link<T>>, frame: &T) {
    let mut links = links.peekable();
    if links.peek().is_none() {
        return;
    }
    let encoded = postcard::to_stdvec(frame).map(Bytes::from);
    for link in links {
        match &encoded {
            Ok(bytes) => drop(link.enqueue(Outgoing::Encoded(bytes.clone()))),
            Err(_) => link.close(),
        }
    }
}

/// The receiving side of a link.
#[derive(Debug)]
pub struct Inbox<T>(mpsc::Receiver<T>);

impl<T> Inbox<T> {
    /// Returns the next frame, or `None` once the link is closed.
    pub async fn recv(&mut self) -> Option<T> {
        self.0.recv().await
    }
}

impl<T: Send + 'static> Inbox<T> {
    /// Passes each frame to `handle` in a task of the current runtime. The returned inbox yields the
    /// frames that `handle` gives back; those that it has no room for are dropped.
    pub fn filter(mut self, handle: impl Fn(T) -> Option<T> + Send + 'static) -> Inbox<T> {
        let (sender, inbox) = mpsc::channel(RECEIVE_QUEUE_FRAMES);
        tokio::spawn(async move {
            while let Some(frame) = self.recv().await {
                let Some(frame) = handle(frame) else { continue };
                if let Err(TrySendError::Closed(_)) = sender.try_send(frame) {
                    return;
                }
            }
        });
        Inbox(inbox)
    }
}

/// An accepted connection whose first frame has been read.
#[derive(Debug)]
pub struct Accepted {
    stream: std::net::TcpStream,
    received: BytesMut,
}

impl Accepted {
    /// Starts the link on the current runtime; `ping` as in [`open`].
    pub fn open<T>(self, ping: T) -> io::Result<(Link<T>, Inbox<T>)>
    where
        T: Serialize + DeserializeOwned + Clone + Send + Sync + 'static,
    {
        Ok(start(TcpStream::from_std(self.stream)?, self.received, ping))
    }
}

/// Reads the first frame of a connection, from which the caller derives the runtime of the link.
pub async fn accept<T: DeserializeOwned>(stream: TcpStream) -> io::Result<(T, Accepted)> {
    let mut frames = FramedRead::new(stream, codec());
    let next = tokio::time::timeout(READ_TIMEOUT, frames.next()).await;
    let bytes = next.map_err(|_| io::ErrorKind::TimedOut)?;
    let first = decode(&bytes.ok_or(io::ErrorKind::UnexpectedEof)??)?;
    let received = std::mem::take(frames.read_buffer_mut());
    let stream = frames.into_inner().into_std()?;
    Ok((first, Accepted { stream, received }))
}

/// Starts a link over a connection; `ping` is sent when the send queue has been empty for a ping
/// interval.
pub fn open<T>(stream: TcpStream, ping: T) -> (Link<T>, Inbox<T>)
where
    T: Serialize + DeserializeOwned + Clone + Send + Sync + 'static,
{
    start(stream, BytesMut::new(), ping)
}

fn start<T>(stream: TcpStream, received: BytesMut, ping: T) -> (Link<T>, Inbox<T>)
where
    T: Serialize + DeserializeOwned + Clone + Send + Sync + 'static,
{
    let (read, write) = stream.into_split();
    let (queue, frames) = mpsc::channel(SEND_QUEUE_FRAMES);
    let (sender, inbox) = mpsc::channel(RECEIVE_QUEUE_FRAMES);
    let closed = CancellationToken::new();
    let silent = Arc::new(AtomicBool::new(false));
    let link = Link { queue, closed: closed.clone(), silent: silent.clone() };
    tokio::spawn(run_half(closed.clone(), async move {
        let read = read_frames(read, received, sender).await;
        let timed_out = |error: &io::Error| error.kind() == io::ErrorKind::TimedOut;
        silent.store(read.as_ref().is_err_and(timed_out), Ordering::Relaxed);
        read
    }));
    tokio::spawn(run_half(closed, write_frames(write, frames, ping)));
    (link, Inbox(inbox))
}

/// Runs one direction until it ends or the link is closed, and then closes the link.
async fn run_half(closed: CancellationToken, half: impl Future<Output = io::Result<()>>) {
    tokio::select! {
        // An error is not reported: the user of the link sees the end of its inbox.
        _ = half => {}
        () = closed.cancelled() => {}
    }
    closed.cancel();
}

async fn read_frames<T: DeserializeOwned>(
    read: OwnedReadHalf,
    received: BytesMut,
    sender: mpsc::Sender<T>,
) -> io::Result<()> {
    let mut parts = FramedParts::new::<Bytes>(read, codec());
    parts.read_buf = received;
    let mut frames = Framed::from_parts(parts);
    loop {
        let Some(bytes) = next_bytes(&mut frames).await? else { return Ok(()) };
        let frame = decode(&bytes)?;
        if sender.send(frame).await.is_err() {
            return Ok(());
        }
    }
}

/// Returns the bytes of the next frame, or `None` at the end of the connection. Fails if nothing has
/// arrived for [`READ_TIMEOUT`]; a large frame on a slow connection takes longer as a whole.
async fn next_bytes(
    frames: &mut Framed<OwnedReadHalf, LengthDelimitedCodec>,
) -> io::Result<Option<BytesMut>> {
    let mut received = frames.read_buffer().len();
    loop {
        if let Ok(next) = tokio::time::timeout(READ_TIMEOUT, frames.next()).await {
            return next.transpose();
        }
        // The part of a frame that has arrived stays in the buffer.
        let before = std::mem::replace(&mut received, frames.read_buffer().len());
        if received <= before {
            return Err(io::ErrorKind::TimedOut.into());
        }
    }
}

async fn write_frames<T: Serialize + Clone>(
    mut write: OwnedWriteHalf,
    mut frames: mpsc::Receiver<Outgoing<T>>,
    ping: T,
) -> io::Result<()> {
    let mut batch = Vec::with_capacity(WRITE_BATCH_FRAMES);
    let mut buffer = Vec::new();
    loop {
        let waited =
            tokio::time::timeout(PING_INTERVAL, frames.recv_many(&mut batch, WRITE_BATCH_FRAMES))
                .await;
        match waited {
            Ok(0) => return Ok(()),
            Ok(_) => {}
            Err(_) => batch.push(Outgoing::Frame(ping.clone())),
        }
        for frame in batch.drain(..) {
            buffer = append(buffer, &frame)?;
        }
        write.write_all(&buffer).await?;
        buffer.clear();
        buffer.shrink_to(WRITE_BUFFER_BYTES);
    }
}

/// Appends a frame with its length, as [`codec`] reads it.
fn append<T: Serialize>(mut buffer: Vec<u8>, frame: &Outgoing<T>) -> io::Result<Vec<u8>> {
    let start = buffer.len();
    buffer.extend([0; LENGTH_BYTES]);
    match frame {
        Outgoing::Frame(frame) => {
            buffer = postcard::to_extend(frame, buffer).map_err(io::Error::other)?;
        }
        Outgoing::Encoded(bytes) => buffer.extend_from_slice(bytes),
    }
    let length = buffer.len() - start - LENGTH_BYTES;
    if length > MAX_FRAME_BYTES {
        return Err(io::ErrorKind::InvalidData.into());
    }
    buffer[start..start + LENGTH_BYTES].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(buffer)
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> io::Result<T> {
    postcard::from_bytes(bytes).map_err(io::Error::other)
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}
