//! Recognizes retries of refused requests, so that a retry keeps the target of its first attempt.
//!
//! Each attempt has its own id and a deadline of its own, so retries are matched by content.

use std::collections::VecDeque;
use std::time::Duration;

use base::Map;
use fleet::message::Query;

/// The time for which a refused request is remembered; longer than the longest retry delay.
const RETENTION: Duration = Duration::from_secs(4);

/// The requests that were refused recently.
#[derive(Debug, Default)]
pub(crate) struct Retries {
    /// When the first attempt arrived, by digest.
    first_received_at: Map<u64, Duration>,
    /// The refusals, the oldest first.
    refused: VecDeque<(Duration, u64)>,
}

impl Retries {
    /// Records the refusal of a request whose first attempt arrived at `first_received_at`.
    pub(crate) fn record_refusal(
        &mut self,
        query: &Query,
        first_received_at: Duration,
        now: Duration,
    ) {
        let digest = digest(query);
        self.first_received_at.insert(digest, first_received_at);
        self.refused.push_back((now, digest));
        while let Some((at, digest)) = self.refused.front().copied()
            && now >= at + RETENTION
        {
            self.refused.pop_front();
            if !self.refused.iter().any(|(_, later)| *later == digest) {
                self.first_received_at.remove(&digest);
            }
        }
    }

    /// Returns when the first attempt of a request arrived: `now` unless it is a retry.
    pub(crate) fn first_received_at(&self, query: &Query, now: Duration) -> Duration {
        let first = self.first_received_at.get(&digest(query)).copied().unwrap_or(now);
        if now >= first + RETENTION { now } else { first }
    }

    /// Records that a request arrived again.
    pub(crate) fn record_arrival(&mut self, query: &Query) {
        self.first_received_at.remove(&digest(query));
    }
}

/// Returns a digest of a request's content.
fn digest(query: &Query) -> u64 {
    let mut bytes = Vec::with_capacity(32 + query.parts.len() * 12);
    bytes.extend_from_slice(&query.fingerprint.to_le_bytes());
    bytes.extend_from_slice(&query.input.to_le_bytes());
    for (id, tokens) in &query.parts {
        bytes.extend_from_slice(&id.to_le_bytes());
        bytes.extend_from_slice(&tokens.to_le_bytes());
    }
    bytes.extend_from_slice(query.adapter.as_bytes());
    base::digest(&bytes)
}
