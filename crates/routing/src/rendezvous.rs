//! Weighted rendezvous hashing: each box computes the same ranking of nodes for an object without
//! messages, and adding or removing a node moves only that node's objects.

use xxhash_rust::xxh3::xxh3_64;

/// Returns a uniformly distributed hash of an object of a service.
pub fn object_hash(service: &str, object: &[u8]) -> u64 {
    mix(xxh3_64(service.as_bytes()), xxh3_64(object))
}

/// Returns the score of `node` for `object`; the highest score wins. A node with twice the weight
/// wins twice as many objects.
pub fn weighted_score(object: u64, node: u64, weight: f64) -> f64 {
    if weight <= 0.0 {
        return 0.0;
    }
    // 53 bits fit a float exactly; adding 0.5 keeps the logarithm finite.
    let bits = mix(object, node) >> 11;
    let uniform = (bits as f64 + 0.5) / (1_u64 << 53) as f64;
    -weight / uniform.ln()
}

/// Combines two hashes into one (the finalizer of MurmurHash3).
fn mix(a: u64, b: u64) -> u64 {
    let mut hash = a ^ b.rotate_left(32).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
