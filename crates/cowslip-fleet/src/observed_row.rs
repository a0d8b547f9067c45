//! The lease row as a process last read it.

use cowslip_units::{ClockTime, FencingToken, StoreEra};

use crate::LeaseRow;

/// The lease row as last read.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ObservedRow {
    /// Era of the store in which it was read.
    pub era: StoreEra,
    /// Its version; `None` when it does not exist.
    pub row_version: Option<u64>,
    /// Its value.
    pub row: LeaseRow,
    /// When the first answer with this version arrived; the version was written before that.
    pub since: ClockTime,
    /// True when it is this process's own row in a backup of the store, read while the lease was still valid.
    pub is_continued: bool,
}

impl ObservedRow {
    /// True when nobody can have held the lease between the holder of the row and that of `epoch`. A row of an
    /// older backup of the store may lack the last holders.
    pub(crate) fn names_last_holder(&self, epoch: FencingToken) -> bool {
        self.is_continued || self.row.epoch.next() == epoch
    }
}
