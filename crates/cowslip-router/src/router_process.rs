//! A complete router process: servers, background tasks and graceful shutdown.

use std::convert::Infallible;
use std::future::{Ready, ready};
use std::io;
use std::sync::Arc;

use cowslip_routing::{ErrorResponse, RequestClass};
use cowslip_rpc::RouterApiServer;
use cowslip_runtime::{CallerStream, ViolationReporter};
use cowslip_units::{ErrorKind, InvariantName, assert_invariant};
use jsonrpsee::server::{Server, ServerConfig, ServerHandle};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{Duration, sleep};

use crate::header_sanitizer::HeaderSanitizer;
use crate::leader_link::LeaderAddress;
use crate::{CallerHandler, RouterCore, RpcServer};

/// Interval in ms between checks for failed assertions.
const VIOLATION_MS: u64 = 1_000;
/// Interval in ms between checks for remaining work during shutdown.
const STOP_POLL_MS: u64 = 20;
/// Time in ms for which shutdown waits for calls whose callers have disconnected: claimed calls and running
/// reports. A report that takes longer is run again by the router that takes it over.
const STOP_CALLS_MS: u64 = 60_000;
/// Time in ms for which shutdown waits until the store has accepted results, released claims and released
/// reports. It is bounded because the store may be down; reports of a router that has left are taken over
/// anyway.
const STOP_STORE_MS: u64 = 10_000;
/// Limit of an RPC message in bytes; must fit a snapshot of the view and the text of a sheet.
const MAX_RPC_BYTES: u32 = 16 * 1_024 * 1_024;
/// Limit of RPC connections; each other process keeps a few open.
const MAX_RPC_CONNECTIONS: u32 = 4_096;

/// A running router process.
#[derive(Debug)]
pub struct RouterProcess {
    core: Arc<RouterCore>,
    callers: JoinSet<Infallible>,
    rpc: ServerHandle,
    tasks: JoinSet<()>,
}

impl RouterProcess {
    /// Binds both listeners and starts all background tasks on the current runtime.
    pub async fn start(core: RouterCore) -> io::Result<Self> {
        let core = Arc::new(core);
        let listener = TcpListener::bind(core.settings.callers_addr).await?;
        let config = ServerConfig::builder()
            .max_request_body_size(MAX_RPC_BYTES)
            .max_response_body_size(MAX_RPC_BYTES)
            .max_connections(MAX_RPC_CONNECTIONS)
            .build();
        let server = Server::builder().set_config(config).build(core.settings.rpc_addr).await?;
        let rpc = server.start(RpcServer::new(Arc::clone(&core)).into_rpc());
        let tasks = start_tasks(&core);
        let mut callers = JoinSet::new();
        callers.spawn(serve_callers(Arc::clone(&core), listener));
        slog::info!(core.logger, "started"; "incarnation" => core.incarnation.as_str(),
            "callers_addr" => core.settings.callers_addr.to_string(),
            "rpc_addr" => core.settings.rpc_addr.to_string());
        Ok(Self { core, callers, rpc, tasks })
    }

    /// Shared core of this router.
    pub fn core(&self) -> &Arc<RouterCore> {
        &self.core
    }

