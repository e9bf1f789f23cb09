//! Bodies that go out only under the lease.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use axum::body::Bytes;
use base::Name;
use blackboard::Board;
use http_body_util::Either;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

/// The body of any request that a gate sends.
pub(crate) type Payload = Either<Full<Bytes>, Leased>;

/// The lease ended before the body was sent, so that the endpoint cannot carry the request out.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the gate does not own the endpoint now")]
pub(crate) struct NotOwner;

/// A body that is handed over at the moment of sending, if this gate still owns the endpoint.
///
/// A connection may take long to open, and a process may be frozen meanwhile: a check made before
/// would be out of date.
#[derive(Debug)]
pub(crate) struct Leased {
    board: Arc<Board>,
    endpoint: Name,
    fence: u64,
    /// The bytes; none once they are sent or withheld.
    bytes: Option<Bytes>,
    withheld: Arc<AtomicBool>,
}

/// Tells whether a body was withheld.
#[derive(Clone, Debug)]
pub(crate) struct Withheld(Arc<AtomicBool>);

impl Withheld {
    /// Returns whether the body was not sent because the lease had ended.
    pub(crate) fn get(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

impl Leased {
    /// Returns a body for `endpoint` under `fence`, and what tells whether it was withheld.
    pub(crate) fn new(
        board: &Arc<Board>,
        endpoint: &Name,
        fence: u64,
        bytes: Bytes,
    ) -> (Payload, Withheld) {
        let withheld = Arc::new(AtomicBool::new(false));
        let body = Leased {
            board: Arc::clone(board),
            endpoint: endpoint.clone(),
            fence,
            bytes: Some(bytes),
            withheld: Arc::clone(&withheld),
        };
        (Either::Right(body), Withheld(withheld))
    }
}

/// Returns a body that needs no lease.
pub(crate) fn plain(bytes: Bytes) -> Payload {
    Either::Left(Full::new(bytes))
}

impl Body for Leased {
    type Data = Bytes;
    type Error = NotOwner;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, NotOwner>>> {
        let Some(bytes) = self.bytes.take() else { return Poll::Ready(None) };
        if self.board.owns(&self.endpoint, self.fence) {
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        self.withheld.store(true, Ordering::Release);
        Poll::Ready(Some(Err(NotOwner)))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.as_ref().is_none_or(|bytes| bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
    }
}
