//! The commands `key`, `domain` and `upstream`.

use std::io::stdin;

use clap::ArgMatches;
use cowslip_messages::{KeyRequest, SwitchRequest};
use cowslip_rpc::ControllerApiClient;
use cowslip_runtime::{random_hex, sha256_hex};
use cowslip_units::{KeyDigest, TeamId};
use serde_json::json;
use smol_str::SmolStr;

use crate::command_failure::CommandFailure;
use crate::command_report::CommandReport;
use crate::operator_client::OperatorClient;
use crate::outcome_wait::report_outcome;

/// Random bytes of a key. With 32 bytes guessing is infeasible although keys are stored as plain SHA-256
/// digests.
const KEY_BYTES: usize = 32;

/// Gives or withdraws a key. Only its digest is sent to the controllers.
pub(crate) async fn key(client: &OperatorClient, args: &ArgMatches) -> Result<CommandReport, CommandFailure> {
    match args.subcommand() {
        Some(("give", args)) => give_key(client, args).await,
        Some(("withdraw", args)) => withdraw_key(client, args).await,
        _ => Err(CommandFailure::Usage("expected `key give` or `key withdraw`".to_owned())),
    }
}

async fn give_key(client: &OperatorClient, args: &ArgMatches) -> Result<CommandReport, CommandFailure> {
    let team = args.get_one::<TeamId>("team").cloned();
    let given = args.get_one::<String>("key");
    let key = match given {
        Some(text) => read_key(text)?,
        // The earlier change used another key; a key generated now would be printed without being in force.
        None if client.is_repeat => {
            let message = "--change-id repeats an earlier change; pass that change's key with --key";
            return Err(CommandFailure::Usage(message.to_owned()));
        }
        None => random_hex(KEY_BYTES),
    };
    let digest = SmolStr::new(sha256_hex(key.as_bytes()));
    let request = key_request(client, digest.clone(), team.clone());
    let send = async |rpc: &_| ControllerApiClient::key_give(rpc, request.clone()).await;
    // A generated key in doubt is never printed and thus unusable, so there is nothing to repeat under its
    // change id.
    let id_in_doubt = given.map(|_| client.change_id.as_str());
    let outcome = client.pool.call(id_in_doubt, send).await?;
    // The key is printed only after it was accepted; a key that is not in force must not be handed out.
    let mut report = report_outcome(&outcome, "key");
    report.text = format!("key: {key}\ndigest: {digest}\n{}", report.text);
    report.json = json!({"key": key, "digest": digest, "team": team, "outcome": outcome});
    Ok(report)
}

async fn withdraw_key(client: &OperatorClient, args: &ArgMatches) -> Result<CommandReport, CommandFailure> {
    let digest = match (args.get_one::<KeyDigest>("digest"), args.get_one::<String>("key")) {
        (Some(digest), _) => SmolStr::new(digest.as_str()),
        (None, Some(text)) => SmolStr::new(sha256_hex(read_key(text)?.as_bytes())),
        (None, None) => return Err(CommandFailure::Usage("either KEY or --digest is required".to_owned())),
    };
    let request = key_request(client, digest, None);
    let send = async |rpc: &_| ControllerApiClient::key_withdraw(rpc, request.clone()).await;
    let outcome = client.pool.call(Some(&client.change_id), send).await?;
    Ok(report_outcome(&outcome, "key withdrawn"))
}

fn key_request(client: &OperatorClient, digest: SmolStr, team: Option<TeamId>) -> KeyRequest {
    KeyRequest {
        token: client.token.clone(),
        change_id: client.change_id.clone(),
        author: client.author.clone(),
        digest,
        team,
    }
}

/// Returns the key given on the command line, or the first line of standard input for `-`.
fn read_key(text: &str) -> Result<String, CommandFailure> {
    let mut line = text.to_owned();
    if text == "-" {
        line.clear();
        stdin()
            .read_line(&mut line)
            .map_err(|error| CommandFailure::Usage(format!("cannot read the key: {error}")))?;
    }
    let key = line.trim_end_matches(['\r', '\n']);
    if key.is_empty() || !key.bytes().all(|byte| byte.is_ascii_graphic()) {
        let message = "a key must consist of printable ASCII characters without spaces";
        return Err(CommandFailure::Usage(message.to_owned()));
    }
    Ok(key.to_owned())
}

/// Takes a failure domain or an upstream out of service, or returns it to service.
pub(crate) async fn switch(
    client: &OperatorClient,
    kind: &str,
    args: &ArgMatches,
) -> Result<CommandReport, CommandFailure> {
    let Some((direction, args)) = args.subcommand() else {
        return Err(CommandFailure::Usage(format!("expected `{kind} out` or `{kind} in`")));
    };
    let name = args.get_one::<String>("name").map(String::as_str).unwrap_or_default();
    let request = SwitchRequest {
        token: client.token.clone(),
        change_id: client.change_id.clone(),
        author: client.author.clone(),
        name: SmolStr::new(name),
        out: direction == "out",
    };
    let send = async |rpc: &_| match kind {
        "domain" => ControllerApiClient::set_domain(rpc, request.clone()).await,
        _ => ControllerApiClient::set_upstream(rpc, request.clone()).await,
    };
    let outcome = client.pool.call(Some(&client.change_id), send).await?;
    Ok(report_outcome(&outcome, &format!("{kind} {name} {direction}")))
}
