//! Results of commands.

use std::io::{Write, stdout};
use std::process::ExitCode;

use serde_json::Value;

use crate::exit_kind::ExitKind;

/// Output and exit code of a command.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct CommandReport {
    /// Output for people.
    pub(crate) text: String,
    /// Output for programs.
    pub(crate) json: Value,
    /// Outcome, which determines the exit code.
    pub(crate) exit: ExitKind,
}

impl CommandReport {
    /// Creates the report of a completed command.
    pub(crate) fn new(text: String, json: Value) -> Self {
        Self { text, json, exit: ExitKind::Done }
    }

    /// Replaces the outcome.
    pub(crate) fn with_exit(mut self, exit: ExitKind) -> Self {
        self.exit = exit;
        self
    }

    /// Prints the report to standard output.
    pub(crate) fn print(&self, json: bool) -> ExitCode {
        if json {
            print_text(&format!("{:#}", self.json));
        } else {
            print_text(self.text.trim_end());
        }
        self.exit.into()
    }
}

/// Prints `text` and a line feed. Unlike with `println!`, a closed pipe (`cowslipctl status | head`) is not
/// an error.
pub(crate) fn print_text(text: &str) {
    if let Err(error) = writeln!(stdout(), "{text}")
        && error.kind() != std::io::ErrorKind::BrokenPipe
    {
        eprintln!("cannot write to standard output: {error}");
    }
}
