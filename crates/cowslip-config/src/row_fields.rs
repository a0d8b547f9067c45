//! Parses the fields of a row into typed values and collects the faults.

use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;

use crate::sheet_text::TextRow;
use crate::{SheetColumn, SheetFault};

/// The fields of one row; each value that cannot be parsed is recorded as a fault and returned as `None`.
pub(crate) struct RowFields<'a> {
    row: &'a TextRow,
    faults: &'a mut Vec<SheetFault>,
}

impl<'a> RowFields<'a> {
    /// Reads the fields of `row` and adds faults to `faults`.
    pub(crate) fn new(row: &'a TextRow, faults: &'a mut Vec<SheetFault>) -> Self {
        Self { row, faults }
    }

    /// Line on which the row starts, counted from 1.
    pub(crate) fn row(&self) -> usize {
        self.row.row
    }

    /// Adds a fault in `column`.
    pub(crate) fn fault(&mut self, column: SheetColumn, message: impl Into<String>) {
        self.faults.push(SheetFault::new(self.row.row, column.as_str(), message));
    }

    /// Whether the field in `column` is not empty.
    pub(crate) fn is_filled(&self, column: SheetColumn) -> bool {
        self.row.field(column).is_some()
    }

    /// The text in `column`; an empty field is a fault.
    pub(crate) fn text(&mut self, column: SheetColumn) -> Option<&'a str> {
        let text = self.row.field(column);
        if text.is_none() {
            self.fault(column, "a value is required");
        }
        text
    }

    /// The value in `column`; an empty field is a fault.
    pub(crate) fn required<T>(&mut self, column: SheetColumn) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let text = self.text(column)?;
        self.parse(column, text)
    }

    /// The whole number in `column`, which must lie in `range`; an empty field is a fault.
    pub(crate) fn number(&mut self, column: SheetColumn, range: RangeInclusive<u64>) -> Option<u64> {
        let text = self.text(column)?;
        let number = text.parse().ok().filter(|number| range.contains(number));
        if number.is_none() {
            let (low, high) = (range.start(), range.end());
            self.fault(column, format!("{text:?} is not a whole number from {low} to {high}"));
        }
        number
    }

    /// Like [`RowFields::number`], for numbers below 2^32.
    pub(crate) fn small_number(&mut self, column: SheetColumn, range: RangeInclusive<u32>) -> Option<u32> {
        let wide = u64::from(*range.start())..=u64::from(*range.end());
        self.number(column, wide).and_then(|number| u32::try_from(number).ok())
    }

    /// `yes` or `no` in `column`; spreadsheets also write `TRUE` and `FALSE`.
    pub(crate) fn flag(&mut self, column: SheetColumn) -> Option<bool> {
        let text = self.text(column)?;
        match text.to_ascii_lowercase().as_str() {
            "yes" | "true" => Some(true),
            "no" | "false" => Some(false),
            _ => {
                self.fault(column, format!("{text:?} is neither yes nor no"));
                None
            }
        }
    }

    /// The sorted entries of the list in `column`; empty and repeated entries are faults and left out.
    pub(crate) fn list<T>(&mut self, column: SheetColumn) -> Vec<T>
    where
        T: FromStr + Ord + Display,
        T::Err: Display,
    {
        let Some(text) = self.row.field(column) else {
            return Vec::new();
        };
        let mut entries: Vec<T> =
            text.split(';').filter_map(|entry| self.parse(column, entry.trim())).collect();
        entries.sort();
        entries.dedup_by(|second, first| {
            let repeated = second == first;
            if repeated {
                self.fault(column, format!("\"{first}\" is in the list more than once"));
            }
            repeated
        });
        entries
    }

    /// Records a fault with `reason` for every column of `columns` that is filled.
    pub(crate) fn reject_columns(&mut self, columns: &[SheetColumn], reason: &str) {
        for column in columns {
            if self.is_filled(*column) {
                self.fault(*column, reason);
            }
        }
    }

    fn parse<T>(&mut self, column: SheetColumn, text: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.fault(column, error.to_string());
                None
            }
        }
    }
}
