//! Hash functions that give the same results at all nodes without communication between them.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hashes a value with a salt. The hash is the same at every node, so that all nodes build the same pools.
pub(super) fn hash(value: u64, salt: u64) -> u64 {
    xxh3_64_with_seed(&value.to_le_bytes(), salt)
}

/// Returns the hash of a value with a salt as a number that is uniformly distributed from 0 to 1.
pub(super) fn unit_hash(value: u64, salt: u64) -> f64 {
    hash(value, salt) as f64 / u64::MAX as f64
}
