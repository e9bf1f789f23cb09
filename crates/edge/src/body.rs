//! The body of a response to a caller.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Body as HttpBody;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::relay::Relay;

/// The body of a response to a caller.
#[derive(Debug)]
pub(crate) enum Body {
    /// A body that is held in memory.
    Buffered(Full<Bytes>),
    /// A body that is forwarded while an endpoint sends it.
    Relay(Box<Relay>),
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Body>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self.get_mut() {
            Body::Buffered(body) => {
                Pin::new(body).poll_frame(context).map_err(|never| match never {})
            }
            Body::Relay(relay) => relay.poll(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Body::Buffered(body) => body.is_end_stream(),
            Body::Relay(relay) => relay.has_ended(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Buffered(body) => body.size_hint(),
            Body::Relay(relay) => relay.size_hint(),
        }
    }
}
