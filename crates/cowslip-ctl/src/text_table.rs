//! Text tables with aligned columns.

use std::fmt;

/// A table for terminal output; the first row holds the titles.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    /// Creates a table with these column titles.
    pub(crate) fn new(titles: &[&str]) -> Self {
        Self { rows: vec![titles.iter().map(|title| (*title).to_owned()).collect()] }
    }

    pub(crate) fn add(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }
}

impl fmt::Display for TextTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let lengths = self.rows.iter().filter_map(|row| row.get(column)).map(|cell| cell.chars().count());
            lengths.max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        for row in &self.rows {
            let cells: Vec<String> =
                row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
            writeln!(formatter, "{}", cells.join("  ").trim_end())?;
        }
        Ok(())
    }
}
