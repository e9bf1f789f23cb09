//! The requests that were refused, by which callers that come back are known.
//!
//! Each attempt has an id of its own and its caller's deadline tells nothing of the attempts before, but
//! what is asked for stays the same.

use std::collections::VecDeque;
use std::time::Duration;

use base::Map;
use fleet::message::Query;

/// The time for which a refused request is remembered; longer than the longest time to come back.
const REMEMBERED: Duration = Duration::from_secs(4);

/// The requests that were refused lately.
#[derive(Debug, Default)]
pub(crate) struct Returns {
    /// When each first came.
    first: Map<u64, Duration>,
    /// The refusals, the oldest first.
    refused: VecDeque<(Duration, u64)>,
}

impl Returns {
    /// Notes that a request is refused that first came at `first`.
    pub(crate) fn refuse(&mut self, ask: &Query, first: Duration, now: Duration) {
        let digest = digest(ask);
        self.first.insert(digest, first);
        self.refused.push_back((now, digest));
        while let Some((at, digest)) = self.refused.front().copied()
            && now >= at + REMEMBERED
        {
            self.refused.pop_front();
            if !self.refused.iter().any(|(_, later)| *later == digest) {
                self.first.remove(&digest);
            }
        }
    }

    /// Returns when a request first came that comes now.
    pub(crate) fn first(&mut self, ask: &Query, now: Duration) -> Duration {
        let first = self.first.remove(&digest(ask)).unwrap_or(now);
        if now >= first + REMEMBERED { now } else { first }
    }
}

/// Returns a digest of what is asked for.
fn digest(ask: &Query) -> u64 {
    let mut bytes = Vec::with_capacity(32 + ask.parts.len() * 12);
    bytes.extend_from_slice(&ask.fingerprint.to_le_bytes());
    bytes.extend_from_slice(&ask.input.to_le_bytes());
    for (id, tokens) in &ask.parts {
        bytes.extend_from_slice(&id.to_le_bytes());
        bytes.extend_from_slice(&tokens.to_le_bytes());
    }
    bytes.extend_from_slice(ask.adapter.as_bytes());
    base::digest(&bytes)
}
