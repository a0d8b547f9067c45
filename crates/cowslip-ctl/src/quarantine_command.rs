//! The command `held`: the prompt parts that gateways quarantine, and why, from the log files of all VMs.

use clap::ArgMatches;
use serde_json::{Value, json};

use crate::command_failure::CommandFailure;
use crate::command_report::CommandReport;
use crate::log_lines::{LogLine, read_lines};
use crate::text_table::TextTable;

/// Requests named in a row of the table.
const MAX_NAMED: usize = 3;

/// What the log files say about one part.
#[derive(Clone, Debug, Default)]
struct PartStory {
    part: String,
    /// Time of the first line that the part is quarantined.
    since: String,
    /// VMs that hold it back, sorted.
    held_by: Vec<String>,
    /// Number of crashes in the newest line.
    crashes: u64,
    /// Upstreams that ended, sorted.
    upstreams: Vec<String>,
    /// Requests that were refused for it, in order.
    refused: Vec<String>,
}

impl PartStory {
    fn apply(&mut self, line: &LogLine) {
        self.crashes = line.fields.get("crashes").and_then(Value::as_u64).unwrap_or(self.crashes);
        for upstream in line.text("upstreams").split_whitespace() {
            add_sorted(&mut self.upstreams, upstream);
        }
        match line.message.as_str() {
            "part_quarantined" => {
                add_sorted(&mut self.held_by, &line.vm);
                if self.since.is_empty() {
                    self.since.clone_from(&line.ts);
                }
            }
            "part_released" => self.held_by.retain(|vm| *vm != line.vm),
            _ => self.refused.push(line.text("request").to_owned()),
        }
    }

    fn cells(&self) -> Vec<String> {
        let state = if self.held_by.is_empty() { "released" } else { "held" };
        let more = self.refused.len().saturating_sub(MAX_NAMED);
        let named = self.refused.iter().take(MAX_NAMED).cloned().collect::<Vec<_>>().join(" ");
        let refused = if more > 0 { format!("{named} and {more} more") } else { named };
        vec![
            self.part.clone(),
            state.to_owned(),
            self.since.clone(),
            self.held_by.len().to_string(),
            self.crashes.to_string(),
            self.upstreams.join(" "),
            refused,
        ]
    }

    fn json(&self) -> Value {
        json!({"part": self.part, "since": self.since, "held_by": self.held_by, "crashes": self.crashes,
            "upstreams": self.upstreams, "refused": self.refused})
    }
}

/// Reads the files and prints one row for each part.
pub(crate) fn held(args: &ArgMatches) -> Result<CommandReport, CommandFailure> {
    let files: Vec<String> = args.get_many::<String>("file").into_iter().flatten().cloned().collect();
    let (mut lines, skipped) = read_lines(&files)?;
    lines.sort_by(|left, right| left.ts.cmp(&right.ts));
    let mut stories: Vec<PartStory> = Vec::new();
    for line in &lines {
        match line.message.as_str() {
            "part_quarantined" | "part_released" | "request_quarantined" => {
                story(&mut stories, line.text("part")).apply(line)
            }
            // The process has forgotten what its predecessor quarantined.
            "started" => stories.iter_mut().for_each(|story| story.held_by.retain(|vm| *vm != line.vm)),
            _ => {}
        }
    }
    let mut table =
        TextTable::new(&["part", "state", "since", "VMs", "crashes", "upstreams that ended", "refused"]);
    stories.iter().for_each(|story| table.add(story.cells()));
    let text = format!("{table}{} parts, {skipped} lines are not JSON", stories.len());
    let json = json!({"parts": stories.iter().map(PartStory::json).collect::<Vec<_>>()});
    Ok(CommandReport::new(text, json))
}

fn story<'a>(stories: &'a mut Vec<PartStory>, part: &str) -> &'a mut PartStory {
    let at = match stories.binary_search_by(|story| story.part.as_str().cmp(part)) {
        Ok(at) => at,
        Err(at) => {
            stories.insert(at, PartStory { part: part.to_owned(), ..PartStory::default() });
            at
        }
    };
    &mut stories[at]
}

fn add_sorted(texts: &mut Vec<String>, text: &str) {
    if let Err(at) = texts.binary_search_by(|known| known.as_str().cmp(text)) {
        texts.insert(at, text.to_owned());
    }
}
