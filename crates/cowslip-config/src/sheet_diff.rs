//! The difference between two sheets.

use std::fmt;

use crate::{FleetSheet, RowChange};

/// Rows with differences between two sheets, sorted by kind and name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SheetDiff {
    /// One entry for each row that was added, removed or changed.
    pub changes: Vec<RowChange>,
}

impl SheetDiff {
    /// The changes from `before` to `after`.
    pub fn new(before: &FleetSheet, after: &FleetSheet) -> Self {
        let (before, after) = (before.records(), after.records());
        let mut changes = Vec::new();
        let (mut old_rows, mut new_rows) = (before.iter().peekable(), after.iter().peekable());
        loop {
            let (old, new) = match (old_rows.peek(), new_rows.peek()) {
                (None, None) => break,
                (Some(old), Some(new)) => match (old.kind, &old.name).cmp(&(new.kind, &new.name)) {
                    std::cmp::Ordering::Less => (old_rows.next(), None),
                    std::cmp::Ordering::Greater => (None, new_rows.next()),
                    std::cmp::Ordering::Equal => (old_rows.next(), new_rows.next()),
                },
                (Some(_), None) => (old_rows.next(), None),
                (None, Some(_)) => (None, new_rows.next()),
            };
            changes.extend(RowChange::between(old, new));
        }
        Self { changes }
    }

    /// Whether both sheets declare the same.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }
}

impl fmt::Display for SheetDiff {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for change in &self.changes {
            writeln!(formatter, "{change}")?;
        }
        Ok(())
    }
}
