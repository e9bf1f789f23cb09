//! One attempt to have a request served by an endpoint.

use std::sync::Arc;

use base::Code;
use base::Event;
use base::Name;
use bytes::Bytes;
use bytes::BytesMut;
use fleet::message::Outcome;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Response;
use hyper::body::Body as _;
use hyper::body::Incoming;
use hyper::header;
use sse::Scanner;
use tokio::time::Instant;

use crate::body::Body;
use crate::framing::Framing;
use crate::pool::Pool;
use crate::pool::Sender;
use crate::protocol::ResponseHead;
use crate::relay::Connection;
use crate::relay::Relay;
use crate::relay::Source;
use crate::relay::TRUNCATED;
use crate::settings::MAX_BUFFERED_BYTES;
use crate::settings::MAX_REFUSAL_BYTES;
use crate::settings::REFUSAL_TIMEOUT;
use crate::tracker::Tracker;

/// The result of an attempt.
#[derive(Debug)]
pub(crate) enum Attempt {
    /// A response to forward; `failed` if it reports a failure of the endpoint, so that a retry elsewhere may
    /// succeed.
    Response { response: Box<Response<Body>>, failed: bool },
    /// The endpoint refused the request and did not run it.
    Refused(Outcome),
    /// No byte of the request was sent.
    Unsent,
    /// The request may have run, but there is no valid response.
    Lost(Code),
}

/// The request and the endpoint of an attempt.
#[derive(Clone, Debug)]
pub(crate) struct Exchange {
    /// The caller's id of the request.
    pub(crate) id: Name,
    /// The digest of the request's content, as in [`fleet::quarantine::Fingerprint::request`].
    pub(crate) fingerprint: u64,
    pub(crate) endpoint: Name,
    pub(crate) deadline: Instant,
    /// Whether the response is an event stream, which is relayed as it arrives.
    pub(crate) streams: bool,
}

impl Exchange {
    /// Checks a response and reads its body, up to [`MAX_BUFFERED_BYTES`]. A larger body is relayed, and so is a
    /// stream of unknown length.
    pub(crate) async fn receive(
        &self,
        pool: &Arc<Pool>,
        response: Response<Incoming>,
        framing: Framing,
        sender: Sender,
        parsed: &ResponseHead,
        mut tracker: Tracker,
    ) -> Attempt {
        if let Some(load) = parsed.load {
            tracker.record_load(load);
        }
        tracker.record_availability(parsed.leaving, parsed.pause);
        let status = response.status();
        if parsed.mismatched || (status.is_success() && !parsed.signed) {
            tracker.record_mismatch();
            self.log_failure("the response has another request id or no signature");
            return Attempt::Lost(Code::WrongAnswer);
        }
        if !parsed.misdirected {
            tracker.record_limit(parsed.limit, !parsed.refused);
        }
        let connection = Connection {
            pool: pool.clone(),
            endpoint: self.endpoint.clone(),
            sender,
            idle_timeout: (!parsed.closes).then_some(parsed.idle_timeout),
        };
        if parsed.refused || parsed.misdirected {
            let outcome = if parsed.misdirected { Outcome::Misdirected } else { Outcome::Refused };
            tracker.record_not_run(outcome);
            self.log_failure(status.as_str());
            reuse(connection, response.into_body());
            return Attempt::Refused(outcome);
        }
        let failed = status.is_server_error();
        let outcome = if failed { Outcome::Failed } else { Outcome::Done };
        if failed {
            self.log_failure(status.as_str());
        }
        let (head, body) = response.into_parts();
        // A response to HEAD has no body, whatever its headers say.
        let events =
            status.is_success() && !body.is_end_stream() && self.is_event_stream(&head.headers);
        let events = events.then(Scanner::default);
        let source = Source { prefix: None, body, framing, events };
        match self.read_body(source, connection, tracker, outcome).await {
            Ok(body) => {
                let response = Box::new(Response::from_parts(head, body));
                Attempt::Response { response, failed }
            }
            Err(reason) => {
                self.log_failure(&reason);
                Attempt::Lost(Code::ShortAnswer)
            }
        }
    }

