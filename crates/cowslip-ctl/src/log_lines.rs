//! Lines of the log files of all VMs.
//!
//! A line may be preceded by other text, as added by log collectors. Lines that contain no JSON object are
//! skipped and counted.

use std::fs;

use serde_json::{Map, Value};

use crate::command_failure::CommandFailure;

/// A parsed log line.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct LogLine {
    pub(crate) ts: String,
    pub(crate) vm: String,
    pub(crate) message: String,
    pub(crate) fields: Map<String, Value>,
}

impl LogLine {
    /// Text of a field; empty when it is absent or no text.
    pub(crate) fn text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or_default()
    }
}

/// Reads the files; also returns the number of skipped lines.
pub(crate) fn read_lines(files: &[String]) -> Result<(Vec<LogLine>, usize), CommandFailure> {
    let mut lines = Vec::new();
    let mut skipped = 0;
    for file in files {
        let text = fs::read_to_string(file)
            .map_err(|error| CommandFailure::Usage(format!("cannot read {file}: {error}")))?;
        for line in text.lines() {
            match log_line(line) {
                Some(line) => lines.push(line),
                None => skipped += 1,
            }
        }
    }
    Ok((lines, skipped))
}

fn log_line(line: &str) -> Option<LogLine> {
    let start = line.find('{')?;
    let Ok(Value::Object(fields)) = serde_json::from_str(line.get(start..)?) else { return None };
    let text = |name: &str| fields.get(name).and_then(Value::as_str).unwrap_or_default().to_owned();
    let (ts, vm, message) = (text("ts"), text("vm"), text("msg"));
    Some(LogLine { ts, vm, message, fields })
}
