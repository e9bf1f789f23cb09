//! Relays the body of a response while the endpoint sends it.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use base::Event;
use base::Name;
use bytes::Bytes;
use fleet::message::Outcome;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;
use sse::Scanner;
use tokio::time::Instant;
use tokio::time::Sleep;

use crate::attempt::Exchange;
use crate::framing::Framing;
use crate::pool::Pool;
use crate::pool::Sender;
use crate::tracker::Tracker;

/// The reason for the failure of an event stream that ends inside an event.
pub(crate) const TRUNCATED: &str = "the stream ended inside an event";

/// The connection that carries a response; it returns to the pool once the response has ended.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) pool: Arc<Pool>,
    pub(crate) endpoint: Name,
    pub(crate) sender: Sender,
    /// The idle timeout that the endpoint announced, if any; `None` if the endpoint closes the connection
    /// after the response.
    pub(crate) idle_timeout: Option<Option<Duration>>,
}

/// A response body as the endpoint sends it.
#[derive(Debug)]
pub(crate) struct Source {
    /// The bytes that were read before the response is forwarded.
    pub(crate) prefix: Option<Bytes>,
    pub(crate) body: Incoming,
    pub(crate) framing: Framing,
    /// The position in the event stream; `None` if the body is not one.
    pub(crate) events: Option<Scanner>,
}

impl Source {
    /// Follows the events in bytes of the body.
    pub(crate) fn scan(&mut self, data: &[u8]) {
        if let Some(events) = &mut self.events {
            events.scan(data);
        }
    }

    /// Returns whether a body that ends here is an event stream that the endpoint broke off.
    pub(crate) fn is_truncated(&self) -> bool {
        self.events.as_ref().is_some_and(|events| {
            // The end of a connection before the first event does not show that the stream is complete.
            let empty = self.framing == Framing::Close && events.events() == 0;
            empty || !events.is_at_boundary()
        })
    }
}

/// A response body that is forwarded to the caller while the endpoint sends it.
#[derive(Debug)]
pub(crate) struct Relay {
    /// The caller's id of the request.
    id: Name,
    /// The digest of the request's content, as in [`fleet::quarantine::Fingerprint::request`].
    fingerprint: u64,
    source: Source,
    /// Fires at the request's deadline, which aborts the response.
    deadline: Pin<Box<Sleep>>,
    tracker: Tracker,
    /// The outcome to report if the response ends without an error.
    outcome: Outcome,
    /// Taken when the response ends or fails.
    connection: Option<Connection>,
    /// The bytes forwarded so far.
    bytes: u64,
}

impl Relay {
    pub(crate) fn new(
        exchange: &Exchange,
        source: Source,
        tracker: Tracker,
        outcome: Outcome,
        connection: Connection,
    ) -> Relay {
        let deadline = Box::pin(tokio::time::sleep_until(exchange.deadline));
        let mut relay = Relay {
            id: exchange.id.clone(),
            fingerprint: exchange.fingerprint,
            source,
            deadline,
            tracker,
            outcome,
            connection: Some(connection),
            bytes: 0,
        };
        if relay.has_ended() {
            relay.finish();
        }
        relay
    }

    pub(crate) fn poll(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if let Some(prefix) = self.source.prefix.take() {
            self.bytes += prefix.len() as u64;
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        let frame = match Pin::new(&mut self.source.body).poll_frame(context) {
            Poll::Pending => {
                if let Some(pauses) = self.tracker.pauses() {
                    pauses.wait(Instant::now());
                }
                if self.deadline.as_mut().poll(context).is_ready() {
                    return Poll::Ready(Some(Err(self.fail("the deadline has passed"))));
                }
                return Poll::Pending;
            }
            Poll::Ready(frame) => frame,
        };
        match frame {
            Some(Ok(frame)) => {
                self.tracker.record_first_byte();
                if let Some(data) = frame.data_ref() {
                    self.bytes += data.len() as u64;
                    self.source.scan(data);
                }
                if let Some(pauses) = self.tracker.pauses()
                    && let Some(scanner) = &self.source.events
                {
                    pauses.record(scanner.events(), Instant::now());
                }
                if self.source.body.is_end_stream() {
                    // Without its last frame the response does not look complete.
                    if let Err(error) = self.end() {
                        return Poll::Ready(Some(Err(error)));
                    }
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(error)) => {
                self.tracker.record_break();
                Poll::Ready(Some(Err(self.fail(&error.to_string()))))
            }
            None => Poll::Ready(self.end().err().map(Err)),
        }
    }

    pub(crate) fn has_ended(&self) -> bool {
        self.source.prefix.is_none() && self.source.body.is_end_stream()
    }

    pub(crate) fn size_hint(&self) -> SizeHint {
        self.source.body.size_hint()
    }

    /// Ends the response; returns an error if it is a stream that the endpoint broke off.
    fn end(&mut self) -> io::Result<()> {
        if self.source.is_truncated() {
            self.tracker.record_end(Outcome::Lost, self.source.framing);
            return Err(self.fail(TRUNCATED));
        }
        self.finish();
        Ok(())
    }

    /// Records that the whole response was forwarded, and releases the connection.
    fn finish(&mut self) {
        let Some(connection) = self.connection.take() else { return };
        self.tracker.record_end(self.outcome, self.source.framing);
        let ms = self.tracker.elapsed().as_millis() as u64;
        base::event!(
            INFO, Event::Answered, request = %self.id, endpoint = %connection.endpoint,
            framing = self.source.framing.name(), bytes = self.bytes, ms
        );
        if let Some(idle_timeout) = connection.idle_timeout {
            connection.pool.put(&connection.endpoint, connection.sender, idle_timeout);
        }
    }

    /// Logs the failure and returns an error that aborts the response, so that the caller does not take it for
    /// complete.
    fn fail(&mut self, reason: &str) -> io::Error {
        let endpoint =
            self.connection.take().map(|connection| connection.endpoint).unwrap_or_default();
        let ms = self.tracker.elapsed().as_millis() as u64;
        base::event!(
            WARN, Event::AnswerBroken, request = %self.id, fingerprint = %format_args!("{:016x}", self.fingerprint),
            endpoint = %endpoint,
            framing = self.source.framing.name(), bytes = self.bytes, ms, reason
        );
        io::Error::other(reason.to_owned())
    }
}
