//! The commands `status` and `explain`.

use clap::ArgMatches;
use cowslip_messages::{ReplicaState, RouterStatus, StatusReply, UpstreamStatus};
use cowslip_rpc::ControllerApiClient;
use cowslip_units::{ModelId, VmId};
use serde_json::json;

use crate::command_failure::CommandFailure;
use crate::command_report::CommandReport;
use crate::operator_client::OperatorClient;
use crate::text_table::TextTable;

/// Shows routers, upstreams and replicas.
pub(crate) async fn status(client: &OperatorClient) -> Result<CommandReport, CommandFailure> {
    let status = client.pool.call(None, async |rpc| rpc.status().await).await?;
    Ok(CommandReport::new(status_text(&status), json!(status)))
}

/// Shows the reasons for the placement of a model or adapter.
pub(crate) async fn explain(
    client: &OperatorClient,
    args: &ArgMatches,
) -> Result<CommandReport, CommandFailure> {
    let Some(model) = args.get_one::<ModelId>("model") else {
        return Err(CommandFailure::Usage("MODEL is required".to_owned()));
    };
    let send = async |rpc: &_| ControllerApiClient::explain(rpc, model.clone()).await;
    let reply = client.pool.call(None, send).await?;
    let mut lines = vec![reply.model.to_string()];
    lines.extend(reply.lines.iter().map(|line| format!("  {line}")));
    Ok(CommandReport::new(lines.join("\n"), json!(reply)))
}

fn status_text(status: &StatusReply) -> String {
    let sheet = match &status.sheet {
        Some((version, digest)) => format!("version {version}, digest {digest}"),
        None => "none".to_owned(),
    };
    let leader = status.leader.as_ref().map_or("unknown", VmId::as_str);
    let mut text = format!("version  {}\nsheet    {sheet}\nleader   {leader}\n", status.version);
    if !status.silent.is_empty() {
        let silent: Vec<&str> = status.silent.iter().map(VmId::as_str).collect();
        text.push_str(&format!("silent   {}\n", silent.join(", ")));
    }
    let mut routers =
        TextTable::new(&["ROUTER", "VERSION", "CONFIRMED", "WAITING", "RUNNING", "STATE", "VIOLATIONS"]);
    for router in &status.routers {
        routers.add(vec![
            router.vm.to_string(),
            router.version.to_string(),
            router.confirm_age_ms.map_or("never".to_owned(), |age| format!("{age} ms ago")),
            router.waiting.to_string(),
            router.running.to_string(),
            router_state(router).to_owned(),
            router.violations.to_string(),
        ]);
    }
    let mut upstreams = TextTable::new(&["UPSTREAM", "STATE", "RESERVED MiB", "MEMORY MiB"]);
    for upstream in &status.upstreams {
        upstreams.add(vec![
            upstream.upstream.to_string(),
            upstream_state(upstream).to_owned(),
            upstream.reserved_mib.to_string(),
            upstream.memory_mib.to_string(),
        ]);
    }
    let mut replicas = TextTable::new(&["MODEL", "UPSTREAM", "STATE"]);
    for replica in &status.replicas {
        let state = match replica.state {
            ReplicaState::Ordered => "ordered",
            ReplicaState::Loaded => "loaded",
            ReplicaState::Draining => "draining",
            ReplicaState::Unloading => "unloading",
        };
        replicas.add(vec![replica.model.to_string(), replica.upstream.to_string(), state.to_owned()]);
    }
    format!("{text}\n{routers}\n{upstreams}\n{replicas}")
}

fn router_state(router: &RouterStatus) -> &'static str {
    match (router.draining, router.degraded) {
        (true, _) => "draining",
        (false, true) => "degraded",
        (false, false) => "serving",
    }
}

fn upstream_state(upstream: &UpstreamStatus) -> &'static str {
    match (upstream.live, upstream.out) {
        (false, _) => "gone",
        (true, true) => "out",
        (true, false) => "in",
    }
}
