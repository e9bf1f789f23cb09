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
/// The cost of an endpoint of which all requests fail, in ms; above the time of any call that is on time.
const FAILURE_MS: f64 = 2_000.0;
/// The cost of an endpoint in another failure domain, in ms.
const REMOTE_MS: f64 = 1.0;

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
    let unknown = Stats::default();
    let cost = |endpoint: &Endpoint| {
        let stats = stats.get(&endpoint.id).unwrap_or(&unknown);
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

/// Returns the better one of two random endpoints, by the time that a call is expected to take there. For endpoints that
/// state the pace of their hosts; gates that see the same outdated loads would all choose the one with the lowest cost.
/// `draw` returns a random index below its argument.
pub fn choose_of_two<'a>(
    endpoints: &[&'a Endpoint],
    stats: &Map<Name, Stats>,
    domain: &str,
    draw: impl FnMut(usize) -> usize,
    now: Duration,
) -> Option<&'a Endpoint> {
    let estimates =
        endpoints.iter().filter_map(|endpoint| stats.get(&endpoint.id)?.estimate.as_ref());
    let works = estimates.filter_map(|estimate| estimate.usual_ms());
    let (sum, known) = works.fold((0.0, 0.0), |(sum, known), work| (sum + work, known + 1.0));
    // An endpoint without a run is assumed to work like the others.
    let mean = if known > 0.0 { sum / known } else { 1.0 };
    let unknown = Stats::default();
    let cost = |endpoint: &&Endpoint| {
        let stats = stats.get(&endpoint.id).unwrap_or(&unknown);
        let load = stats.load(now) + 1.0;
        let estimate = stats.estimate.as_ref();
        let work = estimate.map_or(mean, |estimate| estimate.blended_ms(mean, now));
        let takes = estimate.and_then(|estimate| estimate.takes());
        let takes = takes.unwrap_or(f64::from(endpoint.slots.max(1)));
        let remote = if &*endpoint.domain == domain { 0.0 } else { REMOTE_MS };
        // Below the capacity, the share of used slots decides between endpoints of equal speed.
        let expected = work * ((load / takes).max(1.0) + load / takes);
        expected + stats.failure_rate(now) * FAILURE_MS + remote
    };
    capacity::pick_of_two(endpoints, draw, cost).copied()
}
