//! The hash function (XXH3) that rendezvous hashing and deterministic jitter share.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the rendezvous hash of `member` for `key`. The member with the greatest weight owns the
/// key.
pub fn rendezvous_weight(member: &str, key: &str) -> u64 {
    let seed = xxh3_64_with_seed(member.as_bytes(), 0);
    xxh3_64_with_seed(key.as_bytes(), seed)
}

/// Returns a pseudorandom number that depends only on `a` and `b`, so that a replay of a run draws
/// the same numbers.
pub fn deterministic_random(a: u64, b: u64) -> u64 {
    xxh3_64_with_seed(&a.to_le_bytes(), b)
}
