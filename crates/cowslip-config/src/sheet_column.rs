//! The columns of a sheet.

use std::fmt;

use serde::Serialize;

/// A column of a sheet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SheetColumn {
    /// Kind of the row.
    Kind,
    /// Name declared by the row.
    Name,
    /// Failure domain of an upstream.
    Domain,
    /// IP address and port of an upstream.
    Address,
    /// `model` or `service`.
    Engine,
    /// `checks` or `ignores`: how a model server handles old fencing tokens.
    Fencing,
    /// Memory of an upstream, of a model's weights or of an adapter, in MiB.
    MemoryMib,
    /// Concurrent requests of an upstream after its slow start.
    Slots,
    /// Concurrent requests of an upstream at the beginning of its slow start.
    FreshSlots,
    /// Duration of the slow start in ms, in which the limit rises from `fresh_slots` to `slots`.
    RampMs,
    /// KV cache memory of each concurrent request, in MiB.
    KvMibPerSlot,
    /// Concurrent requests for which each replica reserves KV cache memory.
    KvSlots,
    /// Largest number of replicas of a model.
    MaxReplicas,
    /// Load time of a model or adapter in ms, without contention.
    LoadMs,
    /// Model of an adapter.
    Model,
    /// Rate of a team in tokens per second.
    Rate,
    /// Burst of a team in tokens.
    Burst,
    /// Path prefix of a route.
    Path,
    /// Methods of a service route; a list.
    Methods,
    /// Teams of a route; a list.
    Teams,
    /// Whether a route needs no key.
    Open,
    /// Models and adapters that a route gives access to; a list.
    Models,
    /// Service servers that a route gives access to; a list.
    Services,
    /// Whether calls of a route may be retried.
    Idempotent,
    /// Deadline of a route in ms, unless the caller sets one.
    DeadlineMs,
    /// Tokens charged for each call of a service route.
    CallTokens,
    /// Value of a limit.
    Value,
}

impl SheetColumn {
    /// Every column.
    pub const ALL: &[Self] = &[
        Self::Kind,
        Self::Name,
        Self::Domain,
        Self::Address,
        Self::Engine,
        Self::Fencing,
        Self::MemoryMib,
        Self::Slots,
        Self::FreshSlots,
        Self::RampMs,
        Self::KvMibPerSlot,
        Self::KvSlots,
        Self::MaxReplicas,
        Self::LoadMs,
        Self::Model,
        Self::Rate,
        Self::Burst,
        Self::Path,
        Self::Methods,
        Self::Teams,
        Self::Open,
        Self::Models,
        Self::Services,
        Self::Idempotent,
        Self::DeadlineMs,
        Self::CallTokens,
        Self::Value,
    ];

    /// The column's name in the header row.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Kind => "kind",
            Self::Name => "name",
            Self::Domain => "domain",
            Self::Address => "address",
            Self::Engine => "engine",
            Self::Fencing => "fencing",
            Self::MemoryMib => "memory_mib",
            Self::Slots => "slots",
            Self::FreshSlots => "fresh_slots",
            Self::RampMs => "ramp_ms",
            Self::KvMibPerSlot => "kv_mib_per_slot",
            Self::KvSlots => "kv_slots",
            Self::MaxReplicas => "max_replicas",
            Self::LoadMs => "load_ms",
            Self::Model => "model",
            Self::Rate => "rate",
            Self::Burst => "burst",
            Self::Path => "path",
            Self::Methods => "methods",
            Self::Teams => "teams",
            Self::Open => "open",
            Self::Models => "models",
            Self::Services => "services",
            Self::Idempotent => "idempotent",
            Self::DeadlineMs => "deadline_ms",
            Self::CallTokens => "call_tokens",
            Self::Value => "value",
        }
    }

    /// Whether fields of the column are lists separated by `;`.
    pub const fn is_list(self) -> bool {
        matches!(self, Self::Methods | Self::Teams | Self::Models | Self::Services)
    }

    /// The column with this name in the header row.
    pub fn from_header(header: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|column| column.as_str() == header)
    }
}

impl fmt::Display for SheetColumn {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(self.as_str())
    }
}
