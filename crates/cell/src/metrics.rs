//! What a keeper counts.

use meter::Meter;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::IntGaugeVec;

/// What a keeper counts.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    /// Calls, by what was asked and whether it was done.
    pub(crate) calls: IntCounterVec,
    /// Requests placed or refused, by result code.
    pub(crate) placements: IntCounterVec,
    /// The time for which requests were held before they were placed.
    pub(crate) held: HistogramVec,
    /// Orders to engines, by operation and answer.
    pub(crate) orders: IntCounterVec,
    /// Whether this keeper leads, and what it knows.
    pub(crate) state: IntGaugeVec,
}

impl Metrics {
    pub(crate) fn new(meter: &Meter) -> Metrics {
        Metrics {
            calls: meter.counters("keeper_calls_total", "Calls answered.", &["call", "reply"]),
            placements: meter.counters("keeper_placements_total", "Requests placed.", &["result"]),
            held: meter.histograms("keeper_held_seconds", "Time before a placement.", &["result"]),
            orders: meter.counters(
                "keeper_orders_total",
                "Orders to engines.",
                &["order", "answer"],
            ),
            state: meter.gauges("keeper_state", "What the keeper knows.", &["what"]),
        }
    }
}
