//! Metrics of a keeper.

use std::time::Duration;

use base::Name;
use meter::Meter;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::IntGaugeVec;
use sched::pause::Bound;

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
    /// Limits and spending of tenants, while the keeper leads.
    pub(crate) quota: IntGaugeVec,
    /// The longest pause of each stream, measured and expected, in seconds.
    pauses: HistogramVec,
    /// The learned number of prompt tokens that the engines of a service read within the decoding steps of one event, with
    /// its standard error.
    pause_tokens: IntGaugeVec,
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
            quota: meter.gauges(
                "keeper_quota",
                "Quotas: the limit of a window, the units used, the reservations refused.",
                &["tenant", "what"],
            ),
            pauses: meter.histograms(
                "keeper_stream_pause_seconds",
                "Longest pause of a stream with a bound on pauses.",
                &["kind"],
            ),
            pause_tokens: meter.gauges(
                "keeper_pause_tokens",
                "Prompt tokens that engines read within the decoding steps of one event, as learned.",
                &["service", "figure"],
            ),
            state: meter.gauges("keeper_state", "What the keeper knows.", &["what"]),
        }
    }

    /// Records the longest pause of a stream, and the expected one if there is evidence for it.
    pub(crate) fn record_pause(&self, measured: Duration, expected: Option<Duration>) {
        self.pauses.with_label_values(&["measured"]).observe(measured.as_secs_f64());
        if let Some(expected) = expected {
            self.pauses.with_label_values(&["expected"]).observe(expected.as_secs_f64());
        }
    }

    /// Records the learned bounds of the services.
    pub(crate) fn record_pause_bounds<'a>(&self, bounds: impl Iterator<Item = (&'a Name, Bound)>) {
        for (service, bound) in bounds {
            let figure = |name| self.pause_tokens.with_label_values(&[&**service, name]);
            figure("estimate").set(bound.tokens as i64);
            figure("error").set(bound.error as i64);
        }
    }
}
