//! A parser for the server-sent events of streamed completions.

use bytes::Bytes;
use serde_json::Value;

/// Maximum size of an event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event of a stream.
#[derive(Debug, PartialEq)]
pub(crate) enum Event {
    /// A chunk of the response, or an error.
    Data(Value),
    /// The end marker `[DONE]`.
    Done,
    /// Data that is not JSON, or an event that is too large.
    Malformed,
}

/// An incremental parser.
#[derive(Default)]
pub(crate) struct Parser {
    buffer: Vec<u8>,
}

impl Parser {
    /// Appends bytes and returns the events that are now complete.
    pub(crate) fn push(&mut self, bytes: &Bytes) -> Vec<Event> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.buffer.drain(..=end).collect();
            if let Some(data) = line.strip_prefix(b"data:") {
                events.push(parse(data.trim_ascii()));
            }
        }
        if self.buffer.len() > MAX_EVENT_BYTES {
            self.buffer.clear();
            events.push(Event::Malformed);
        }
        events
    }
}

fn parse(data: &[u8]) -> Event {
    if data == b"[DONE]" {
        return Event::Done;
    }
    serde_json::from_slice(data).map_or(Event::Malformed, Event::Data)
}
