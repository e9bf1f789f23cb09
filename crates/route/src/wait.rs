//! Estimates of how long a request would wait at an endpoint.

use std::time::Duration;

use crate::candidate::Candidate;
use crate::candidate::Residency;
use crate::query::Query;

/// The share of a batch, in percent, that the knee lies below a full batch at stall weight 100.
const KNEE_MARGIN_PERCENT: u32 = 25;
/// How many times a wait must exceed a load for a second copy at stall weight 0.
const COPY_RELUCTANCE: u32 = 8;

/// The patience of priority 0; each priority has one less.
const PATIENCE: u32 = 14;
/// The patience of the middle priority, 5.
const MIDDLE_PATIENCE: u32 = 9;

/// Returns the requests up to which the endpoint's batch is filled before others are used.
pub(crate) fn knee(query: &Query<'_>, batch: u32) -> u32 {
    let margin = KNEE_MARGIN_PERCENT * u32::from(query.stall_weight.min(100)) / 100;
    (batch * (100 - margin) / 100).max(1)
}

/// Returns the expected time until a place in the endpoint's batch is free.
pub(crate) fn queue(query: &Query<'_>, candidate: &Candidate<'_>) -> Duration {
    if candidate.in_flight < candidate.batch {
        return Duration::ZERO;
    }
    let ahead = candidate.in_flight + candidate.waiting + 1;
    let over = ahead.saturating_sub(candidate.batch);
    query.timing.service_time.saturating_mul(over) / candidate.batch.max(1)
}

/// Returns the expected time until the request starts to run at the endpoint.
pub(crate) fn start(query: &Query<'_>, candidate: &Candidate<'_>) -> Duration {
    let queue = queue(query, candidate);
    match candidate.residency {
        Residency::Loaded => queue,
        Residency::Loading => queue.max(query.timing.load_time / 2),
        Residency::Absent => queue.max(query.timing.load_time),
    }
}

/// Returns whether the endpoint's batch is full enough for a second copy elsewhere.
pub(crate) fn is_full(query: &Query<'_>, candidate: &Candidate<'_>) -> bool {
    let used = u64::from(candidate.in_flight) * 100;
    used >= u64::from(candidate.batch) * u64::from(query.full_percent)
}

/// Returns the wait above which a second copy is worth a load; a higher priority lowers it.
pub(crate) fn copy_threshold(query: &Query<'_>) -> Duration {
    let weight = u32::from(query.stall_weight.min(100));
    let reluctance = COPY_RELUCTANCE * 100 - (COPY_RELUCTANCE - 1) * weight;
    let patience = PATIENCE - u32::from(query.priority.min(9));
    query.timing.load_time.saturating_mul(reluctance).saturating_mul(patience)
        / (100 * MIDDLE_PATIENCE)
}
