//! Metrics for `GET /metrics`.

use std::time::Duration;

use base::Code;
use prometheus::Encoder;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

/// The histogram buckets of durations, in seconds.
const LATENCY_BUCKETS_SECONDS: &[f64] =
    &[0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0];
/// The histogram buckets of ratios.
const RATIO_BUCKETS: &[f64] = &[0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1.0];

/// The metrics of a gate.
pub(crate) struct Metrics {
    registry: Registry,
    /// Requests by outcome: `answered`, `refused`, `retried`, `relayed`, `cancelled`.
    pub(crate) requests: IntCounterVec,
    refusals: IntCounterVec,
    /// The time that requests waited for an adapter to load, in seconds.
    pub(crate) load_stall: Histogram,
    /// The fraction of the batch in use after each dispatch.
    pub(crate) batch_fill: Histogram,
    /// The time from relaying a request to the endpoint's owner until the response begins, in seconds.
    pub(crate) relay: Histogram,
    /// The time of a commit to the journal, in seconds.
    pub(crate) journal: Histogram,
    /// Loads and evictions by outcome.
    pub(crate) orders: IntCounterVec,
    /// 1 while the gate holds its lease, otherwise 0.
    pub(crate) lease: IntGauge,
    /// The endpoints that the gate owns.
    pub(crate) owned_endpoints: IntGauge,
    /// The requests in progress.
    pub(crate) in_progress: IntGauge,
}

impl Metrics {
    /// Registers all metrics with the value zero.
    pub(crate) fn new() -> prometheus::Result<Metrics> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str, label: &str| {
            let counter = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(counter.clone()))?;
            prometheus::Result::Ok(counter)
        };
        let histogram = |name: &str, help: &str, bounds: &[f64]| {
            let options = HistogramOpts::new(name, help).buckets(bounds.to_vec());
            let histogram = Histogram::with_opts(options)?;
            registry.register(Box::new(histogram.clone()))?;
            prometheus::Result::Ok(histogram)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            prometheus::Result::Ok(gauge)
        };
        Ok(Metrics {
            requests: counter("radish_requests_total", "Requests by outcome.", "outcome")?,
            refusals: counter("radish_refusals_total", "Refusals by code.", "code")?,
            load_stall: histogram(
                "radish_load_stall_seconds",
                "Time that requests waited for an adapter to load.",
                LATENCY_BUCKETS_SECONDS,
            )?,
            batch_fill: histogram(
                "radish_batch_fill_ratio",
                "Share of the batch in use after each dispatch.",
                RATIO_BUCKETS,
            )?,
            relay: histogram(
                "radish_relay_seconds",
                "Time from passing a request on until its answer begins.",
                LATENCY_BUCKETS_SECONDS,
            )?,
            journal: histogram(
                "radish_journal_seconds",
                "Time of a journal commit.",
                LATENCY_BUCKETS_SECONDS,
            )?,
            orders: counter("radish_orders_total", "Loads and evictions by outcome.", "outcome")?,
            lease: gauge("radish_lease", "1 while the gate holds its lease.")?,
            owned_endpoints: gauge("radish_owned_endpoints", "Endpoints that the gate owns.")?,
            in_progress: gauge("radish_requests_in_progress", "Requests in progress.")?,
            registry,
        })
    }

    /// Counts a refusal.
    pub(crate) fn count_refusal(&self, code: Code) {
        self.refusals.with_label_values(&[&code.number().to_string()]).inc();
        self.requests.with_label_values(&["refused"]).inc();
    }

    /// Records the time for which a request waited for its adapter to load.
    pub(crate) fn observe_load_stall(&self, stall: Duration) {
        self.load_stall.observe(stall.as_secs_f64());
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> String {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text).ok();
        String::from_utf8(text).unwrap_or_default()
    }
}
