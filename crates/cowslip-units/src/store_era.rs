//! Eras of the platform's store, and its versions in order over them.
//!
//! The store may come back from an older copy. Its versions then go back and are given out again, and its era rises by one.
//! A version that leaves the store's client holds the era in its upper bits, so that any later one is greater, and one that
//! was given out twice is two.

use crate::whole_number::whole_number;

/// Bits of a version below its era.
const VERSION_BITS: u32 = 44;

whole_number!(
    /// Counts the store's returns from an older copy.
    StoreEra,
    "store era"
);

impl StoreEra {
    /// The highest era that a version can hold.
    pub const HIGHEST: Self = Self::new((1 << (u64::BITS - VERSION_BITS)) - 1);

    /// The era of a version.
    pub const fn of(version: u64) -> Self {
        Self::new(version >> VERSION_BITS)
    }

    /// The version that the store gave the number `bare` in this era; `None` for a number beyond those that it gives.
    pub const fn version(self, raw_version: u64) -> Option<u64> {
        if raw_version >> VERSION_BITS == 0 { Some(self.get() << VERSION_BITS | raw_version) } else { None }
    }

    /// The number of a version as the store gave it.
    pub const fn raw_version(version: u64) -> u64 {
        version & ((1 << VERSION_BITS) - 1)
    }
}
