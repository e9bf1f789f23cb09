//! The decayed usage of each tenant.

use std::time::Duration;

use base::Map;
use base::Name;

/// The share of its fair share below which a tenant no longer counts as active. Its fair share is then divided among the
/// others.
const IDLE_SHARE: f64 = 0.01;
/// The share of its fair share with which a tenant begins when it was idle, which bounds the burst that it may have at the
/// cost of others.
const INITIAL_SHARE: f64 = 0.5;
/// The weight of the latest amount in the moving average of amounts.
const GRAIN_WEIGHT: f64 = 0.02;
/// The steps of [`level`] for each doubling of the excess.
///
/// With 2, a tenant of weight 0.5 among others of weight 1 and 2 and equal demand got 1.45 times its share.
const LEVELS_PER_DOUBLING: f64 = 4.0;
/// The lowest weight of a tenant, relative to the others' mean of about 1.
const MIN_WEIGHT: f64 = 1e-3;
/// The weight of a tenant that is not in the plan.
const DEFAULT_WEIGHT: f64 = 1.0;

/// A decayed sum and the time of its update.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    amount: f64,
    at: Duration,
}

impl Sum {
    fn at(self, now: Duration, half_life_s: f64) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.amount * (-age / half_life_s).exp2()
    }
}

/// What tenants have received of a resource, in any unit, decayed with its age.
///
/// All operations take constant time, but for one pass over the active tenants in each half-life.
#[derive(Debug)]
pub struct Usage {
    half_life_s: f64,
    weights: Map<Name, f64>,
    /// The usage of the active tenants.
    used: Map<Name, Sum>,
    total: Sum,
    /// The sum of the weights of the tenants in `used`.
    active_weight: f64,
    /// The moving average of the recorded amounts.
    grain: f64,
    /// When idle tenants were last removed.
    swept_at: Duration,
}

impl Usage {
    /// Creates the usage of a resource.
    pub fn new(half_life: Duration) -> Usage {
        Usage {
            half_life_s: half_life.as_secs_f64(),
            weights: Map::default(),
            used: Map::default(),
            total: Sum::default(),
            active_weight: 0.0,
            grain: 0.0,
            swept_at: Duration::ZERO,
        }
    }

    /// Sets the weights of the tenants, to which fair shares are proportional.
    pub fn set_weights(&mut self, weights: impl IntoIterator<Item = (Name, f64)>) {
        let weights = weights.into_iter().map(|(name, weight)| (name, weight.max(MIN_WEIGHT)));
        self.weights = weights.collect();
        self.active_weight = self.used.keys().map(|tenant| self.weight(tenant)).sum();
    }

    /// Returns the weight of a tenant.
    pub fn weight(&self, tenant: &Name) -> f64 {
        self.weights.get(tenant).copied().unwrap_or(DEFAULT_WEIGHT)
    }

    /// Records that a tenant has received an amount.
    pub fn record(&mut self, tenant: &Name, amount: f64, now: Duration) {
        if now.saturating_sub(self.swept_at).as_secs_f64() >= self.half_life_s {
            self.remove_idle(now);
        }
        self.grain = match self.used.is_empty() {
            true => amount,
            false => self.grain + GRAIN_WEIGHT * (amount - self.grain),
        };
        let known = self.used.get(tenant).copied();
        if known.is_none() {
            self.active_weight += self.weight(tenant);
        }
        let used = known.map_or(0.0, |used| used.at(now, self.half_life_s));
        let used = used.max(self.fair_share(tenant, now) * INITIAL_SHARE);
        self.used.insert(tenant.clone(), Sum { amount: used + amount, at: now });
        self.total = Sum { amount: self.total.at(now, self.half_life_s) + amount, at: now };
    }

    /// Takes back an amount that was recorded and that the tenant did not receive after all.
    pub fn refund(&mut self, tenant: &Name, amount: f64, now: Duration) {
        let half_life_s = self.half_life_s;
        let Some(used) = self.used.get_mut(tenant) else { return };
        *used = Sum { amount: (used.at(now, half_life_s) - amount).max(0.0), at: now };
        self.total = Sum { amount: (self.total.at(now, half_life_s) - amount).max(0.0), at: now };
    }

    /// Returns the usage of a tenant divided by its fair share: 1 is exactly its share, 0 if it has used nothing lately.
    ///
    /// The fair share is the tenant's part, by weight, of what all active tenants have used, and one amount of average size
    /// in addition, so that a tenant with few requests is not over its share because of the size of a single one.
    pub fn excess(&self, tenant: &Name, now: Duration) -> f64 {
        let Some(used) = self.used.get(tenant) else { return 0.0 };
        let share = self.fair_share(tenant, now) + self.grain;
        if share > 0.0 { used.at(now, self.half_life_s) / share } else { 0.0 }
    }

    fn fair_share(&self, tenant: &Name, now: Duration) -> f64 {
        self.total.at(now, self.half_life_s) * self.weight(tenant) / self.active_weight
    }

    /// Returns the number of tenants that have used something lately.
    pub fn active(&self) -> usize {
        self.used.len()
    }

    /// Removes the tenants that have used next to nothing lately.
    fn remove_idle(&mut self, now: Duration) {
        self.swept_at = now;
        let total = self.total.at(now, self.half_life_s);
        let (half_life_s, active_weight) = (self.half_life_s, self.active_weight);
        let weights = &self.weights;
        self.used.retain(|tenant, used| {
            let weight = weights.get(tenant).copied().unwrap_or(DEFAULT_WEIGHT);
            used.at(now, half_life_s) > total * weight / active_weight * IDLE_SHARE
        });
        self.active_weight = self.used.keys().map(|tenant| self.weight(tenant)).sum();
    }
}

/// Returns the place of a tenant's requests in a queue by its excess: 0 for all tenants up to about their share, among whom
/// age decides, and one more for each fourth of a doubling.
pub fn level(excess: f64) -> u32 {
    (excess.max(1.0).log2() * LEVELS_PER_DOUBLING) as u32
}
