//! A change of one column of a row.

use std::fmt;

use serde::Serialize;

use crate::SheetColumn;

/// A column with different values in two versions of a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ColumnChange {
    /// The column.
    pub column: SheetColumn,
    /// Text in the earlier sheet; empty if the column was not filled.
    pub before: String,
    /// Text in the later sheet; empty if the column is not filled.
    pub after: String,
}

impl fmt::Display for ColumnChange {
    /// Shows only the entries of a list that differ, because a route may list thousands of models.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.column)?;
        if !self.column.is_list() {
            let shown = |text: &str| if text.is_empty() { "(empty)".to_owned() } else { text.to_owned() };
            return write!(formatter, " {} -> {}", shown(&self.before), shown(&self.after));
        }
        let entries = |text: &'_ str| -> Vec<String> {
            text.split(';').filter(|entry| !entry.is_empty()).map(str::to_owned).collect()
        };
        let (before, after) = (entries(&self.before), entries(&self.after));
        for entry in after.iter().filter(|entry| before.binary_search(entry).is_err()) {
            write!(formatter, " +{entry}")?;
        }
        for entry in before.iter().filter(|entry| after.binary_search(entry).is_err()) {
            write!(formatter, " -{entry}")?;
        }
        Ok(())
    }
}
