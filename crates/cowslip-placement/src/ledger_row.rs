//! Ledger rows as stored in the table service.

use cowslip_messages::ReplicaState;
use cowslip_units::{FencingToken, MemorySize, ModelId, OrderId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{OrderIssuer, RowKey};

/// A replica or adapter that was decided; it counts as loaded from the write of this row until its deletion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerRow {
    /// Upstream, kind and name.
    pub key: RowKey,
    /// The model itself, or the model of an adapter.
    pub base: ModelId,
    /// Ordered, loaded, draining or unloading.
    pub state: ReplicaState,
    /// Reserved memory: weights and KV cache of a model, or the size of an adapter.
    pub memory: MemorySize,
    /// Load time in ms without contention, for orders that are sent again.
    pub load_ms: u64,
    /// Id of the load order.
    pub order: OrderId,
    /// Id of the unload order, once there is one.
    pub unload: Option<OrderId>,
    /// Epoch of the last leader that changed or adopted the row.
    pub epoch: FencingToken,
    /// Leaders whose load order may still reach the engine. The row must not be deleted while there are any.
    pub issuers: Vec<OrderIssuer>,
    /// Boot id of the engine in which the load was confirmed; `None` while it is unknown.
    pub boot: Option<SmolStr>,
    /// State sequence of the engine at the confirmation; reports with this or a higher one show the effect of
    /// the load.
    pub sequence: u64,
    /// True until the slow start that follows this load has ended; a leader that takes over restarts the slow
    /// start.
    pub fresh: bool,
}
