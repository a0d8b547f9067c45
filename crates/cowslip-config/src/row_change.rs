//! A change of one row between two sheets.

use std::fmt;

use serde::Serialize;
use smol_str::SmolStr;

use crate::{ColumnChange, SheetColumn, SheetKind, SheetRecord};

/// How a row differs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(tag = "type", content = "columns", rename_all = "snake_case")]
pub enum RowDelta {
    /// Only the later sheet has it.
    Added,
    /// Only the earlier sheet has it.
    Removed,
    /// Both have it, with differences in these columns.
    Changed(Vec<ColumnChange>),
}

/// A row with different contents in two sheets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RowChange {
    /// Kind of the row.
    pub kind: SheetKind,
    /// Name of the row.
    pub name: SmolStr,
    /// How it differs.
    pub delta: RowDelta,
}

impl RowChange {
    /// The change from `before` to `after`, which have the same kind and name; `None` if they are equal.
    pub(crate) fn between(before: Option<&SheetRecord>, after: Option<&SheetRecord>) -> Option<Self> {
        let (row, delta) = match (before, after) {
            (None, None) => return None,
            (None, Some(row)) => (row, RowDelta::Added),
            (Some(row), None) => (row, RowDelta::Removed),
            (Some(old), Some(new)) => {
                let changed: Vec<ColumnChange> = SheetColumn::ALL
                    .iter()
                    .filter(|column| old.field(**column) != new.field(**column))
                    .map(|column| {
                        let text = |row: &SheetRecord| row.field(*column).unwrap_or_default().to_owned();
                        ColumnChange { column: *column, before: text(old), after: text(new) }
                    })
                    .collect();
                if changed.is_empty() {
                    return None;
                }
                (new, RowDelta::Changed(changed))
            }
        };
        Some(Self { kind: row.kind, name: row.name.clone(), delta })
    }
}

impl fmt::Display for RowChange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (kind, name) = (self.kind, &self.name);
        match &self.delta {
            RowDelta::Added => write!(formatter, "+ {kind} {name}"),
            RowDelta::Removed => write!(formatter, "- {kind} {name}"),
            RowDelta::Changed(columns) => {
                write!(formatter, "~ {kind} {name}: ")?;
                for (at, column) in columns.iter().enumerate() {
                    let separator = if at == 0 { "" } else { ", " };
                    write!(formatter, "{separator}{column}")?;
                }
                Ok(())
            }
        }
    }
}
