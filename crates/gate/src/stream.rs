//! Streams of server-sent events, each validated against the request.

use axum::body::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::client;
use crate::client::Expect;
use crate::failure::Failure;
use crate::refusal::Refusal;

/// The maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// The data of the event that ends a stream.
const DONE_DATA: &[u8] = b"[DONE]";

/// A stream of events from an endpoint or another gate.
#[derive(Debug)]
pub(crate) struct Reader {
    body: Incoming,
    buffer: Vec<u8>,
    expect: Expect,
}

/// An event that was validated against the request.
#[derive(Clone, Debug)]
pub(crate) struct Event {
    /// The event as received, including its blank line.
    pub(crate) bytes: Bytes,
    /// Whether it ends the stream.
    pub(crate) last: bool,
}

impl Reader {
    /// Creates a reader of the events in `body`.
    pub(crate) fn new(body: Incoming, expect: Expect) -> Reader {
        Reader { body, buffer: Vec::new(), expect }
    }

    /// Waits for the next event and validates it; comments are skipped.
    pub(crate) async fn next(&mut self) -> Result<Event, Failure> {
        loop {
            if let Some(event) = self.next_buffered()? {
                return Ok(event);
            }
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(Failure::Wrong(String::from("an event is too large")));
            }
            let frame = tokio::time::timeout_at(self.expect.deadline, self.body.frame()).await;
            match frame {
                Err(_) => return Err(Failure::Timeout),
                Ok(None) => return Err(Failure::Short),
                Ok(Some(Err(_))) => return Err(Failure::Lost),
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
            }
        }
    }

    fn next_buffered(&mut self) -> Result<Option<Event>, Failure> {
        while let Some(end) = boundary(&self.buffer) {
            let bytes: Vec<u8> = self.buffer.drain(..end).collect();
            let data = data(&bytes);
            if data.is_empty() {
                continue;
            }
            let last = data == DONE_DATA;
            if !last {
                self.check(&data)?;
            }
            return Ok(Some(Event { bytes: Bytes::from(bytes), last }));
        }
        Ok(None)
    }

    fn check(&self, data: &[u8]) -> Result<(), Failure> {
        if self.expect.relayed
            && let Ok(refusal) = serde_json::from_slice::<wire::http::Refusal>(data)
        {
            return Err(Failure::Refused(Refusal::from(refusal.error)));
        }
        client::check_identity(data, &self.expect)
    }
}

/// Returns the length of the first event, including its blank line.
fn boundary(buffer: &[u8]) -> Option<usize> {
    let lf = buffer.windows(2).position(|pair| pair == b"\n\n").map(|at| at + 2);
    let crlf = buffer.windows(4).position(|four| four == b"\r\n\r\n").map(|at| at + 4);
    match (lf, crlf) {
        (Some(lf), Some(crlf)) => Some(lf.min(crlf)),
        (lf, crlf) => lf.or(crlf),
    }
}

/// Returns the joined data lines of an event.
fn data(event: &[u8]) -> Vec<u8> {
    let lines = event.split(|byte| *byte == b'\n');
    let data = lines.filter_map(|line| line.strip_prefix(b"data:"));
    let trimmed: Vec<&[u8]> = data.map(|line| line.trim_ascii()).collect();
    trimmed.join(&b'\n')
}
