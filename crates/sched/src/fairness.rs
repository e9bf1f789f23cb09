//! The fair sharing of engines and of the store among tenants. Without effect if the plan has no tenants.

use std::time::Duration;

use base::Map;
use base::Name;
use fleet::tenant;
use fleet::tenant::Tenant;
use share::Usage;

use crate::request::Assignment;
use crate::request::Pending;

/// The half-life of usage. Over it a tenant may have a burst; a longer one would make a tenant pay longer for what it
/// received while there was enough for all.
const HALF_LIFE: Duration = Duration::from_secs(4);
/// The time after a request found no capacity for which the engines count as short.
const SHORTAGE: Duration = Duration::from_secs(1);
/// The excess up to which a tenant counts as at its share, because usage varies by chance.
const TOLERATED_EXCESS: f64 = 1.25;
/// The excess beyond that at which the margins are full.
const FULL_EXCESS: f64 = 0.25;
/// The part of the target that a tenant far over its share leaves to the others while the engines are short. Their requests
/// then find backlogs of at most the rest, and have this part for bursts of their own.
const TARGET_MARGIN: f64 = 0.5;
/// The part of its share of the store that such a tenant leaves to the others.
const STORE_MARGIN: f64 = 0.3;

/// What tenants have received of the scarce resources.
#[derive(Debug)]
pub(crate) struct Fairness {
    /// Whether the plan has tenants.
    enabled: bool,
    /// The prompt tokens read and the output tokens.
    tokens: Usage,
    /// The loads from the store.
    loads: Usage,
    /// When the engines no longer count as short.
    short_until: Duration,
    /// Stands for all requests without a tenant.
    anonymous: Name,
}

impl Fairness {
    pub(crate) fn new() -> Fairness {
        Fairness {
            enabled: false,
            tokens: Usage::new(HALF_LIFE),
            loads: Usage::new(HALF_LIFE),
            short_until: Duration::ZERO,
            anonymous: Name::default(),
        }
    }

    /// Applies the tenants of a plan.
    pub(crate) fn set_tenants(&mut self, tenants: &[Tenant]) {
        self.enabled = !tenants.is_empty();
        let weights = tenant::weights(tenants);
        self.tokens.set_weights(weights.iter().cloned());
        self.loads.set_weights(weights);
    }

    /// Records that a request gets an engine, where it uses so many tokens and may need a load from the store.
    pub(crate) fn record(&mut self, pending: &Pending, tokens: f64, cold: bool, now: Duration) {
        if !self.enabled {
            return;
        }
        let tenant = pending.tenant.as_ref().unwrap_or(&self.anonymous);
        self.tokens.record(tenant, tokens, now);
        if cold {
            self.loads.record(tenant, 1.0, now);
        }
    }

    /// Records that a request that got an engine did not run there.
    pub(crate) fn refund(&mut self, assignment: &Assignment, now: Duration) {
        if self.enabled {
            let tokens = assignment.prefill_tokens + f64::from(assignment.output_tokens);
            let tenant = assignment.tenant.as_ref().unwrap_or(&self.anonymous);
            self.tokens.refund(tenant, tokens, now);
        }
    }

    /// Records that a request which is not held back for its tenant found no capacity.
    pub(crate) fn record_shortage(&mut self, now: Duration) {
        self.short_until = now + SHORTAGE;
    }

    /// Returns the place of a request in the queue among those of its rank, by what its tenant received of what the request
    /// waits for: an adapter slot or an engine.
    pub(crate) fn level(&self, pending: &Pending, now: Duration) -> u32 {
        if !self.enabled {
            return 0;
        }
        let usage = if pending.awaited_engine.is_some() { &self.loads } else { &self.tokens };
        share::level(usage.excess(pending.tenant.as_ref().unwrap_or(&self.anonymous), now))
    }

    /// Returns the share of the target within which a request must be served.
    pub(crate) fn target_share(&self, pending: &Pending, now: Duration) -> f64 {
        1.0 - TARGET_MARGIN * self.margin(&self.tokens, pending, now)
    }

    /// Returns the share of the store's utilization up to which a request may use it.
    pub(crate) fn store_share(&self, pending: &Pending, now: Duration) -> f64 {
        1.0 - STORE_MARGIN * self.margin(&self.loads, pending, now)
    }

    /// Returns how far the tenant of a request is over its share, from 0 to 1; 0 unless the engines are short.
    fn margin(&self, usage: &Usage, pending: &Pending, now: Duration) -> f64 {
        if !self.enabled || now >= self.short_until {
            return 0.0;
        }
        let excess = usage.excess(pending.tenant.as_ref().unwrap_or(&self.anonymous), now);
        ((excess - TOLERATED_EXCESS) / FULL_EXCESS).clamp(0.0, 1.0)
    }

    /// Returns the larger excess of a request's tenant, over its shares of tokens and of loads.
    pub(crate) fn excess(&self, pending: &Pending, now: Duration) -> f64 {
        let tenant = pending.tenant.as_ref().unwrap_or(&self.anonymous);
        self.tokens.excess(tenant, now).max(self.loads.excess(tenant, now))
    }

    /// Returns the queued request that leaves a full queue for another one: of the least urgent rank, then of the tenant
    /// with the most queued requests by weight, then the latest. `None` if that is the new one itself.
    pub(crate) fn displaced<'a>(
        &self,
        queue: impl Iterator<Item = &'a Pending> + Clone,
        new: &'a Pending,
    ) -> Option<usize> {
        if !self.enabled {
            return None;
        }
        let mut counts: Map<Option<&Name>, f64> = Map::default();
        for pending in queue.clone().chain([new]) {
            *counts.entry(pending.tenant.as_ref()).or_default() += 1.0;
        }
        let place = |pending: &Pending| {
            let tenant = pending.tenant.as_ref();
            let count = counts.get(&tenant).copied().unwrap_or_default();
            let weight = self.tokens.weight(tenant.unwrap_or(&self.anonymous));
            (pending.query.rank, count / weight, pending.received_at)
        };
        let order = |a: &Pending, b: &Pending| {
            let (a, b) = (place(a), place(b));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2))
        };
        let (index, last) = queue.enumerate().max_by(|(_, a), (_, b)| order(a, b))?;
        order(last, new).is_gt().then_some(index)
    }
}
