//! Orders that are ready to be sent to an engine.

use cowslip_units::{FencingToken, OrderId};

use crate::{OrderAction, RowKey};

/// An order to the engine of a row's upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOrder {
    /// The replica or adapter.
    pub key: RowKey,
    /// Id of the order; every attempt carries the same one.
    pub order: OrderId,
    /// Fencing token: the epoch of this leader.
    pub fence: FencingToken,
    /// The operation to perform.
    pub action: OrderAction,
}
