//! Metrics of a keeper.

use prometheus::Encoder;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntGauge;
use prometheus::Registry;
use prometheus::TextEncoder;

/// The histogram buckets of synced writes, in seconds.
const SYNC_SECONDS: [f64; 10] = [0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.2, 1.0];

macro_rules! gauges {
    ($($field:ident $name:literal $help:literal)*) => {
        /// Metrics of a keeper.
        #[derive(Clone, Debug)]
        pub(crate) struct Metrics {
            registry: Registry,
            /// The duration of a write of the log with sync, in seconds.
            pub(crate) sync: Histogram,
            $(#[doc = $help] pub(crate) $field: IntGauge,)*
        }

        impl Metrics {
            /// Registers all metrics.
            pub(crate) fn new() -> Result<Metrics, prometheus::Error> {
                let registry = Registry::new();
                let options = HistogramOpts::new(
                    "radish_keeper_sync_seconds",
                    "The time of a write of the log with sync",
                );
                let sync = Histogram::with_opts(options.buckets(SYNC_SECONDS.to_vec()))?;
                registry.register(Box::new(sync.clone()))?;
                $(
                    let $field = IntGauge::new($name, $help)?;
                    registry.register(Box::new($field.clone()))?;
                )*
                Ok(Metrics { registry, sync, $($field,)* })
            }
        }
    };
}

gauges! {
    term "radish_keeper_term" "The term"
    leader "radish_keeper_leader" "1 on the leader"
    commit "radish_keeper_commit_index" "The committed index"
    applied "radish_keeper_applied_index" "The applied index"
    log_lag "radish_keeper_log_lag_entries" "The entries of the log that are not committed"
    voters "radish_keeper_voters" "The replicas that vote"
    leases "radish_keeper_leases" "The gates' leases, on the leader"
    proposals "radish_keeper_proposals" "The commands that wait for commit, on the leader"
    in_force "radish_keeper_in_force_revision" "The revision of the view that every gate applied"
    revision "radish_keeper_view_revision" "The revision of the view"
    journal_keys "radish_keeper_journal_keys" "The keys in the journal"
    journal_bytes "radish_keeper_journal_bytes" "The bytes of the answers in the journal"
    granted_permits "radish_keeper_load_permits" "The permits to load that are in use, on the leader"
    waiting_bids "radish_keeper_load_wishes" "The wishes to load that wait, on the leader"
}

impl Metrics {
    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> String {
        let mut buffer = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buffer).ok();
        String::from_utf8(buffer).unwrap_or_default()
    }
}
