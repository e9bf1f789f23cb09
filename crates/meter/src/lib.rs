//! Counters and histograms of a program, and the page that shows them.

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

/// The upper bounds of the latency buckets, in seconds; they cover targets from 100 ms to 1 s finely.
const LATENCY_S: [f64; 14] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.8, 1.0, 2.0, 4.0, 15.0];

/// The counters and histograms of a program.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    registry: Registry,
}

impl Meter {
    /// Adds counters that are told apart by labels.
    pub fn counters(&self, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
        let counters = IntCounterVec::new(Opts::new(name, help), labels).expect("a valid name");
        self.registry.register(Box::new(counters.clone())).expect("a new name");
        counters
    }

    /// Adds gauges that are told apart by labels.
    pub fn gauges(&self, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
        let gauges = IntGaugeVec::new(Opts::new(name, help), labels).expect("a valid name");
        self.registry.register(Box::new(gauges.clone())).expect("a new name");
        gauges
    }

    /// Adds histograms of latencies in seconds that are told apart by labels.
    pub fn latencies(&self, name: &str, help: &str, labels: &[&str]) -> HistogramVec {
        let options = HistogramOpts::new(name, help).buckets(LATENCY_S.to_vec());
        let histograms = HistogramVec::new(options, labels).expect("a valid name");
        self.registry.register(Box::new(histograms.clone())).expect("a new name");
        histograms
    }

    /// Returns all values as text.
    pub fn page(&self) -> String {
        TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_default()
    }

    /// Serves the page at `path`.
    pub fn serve(
        self,
        listener: TcpListener,
        path: &str,
    ) -> impl Future<Output = io::Result<()>> + use<> {
        let page = get(move || std::future::ready(self.page()));
        let router = Router::new().route(path, page);
        async move { axum::serve(listener, router).await }
    }
}
