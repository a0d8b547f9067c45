//! The command `gateway-status`: the status page of a gateway.

use std::net::SocketAddr;

use bytes::Bytes;
use clap::ArgMatches;
use cowslip_platform::{CallKind, CallRequest, HttpCaller};
use http::{Method, StatusCode};
use serde_json::Value;

use crate::command_failure::CommandFailure;
use crate::command_report::CommandReport;

/// Timeout in ms of the call.
const CALL_TIMEOUT_MS: u64 = 3_000;

/// Longest page in bytes.
const MAX_PAGE_BYTES: usize = 1 << 20;

/// Reads the page from the gateway's metrics address and prints it.
pub(crate) async fn gateway_status(args: &ArgMatches) -> Result<CommandReport, CommandFailure> {
    let address = args.get_one::<SocketAddr>("address");
    let address = address.ok_or_else(|| CommandFailure::Usage("ADDRESS is required".to_owned()))?;
    let call = CallRequest {
        kind: CallKind::Read,
        method: Method::GET,
        uri: format!("http://{address}/status"),
        body: Bytes::new(),
        content_type: "application/json",
    };
    let caller = HttpCaller::new().with_max_answer_bytes(MAX_PAGE_BYTES);
    let failure = |reason: String| CommandFailure::Gateway { address: *address, reason };
    let (status, body) =
        caller.call_any(call, CALL_TIMEOUT_MS).await.map_err(|error| failure(error.to_string()))?;
    match status {
        StatusCode::OK => {}
        StatusCode::NOT_FOUND => {
            return Err(failure("it performs no duty, or is of an older version".to_owned()));
        }
        other => return Err(failure(format!("status {other}"))),
    }
    let page: Value = serde_json::from_slice(&body).map_err(|error| failure(error.to_string()))?;
    Ok(CommandReport::new(format!("{page:#}"), page))
}
