//! The one hash behind rendezvous ownership and deterministic jitter.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Weight of `member` for `key`; the member with the greatest weight owns the key.
pub fn weight(member: &str, key: &str) -> u64 {
    let seed = xxh3_64_with_seed(member.as_bytes(), 0);
    xxh3_64_with_seed(key.as_bytes(), seed)
}

/// A number that looks random but depends on `a` and `b` alone, so that replays agree.
pub fn mix(a: u64, b: u64) -> u64 {
    xxh3_64_with_seed(&a.to_le_bytes(), b)
}
