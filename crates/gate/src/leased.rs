//! Request bodies that are sent only while the gate holds its lease.

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

/// The body of a request that a gate sends.
pub(crate) type Payload = Either<Full<Bytes>, Leased>;

/// The gate lost the endpoint or its lease before the body was sent, so the request cannot run.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the gate does not own the endpoint")]
pub(crate) struct NotOwner;

/// A body that checks, when it is sent, that this gate still owns the endpoint.
///
/// An earlier check can be out of date: opening a connection may take long, and the process may be
/// suspended in between.
#[derive(Debug)]
pub(crate) struct Leased {
    board: Arc<Board>,
    endpoint: Name,
    fence: u64,
    /// The content; `None` after it was sent or withheld.
    bytes: Option<Bytes>,
    withheld: Arc<AtomicBool>,
}

/// Reports whether a body was withheld.
#[derive(Clone, Debug)]
pub(crate) struct Withheld(Arc<AtomicBool>);

impl Withheld {
    /// Returns whether the body was not sent because the gate no longer owned the endpoint.
    pub(crate) fn get(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

impl Leased {
    /// Creates a body for `endpoint` under the fencing token `fence`, and the handle that reports whether it
    /// was withheld.
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

/// Creates a body that is sent without a check of the lease.
pub(crate) fn unchecked(bytes: Bytes) -> Payload {
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
