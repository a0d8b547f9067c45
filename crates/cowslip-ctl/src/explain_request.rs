//! The command `explain-request`: asks a gateway where a request would be sent now, and why.

use std::time::Duration;

use clap::{Arg, ArgMatches, Command};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Bytes;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use tokio::time::timeout;

use crate::command_failure::CommandFailure;
use crate::command_report::CommandReport;
use crate::text_table::TextTable;

/// Path of the page at the address of a gateway's metrics.
const EXPLAIN_PATH: &str = "/explain";

/// Time for the whole call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest page in bytes.
const MAX_PAGE_BYTES: usize = 4 << 20;

/// Arguments that are passed on, with the names of their values and their help.
const FIELDS: [(&str, &str, &str); 8] = [
    ("host", "HOST", "Host of the request"),
    ("path", "PATH", "Path of the request"),
    ("model", "MODEL", "Model that it names"),
    ("adapter", "ADAPTER", "Adapter of the model"),
    ("tokens", "TOKENS", "Prompt and output tokens together"),
    ("team", "TEAM", "Name of the team; keys are neither taken nor shown"),
    ("session", "SESSION", "Session, whose requests prefer one engine"),
    ("attempt", "ATTEMPT", "Attempt id, which chooses among the services of a route"),
];

/// Definition of the command.
pub(crate) fn explain_request_command() -> Command {
    let field = |(name, value, help): &(&'static str, &'static str, &'static str)| {
        let required = matches!(*name, "host" | "path");
        Arg::new(*name).long(*name).value_name(*value).required(required).help(*help)
    };
    Command::new("explain-request")
        .about("Asks a gateway where a request would be sent now, and why; sends nothing, needs no settings")
        .arg(
            Arg::new("gateway")
                .long("gateway")
                .value_name("ADDRESS")
                .required(true)
                .help("Address of the gateway's readiness check and metrics"),
        )
        .args(FIELDS.iter().map(field))
}

/// Runs the command.
pub(crate) async fn explain_request(args: &ArgMatches) -> Result<CommandReport, CommandFailure> {
    let address = args.get_one::<String>("gateway").map(String::as_str).unwrap_or_default();
    let uri = format!("http://{address}{EXPLAIN_PATH}?{}", query(args));
    let request = Request::get(uri).body(Empty::<Bytes>::new());
    let request = request.map_err(|error| CommandFailure::Usage(error.to_string()))?;
    let unreachable = |reason: String| CommandFailure::Unreachable {
        attempts: vec![(address.to_owned(), reason)],
        in_doubt: None,
    };
    let called = timeout(CALL_TIMEOUT, call(request)).await;
    let (status, bytes) =
        called.unwrap_or_else(|_| Err("no answer in time".to_owned())).map_err(unreachable)?;
    let page: Value =
        serde_json::from_slice(&bytes).map_err(|_| unreachable(format!("status {status}, no page")))?;
    match status {
        StatusCode::OK => Ok(CommandReport::new(page_text(&page), page)),
        StatusCode::BAD_REQUEST => Err(CommandFailure::Usage(text(&page["error"]))),
        other => Err(unreachable(format!("status {other}"))),
    }
}

fn query(args: &ArgMatches) -> String {
    let mut query = form_urlencoded::Serializer::new(String::new());
    for (name, ..) in FIELDS {
        if let Some(value) = args.get_one::<String>(name) {
            query.append_pair(name, value);
        }
    }
    query.finish()
}

async fn call(request: Request<Empty<Bytes>>) -> Result<(StatusCode, Bytes), String> {
    let client: Client<_, Empty<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let response = client.request(request).await.map_err(|error| error.to_string())?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_PAGE_BYTES).collect().await;
    let body = body.map_err(|error| error.to_string())?;
    Ok((status, body.to_bytes()))
}

/// The page for people: the decision, its inputs, and the upstreams in order of preference.
fn page_text(page: &Value) -> String {
    let mut lines = vec![decision_text(&page["decision"])];
    for name in ["service", "route", "tokens", "inputs"] {
        if !page[name].is_null() {
            lines.push(format!("{name}: {}", fields_text(&page[name])));
        }
    }
    let mut table = TextTable::new(&[
        "upstream",
        "domain",
        "cost",
        "waits for",
        "calls",
        "slots",
        "latency ms",
        "failed",
    ]);
    for line in page["upstreams"].as_array().into_iter().flatten() {
        let calls = format!("{} + {}", text(&line["running_here"]), text(&line["running_elsewhere"]));
        table.add(vec![
            text(&line["upstream"]),
            text(&line["domain"]),
            decimal(&line["cost"]),
            text(&line["cause"]),
            calls,
            text(&line["slots"]),
            decimal(&line["latency_ms"]),
            decimal(&line["failure_share"]),
        ]);
    }
    format!("{}\n{table}", lines.join("\n"))
}

fn decision_text(decision: &Value) -> String {
    let rest: Vec<String> = decision
        .as_object()
        .into_iter()
        .flatten()
        .filter(|(name, _)| *name != "kind")
        .filter(|(_, value)| !value.is_null())
        .map(|(name, value)| format!("{name} {}", text(value)))
        .collect();
    format!("{}: {}", text(&decision["kind"]), rest.join(", "))
}

fn fields_text(value: &Value) -> String {
    let Some(fields) = value.as_object() else { return text(value) };
    let known = fields.iter().filter(|(_, value)| !value.is_null());
    known.map(|(name, value)| format!("{name} {}", text(value))).collect::<Vec<_>>().join(", ")
}

fn decimal(value: &Value) -> String {
    value.as_f64().map(|number| format!("{number:.2}")).unwrap_or_default()
}

fn text(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
