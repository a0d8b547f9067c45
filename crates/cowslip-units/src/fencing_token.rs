//! Fencing tokens of orders to upstreams.

use crate::StoreEra;
use crate::whole_number::whole_number;

/// Bits of a token that count the leaders of one store era; the bits above hold the era.
const LEADER_BITS: u32 = 32;

whole_number!(
    /// The epoch of the leader that issued an order; an upstream may reject orders with a lower one.
    ///
    /// The store era is in the upper bits: when the store is restored from a backup, it may have lost the epochs
    /// that were taken last, and no running process may have a record of them.
    FencingToken,
    "fencing number"
);

impl FencingToken {
    /// A number above all tokens of earlier store eras, below those that are issued in this one.
    pub const fn before_era(era: StoreEra) -> Self {
        Self::new(era.get() << LEADER_BITS)
    }

    /// The store era in which the token was issued.
    pub const fn era(self) -> StoreEra {
        StoreEra::new(self.get() >> LEADER_BITS)
    }
}
