//! The kinds of rows in a sheet, and the columns that each kind uses.

use std::fmt;
use std::str::FromStr;

use serde::Serialize;

use crate::SheetColumn;
use crate::sheet_column::SheetColumn::{
    Address, Burst, CallTokens, DeadlineMs, Domain, Engine, Fencing, FreshSlots, Idempotent, KvMibPerSlot,
    KvSlots, LoadMs, MaxReplicas, MemoryMib, Methods, Model, Models, Name, Open, Path, RampMs, Rate,
    Services, Slots, Teams, Value,
};

/// What a row of a sheet declares.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SheetKind {
    /// A failure domain.
    Domain,
    /// A model server or a service server.
    Upstream,
    /// A model.
    Model,
    /// An adapter of a model.
    Adapter,
    /// A team.
    Team,
    /// A route.
    Route,
    /// A limit of the platform.
    Limit,
}

impl SheetKind {
    /// Every kind, in the order in which sheets are usually written.
    pub const ALL: &[Self] =
        &[Self::Domain, Self::Upstream, Self::Model, Self::Adapter, Self::Team, Self::Route, Self::Limit];

    /// The text in the `kind` column.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Domain => "domain",
            Self::Upstream => "upstream",
            Self::Model => "model",
            Self::Adapter => "adapter",
            Self::Team => "team",
            Self::Route => "route",
            Self::Limit => "limit",
        }
    }

    /// The columns besides `kind` that rows of this kind may fill.
    pub const fn columns(self) -> &'static [SheetColumn] {
        match self {
            Self::Domain => &[Name],
            Self::Upstream => &[Name, Domain, Address, Engine, Fencing, MemoryMib, Slots, FreshSlots, RampMs],
            Self::Model => &[Name, MemoryMib, KvMibPerSlot, KvSlots, MaxReplicas, LoadMs],
            Self::Adapter => &[Name, Model, MemoryMib, LoadMs],
            Self::Team => &[Name, Rate, Burst],
            Self::Route => {
                &[Name, Path, Methods, Teams, Open, Models, Services, Idempotent, DeadlineMs, CallTokens]
            }
            Self::Limit => &[Name, Value],
        }
    }
}

impl fmt::Display for SheetKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(self.as_str())
    }
}

impl FromStr for SheetKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match Self::ALL.iter().find(|kind| kind.as_str() == text) {
            Some(kind) => Ok(*kind),
            None => {
                let names: Vec<&str> = Self::ALL.iter().map(|kind| kind.as_str()).collect();
                Err(format!("unknown kind {text:?}; the kinds are {}", names.join(", ")))
            }
        }
    }
}
