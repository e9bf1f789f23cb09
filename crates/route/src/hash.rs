//! Weighted rendezvous hashing, by which all gates rank the endpoints for an adapter in the same
//! order.

use wire::endpoint::Model;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The bits of a digest that are used for a number between 0 and 1.
const MANTISSA_BITS: u32 = 53;

/// Returns the digest of an adapter's version, a seed for [`rank`].
pub(crate) fn seed(model: &Model) -> u64 {
    let adapter = xxh3_64_with_seed(model.adapter.as_bytes(), 0);
    xxh3_64_with_seed(model.version.as_bytes(), adapter)
}

/// Returns the rank of an endpoint for a seed; the endpoint with the highest rank comes first.
///
/// The probability of coming first is proportional to the weight. If an endpoint is removed, only
/// the seeds for which it came first move to others.
pub fn rank(seed: u64, endpoint: &str, weight: u32) -> f64 {
    let digest = xxh3_64_with_seed(endpoint.as_bytes(), seed);
    let unit =
        ((digest >> (u64::BITS - MANTISSA_BITS)) as f64 + 0.5) / (1_u64 << MANTISSA_BITS) as f64;
    -f64::from(weight) / unit.ln()
}
