//! The Prometheus metrics of a process and the HTTP endpoint that exposes them.

use std::future::Future;
use std::io;

use axum::Router;
use axum::routing::get;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;
use tokio::net::TcpListener;

/// The upper bounds of the latency buckets, in seconds; dense between 100 ms and 1 s, where the latency
/// targets lie.
const LATENCY_BUCKETS_S: [f64; 14] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.8, 1.0, 2.0, 4.0, 15.0];

/// The metrics registry of a process; clones share the registry.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    registry: Registry,
}

impl Meter {
    /// Registers a family of counters with these label names. Panics on an invalid or duplicate name.
    pub fn counters(&self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        let counters =
            IntCounterVec::new(Opts::new(name, help), labels).expect("a valid metric name");
        self.registry.register(Box::new(counters.clone())).expect("an unregistered metric name");
        counters
    }

    /// Registers a family of gauges with these label names. Panics on an invalid or duplicate name.
    pub fn gauges(&self, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
        let gauges = IntGaugeVec::new(Opts::new(name, help), labels).expect("a valid metric name");
        self.registry.register(Box::new(gauges.clone())).expect("an unregistered metric name");
        gauges
    }

    /// Registers a family of latency histograms, in seconds, with these label names. Panics on an invalid or
    /// duplicate name.
    pub fn histograms(&self, name: &str, help: &str, labels: &[&str]) -> HistogramVec {
        let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_S.to_vec());
        let histograms = HistogramVec::new(options, labels).expect("a valid metric name");
        self.registry.register(Box::new(histograms.clone())).expect("an unregistered metric name");
        histograms
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }

    /// Serves the metrics at `path`, next to the routes of `other`.
    pub fn serve(
        self,
        listener: TcpListener,
        path: &str,
        other: Router,
    ) -> impl Future<Output = io::Result<()>> + use<> {
        let handler = get(move || std::future::ready(self.render()));
        let router = other.route(path, handler);
        async move { axum::serve(listener, router).await }
    }
}
