//! Reads the bodies of requests into memory. The sum over all requests in progress is limited, so that large uploads end in
//! refusals and not in the end of the process.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base::Code;
use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::body::Body as _;
use hyper::body::Incoming;
use hyper::header;

/// The largest body of a refused request that is read, in bytes.
const MAX_DISCARDED_BYTES: usize = 64 << 10;
/// The timeout for reading it.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// The memory for the bodies of the requests in progress.
#[derive(Debug)]
pub struct Memory {
    limit: usize,
    /// Invariant: at most `limit`.
    used: AtomicUsize,
}

impl Memory {
    /// Creates a memory of so many bytes.
    pub fn new(limit: usize) -> Arc<Memory> {
        Arc::new(Memory { limit, used: AtomicUsize::new(0) })
    }

    /// Returns the bytes in use.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    fn try_take(&self, bytes: usize) -> bool {
        let take = |used: usize| used.checked_add(bytes).filter(|sum| *sum <= self.limit);
        self.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
    }
}

/// The memory of one body, which is returned when this value is dropped.
#[derive(Debug)]
pub struct Reservation {
    memory: Arc<Memory>,
    bytes: usize,
}

impl Reservation {
    /// Creates an empty reservation.
    pub fn new(memory: &Arc<Memory>) -> Reservation {
        Reservation { memory: memory.clone(), bytes: 0 }
    }

    /// Extends the reservation to a total; returns whether there was enough memory.
    pub fn extend_to(&mut self, total: usize) -> bool {
        let more = total.saturating_sub(self.bytes);
        let taken = self.memory.try_take(more);
        if taken {
            self.bytes += more;
        }
        taken
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Reads a body of at most `limit` bytes. A body for which there is no memory is read to its end all the same, because the
/// caller might not see the refusal on a connection that is closed with unread bytes.
pub(crate) async fn read(
    mut body: Incoming,
    limit: usize,
    memory: &Arc<Memory>,
) -> Result<(Bytes, Reservation), Code> {
    let mut reservation = Reservation::new(memory);
    let expected = body.size_hint().exact().unwrap_or_default();
    let expected = usize::try_from(expected).unwrap_or(usize::MAX);
    if expected > limit {
        return Err(Code::TooLarge);
    }
    let mut fits = reservation.extend_to(expected);
    let mut buffer = BytesMut::with_capacity(if fits { expected } else { 0 });
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| Code::BadRequest)?.into_data() else { continue };
        length += data.len();
        if length > limit {
            return Err(Code::TooLarge);
        }
        if fits {
            buffer.extend_from_slice(&data);
            fits = reservation.extend_to(buffer.capacity());
        }
        if !fits {
            buffer = BytesMut::new();
            reservation = Reservation::new(memory);
        }
    }
    if fits { Ok((buffer.freeze(), reservation)) } else { Err(Code::BodyMemory) }
}

/// Reads and drops the body of a request that is refused meanwhile. Otherwise the connection would be closed with unread
/// bytes, and the caller might not see the refusal. A large or slow body, and one that waits for `100 Continue`, is not read.
pub(crate) fn discard(headers: &HeaderMap, mut body: Incoming) {
    let expected = body.size_hint().lower();
    let large = usize::try_from(expected).map_or(true, |length| length > MAX_DISCARDED_BYTES);
    if body.is_end_stream() || large || headers.contains_key(header::EXPECT) {
        return;
    }
    let reading = async move {
        let mut left = MAX_DISCARDED_BYTES;
        while let Some(Ok(frame)) = body.frame().await {
            left = left.saturating_sub(frame.data_ref().map_or(0, Bytes::len));
            if left == 0 {
                return;
            }
        }
    };
    tokio::spawn(tokio::time::timeout(DISCARD_TIMEOUT, reading));
}
