//! A figure that is computed instead of measured.

use serde::Serialize;

/// A figure that follows from the rules of the design or from constants of the crates.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CountRow {
    /// Name in the report and in docs/CAPACITY.md.
    pub name: &'static str,
    /// Value at the target size.
    pub value: f64,
    /// Unit of the value.
    pub unit: &'static str,
    /// How the value is computed.
    pub rule: &'static str,
}

impl CountRow {
    /// Creates a row.
    pub const fn new(name: &'static str, value: f64, unit: &'static str, rule: &'static str) -> Self {
        Self { name, value, unit, rule }
    }
}
