//! Command line of `cowslip-bench`.

use std::net::SocketAddr;

use clap::{Arg, ArgMatches, Command};

use crate::{BenchKind, OptionError};

/// Options of a benchmark run.
#[derive(Clone, Debug, PartialEq)]
pub struct BenchOptions {
    /// Addresses of routers or, without a key, of upstreams; used in round robin.
    pub targets: Vec<SocketAddr>,
    /// API key for routers. Without one, requests carry an `x-request-id`, which upstreams require.
    pub key: Option<String>,
    /// Kind of request.
    pub kind: BenchKind,
    /// Path of service requests.
    pub path: String,
    /// Model of drafts, streams and reports.
    pub model: String,
    /// Tokens to generate per model request.
    pub tokens: u64,
    /// Number of requests.
    pub requests: u64,
    /// Concurrent requests of the closed loop.
    pub connections: u64,
    /// Requests per second of the open loop; 0 selects the closed loop.
    pub rate: f64,
    /// Request deadline in ms.
    pub deadline_ms: u64,
    /// Seed of prompts and request ids.
    pub seed: u64,
}

fn text(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).default_value(default).help(help)
}

fn count(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    text(name, default, help).value_name("N").value_parser(clap::value_parser!(u64))
}

/// The command line definition of `cowslip-bench`.
pub fn bench_command() -> Command {
    Command::new("cowslip-bench")
        .about("Sends one kind of request to routers or directly to upstreams and prints latencies")
        .version(env!("CARGO_PKG_VERSION"))
        .arg(Arg::new("targets").long("targets").required(true).help("ip:port separated by commas"))
        .arg(Arg::new("key").long("key").help("API key for routers; omit for upstreams"))
        .arg(text("kind", "lookup", "lookup, draft, stream, order or report"))
        .arg(text("path", "/lookups", "Path of service requests"))
        .arg(text("model", "", "Model of drafts, streams and reports"))
        .arg(count("tokens", "1", "Tokens to generate per model request"))
        .arg(count("requests", "1000", "Number of requests"))
        .arg(count("connections", "16", "Concurrent requests of the closed loop"))
        .arg(
            text("rate", "0", "Requests per second of the open loop; 0: closed loop")
                .value_parser(clap::value_parser!(f64)),
        )
        .arg(count("deadline-ms", "20000", "Request deadline in ms"))
        .arg(count("seed", "1", "Seed of prompts and request ids"))
}

impl BenchOptions {
    /// Reads the options from a parsed command line; an error for a malformed address or kind.
    pub fn new(matches: &ArgMatches) -> Result<Self, OptionError> {
        let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
        let count = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or_default();
        let address = |part: &str| part.parse().map_err(|_| OptionError::BadAddress(part.to_owned()));
        let targets = text("targets");
        Ok(Self {
            targets: targets.split(',').map(str::trim).map(address).collect::<Result<_, _>>()?,
            key: matches.get_one::<String>("key").cloned(),
            kind: text("kind").parse()?,
            path: text("path"),
            model: text("model"),
            tokens: count("tokens"),
            requests: count("requests"),
            connections: count("connections").max(1),
            rate: matches.get_one::<f64>("rate").copied().unwrap_or_default(),
            deadline_ms: count("deadline-ms"),
            seed: count("seed"),
        })
    }
}
