//! Requests that have an engine or are queued for one.

use std::time::Duration;

use base::Name;
use fleet::message::Query;

use crate::prefix::Prefixes;
use crate::scheduler::DEADLINE_SHARE;

/// Identifies a request: the gate's link and the gate's number for the request.
pub(crate) type Key = (u64, u64);

/// A request that has an engine.
#[derive(Debug)]
pub(crate) struct Assignment {
    pub(crate) engine: Name,
    pub(crate) adapter: Name,
    /// The prompt tokens that are not in the engine's prefix cache.
    pub(crate) prefill_tokens: f64,
    /// The tokens in the KV cache at the end of the request.
    pub(crate) kv_tokens: u64,
    /// The estimated output length.
    pub(crate) output_tokens: u32,
    /// The tenant, if the plan has tenants.
    pub(crate) tenant: Option<Name>,
    /// The longest pause between two events with which the stream is on time, in ms; 0 if there is no such bound.
    pub(crate) gap_ms: u32,
    /// The engine's prefill backlog when the request was granted, its own tokens included.
    pub(crate) queued_prefill_tokens: f64,
    /// The number of its batch in [`crate::engine::Engine::reading`], once it is granted.
    pub(crate) batch: Option<u64>,
    /// The urgency at the engine, from 0 (most urgent) to 9.
    pub(crate) urgency: u8,
    pub(crate) phase: Phase,
    /// When the request is no longer counted, even if its gate has not reported its end.
    pub(crate) expires_at: Duration,
}

impl Assignment {
    /// Returns a time before which the request does not expire, whatever its phase will be.
    pub(crate) fn earliest_expiry(&self) -> Duration {
        match &self.phase {
            Phase::Reserved(pending) => {
                let wait = Duration::from_millis(u64::from(pending.query.left_ms));
                self.expires_at.min(pending.received_at + wait.mul_f64(DEADLINE_SHARE))
            }
            Phase::Granted | Phase::Started(_) => self.expires_at,
        }
    }
}

/// The phase of a request that has an engine.
#[derive(Debug)]
pub(crate) enum Phase {
    /// Waits until its adapter is loaded.
    Reserved(Box<Pending>),
    /// The grant was sent to the gate.
    Granted,
    /// The first event arrived at that time.
    Started(Duration),
}

/// A request without a grant.
#[derive(Clone, Debug)]
pub(crate) struct Pending {
    pub(crate) key: Key,
    /// The failure domain of the gate.
    pub(crate) domain: Name,
    pub(crate) query: Query,
    /// The tenant, if the plan has tenants.
    pub(crate) tenant: Option<Name>,
    /// The longest pause between two events with which the stream is on time, in ms; 0 if there is no such bound.
    pub(crate) gap_ms: u32,
    pub(crate) prefixes: Prefixes,
    pub(crate) received_at: Duration,
    /// When the first attempt was received; earlier than `received_at` for a retry.
    pub(crate) first_received_at: Duration,
    /// The engine whose next free adapter slot it waits for, if any.
    pub(crate) awaited_engine: Option<Name>,
    /// Whether it waits until its prompt makes no stream pause for too long.
    pub(crate) awaits_gap: bool,
    /// The earlier requests for its adapter that were refused since the last grant.
    pub(crate) unmet: u32,
}

impl Pending {
    /// Returns the time left of the latency target, in ms; negative if it has passed.
    pub(crate) fn target_ms(&self, now: Duration) -> f64 {
        f64::from(self.query.target_ms)
            - now.saturating_sub(self.first_received_at).as_secs_f64() * 1e3
    }

    /// Returns whether an earlier attempt of the request was refused.
    pub(crate) fn is_retry(&self) -> bool {
        self.first_received_at < self.received_at
    }

    /// Returns the time left until the deadline, in ms.
    pub(crate) fn left_ms(&self, now: Duration) -> f64 {
        f64::from(self.query.left_ms) - self.held_ms(now)
    }

    /// Returns the time since the request was received, in ms.
    pub(crate) fn held_ms(&self, now: Duration) -> f64 {
        now.saturating_sub(self.received_at).as_secs_f64() * 1e3
    }
}
