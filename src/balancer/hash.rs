//! Hashes that all nodes agree on without speaking to each other.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hashes a value under a salt; the same at every node, so that all of them build the same pools.
pub(super) fn hash(value: u64, salt: u64) -> u64 {
    xxh3_64_with_seed(&value.to_le_bytes(), salt)
}

/// The same hash as a number that is spread evenly from 0 to 1.
pub(super) fn unit_hash(value: u64, salt: u64) -> f64 {
    hash(value, salt) as f64 / u64::MAX as f64
}
