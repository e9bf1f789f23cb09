//! Which endpoint gets a request that no scheduler places: the least loaded one that is trusted.

use std::time::Duration;

use base::Map;
use base::Name;
use fleet::endpoint::Endpoint;

use crate::board::Stats;

/// What an endpoint in another failure domain costs, in requests.
const FOREIGN: f64 = 0.3;
/// What an endpoint that always fails costs, in requests.
const RISK: f64 = 40.0;

/// Returns the best of some endpoints of one service; those in `excluded` only if there is no other.
pub fn choose<'a>(
    endpoints: impl Iterator<Item = &'a Endpoint>,
    stats: &Map<Name, Stats>,
    domain: &str,
    excluded: &[Name],
    tie: u64,
    now: Duration,
) -> Option<&'a Endpoint> {
    let cost = |endpoint: &Endpoint| {
        let stats = stats.get(&endpoint.id).cloned().unwrap_or_default();
        let foreign = if &*endpoint.domain == domain { 0.0 } else { FOREIGN };
        let banned = if excluded.contains(&endpoint.id) { 1e6 } else { 0.0 };
        let spread =
            base::digest(endpoint.id.as_bytes()).wrapping_add(tie).wrapping_mul(0x9E37_79B9);
        let spread = (spread % 1_000) as f64 / 1e4;
        stats.queue(now) + stats.risk(now) * RISK + foreign + banned + spread
    };
    let costs = endpoints.map(|endpoint| (cost(endpoint), endpoint));
    costs.min_by(|(a, _), (b, _)| a.total_cmp(b)).map(|(_, endpoint)| endpoint)
}
