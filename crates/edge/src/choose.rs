//! Load balancing over the endpoints of a service, for requests that the scheduler does not place.

use std::time::Duration;

use base::Map;
use base::Name;
use fleet::endpoint::Endpoint;

use crate::view::Stats;

/// The cost of an endpoint in another failure domain, in queued requests.
const REMOTE_COST: f64 = 0.3;
/// The cost of an endpoint with a failure rate of 1, in queued requests.
const FAILURE_COST: f64 = 40.0;
/// The cost of an excluded endpoint, above that of any other.
const EXCLUDED_COST: f64 = 1e6;

/// Returns the endpoint with the lowest cost, from its load, failure rate and failure domain. Endpoints in
/// `excluded` are returned only if there is no other. `tie` is a random number that varies the order of
/// endpoints of nearly equal cost.
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
        let remote = if &*endpoint.domain == domain { 0.0 } else { REMOTE_COST };
        let exclusion = if excluded.contains(&endpoint.id) { EXCLUDED_COST } else { 0.0 };
        let jitter =
            base::digest(endpoint.id.as_bytes()).wrapping_add(tie).wrapping_mul(0x9E37_79B9);
        let jitter = (jitter % 1_000) as f64 / 1e4;
        stats.load(now) + stats.failure_rate(now) * FAILURE_COST + remote + exclusion + jitter
    };
    let costs = endpoints.map(|endpoint| (cost(endpoint), endpoint));
    costs.min_by(|(a, _), (b, _)| a.total_cmp(b)).map(|(_, endpoint)| endpoint)
}
