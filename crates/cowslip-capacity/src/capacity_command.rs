//! Command line of `cowslip-capacity`.

use clap::{Arg, ArgAction, Command};

use crate::memory_probe::MEMORY_OPTION;

/// The command line definition of `cowslip-capacity`.
pub fn capacity_command() -> Command {
    Command::new("cowslip-capacity")
        .about("Measures how the cost of each mechanism grows with the fleet")
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .value_parser(clap::value_parser!(u64))
                .default_value("1")
                .help("Seed of all generated names and digests"),
        )
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print the report as JSON"))
        .arg(
            Arg::new("quick")
                .long("quick")
                .action(ArgAction::SetTrue)
                .help("Use tiny sizes; only checks that everything can be measured"),
        )
        .arg(
            Arg::new("part")
                .long("part")
                .value_name("PART")
                .action(ArgAction::Append)
                .value_parser(CAPACITY_PARTS.to_vec())
                .help("Measure only this part; may be repeated"),
        )
        .arg(
            Arg::new(MEMORY_OPTION)
                .long(MEMORY_OPTION)
                .value_name("CASE:SIZE")
                .hide(true)
                .help("Print the resident bytes of one state and exit"),
        )
}

/// Parts of a run in the order of the report.
pub const CAPACITY_PARTS: &[&str] = &[
    "view", "shares", "permits", "planner", "wakes", "routing", "sheet", "platform", "calls", "memory",
    "counts",
];
