//! What a gate counts.

use meter::Meter;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;

/// What a gate counts.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    /// Requests answered, by route and status.
    pub(crate) requests: IntCounterVec,
    /// The time to the head of an answer, by route.
    pub(crate) heads: HistogramVec,
    /// Refusals, by result code.
    pub(crate) refusals: IntCounterVec,
    /// Sendings to endpoints, by what came of them.
    pub(crate) attempts: IntCounterVec,
    /// The time until a scheduler's answer.
    pub(crate) grants: HistogramVec,
}

impl Metrics {
    pub(crate) fn new(meter: &Meter) -> Metrics {
        Metrics {
            requests: meter.counters(
                "gate_requests_total",
                "Requests answered.",
                &["route", "status"],
            ),
            heads: meter.histograms(
                "gate_head_seconds",
                "Time to the head of an answer.",
                &["route"],
            ),
            refusals: meter.counters("gate_refusals_total", "Requests refused.", &["code"]),
            attempts: meter.counters("gate_attempts_total", "Sendings to endpoints.", &["outcome"]),
            grants: meter.histograms(
                "gate_grant_seconds",
                "Time until a scheduler's answer.",
                &["answer"],
            ),
        }
    }
}
