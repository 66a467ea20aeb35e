//! Rendezvous (highest random weight) hashing, with the same result in every process.

use std::hash::Hasher;

use rustc_hash::FxHasher;

/// Returns a well-mixed hash of the parts, the same in every process.
#[must_use]
pub fn hash(parts: &[&str]) -> u64 {
    let mut hasher = FxHasher::default();
    for part in parts {
        hasher.write(part.as_bytes());
        hasher.write_u8(0xff);
    }
    mix(hasher.finish())
}

/// Returns the candidate with the highest weight for `key`; `None` if there are no candidates. `name` returns
/// the name of a candidate that is hashed.
pub fn pick<'a, T>(
    key: &str,
    candidates: impl Iterator<Item = &'a T>,
    name: impl Fn(&T) -> &str,
) -> Option<&'a T> {
    candidates.max_by_key(|candidate| hash(&[key, name(candidate)]))
}

/// Applies the finalizer of `SplitMix64`, because `FxHasher` alone leaves the low bits poorly mixed.
const fn mix(mut value: u64) -> u64 {
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
