//! The retry budgets of the services.

use std::collections::VecDeque;
use std::time::Duration;

use base::Map;
use base::Name;

/// The share of the ratio that is used. Windows start at different times: the requests in a gate's window may lie
/// in any window of the limit, the one before it or the one half a window before it only to three quarters.
const RATIO_SHARE: f64 = 0.75;
/// The number of gates among which the slack is divided at least.
const MIN_GATES: u32 = 8;
/// The number of processes for each gate among which the slack is divided. A gate that restarts within the window
/// starts with an empty count.
const PROCESSES_PER_GATE: u32 = 2;

/// The part of a budget that tenants use as they come. Of the rest, each gets [`TENANT_SHARES`] times its part of the requests,
/// so that a tenant whose requests fail leaves retries to the others.
const COMMON_SHARE: f64 = 0.5;
/// More than 1, because the requests that fail are not spread evenly.
const TENANT_SHARES: f64 = 2.0;

/// The limit on the retries at a service, over all gates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// The retries per request.
    pub ratio: f64,
    /// The retries that all gates together may make on top of the ratio.
    pub slack: f64,
    /// The sliding window over which requests and retries are counted.
    pub window: Duration,
}

/// Limits the retries at each service to a share of the recently received requests for that service. Each gate
/// applies the ratio to its own requests and uses its share of the slack, so that all gates together keep to the
/// limit without coordination. No tenant can use up the budget of a service to which others send requests too.
#[derive(Debug)]
pub struct Budget {
    limit: Limit,
    services: Map<Name, Count>,
}

/// The requests and retries of a service in the window, by time.
#[derive(Debug, Default)]
struct Count {
    requests: Events,
    retries: Events,
}

/// Times with the tenants, the oldest first.
#[derive(Debug, Default)]
struct Events {
    times: VecDeque<(Duration, Option<Name>)>,
    /// How many of the times are of each tenant.
    tenants: Map<Option<Name>, u32>,
}

impl Events {
    fn len(&self) -> f64 {
        self.times.len() as f64
    }

    fn of(&self, tenant: &Option<Name>) -> f64 {
        f64::from(self.tenants.get(tenant).copied().unwrap_or_default())
    }

    fn push(&mut self, tenant: Option<Name>, now: Duration) {
        *self.tenants.entry(tenant.clone()).or_default() += 1;
        self.times.push_back((now, tenant));
    }

    /// Drops the times that are older than the window.
    fn expire(&mut self, window: Duration, now: Duration) {
        while let Some((_, tenant)) = self.times.pop_front_if(|(at, _)| now >= *at + window) {
            if let Some(count) = self.tenants.get_mut(&tenant) {
                *count -= 1;
                if *count == 0 {
                    self.tenants.remove(&tenant);
                }
            }
        }
    }
}

impl Budget {
    /// Creates a budget without requests.
    pub fn new(limit: Limit) -> Budget {
        Budget { limit, services: Map::default() }
    }

    /// Counts a received request of a tenant for a service.
    pub fn record_request(&mut self, service: &Name, tenant: Option<&Name>, now: Duration) {
        self.expire(now);
        self.services.entry(service.clone()).or_default().requests.push(tenant.cloned(), now);
    }

    /// Takes one retry of a tenant from the budget of a service; returns false if none is left for it. `gates` is the number
    /// of gates of the cell; `None` if it is unknown, in which case the slack is not used.
    pub fn try_retry(
        &mut self,
        service: &Name,
        tenant: Option<&Name>,
        gates: Option<u32>,
        now: Duration,
    ) -> bool {
        self.expire(now);
        let count = self.services.entry(service.clone()).or_default();
        let slack = gates.map_or(0.0, |gates| {
            self.limit.slack / f64::from(gates.max(MIN_GATES) * PROCESSES_PER_GATE)
        });
        let tenant = tenant.cloned();
        let allowed = count.requests.len() * self.limit.ratio * RATIO_SHARE + slack;
        let sent = count.requests.len();
        let part = if sent > 0.0 { count.requests.of(&tenant) / sent } else { 1.0 };
        let retries = count.retries.len() + 1.0;
        let free = retries <= allowed
            && (retries <= allowed * COMMON_SHARE
                || count.retries.of(&tenant) + 1.0 <= allowed * part * TENANT_SHARES);
        if free {
            count.retries.push(tenant, now);
        }
        free
    }

    /// Drops the times that have left the window, and the services without any.
    fn expire(&mut self, now: Duration) {
        let window = self.limit.window;
        self.services.retain(|_, Count { requests, retries }| {
            requests.expire(window, now);
            retries.expire(window, now);
            !requests.times.is_empty() || !retries.times.is_empty()
        });
    }
}
