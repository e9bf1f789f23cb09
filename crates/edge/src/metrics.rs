//! The metrics of a gate.

use std::sync::Arc;

use base::Name;
use base::Set;
use meter::Meter;
use parking_lot::Mutex;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::IntGaugeVec;

/// The limit on the tenants with metrics of their own. A gate that serves 1,000 tenants with ten statuses has 10,000 series
/// of some 200 bytes.
const MAX_TENANTS: usize = 1_000;
/// Stands for the tenants beyond [`MAX_TENANTS`].
const OTHER_TENANTS: &str = "(other)";

/// The metrics of a gate.
#[derive(Clone, Debug)]
pub(crate) struct Metrics {
    /// The responses sent to callers, by route and status.
    pub(crate) requests: IntCounterVec,
    /// The responses sent to tenants, by tenant and status.
    tenant_requests: IntCounterVec,
    /// The tenants with metrics of their own.
    ///
    /// Invariant: at most [`MAX_TENANTS`].
    tenants: Arc<Mutex<Set<Name>>>,
    /// The time from a request to the head of its response, by route.
    pub(crate) head_latency: HistogramVec,
    /// The refusals, by result code.
    pub(crate) refusals: IntCounterVec,
    /// The attempts at endpoints, by outcome.
    pub(crate) attempts: IntCounterVec,
    /// The requests that were not sent to an endpoint because of its limit.
    pub(crate) limited: IntCounterVec,
    /// The connections that other gates requested, by answer.
    pub(crate) tunnels: IntCounterVec,
    /// The lookups of where a resumed stream began, by the source of the answer.
    pub(crate) origins: IntCounterVec,
    /// The requests of tenants with a quota, by tenant and result.
    pub(crate) quota_requests: IntCounterVec,
    /// The units of these requests, by tenant and result.
    pub(crate) quota_units: IntCounterVec,
    /// The credit that the gate holds, by tenant.
    pub(crate) quota_credit: IntGaugeVec,
    /// The time that routing decisions took, by result.
    pub(crate) decision_latency: HistogramVec,
}

impl Metrics {
    pub(crate) fn new(meter: &Meter) -> Metrics {
        Metrics {
            requests: meter.counters(
                "gate_requests_total",
                "Requests answered.",
                &["route", "status"],
            ),
            tenant_requests: meter.counters(
                "gate_tenant_requests_total",
                "Requests of tenants answered.",
                &["tenant", "status"],
            ),
            tenants: Arc::default(),
            head_latency: meter.histograms(
                "gate_head_seconds",
                "Time to the head of an answer.",
                &["route"],
            ),
            refusals: meter.counters("gate_refusals_total", "Requests refused.", &["code"]),
            attempts: meter.counters("gate_attempts_total", "Sendings to endpoints.", &["outcome"]),
            limited: meter.counters(
                "gate_limited_total",
                "Requests not sent to an endpoint because of its limit.",
                &[],
            ),
            tunnels: meter.counters(
                "gate_tunnels_total",
                "Connections to endpoints that other gates requested.",
                &["answer"],
            ),
            origins: meter.counters(
                "gate_origins_total",
                "Lookups of where a resumed stream began.",
                &["source"],
            ),
            quota_requests: meter.counters(
                "gate_quota_requests_total",
                "Requests of tenants with a quota.",
                &["tenant", "result"],
            ),
            quota_units: meter.counters(
                "gate_quota_units_total",
                "Units of requests of tenants with a quota.",
                &["tenant", "result"],
            ),
            quota_credit: meter.gauges(
                "gate_quota_credit",
                "Units of a quota that the gate has reserved and not spent.",
                &["tenant"],
            ),
            decision_latency: meter.histograms(
                "gate_grant_seconds",
                "Time until a scheduler's answer.",
                &["answer"],
            ),
        }
    }

    /// Counts a response to a tenant.
    pub(crate) fn count_tenant_request(&self, tenant: &Name, status: &str) {
        let label = self.tenant_label(tenant);
        self.tenant_requests.with_label_values(&[label, status]).inc();
    }

    /// Returns the label of a tenant.
    pub(crate) fn tenant_label<'a>(&self, tenant: &'a Name) -> &'a str {
        let mut tenants = self.tenants.lock();
        let known = tenants.contains(tenant)
            || (tenants.len() < MAX_TENANTS && tenants.insert(tenant.clone()));
        if known { tenant } else { OTHER_TENANTS }
    }
}
