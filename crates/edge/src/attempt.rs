//! What one attempt at an endpoint came to.

use std::sync::Arc;

use base::Code;
use base::Event;
use base::Name;
use bytes::Bytes;
use fleet::message::Outcome;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Response;
use hyper::body::Body as _;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::body::Body;
use crate::dialect::Answer;
use crate::pool::Pool;
use crate::pool::Sender;
use crate::relay::Line;
use crate::relay::Relay;
use crate::settings::WHOLE;
use crate::ticket::Ticket;

/// What one attempt at an endpoint came to.
#[derive(Debug)]
pub(crate) enum Attempt {
    /// An answer to hand on; `failed` if the endpoint failed and another one may do better.
    Answer { answer: Box<Response<Body>>, failed: bool },
    /// The request did not run.
    Refused(Outcome),
    /// Not a byte of the request has left.
    Unsent,
    /// The request may have run and there is no answer.
    Lost(Code),
}

/// The request that an attempt is made for.
#[derive(Clone, Debug)]
pub(crate) struct Purpose {
    pub(crate) id: Name,
    pub(crate) endpoint: Name,
    pub(crate) deadline: Instant,
    /// Whether the answer comes in events that are handed on one by one.
    pub(crate) streams: bool,
}

impl Purpose {
    /// Takes an answer's head and, unless it streams, its body.
    pub(crate) async fn take(
        &self,
        pool: &Arc<Pool>,
        answer: Response<Incoming>,
        sender: Sender,
        told: &Answer,
        mut ticket: Ticket,
    ) -> Attempt {
        if let Some((running, waiting)) = told.load {
            ticket.load(running + waiting);
        }
        let status = answer.status();
        if told.crossed || (status.is_success() && !told.signed) {
            ticket.end(Outcome::Lost);
            self.fail("the answer is not for this request");
            return Attempt::Lost(Code::WrongAnswer);
        }
        let line = Line {
            pool: pool.clone(),
            endpoint: self.endpoint.clone(),
            sender,
            idle: (!told.closes).then_some(told.idle),
        };
        if told.refused || told.misdirected {
            let outcome = if told.misdirected { Outcome::Misdirected } else { Outcome::Refused };
            ticket.end(outcome);
            self.fail(status.as_str());
            // The connection is kept if the rest of the refusal is here already.
            let body = answer.into_body();
            if body.is_end_stream() {
                keep(line);
            } else if let Ok(Ok(_)) = tokio::time::timeout_at(self.deadline, body.collect()).await {
                keep(line);
            }
            return Attempt::Refused(outcome);
        }
        let failed = status.is_server_error();
        let outcome = if failed { Outcome::Failed } else { Outcome::Done };
        if failed {
            self.fail(status.as_str());
        }
        let (head, body) = answer.into_parts();
        let whole = body.size_hint().upper().is_some_and(|bytes| bytes <= WHOLE);
        if self.streams && !whole {
            let relay = Relay::new(&self.id, body, self.deadline, ticket, outcome, line);
            let answer = Response::from_parts(head, Body::Relay(Box::new(relay)));
            return Attempt::Answer { answer: Box::new(answer), failed };
        }
        if !whole && body.size_hint().upper().is_some() {
            let relay = Relay::new(&self.id, body, self.deadline, ticket, outcome, line);
            let answer = Response::from_parts(head, Body::Relay(Box::new(relay)));
            return Attempt::Answer { answer: Box::new(answer), failed };
        }
        match body.collect().await {
            Ok(body) => {
                ticket.begin();
                ticket.end(outcome);
                keep(line);
                let answer = Response::from_parts(head, Body::Whole(Full::new(body.to_bytes())));
                Attempt::Answer { answer: Box::new(answer), failed }
            }
            Err(error) => {
                ticket.end(Outcome::Lost);
                self.fail(&error.to_string());
                Attempt::Lost(Code::ShortAnswer)
            }
        }
    }

    /// Logs why an attempt failed.
    pub(crate) fn fail(&self, reason: &str) {
        base::event!(
            WARN, Event::AttemptFailed, request = %self.id, endpoint = %self.endpoint, reason
        );
    }
}

fn keep(line: Line) {
    if let Some(idle) = line.idle {
        line.pool.keep(&line.endpoint, line.sender, idle);
    }
}

/// Makes a body of bytes that are all here.
pub(crate) fn whole(bytes: Bytes) -> Body {
    Body::Whole(Full::new(bytes))
}
