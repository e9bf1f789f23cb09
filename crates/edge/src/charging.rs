//! Charges requests to the quotas of their tenants.

use std::sync::Arc;
use std::time::Duration;

use base::Code;
use base::Event;
use fleet::tenant::Tenant;
use tokio::time::Instant;

use crate::call::Call;
use crate::gate::Gate;
use crate::keepers::Keepers;
use crate::metrics::Metrics;
use crate::protocol::Protocol;
use crate::quotas::Charge;
use crate::quotas::Excess;
use crate::refusal::Refusal;
use crate::settings::LEADER_WAIT_SHARE;

/// The interval at which expired credit is returned to the leader.
const CREDIT_INTERVAL: Duration = Duration::from_millis(100);
/// The retry delay in the refusal of a request whose units are available at once.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(1);

impl<P: Protocol> Gate<P> {
    /// Charges a call to its tenant's quota, once for all attempts; `None` if there is no quota.
    pub(crate) async fn charge(&self, call: &Call) -> Result<Option<Charge>, Refusal> {
        let Some(tenant) = &call.tenant else { return Ok(None) };
        let end = call.received + call.route.target.mul_f64(LEADER_WAIT_SHARE);
        let patience = end.saturating_duration_since(Instant::now());
        let charged = self.keepers.charge(tenant, call.request.tokens, patience).await;
        let label = self.metrics.tenant_label(&tenant.name);
        let (result, units) = match &charged {
            Ok(None) => return Ok(None),
            Ok(Some(charge)) => ("charged", charge.units()),
            Err(Excess { wait: Some(_), units, .. }) => ("exceeded", *units),
            Err(Excess { wait: None, units, .. }) => ("too_large", *units),
        };
        self.metrics.quota_requests.with_label_values(&[label, result]).inc();
        self.metrics.quota_units.with_label_values(&[label, result]).inc_by(units);
        charged.map_err(|excess| refuse_quota(tenant, call, &excess))
    }
}

/// Logs why a request may not run and returns the refusal.
fn refuse_quota(tenant: &Tenant, call: &Call, excess: &Excess) -> Refusal {
    let refusal = match excess.wait {
        Some(wait) => Refusal::retryable(Code::QuotaExceeded, wait.max(MIN_RETRY_AFTER)),
        None => Refusal::new(Code::QuotaTooLarge),
    };
    base::event!(
        INFO, Event::QuotaRefused, request = %call.request.id, tenant = %tenant.name,
        code = refusal.code.number(), units = excess.units, limit = excess.limit,
        used = excess.answer.map(|(_, used)| used),
        age_ms = excess.answer.map(|(age, _)| age.as_millis() as u64), plan = call.version,
        retry_ms = refusal.retry_after.map(|wait| wait.as_millis() as u64)
    );
    refusal
}

/// Returns expired credit to the leader for as long as the gate runs.
pub(crate) async fn return_credit(keepers: Arc<Keepers>, metrics: Metrics) {
    loop {
        tokio::time::sleep(CREDIT_INTERVAL).await;
        keepers.expire_credit();
        metrics.quota_credit.reset();
        for (tenant, units) in keepers.held_credit() {
            let label = metrics.tenant_label(&tenant);
            metrics.quota_credit.with_label_values(&[label]).add(units as i64);
        }
    }
}
