//! An answer that is handed on as it comes.

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
use tokio::time::Instant;
use tokio::time::Sleep;

use crate::pool::Pool;
use crate::pool::Sender;
use crate::ticket::Ticket;

/// An answer's connection, to be kept once the answer has ended.
#[derive(Debug)]
pub(crate) struct Line {
    pub(crate) pool: Arc<Pool>,
    pub(crate) endpoint: Name,
    pub(crate) sender: Sender,
    /// How long it may be idle; none if it is closed after the answer.
    pub(crate) idle: Option<Option<Duration>>,
}

/// An answer that is handed on as it comes.
#[derive(Debug)]
pub(crate) struct Relay {
    id: Name,
    body: Incoming,
    /// When the answer is broken off.
    deadline: Pin<Box<Sleep>>,
    ticket: Ticket,
    /// The outcome if the answer ends well.
    outcome: Outcome,
    line: Option<Line>,
    bytes: u64,
}

impl Relay {
    pub(crate) fn new(
        id: &Name,
        body: Incoming,
        deadline: Instant,
        ticket: Ticket,
        outcome: Outcome,
        line: Line,
    ) -> Relay {
        let deadline = Box::pin(tokio::time::sleep_until(deadline));
        let mut relay =
            Relay { id: id.clone(), body, deadline, ticket, outcome, line: Some(line), bytes: 0 };
        if relay.body.is_end_stream() {
            relay.finish();
        }
        relay
    }

    pub(crate) fn poll(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let frame = match Pin::new(&mut self.body).poll_frame(context) {
            Poll::Pending => {
                if self.deadline.as_mut().poll(context).is_ready() {
                    return Poll::Ready(Some(Err(self.fail("the deadline has passed"))));
                }
                return Poll::Pending;
            }
            Poll::Ready(frame) => frame,
        };
        match frame {
            Some(Ok(frame)) => {
                self.ticket.begin();
                self.bytes += frame.data_ref().map_or(0, |data| data.len() as u64);
                if self.body.is_end_stream() {
                    self.finish();
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(error)) => {
                self.ticket.end(Outcome::Lost);
                Poll::Ready(Some(Err(self.fail(&error.to_string()))))
            }
            None => {
                self.finish();
                Poll::Ready(None)
            }
        }
    }

    pub(crate) fn has_ended(&self) -> bool {
        self.body.is_end_stream()
    }

    pub(crate) fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }

    /// Notes that the whole answer was handed on.
    fn finish(&mut self) {
        let Some(line) = self.line.take() else { return };
        self.ticket.end(self.outcome);
        let ms = self.ticket.age().as_millis() as u64;
        base::event!(INFO, Event::Answered, request = %self.id, endpoint = %line.endpoint, bytes = self.bytes, ms);
        if let Some(idle) = line.idle {
            line.pool.keep(&line.endpoint, line.sender, idle);
        }
    }

    /// Breaks the answer off, so that it does not look complete.
    fn fail(&mut self, reason: &str) -> io::Error {
        let endpoint = self.line.take().map(|line| line.endpoint).unwrap_or_default();
        let ms = self.ticket.age().as_millis() as u64;
        base::event!(
            WARN, Event::AnswerBroken, request = %self.id, endpoint = %endpoint, bytes = self.bytes, ms, reason
        );
        io::Error::other(reason.to_owned())
    }
}
