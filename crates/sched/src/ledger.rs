//! The requests that have an engine or wait for one.

use std::time::Duration;

use base::Name;
use fleet::message::Query;

/// A gate's link and its number for a request.
pub(crate) type Key = (u64, u64);

/// A request that has an engine.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) engine: Name,
    pub(crate) adapter: Name,
    pub(crate) fingerprint: u64,
    /// The prompt tokens that the engine must read.
    pub(crate) prefill: f64,
    /// The tokens that it holds at its end.
    pub(crate) tokens: u64,
    /// The tokens of its answer, as estimated.
    pub(crate) output: u32,
    /// The tokens to be read before its first event, its own included, when it was granted.
    pub(crate) ahead: f64,
    /// The urgency at the engine.
    pub(crate) urgency: u8,
    pub(crate) part: Part,
    /// When it no longer counts, whatever its gate says.
    pub(crate) ends: Duration,
}

/// How far a request with an engine is.
#[derive(Debug)]
pub(crate) enum Part {
    /// It waits for its adapter.
    Reserved(Box<Wait>),
    /// Its gate was told the engine.
    Granted,
    /// Its first event came then.
    Begun(Duration),
}

/// A request that waits.
#[derive(Clone, Debug)]
pub(crate) struct Wait {
    pub(crate) key: Key,
    /// The failure domain of the gate.
    pub(crate) domain: Name,
    pub(crate) ask: Query,
    /// When it was asked.
    pub(crate) since: Duration,
    /// When its caller first came with it; earlier than `since` if it was refused and came back.
    pub(crate) first: Duration,
    /// The engine whose next free place it waits for, where it holds out for one.
    pub(crate) awaits: Option<Name>,
}

impl Wait {
    /// Returns the time left until the answer loses worth, in ms.
    pub(crate) fn target_ms(&self, now: Duration) -> f64 {
        f64::from(self.ask.target_ms) - now.saturating_sub(self.first).as_secs_f64() * 1e3
    }

    /// Returns the time left until the request must be answered, in ms.
    pub(crate) fn left_ms(&self, now: Duration) -> f64 {
        f64::from(self.ask.left_ms) - self.held_ms(now)
    }

    /// Returns the time since it was asked, in ms.
    pub(crate) fn held_ms(&self, now: Duration) -> f64 {
        now.saturating_sub(self.since).as_secs_f64() * 1e3
    }
}
