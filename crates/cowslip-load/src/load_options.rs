//! Command line of `cowslip-load`.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command};
use cowslip_units::{TeamId, UnitError};
use thiserror::Error;

/// An invalid command line.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum OptionError {
    /// An address is not `ip:port`.
    #[error("{0:?} is not an address, expected ip:port")]
    BadAddress(String),
    /// A key is not `team=key`.
    #[error("{0:?} is not a key, expected team=key")]
    BadKey(String),
    /// A request kind is unknown.
    #[error("{0:?} is not a request kind, expected lookup, draft, stream, order or report")]
    BadKind(String),
    /// A team name is invalid.
    #[error(transparent)]
    BadTeam(#[from] UnitError),
}

/// Options of a load run.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadOptions {
    /// Caller-facing addresses of the routers.
    pub urls: Vec<SocketAddr>,
    /// API keys by team.
    pub keys: Vec<(TeamId, String)>,
    /// Upstreams whose journals are checked after the run.
    pub upstreams: Vec<SocketAddr>,
    /// Path of the sheet in force, which gives rates and service routes.
    pub sheet: PathBuf,
    /// Calls per second over all teams, without the surplus of the hot team.
    pub rate: f64,
    /// Length of the plan in seconds.
    pub seconds: f64,
    /// Seed of the plan.
    pub seed: u64,
    /// Share of drafts whose caller disconnects early, 0 to 1.
    pub leave_share: f64,
    /// Team that sends `hot_factor` times its share.
    pub hot_team: Option<TeamId>,
    /// Factor applied to the load of the hot team.
    pub hot_factor: f64,
    /// Number of bursts of requests to one idle model, sent to all routers at once.
    pub bursts: u32,
    /// Requests in each burst.
    pub burst_size: u32,
    /// Models used per team; the others stay idle. 0 means all.
    pub models: usize,
    /// Deadline of a draft in ms.
    pub deadline_ms: u64,
    /// Send drafts only.
    pub drafts_only: bool,
    /// Print the report as JSON.
    pub json: bool,
}

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("N").default_value(default).help(help)
}

/// The command line definition of `cowslip-load`.
pub fn load_command() -> Command {
    Command::new("cowslip-load")
        .about("Sends a seeded open-loop load to a fleet and verifies the responses")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(Arg::new("urls").long("urls").required(true).help("Routers, ip:port separated by commas"))
        .arg(Arg::new("keys").long("keys").required(true).help("team=key separated by commas"))
        .arg(
            Arg::new("upstreams")
                .long("upstreams")
                .default_value("")
                .help("Upstreams whose journals are checked, ip:port separated by commas"),
        )
        .arg(
            Arg::new("sheet")
                .long("sheet")
                .required(true)
                .value_parser(clap::value_parser!(PathBuf))
                .help("Path of the sheet in force"),
        )
        .arg(number("rate", "20", "Calls per second").value_parser(clap::value_parser!(f64)))
        .arg(number("seconds", "20", "Length of the plan in seconds").value_parser(clap::value_parser!(f64)))
        .arg(number("seed", "1", "Seed of the plan").value_parser(clap::value_parser!(u64)))
        .arg(
            number("leave-share", "0.6", "Share of drafts whose caller disconnects early, 0 to 1")
                .value_parser(clap::value_parser!(f64)),
        )
        .arg(Arg::new("hot-team").long("hot-team").help("Team that sends more than its share"))
        .arg(
            number("hot-factor", "5", "Factor by which the hot team exceeds its share")
                .value_parser(clap::value_parser!(f64)),
        )
        .arg(
            number("bursts", "0", "Bursts of requests to one idle model at all routers")
                .value_parser(clap::value_parser!(u32)),
        )
        .arg(number("burst-size", "24", "Requests in each burst").value_parser(clap::value_parser!(u32)))
        .arg(number("models", "6", "Models used per team; 0: all").value_parser(clap::value_parser!(usize)))
        .arg(
            number("deadline-ms", "10000", "Deadline of a draft in ms")
                .value_parser(clap::value_parser!(u64)),
        )
        .arg(Arg::new("drafts-only").long("drafts-only").action(ArgAction::SetTrue).help("Send drafts only"))
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print the report as JSON"))
}

impl LoadOptions {
    /// Reads the options from a parsed command line; an error for a malformed address, key or team name.
    pub fn new(matches: &ArgMatches) -> Result<Self, OptionError> {
        let hot_team = match matches.get_one::<String>("hot-team") {
            Some(text) => Some(TeamId::new(text)?),
            None => None,
        };
        Ok(Self {
            urls: addresses(matches, "urls")?,
            keys: keys(matches)?,
            upstreams: addresses(matches, "upstreams")?,
            sheet: matches.get_one::<PathBuf>("sheet").cloned().unwrap_or_default(),
            rate: matches.get_one::<f64>("rate").copied().unwrap_or_default(),
            seconds: matches.get_one::<f64>("seconds").copied().unwrap_or_default(),
            seed: matches.get_one::<u64>("seed").copied().unwrap_or_default(),
            leave_share: matches.get_one::<f64>("leave-share").copied().unwrap_or_default(),
            hot_team,
            hot_factor: matches.get_one::<f64>("hot-factor").copied().unwrap_or_default(),
            bursts: matches.get_one::<u32>("bursts").copied().unwrap_or_default(),
            burst_size: matches.get_one::<u32>("burst-size").copied().unwrap_or_default(),
            models: matches.get_one::<usize>("models").copied().unwrap_or_default(),
            deadline_ms: matches.get_one::<u64>("deadline-ms").copied().unwrap_or_default(),
            drafts_only: matches.get_flag("drafts-only"),
            json: matches.get_flag("json"),
        })
    }
}

fn parts<'a>(matches: &'a ArgMatches, name: &str) -> impl Iterator<Item = &'a str> {
    let text = matches.get_one::<String>(name).map_or("", String::as_str);
    text.split(',').map(str::trim).filter(|part| !part.is_empty())
}

fn addresses(matches: &ArgMatches, name: &str) -> Result<Vec<SocketAddr>, OptionError> {
    let host_port = |part: &str| part.trim_start_matches("http://").trim_end_matches('/').to_owned();
    parts(matches, name)
        .map(|part| host_port(part).parse().map_err(|_| OptionError::BadAddress(part.to_owned())))
        .collect()
}

fn keys(matches: &ArgMatches) -> Result<Vec<(TeamId, String)>, OptionError> {
    let pair = |part: &str| {
        let (team, key) = part.split_once('=').ok_or_else(|| OptionError::BadKey(part.to_owned()))?;
        Ok((TeamId::new(team)?, key.to_owned()))
    };
    parts(matches, "keys").map(pair).collect()
}