    /// Shuts down gracefully without interrupting any request.
    pub async fn stop(mut self) {
        let core = Arc::clone(&self.core);
        slog::info!(core.logger, "stopping");
        core.state().draining = true;
        core.signals.stopping.send_replace(true);
        release_waiting_reports(&core);
        sleep(Duration::from_millis(core.settings.drain_notice_ms)).await;
        // Dropping the server future closes the listener; open connections continue in their own tasks.
        self.callers.shutdown().await;
        core.state().closed = true;
        core.connections.close_idle();
        while !core.connections.is_empty() {
            sleep(Duration::from_millis(STOP_POLL_MS)).await;
        }
        // Calls whose callers have disconnected continue until their own time limits.
        let until = core.now().plus_ms(STOP_CALLS_MS);
        while !core.state().running.is_empty() && core.now() < until {
            sleep(Duration::from_millis(STOP_POLL_MS)).await;
        }
        let until = core.now().plus_ms(STOP_STORE_MS);
        while !is_drained(&core) && core.now() < until {
            sleep(Duration::from_millis(STOP_POLL_MS)).await;
        }
        crate::peer_exchange::final_exchange(&core).await;
        // Borrowed permits are returned by separate tasks; peers also reclaim them once reports stop.
        sleep(Duration::from_millis(STOP_POLL_MS)).await;
        assert_drained(&core);
        self.tasks.shutdown().await;
        let _ = self.rpc.stop();
        // The violation task has been stopped, so violations recorded since its last check are reported here.
        let total = ViolationReporter::new(core.logger.clone(), core.metrics.clone()).check();
        core.state().violations += total;
        slog::info!(core.logger, "stopped"; "violations" => core.state().violations);
    }
}

/// Asserts at the end of shutdown that no caller's request was interrupted.
fn assert_drained(core: &RouterCore) {
    let (waiting, running) = {
        let state = core.state();
        (state.queue.len(), state.running.len())
    };
    let open = core.connections.len();
    assert_invariant(waiting == 0 && running == 0 && open == 0, InvariantName::GracefulStop, || {
        format!(
            "shutdown ends with {waiting} queued and {running} running requests and {open} open connections"
        )
    });
}

/// True if no accepted report or claim is left to complete.
fn is_drained(core: &RouterCore) -> bool {
    let state = core.state();
    state.reports.reports().next().is_none() && state.claims.is_empty()
}

/// Rejects queued reports; their runners then release them for other routers.
fn release_waiting_reports(core: &RouterCore) {
    let calls: Vec<_> = {
        let mut state = core.state();
        let tickets = state.queue.tickets(RequestClass::Batch);
        let leave = |ticket| {
            state.queue.leave(ticket)?;
            state.waiting.remove(&ticket)
        };
        tickets.into_iter().filter_map(leave).collect()
    };
    for call in calls {
        let rejection = ErrorResponse::new(ErrorKind::Draining, "this VM is stopping");
        let _ = call.permit_sender.send(Err(rejection));
    }
}

fn start_tasks(core: &Arc<RouterCore>) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    let leader = Arc::new(LeaderAddress::default());
    tasks.spawn(crate::store_poll::run_store_poll(Arc::clone(core)));
    tasks.spawn(crate::store_poll::run_confirm_watch(Arc::clone(core)));
    tasks.spawn(crate::vm_poll::run_vm_poll(Arc::clone(core)));
    tasks.spawn(crate::peer_exchange::run_exchange(Arc::clone(core)));
    tasks.spawn(crate::leader_link::run_demand_reports(Arc::clone(core), Arc::clone(&leader)));
    tasks.spawn(crate::leader_link::run_watch(Arc::clone(core), leader));
    tasks.spawn(crate::dispatch_loop::run_dispatch_loop(Arc::clone(core)));
    tasks.spawn(crate::claim_call::run_claims(Arc::clone(core)));
    tasks.spawn(crate::report_runner::run_report_scan(Arc::clone(core)));
    tasks.spawn(watch_violations(Arc::clone(core)));
    tasks
}

async fn watch_violations(core: Arc<RouterCore>) {
    let mut watch = ViolationReporter::new(core.logger.clone(), core.metrics.clone());
    loop {
        sleep(Duration::from_millis(VIOLATION_MS)).await;
        let total = watch.check();
        core.state().violations = total;
    }
}

async fn serve_callers(core: Arc<RouterCore>, listener: TcpListener) -> Infallible {
    let connections = Arc::clone(&core.connections);
    let wrap = move |stream: TcpStream| -> Ready<Result<CallerStream<HeaderSanitizer>, ()>> {
        ready(CallerStream::new(stream, &connections, HeaderSanitizer::default()).ok_or(()))
    };
    match gotham::bind_server(listener, CallerHandler::new(core), wrap).await {}
}
