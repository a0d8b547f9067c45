//! Eras of the platform's store, which keep its versions ordered when it is restored from a backup.
//!
//! When the store is restored from an older backup, its versions go back and are assigned again, and its era
//! rises by one. The store client puts the era into the upper bits of each version that it returns, so that
//! later versions always compare greater and a version that was assigned twice becomes two different ones.

use crate::whole_number::whole_number;

/// Bits of a version that hold the store's own number; the bits above hold the era.
const VERSION_BITS: u32 = 44;

whole_number!(
    /// Number of times that the store was restored from an older backup.
    StoreEra,
    "store era"
);

impl StoreEra {
    /// The highest era that fits into a version.
    pub const HIGHEST: Self = Self::new((1 << (u64::BITS - VERSION_BITS)) - 1);

    /// The era in which a version was assigned.
    pub const fn of(version: u64) -> Self {
        Self::new(version >> VERSION_BITS)
    }

    /// Combines a version assigned by the store in this era with the era; `None` if it needs more than 44
    /// bits.
    pub const fn version(self, raw_version: u64) -> Option<u64> {
        if raw_version >> VERSION_BITS == 0 { Some(self.get() << VERSION_BITS | raw_version) } else { None }
    }

    /// The version as the store assigned it, without the era.
    pub const fn raw_version(version: u64) -> u64 {
        version & ((1 << VERSION_BITS) - 1)
    }
}
