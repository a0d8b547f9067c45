//! Kinds of ledger rows.

use serde::{Deserialize, Serialize};

/// Whether a ledger row is a replica or an adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RowKind {
    /// A replica of a model.
    Replica,
    /// An adapter, loaded in addition to its model.
    Adapter,
}