    /// Reads a small body, so that a broken one can be replaced by a retry, and prepares any other to be relayed.
    /// Returns the reason if the body is not complete.
    async fn read_body(
        &self,
        mut source: Source,
        connection: Connection,
        mut tracker: Tracker,
        outcome: Outcome,
    ) -> Result<Body, String> {
        let relay = |source, connection, tracker| {
            let relay = Relay::new(self, source, tracker, outcome, connection);
            Body::Relay(Box::new(relay))
        };
        let length = source.body.size_hint().upper();
        if length.map_or(self.streams, |length| length > MAX_BUFFERED_BYTES) {
            return Ok(relay(source, connection, tracker));
        }
        let read = match buffer(&mut source.body).await {
            Ok(read) => read,
            Err(error) => {
                tracker.record_break();
                return Err(error.to_string());
            }
        };
        tracker.record_first_byte();
        match read {
            Buffered::Prefix(prefix) => {
                source.scan(&prefix);
                source.prefix = Some(prefix);
                Ok(relay(source, connection, tracker))
            }
            Buffered::Whole(body) => {
                source.scan(&body);
                if source.is_truncated() {
                    tracker.record_end(Outcome::Lost, source.framing);
                    return Err(TRUNCATED.to_owned());
                }
                tracker.record_end(outcome, source.framing);
                release(connection);
                Ok(Body::Buffered(Full::new(body)))
            }
        }
    }

    /// Returns whether the body of a response is an event stream.
    fn is_event_stream(&self, headers: &HeaderMap) -> bool {
        let Some(value) = headers.get(header::CONTENT_TYPE) else { return self.streams };
        let media_type = value.to_str().unwrap_or_default().split(';').next().unwrap_or_default();
        media_type.trim().eq_ignore_ascii_case("text/event-stream")
    }

    /// Logs the reason why the attempt failed.
    pub(crate) fn log_failure(&self, reason: &str) {
        base::event!(
            WARN, Event::AttemptFailed, request = %self.id, fingerprint = %format_args!("{:016x}", self.fingerprint),
            endpoint = %self.endpoint, reason
        );
    }
}

/// The part of a body that was read into memory.
enum Buffered {
    Whole(Bytes),
    /// The body is larger than [`MAX_BUFFERED_BYTES`].
    Prefix(Bytes),
}

/// Reads a body until its end, or until it is larger than [`MAX_BUFFERED_BYTES`].
async fn buffer(body: &mut Incoming) -> hyper::Result<Buffered> {
    let mut read = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            read.extend_from_slice(&data);
        }
        if read.len() as u64 > MAX_BUFFERED_BYTES {
            return Ok(Buffered::Prefix(read.freeze()));
        }
    }
    Ok(Buffered::Whole(read.freeze()))
}

/// Returns a connection to the pool once the body of a refusal, which is not forwarded, has been read. Closes it if
/// the body is large or slow.
fn reuse(connection: Connection, body: Incoming) {
    if body.is_end_stream() {
        return release(connection);
    }
    tokio::spawn(async move {
        let body = Limited::new(body, MAX_REFUSAL_BYTES).collect();
        if let Ok(Ok(_)) = tokio::time::timeout(REFUSAL_TIMEOUT, body).await {
            release(connection);
        }
    });
}

/// Returns a connection to the pool unless the endpoint closes it.
fn release(connection: Connection) {
    if let Some(idle_timeout) = connection.idle_timeout {
        connection.pool.put(&connection.endpoint, connection.sender, idle_timeout);
    }
}

/// Returns a body that is held in memory.
pub(crate) fn buffered(bytes: Bytes) -> Body {
    Body::Buffered(Full::new(bytes))
}
