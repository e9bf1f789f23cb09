//! The pauses between the events of a stream.

use std::time::Duration;

use tokio::time::Instant;

/// The pauses between the events of a stream, as far as the endpoint causes them. The time in which the gate does not
/// read, because the caller reads slowly, does not count.
#[derive(Clone, Debug, Default)]
pub struct Pauses {
    /// The number of events that have arrived.
    events: u64,
    /// Since when the gate waits for the endpoint.
    waiting_since: Option<Instant>,
    /// How long the gate has waited for the endpoint since the last event.
    waited: Duration,
    longest: Option<Duration>,
}

impl Pauses {
    /// Records that nothing is to be read from the endpoint.
    pub fn wait(&mut self, now: Instant) {
        self.waiting_since.get_or_insert(now);
    }

    /// Records that data arrived, with which `events` events of the stream are complete.
    pub fn record(&mut self, events: u64, now: Instant) {
        if let Some(since) = self.waiting_since.take() {
            self.waited += now.saturating_duration_since(since);
        }
        if events == self.events {
            return;
        }
        // The wait for the first event is no pause.
        if self.events > 0 {
            self.longest = self.longest.max(Some(self.waited));
        }
        self.events = events;
        self.waited = Duration::ZERO;
    }

    /// Returns the longest pause; `None` before the second event.
    pub fn longest(&self) -> Option<Duration> {
        self.longest
    }
}
