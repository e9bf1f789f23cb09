//! Server-sent events, as completions are streamed.

use bytes::Bytes;
use serde_json::Value;

/// The largest event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An event of a stream.
#[derive(Debug, PartialEq)]
pub(crate) enum Event {
    /// A part of the answer, or an error.
    Data(Value),
    /// The end mark.
    Done,
    /// Something that is no event.
    Malformed,
}

/// Splits bytes into events.
#[derive(Default)]
pub(crate) struct Parser {
    buffer: Vec<u8>,
}

impl Parser {
    /// Takes more bytes and returns the events that they complete.
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
