//! Estimates of the wait of a request at an endpoint.

use std::time::Duration;

use crate::candidate::Candidate;
use crate::candidate::Residency;
use crate::query::Query;

/// The distance of the knee from a full batch at stall weight 100, in percent of the batch;
/// proportionally less at lower weights.
const KNEE_MARGIN_PERCENT: u32 = 25;
/// The ratio of wait to load time above which a second copy is loaded, at stall weight 0 and the
/// default priority; 1 at stall weight 100.
const MAX_COPY_WAIT_FACTOR: u32 = 8;
/// The factor on that ratio for priority 0; one less for each higher priority.
const MAX_PRIORITY_FACTOR: u32 = 14;
/// The factor for the default priority, 5, by which the factors are normalized.
const DEFAULT_PRIORITY_FACTOR: u32 = 9;

/// Returns the knee: the number of requests up to which an endpoint's batch is filled before others
/// are used.
pub(crate) fn knee(query: &Query<'_>, batch: u32) -> u32 {
    let margin = KNEE_MARGIN_PERCENT * u32::from(query.stall_weight.min(100)) / 100;
    (batch * (100 - margin) / 100).max(1)
}

/// Returns the expected time until a slot in the endpoint's batch is free.
pub(crate) fn queue_time(query: &Query<'_>, candidate: &Candidate<'_>) -> Duration {
    if candidate.in_flight < candidate.batch {
        return Duration::ZERO;
    }
    let ahead = candidate.in_flight + candidate.waiting + 1;
    let over = ahead.saturating_sub(candidate.batch);
    query.timing.service_time.saturating_mul(over) / candidate.batch.max(1)
}

/// Returns the expected time until the request starts to run at the endpoint.
pub(crate) fn start_time(query: &Query<'_>, candidate: &Candidate<'_>) -> Duration {
    let queue = queue_time(query, candidate);
    match candidate.residency {
        Residency::Loaded => queue,
        Residency::Loading => queue.max(query.timing.load_time / 2),
        Residency::Absent => queue.max(query.timing.load_time),
    }
}

/// Returns whether the endpoint's batch is full enough to consider a second copy elsewhere.
pub(crate) fn is_full(query: &Query<'_>, candidate: &Candidate<'_>) -> bool {
    let used = u64::from(candidate.in_flight) * 100;
    used >= u64::from(candidate.batch) * u64::from(query.full_percent)
}

/// Returns the wait above which a second copy is worth its load. It is shorter for a higher
/// priority.
pub(crate) fn copy_threshold(query: &Query<'_>) -> Duration {
    let weight = u32::from(query.stall_weight.min(100));
    let wait_factor = MAX_COPY_WAIT_FACTOR * 100 - (MAX_COPY_WAIT_FACTOR - 1) * weight;
    let priority_factor = MAX_PRIORITY_FACTOR - u32::from(query.priority.min(9));
    query.timing.load_time.saturating_mul(wait_factor).saturating_mul(priority_factor)
        / (100 * DEFAULT_PRIORITY_FACTOR)
}
