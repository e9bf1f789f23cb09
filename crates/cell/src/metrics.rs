//! Metrics of a keeper.

use meter::Meter;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::IntGaugeVec;

/// Metrics of a keeper.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    /// Calls by kind and outcome.
    pub(crate) calls: IntCounterVec,
    /// Requests granted or denied, by result code.
    pub(crate) placements: IntCounterVec,
    /// Queueing time of granted requests, in seconds.
    pub(crate) queue_latency: HistogramVec,
    /// Orders to engines by operation and answer.
    pub(crate) orders: IntCounterVec,
    /// Time that a replica's task waits for its turn and for its writes, in seconds.
    pub(crate) replica: HistogramVec,
    /// Duration of a pass of the scheduler, in seconds.
    pub(crate) passes: HistogramVec,
    /// Calls of plain services that were placed or denied.
    pub(crate) calls_placed: IntCounterVec,
    /// The estimates of the endpoints of plain services, and the calls in progress and waiting.
    pub(crate) capacity: IntGaugeVec,
    /// Leadership, applied index, and numbers of voters, standbys, gates, endpoints and quarantined
    /// subjects.
    pub(crate) state: IntGaugeVec,
}

impl Metrics {
    pub(crate) fn new(meter: &Meter) -> Metrics {
        Metrics {
            calls: meter.counters("keeper_calls_total", "Calls answered.", &["call", "reply"]),
            placements: meter.counters("keeper_placements_total", "Requests placed.", &["result"]),
            queue_latency: meter.histograms(
                "keeper_held_seconds",
                "Time before a placement.",
                &["result"],
            ),
            orders: meter.counters(
                "keeper_orders_total",
                "Orders to engines.",
                &["order", "answer"],
            ),
            replica: meter.histograms(
                "keeper_replica_seconds",
                "Time that the replica's task waits.",
                &["wait"],
            ),
            passes: meter.histograms(
                "keeper_scheduler_pass_seconds",
                "Duration of a pass of the scheduler.",
                &[],
            ),
            calls_placed: meter.counters(
                "keeper_calls_placed_total",
                "Calls of plain services that the leader decided on.",
                &["result"],
            ),
            capacity: meter.gauges(
                "keeper_capacity",
                "The endpoints of plain services as the leader sees them.",
                &["service", "endpoint", "what"],
            ),
            state: meter.gauges("keeper_state", "What the keeper knows.", &["what"]),
        }
    }
}
