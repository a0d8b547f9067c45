//! Keys of ledger rows.

use std::fmt;

use cowslip_units::{ModelId, UpstreamId};
use serde::{Deserialize, Serialize};

use crate::RowKind;

/// Key of a ledger row: a model or adapter on an upstream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RowKey {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Model or adapter.
    pub kind: RowKind,
    /// Name of the model or adapter.
    pub name: ModelId,
}

impl RowKey {
    /// The key of a replica.
    pub const fn replica(upstream: UpstreamId, name: ModelId) -> Self {
        Self { upstream, kind: RowKind::Replica, name }
    }

    /// The key of an adapter.
    pub const fn adapter(upstream: UpstreamId, name: ModelId) -> Self {
        Self { upstream, kind: RowKind::Adapter, name }
    }
}

impl fmt::Display for RowKey {
    /// Formats the key under which the table service stores the row.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let prefix = match self.kind {
            RowKind::Replica => "replica",
            RowKind::Adapter => "adapter",
        };
        write!(formatter, "{prefix}/{}/{}", self.upstream, self.name)
    }
}
