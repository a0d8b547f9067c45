//! Orders that the ledger wants to be sent.

use cowslip_units::{FencingToken, OrderId};

use crate::{OrderAction, RowKey};

/// An order to the engine of a row's upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// The row.
    pub key: RowKey,
    /// Id of the order; the same for each attempt.
    pub order: OrderId,
    /// Fencing number.
    pub fence: FencingToken,
    /// What to do.
    pub action: OrderAction,
}
