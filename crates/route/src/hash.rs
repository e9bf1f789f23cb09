//! Weighted rendezvous hashing: all gates rank the endpoints for an adapter alike.

use wire::endpoint::Model;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The bits of a digest that a number between 0 and 1 is made of.
const MANTISSA_BITS: u32 = 53;

/// Computes the digest of an adapter's version that [`rank`] is seeded with.
pub(crate) fn seed(model: &Model) -> u64 {
    let adapter = xxh3_64_with_seed(model.adapter.as_bytes(), 0);
    xxh3_64_with_seed(model.version.as_bytes(), adapter)
}

/// Computes the rank of an endpoint for a seed: the highest is first, and an endpoint of twice the
/// weight is first twice as often. The loss of an endpoint moves only what it was first for.
pub fn rank(seed: u64, endpoint: &str, weight: u32) -> f64 {
    let digest = xxh3_64_with_seed(endpoint.as_bytes(), seed);
    let unit =
        ((digest >> (u64::BITS - MANTISSA_BITS)) as f64 + 0.5) / (1_u64 << MANTISSA_BITS) as f64;
    -f64::from(weight) / unit.ln()
}
