//! The requests that wait until their engine has read enough of the prompts that it was sent.

use std::time::Duration;

use crate::request::Key;

/// A request that waits for its engine.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    rank: u8,
    since: Duration,
    key: Key,
    prefill_tokens: f64,
}

/// The prompts of an engine that were sent and those that wait to be sent.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pacing {
    /// The prompt tokens of granted requests without a first event.
    sent_tokens: f64,
    /// The requests that wait, in the order in which they are sent: by rank, then by age.
    waiting: Vec<Waiting>,
}

impl Pacing {
    /// Returns whether a prompt should wait if at most `limit` tokens are to be sent ahead of the engine. A prompt is never
    /// too large for an engine that has read everything.
    pub(crate) fn should_wait(&self, prefill_tokens: f64, limit: f64) -> bool {
        self.sent_tokens > 0.0 && self.sent_tokens + prefill_tokens > limit
    }

    /// Adds a request that waits.
    pub(crate) fn wait(&mut self, key: Key, rank: u8, prefill_tokens: f64, now: Duration) {
        let waiting = Waiting { rank, since: now, key, prefill_tokens };
        let at = self.waiting.partition_point(|other| (other.rank, other.since) <= (rank, now));
        self.waiting.insert(at, waiting);
    }

    /// Records that the prompt of a request is sent.
    pub(crate) fn send(&mut self, prefill_tokens: f64) {
        self.sent_tokens += prefill_tokens;
    }

    /// Returns the prompt tokens of granted requests without a first event.
    pub(crate) fn sent_tokens(&self) -> f64 {
        self.sent_tokens
    }

    /// Records that a prompt that was sent has been read, or that its request has ended.
    pub(crate) fn record_read(&mut self, prefill_tokens: f64) {
        self.sent_tokens = (self.sent_tokens - prefill_tokens).max(0.0);
    }

    /// Removes a request that waits; returns whether it did.
    pub(crate) fn remove(&mut self, key: Key) -> bool {
        let former = self.waiting.len();
        self.waiting.retain(|waiting| waiting.key != key);
        self.waiting.len() < former
    }

    /// Returns the next request to be sent, with its prompt tokens.
    pub(crate) fn next(&self) -> Option<(Key, f64)> {
        self.waiting.first().map(|waiting| (waiting.key, waiting.prefill_tokens))
    }

    /// Returns the requests that wait.
    pub(crate) fn keys(&self) -> impl Iterator<Item = Key> {
        self.waiting.iter().map(|waiting| waiting.key)
    }

    /// Returns the prompt tokens of the requests that wait.
    pub(crate) fn waiting_tokens(&self) -> f64 {
        self.waiting.iter().map(|waiting| waiting.prefill_tokens).sum()
    }
}
