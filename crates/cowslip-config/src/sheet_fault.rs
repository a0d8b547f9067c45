//! Faults of sheets.

use serde::Serialize;
use smol_str::SmolStr;
use thiserror::Error;

/// A fault of a sheet.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Error)]
#[error("row {row}, column {column}: {message}")]
pub struct SheetFault {
    /// Line of the file on which the row starts, counted from 1 and including the header and blank lines.
    pub row: usize,
    /// Name of the column in the header.
    pub column: SmolStr,
    /// Description of the fault.
    pub message: String,
}

impl SheetFault {
    /// A fault in `column` of the row on line `row`.
    pub fn new(row: usize, column: &str, message: impl Into<String>) -> Self {
        Self { row, column: SmolStr::new(column), message: message.into() }
    }
}
