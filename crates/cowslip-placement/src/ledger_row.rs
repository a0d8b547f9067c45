//! Rows of the ledger as they are in the table service.

use cowslip_messages::ReplicaState;
use cowslip_units::{FencingToken, MemorySize, ModelId, OrderId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{OrderIssuer, RowKey};

/// One decided replica or adapter; it counts as loaded from the write of this row to its deletion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerRow {
    /// Its key.
    pub key: RowKey,
    /// The model itself, or the model of an adapter.
    pub base: ModelId,
    /// Its state.
    pub state: ReplicaState,
    /// Reserved memory: weights and KV, or the adapter's.
    pub memory: MemorySize,
    /// Bare load time in ms, for orders that are sent again.
    pub load_ms: u64,
    /// Id of the load order.
    pub order: OrderId,
    /// Id of the unload order, once there is one.
    pub unload: Option<OrderId>,
    /// Epoch of the last leader that took responsibility for the row.
    pub epoch: FencingToken,
    /// Leaders whose load order may still reach the engine. The row must not be deleted while it names any.
    pub issuers: Vec<OrderIssuer>,
    /// The engine's start in which the load was confirmed, once it is known.
    pub boot: Option<SmolStr>,
    /// The engine's state sequence at the confirmation; newer reports show the load's effect.
    pub sequence: u64,
    /// True until the upstream's ramp after this load has passed, for a leader that takes over.
    pub fresh: bool,
}
