//! Tenants: their API keys, priorities and quotas.

use std::fmt;
use std::time::Duration;

use base::Map;
use base::Name;
use base::Set;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use sha2::Sha256;

use crate::plan::Error;

/// A customer of the operator that shares the site with others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// The name, which endpoints get with each request.
    pub name: Name,
    /// The digests of its API keys.
    pub keys: Vec<Digest>,
    /// Replaces the rank of the route; 0 is the most urgent.
    pub rank: Option<u8>,
    /// The quota; `None` if there is no limit.
    pub quota: Option<Quota>,
}

/// The SHA-256 digest of an API key. The key itself is not kept.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest([u8; 32]);

/// The unit in which a quota is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unit {
    /// Each request counts 1.
    Requests,
    /// A request counts its prompt and its longest output, in tokens.
    Tokens,
}

/// The quota of a tenant over all gates.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// The units per second.
    pub rate: f64,
    /// The units in addition to the rate, in each window.
    pub burst: f64,
    /// The unit.
    pub unit: Unit,
    /// What a request without a token count counts, in tokens.
    pub plain_tokens: u64,
    /// The sliding window in which requests are counted.
    pub window: Duration,
    /// The share of the limit by which more may be used, because counting over all gates is not exact.
    pub overage: f64,
}

impl Digest {
    /// Returns the digest of a key.
    pub fn of(key: &[u8]) -> Digest {
        Digest(Sha256::digest(key).into())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Digest(..)")
    }
}

impl Quota {
    /// Returns the units in which a request of `tokens` counts; `tokens` is `None` for one without a token count.
    pub fn units(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            Unit::Requests => 1,
            Unit::Tokens => tokens.unwrap_or(self.plain_tokens).max(1),
        }
    }

    /// Returns the units that may be used in any window.
    pub fn limit(&self) -> u64 {
        (self.rate * self.window.as_secs_f64() + self.burst) as u64
    }
}

/// Returns the weight of each tenant in the sharing of scarce capacity: the rate of its quota relative to the mean of those
/// that are counted in the same unit, and 1 for one without a rate.
pub fn weights(tenants: &[Tenant]) -> Vec<(Name, f64)> {
    let rate = |tenant: &Tenant| {
        let quota = tenant.quota.filter(|quota| quota.rate > 0.0);
        quota.map(|quota| (quota.unit, quota.rate))
    };
    let mean = |unit| {
        let rates = tenants.iter().filter_map(rate).filter(|(other, _)| *other == unit);
        let (sum, count) =
            rates.fold((0.0, 0.0), |(sum, count), (_, rate)| (sum + rate, count + 1.0));
        sum / f64::max(count, 1.0)
    };
    let means = [Unit::Requests, Unit::Tokens].map(|unit| (unit, mean(unit)));
    let weight = |tenant: &Tenant| {
        let (unit, rate) = rate(tenant)?;
        let (_, mean) = means.iter().find(|(other, _)| *other == unit)?;
        Some(rate / mean)
    };
    tenants.iter().map(|tenant| (tenant.name.clone(), weight(tenant).unwrap_or(1.0))).collect()
}

/// Checks that no two tenants have the same name or share a key.
pub(crate) fn validate(tenants: &[Tenant]) -> Result<(), Error> {
    let mut names = Set::default();
    let mut keys: Map<Digest, &Name> = Map::default();
    for tenant in tenants {
        if tenant.name.is_empty() {
            return Err(Error::UnnamedTenant);
        }
        if !names.insert(&tenant.name) {
            return Err(Error::DuplicateTenant(tenant.name.clone()));
        }
        for key in &tenant.keys {
            if let Some(other) = keys.insert(*key, &tenant.name)
                && *other != tenant.name
            {
                let (first, second) = (other.clone(), tenant.name.clone());
                return Err(Error::SharedKey { first, second });
            }
        }
    }
    Ok(())
}
