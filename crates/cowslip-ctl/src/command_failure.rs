//! Errors of commands.

use std::net::SocketAddr;
use std::process::ExitCode;

use cowslip_config::SheetFault;
use cowslip_messages::OperatorFault;
use cowslip_units::ErrorKind;
use serde_json::{Value, json};
use thiserror::Error;

use crate::command_report::print_text;
use crate::exit_kind::ExitKind;

/// Reason why a command was not carried out.
#[derive(Debug, Error)]
pub(crate) enum CommandFailure {
    /// Invalid usage, settings or file names.
    #[error("{0}")]
    Usage(String),
    /// A sheet is invalid.
    #[error("{}", fault_lines(.name, .faults))]
    Sheet {
        /// Name of the sheet as shown to the operator.
        name: String,
        /// All faults found in the sheet.
        faults: Vec<SheetFault>,
    },
    /// The controllers rejected the call.
    #[error("{}", rejection_lines(.0))]
    Rejected(OperatorFault),
    /// A gateway gave no usable answer.
    #[error("gateway {address}: {reason}")]
    Gateway {
        /// Address that was called.
        address: SocketAddr,
        /// What went wrong.
        reason: String,
    },
    /// No controller returned a usable answer.
    #[error("{}", unreachable_lines(.attempts, .in_doubt.as_deref()))]
    Unreachable {
        /// Controller and reason of each failed attempt.
        attempts: Vec<(String, String)>,
        /// Change id, if the change may have been accepted.
        in_doubt: Option<String>,
    },
}

impl CommandFailure {
    fn exit(&self) -> ExitKind {
        match self {
            Self::Usage(_) => ExitKind::Usage,
            Self::Sheet { .. } | Self::Rejected(_) => ExitKind::Rejected,
            Self::Gateway { .. } | Self::Unreachable { .. } => ExitKind::Unreachable,
        }
    }

    fn json(&self) -> Value {
        match self {
            Self::Usage(message) => json!({"error": {"kind": "usage", "messages": [message]}}),
            Self::Sheet { faults, .. } => {
                json!({"error": {"kind": ErrorKind::SheetInvalid.as_str(), "faults": faults}})
            }
            Self::Rejected(fault) => json!({"error": fault}),
            Self::Gateway { address, reason } => {
                json!({"error": {"kind": "gateway", "address": address.to_string(), "messages": [reason]}})
            }
            Self::Unreachable { attempts, in_doubt } => {
                let attempts: Vec<Value> = attempts
                    .iter()
                    .map(|(controller, reason)| json!({"controller": controller, "reason": reason}))
                    .collect();
                json!({"error": {"kind": "unreachable", "attempts": attempts, "change_in_doubt": in_doubt}})
            }
        }
    }

    /// Prints the failure as JSON to standard output or as text to standard error.
    pub(crate) fn print(&self, json: bool) -> ExitCode {
        if json {
            print_text(&format!("{:#}", self.json()));
        } else {
            eprintln!("{self}");
        }
        self.exit().into()
    }
}

fn fault_lines(name: &str, faults: &[SheetFault]) -> String {
    let mut lines: Vec<String> = faults.iter().map(|fault| format!("{name}: {fault}")).collect();
    lines.push(format!("{} faults", faults.len()));
    lines.join("\n")
}

fn rejection_lines(fault: &OperatorFault) -> String {
    let mut lines = vec![format!("refused: {}", fault.kind)];
    lines.extend(fault.messages.iter().map(|message| format!("  {message}")));
    if fault.kind == ErrorKind::ChangeConflict {
        lines.push(
            "  another change was accepted first; compare with `cowslipctl diff` and try again".to_owned(),
        );
    }
    lines.join("\n")
}

fn unreachable_lines(attempts: &[(String, String)], in_doubt: Option<&str>) -> String {
    let mut lines = vec!["no controller answered:".to_owned()];
    lines.extend(attempts.iter().map(|(controller, reason)| format!("  {controller}: {reason}")));
    if let Some(id) = in_doubt {
        lines.push(format!("The change may have been accepted. To repeat it safely, add --change-id {id}"));
    }
    lines.join("\n")
}
