//! Splits the text of a sheet into rows and fields, and determines the line on which each row starts.

use csv::{ReaderBuilder, StringRecord, Trim};

use crate::{SheetColumn, SheetFault};

/// The byte-order mark that spreadsheets write at the beginning of UTF-8 files.
const BYTE_ORDER_MARK: char = '\u{feff}';

/// A row that is not blank.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct TextRow {
    /// Line on which the row starts.
    pub(crate) row: usize,
    /// The fields that are not empty.
    pub(crate) fields: Vec<(SheetColumn, String)>,
    /// False if the number of fields differs from that of the header, so that fields may be in wrong columns.
    pub(crate) is_complete: bool,
}

impl TextRow {
    /// The field in `column`, if it is not empty.
    pub(crate) fn field(&self, column: SheetColumn) -> Option<&str> {
        self.fields.iter().find(|field| field.0 == column).map(|field| field.1.as_str())
    }
}

/// The rows below the header; empty if the header has no usable `kind` and `name` columns.
pub(crate) fn read_rows(text: &str, faults: &mut Vec<SheetFault>) -> Vec<TextRow> {
    let text = text.strip_prefix(BYTE_ORDER_MARK).unwrap_or(text);
    let mut reader =
        ReaderBuilder::new().has_headers(false).flexible(true).trim(Trim::All).from_reader(text.as_bytes());
    let mut lines = LineCounter::new(text);
    let mut header: Option<Vec<Option<SheetColumn>>> = None;
    let mut rows = Vec::new();
    let mut record = StringRecord::new();
    loop {
        let start = reader.position().byte();
        match reader.read_record(&mut record) {
            Ok(true) => {}
            Ok(false) => break,
            Err(error) => {
                faults.push(SheetFault::new(lines.line_at(start), "kind", error.to_string()));
                break;
            }
        }
        if record.iter().all(str::is_empty) {
            continue;
        }
        let row = lines.line_at(start);
        let Some(columns) = &header else {
            let columns = read_header(row, &record, faults);
            if !columns.contains(&Some(SheetColumn::Kind)) || !columns.contains(&Some(SheetColumn::Name)) {
                return Vec::new();
            }
            header = Some(columns);
            continue;
        };
        rows.push(read_row(row, columns, &record, faults));
    }
    if rows.is_empty() {
        // A truncated export that ends after its header would otherwise take everything out of service.
        faults.push(SheetFault::new(1, "kind", "the sheet declares nothing"));
    }
    rows
}

fn read_header(row: usize, record: &StringRecord, faults: &mut Vec<SheetFault>) -> Vec<Option<SheetColumn>> {
    let mut columns: Vec<Option<SheetColumn>> = Vec::new();
    for name in record {
        let column = SheetColumn::from_header(name);
        if column.is_none() {
            faults.push(SheetFault::new(row, name, format!("unknown column {name:?}")));
        } else if columns.contains(&column) {
            faults.push(SheetFault::new(row, name, "the column is already in the header"));
        }
        columns.push(column);
    }
    for needed in [SheetColumn::Kind, SheetColumn::Name] {
        if !columns.contains(&Some(needed)) {
            faults.push(SheetFault::new(row, needed.as_str(), "the header has no such column"));
        }
    }
    columns
}

fn read_row(
    row: usize,
    columns: &[Option<SheetColumn>],
    record: &StringRecord,
    faults: &mut Vec<SheetFault>,
) -> TextRow {
    let is_complete = record.len() == columns.len();
    if !is_complete {
        let message = format!("the row has {} fields, the header has {}", record.len(), columns.len());
        faults.push(SheetFault::new(row, "kind", message));
    }
    let mut fields = Vec::new();
    for (column, text) in columns.iter().zip(record) {
        if let (Some(column), false) = (column, text.is_empty()) {
            fields.push((*column, text.to_owned()));
        }
    }
    TextRow { row, fields, is_complete }
}

/// Counts lines up to increasing byte offsets.
///
/// The line number of the CSV reader is that of the blank lines that it skips before a row.
struct LineCounter<'a> {
    bytes: &'a [u8],
    at: usize,
    line: usize,
}

impl<'a> LineCounter<'a> {
    fn new(text: &'a str) -> Self {
        Self { bytes: text.as_bytes(), at: 0, line: 1 }
    }

    /// Line of the first byte at or after `offset` that does not end a line.
    fn line_at(&mut self, offset: u64) -> usize {
        let offset = usize::try_from(offset).unwrap_or(usize::MAX);
        while let Some(byte) = self.bytes.get(self.at) {
            if self.at >= offset && !matches!(byte, b'\r' | b'\n') {
                break;
            }
            let lone_return = *byte == b'\r' && self.bytes.get(self.at + 1) != Some(&b'\n');
            if *byte == b'\n' || lone_return {
                self.line += 1;
            }
            self.at += 1;
        }
        self.line
    }
}
