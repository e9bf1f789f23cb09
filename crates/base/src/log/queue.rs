//! Lines of one class that wait for the thread that writes them.

use std::mem;
use std::time::Duration;
use std::time::Instant;

/// The capacity of a queue, in lines.
const QUEUE_LINES: usize = 2_048;
/// The period to which the maximum number of bytes applies.
const WINDOW: Duration = Duration::from_secs(1);

/// The waiting lines of a class, one after the other in the order of their arrival.
#[derive(Debug)]
pub(super) struct Queue {
    bytes: Vec<u8>,
    /// The number of lines in `bytes`.
    lines: usize,
    /// The lines dropped since the last batch.
    dropped: u64,
    max_bytes_per_s: usize,
    window_start: Instant,
    /// The bytes accepted since `window_start`.
    accepted: usize,
}

impl Queue {
    pub(super) fn new(max_bytes_per_s: usize) -> Queue {
        Queue {
            bytes: Vec::new(),
            lines: 0,
            dropped: 0,
            max_bytes_per_s,
            window_start: Instant::now(),
            accepted: 0,
        }
    }

    /// Appends a line, or counts it as dropped if it does not fit.
    pub(super) fn push(&mut self, line: &[u8], now: Instant) {
        if now.duration_since(self.window_start) >= WINDOW {
            self.window_start = now;
            // A blocked output does not add up the shares of several windows.
            self.accepted = self.bytes.len();
        }
        if self.lines == QUEUE_LINES || self.accepted + line.len() > self.max_bytes_per_s {
            self.dropped += 1;
            return;
        }
        self.accepted += line.len();
        self.bytes.extend_from_slice(line);
        self.lines += 1;
    }

    /// Tells whether there is nothing to write or to report.
    pub(super) fn is_empty(&self) -> bool {
        self.lines == 0 && self.dropped == 0
    }

    /// Returns the number of lines dropped since the last batch.
    pub(super) fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Exchanges the waiting lines for an empty buffer and returns the number of dropped lines.
    pub(super) fn take(&mut self, batch: &mut Vec<u8>) -> u64 {
        mem::swap(&mut self.bytes, batch);
        self.lines = 0;
        mem::take(&mut self.dropped)
    }
}
