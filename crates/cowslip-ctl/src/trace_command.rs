//! The command `trace`: collects the log lines of one request from the log files of all VMs, in order of
//! time.

use clap::ArgMatches;
use serde_json::{Value, json};

use crate::command_failure::CommandFailure;
use crate::command_report::CommandReport;
use crate::exit_kind::ExitKind;
use crate::log_lines::{LogLine, read_lines};

/// Fields that are not repeated among the details of a line.
const COMMON_FIELDS: [&str; 6] = ["ts", "msg", "vm", "process", "level", "request"];

/// Events printed with `--context`: changes in the state of a VM that affect how it handles requests.
const CONTEXT_EVENTS: [&str; 14] = [
    "started",
    "stopping",
    "stopped",
    "view_changed",
    "view_copied",
    "store_lost",
    "store_regained",
    "history_lost",
    "leader_lost",
    "leader_heard",
    "lead_began",
    "lead_ended",
    "upstream_removed",
    "upstream_lapsed",
];

/// Reads the files and prints the lines of one request. With `--context`, also the state changes of its VMs.
pub(crate) fn trace(args: &ArgMatches) -> Result<CommandReport, CommandFailure> {
    let id = args.get_one::<String>("id").cloned().unwrap_or_default();
    let files: Vec<String> = args.get_many::<String>("file").into_iter().flatten().cloned().collect();
    let (lines, skipped) = read_lines(&files)?;
    let matches_request = |line: &LogLine| line.fields.get("request").and_then(Value::as_str) == Some(&id);
    let request_lines: Vec<&LogLine> = lines.iter().filter(|line| matches_request(line)).collect();
    let vms: Vec<&str> = request_lines.iter().map(|line| line.vm.as_str()).collect();
    let last = request_lines.iter().map(|line| line.ts.as_str()).max().unwrap_or_default();
    let is_context = |line: &&LogLine| {
        args.get_flag("context")
            && vms.contains(&line.vm.as_str())
            && CONTEXT_EVENTS.contains(&line.message.as_str())
            && line.ts.as_str() <= last
    };
    let mut timeline: Vec<&LogLine> =
        lines.iter().filter(|line| matches_request(line) || is_context(line)).collect();
    timeline.sort_by(|left, right| left.ts.cmp(&right.ts));
    let text: String = timeline.iter().map(|line| format!("{}\n", line_text(line))).collect();
    let text = format!("{text}{} lines of {id}, {skipped} lines are not JSON", request_lines.len());
    let json = json!({"request": id, "lines": timeline.iter().map(|line| &line.fields).collect::<Vec<_>>()});
    let exit = if request_lines.is_empty() { ExitKind::Rejected } else { ExitKind::Done };
    Ok(CommandReport::new(text, json).with_exit(exit))
}

fn line_text(line: &LogLine) -> String {
    let details = line.fields.iter().filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()));
    let details: Vec<String> = details
        .filter(|(_, value)| !value.is_null())
        .map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            other => format!("{name}={other}"),
        })
        .collect();
    format!("{} {} {} {}", line.ts, line.vm, line.message, details.join(" "))
}
