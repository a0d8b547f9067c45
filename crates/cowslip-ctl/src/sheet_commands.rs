//! The commands `check-sheet`, `diff` and `apply`.

use std::path::{Path, PathBuf};

use clap::ArgMatches;
use cowslip_config::{FleetSheet, SheetDiff, sheet_digest};
use cowslip_messages::ApplyRequest;
use cowslip_rpc::ControllerApiClient;
use cowslip_units::ViewVersion;
use serde_json::json;

use crate::command_failure::CommandFailure;
use crate::command_report::CommandReport;
use crate::operator_client::OperatorClient;
use crate::outcome_wait::{report_outcome, wait_everywhere};
use crate::text_table::TextTable;

/// Validates a sheet locally, without calling a controller.
pub(crate) fn check_sheet(args: &ArgMatches) -> Result<CommandReport, CommandFailure> {
    let (text, sheet) = read_sheet(args)?;
    let counts = [
        ("domains", sheet.domains.len()),
        ("upstreams", sheet.upstreams.len()),
        ("models", sheet.models.len()),
        ("adapters", sheet.adapters.len()),
        ("teams", sheet.teams.len()),
        ("routes", sheet.routes.len()),
    ];
    let mut table = TextTable::new(&["KIND", "ROWS"]);
    for (kind, count) in counts {
        table.add(vec![kind.to_owned(), count.to_string()]);
    }
    let digest = sheet_digest(&text);
    let rows: serde_json::Map<String, serde_json::Value> =
        counts.iter().map(|(kind, count)| ((*kind).to_owned(), json!(count))).collect();
    Ok(CommandReport::new(
        format!("no faults; digest {digest}\n\n{table}"),
        json!({"digest": digest, "rows": rows}),
    ))
}

/// Compares a sheet with the sheet in force.
pub(crate) async fn diff(
    client: &OperatorClient,
    args: &ArgMatches,
) -> Result<CommandReport, CommandFailure> {
    let (_, sheet) = read_sheet(args)?;
    let text = client.pool.call(None, async |rpc| rpc.sheet_text().await).await?;
    let in_force = if text.is_empty() {
        FleetSheet::default()
    } else {
        let name = "sheet in force".to_owned();
        FleetSheet::from_csv(&text).map_err(|faults| CommandFailure::Sheet { name, faults })?
    };
    let diff = SheetDiff::new(&in_force, &sheet);
    let text = if diff.is_empty() { "no differences".to_owned() } else { diff.to_string() };
    Ok(CommandReport::new(text, json!({"changes": diff.changes})))
}

/// Puts a sheet in force.
pub(crate) async fn apply(
    client: &OperatorClient,
    args: &ArgMatches,
) -> Result<CommandReport, CommandFailure> {
    let (text, _) = read_sheet(args)?;
    let request = ApplyRequest {
        token: client.token.clone(),
        change_id: client.change_id.clone(),
        author: client.author.clone(),
        base: args.get_one::<ViewVersion>("base").copied(),
        text,
    };
    let send = async |rpc: &_| ControllerApiClient::apply_sheet(rpc, request.clone()).await;
    let mut outcome = client.pool.call(Some(&client.change_id), send).await?;
    if let Some(seconds) = args.get_one::<u64>("wait") {
        wait_everywhere(client, &mut outcome, seconds.saturating_mul(1_000)).await;
    }
    Ok(report_outcome(&outcome, "sheet"))
}

fn read_sheet(args: &ArgMatches) -> Result<(String, FleetSheet), CommandFailure> {
    let path = args.get_one::<PathBuf>("file").map(PathBuf::as_path).unwrap_or(Path::new(""));
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|error| CommandFailure::Usage(format!("cannot read {name}: {error}")))?;
    match FleetSheet::from_csv(&text) {
        Ok(sheet) => Ok((text, sheet)),
        Err(faults) => Err(CommandFailure::Sheet { name, faults }),
    }
}
