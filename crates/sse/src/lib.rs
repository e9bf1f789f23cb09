//! Recognizes the boundaries of server-sent events in a byte stream.

/// The position within a line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Position {
    /// At the start of a line.
    #[default]
    Start,
    /// After a carriage return, which ends a line; a line feed that follows belongs to it.
    CarriageReturn,
    /// In a comment, which is not part of an event.
    Comment,
    /// In a field.
    Field,
}

/// Follows a stream without buffering it. Lines end with a line feed, a carriage return or both, and a blank
/// line ends an event.
#[derive(Clone, Debug, Default)]
pub struct Scanner {
    position: Position,
    /// Whether the current event has a field.
    in_event: bool,
    /// Whether a line of the stream ended with a carriage return and a line feed.
    crlf: bool,
    events: u64,
}

impl Scanner {
    /// Consumes bytes.
    pub fn scan(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.push(*byte);
        }
    }

    /// Returns the number of events that have ended.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns whether the stream may end here: neither within a line nor within an event.
    pub fn is_at_boundary(&self) -> bool {
        match self.position {
            Position::Start => !self.in_event,
            // The line feed is missing if the stream ends its lines with both.
            Position::CarriageReturn => !self.in_event && !self.crlf,
            Position::Comment | Position::Field => false,
        }
    }

    fn push(&mut self, byte: u8) {
        match (self.position, byte) {
            (Position::CarriageReturn, b'\n') => {
                self.crlf = true;
                self.position = Position::Start;
            }
            (_, b'\n') => self.end_line(Position::Start),
            (_, b'\r') => self.end_line(Position::CarriageReturn),
            (Position::Start | Position::CarriageReturn, b':') => self.position = Position::Comment,
            (Position::Start | Position::CarriageReturn, _) => {
                self.position = Position::Field;
                self.in_event = true;
            }
            (Position::Comment | Position::Field, _) => {}
        }
    }

    fn end_line(&mut self, next: Position) {
        let blank = matches!(self.position, Position::Start | Position::CarriageReturn);
        if blank && self.in_event {
            self.in_event = false;
            self.events += 1;
        }
        self.position = next;
    }
}
