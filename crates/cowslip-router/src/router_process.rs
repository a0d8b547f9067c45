//! A whole router: servers, background tasks and the planned stop.

use std::convert::Infallible;
use std::future::{Ready, ready};
use std::io;
use std::sync::Arc;

use cowslip_routing::{ErrorResponse, RequestClass};
use cowslip_rpc::RouterApiServer;
use cowslip_runtime::ViolationReporter;
use cowslip_units::{ErrorKind, InvariantName, assert_invariant};
use jsonrpsee::server::{Server, ServerConfig, ServerHandle};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{Duration, sleep};

use crate::caller_stream::CallerStream;
use crate::leader_link::LeaderAddress;
use crate::{CallerHandler, RouterCore, RpcServer};

/// Time in ms between two looks for failed assertions.
const VIOLATION_MS: u64 = 1_000;
/// Time in ms between two looks at what is still running during a stop.
const STOP_LOOK_MS: u64 = 20;
/// Time in ms for which a stop waits for calls whose callers have left: claimed ones, and running reports. A report
/// that takes longer is run again by the router that takes it over.
const STOP_CALLS_MS: u64 = 60_000;
/// Time in ms for which a stop waits for the store to take results, claims to release and reports given up. A store that
/// is down must not hold it up for ever, and reports of a router that has left are taken over.
const STOP_STORE_MS: u64 = 10_000;
/// Largest RPC message in bytes: a snapshot of the view and the text of a sheet.
const MAX_RPC_BYTES: u32 = 16 * 1_024 * 1_024;
/// Most RPC connections: each other process keeps a few.
const MAX_RPC_CONNECTIONS: u32 = 4_096;

/// A running router.
#[derive(Debug)]
pub struct RouterProcess {
    core: Arc<RouterCore>,
    callers: JoinSet<Infallible>,
    rpc: ServerHandle,
    tasks: JoinSet<()>,
}

impl RouterProcess {
    /// Listens on both addresses and starts all background tasks on the present runtime.
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

    /// The router's core.
    pub fn core(&self) -> &Arc<RouterCore> {
        &self.core
    }

    /// The planned stop: interrupts no request.
    pub async fn stop(mut self) {
        let core = Arc::clone(&self.core);
        slog::info!(core.logger, "stopping");
        core.state().draining = true;
        core.signals.stopping.send_replace(true);
        give_up_waiting_reports(&core);
        sleep(Duration::from_millis(core.settings.drain_notice_ms)).await;
        // Dropping the server's future closes the listener; open connections live on in their own tasks.
        self.callers.shutdown().await;
        core.state().closed = true;
        core.connections.close_idle();
        while !core.connections.is_empty() {
            sleep(Duration::from_millis(STOP_LOOK_MS)).await;
        }
        // Calls whose callers have left go on until their own time limits.
        let until = core.now().plus_ms(STOP_CALLS_MS);
        while !core.state().running.is_empty() && core.now() < until {
            sleep(Duration::from_millis(STOP_LOOK_MS)).await;
        }
        let until = core.now().plus_ms(STOP_STORE_MS);
        while !is_settled(&core) && core.now() < until {
            sleep(Duration::from_millis(STOP_LOOK_MS)).await;
        }
        crate::peer_exchange::exchange_last(&core).await;
        // Returns of borrowed permits are on their way in tasks of their own; peers also learn of them by silence.
        sleep(Duration::from_millis(STOP_LOOK_MS)).await;
        assert_nothing_cut(&core);
        self.tasks.shutdown().await;
        let _ = self.rpc.stop();
        // The watch task has ended, so what was recorded since its last look is reported here.
        let total = ViolationReporter::new(core.logger.clone(), core.metrics.clone()).check();
        core.state().violations += total;
        slog::info!(core.logger, "stopped"; "violations" => core.state().violations);
    }
}

/// Asserts at the end of a stop that no caller's request is interrupted by it.
fn assert_nothing_cut(core: &RouterCore) {
    let (waiting, running) = {
        let state = core.state();
        (state.queue.len(), state.running.len())
    };
    let open = core.connections.len();
    assert_invariant(waiting == 0 && running == 0 && open == 0, InvariantName::GracefulStop, || {
        format!(
            "the stop ends with {waiting} waiting and {running} running requests, {open} connections open"
        )
    });
}

/// True when nothing that was accepted is left to do here.
fn is_settled(core: &RouterCore) -> bool {
    let state = core.state();
    state.reports.reports().next().is_none() && state.claims.is_empty()
}

/// Refuses waiting reports, whose runners then give them up for other routers.
fn give_up_waiting_reports(core: &RouterCore) {
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
        let refusal = ErrorResponse::new(ErrorKind::Draining, "this VM is stopping");
        let _ = call.turn.send(Err(refusal));
    }
}

fn start_tasks(core: &Arc<RouterCore>) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    let leader = Arc::new(LeaderAddress::default());
    tasks.spawn(crate::store_poll::run_store_poll(Arc::clone(core)));
    tasks.spawn(crate::store_poll::run_confirm_watch(Arc::clone(core)));
    tasks.spawn(crate::vm_poll::run_vm_poll(Arc::clone(core)));
    tasks.spawn(crate::peer_exchange::run_exchange(Arc::clone(core)));
    tasks.spawn(crate::leader_link::run_demand(Arc::clone(core), Arc::clone(&leader)));
    tasks.spawn(crate::leader_link::run_watch(Arc::clone(core), leader));
    tasks.spawn(crate::dispatch_pump::run_pump(Arc::clone(core)));
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
    let wrap = move |stream: TcpStream| -> Ready<Result<CallerStream, ()>> {
        ready(CallerStream::new(stream, &connections).ok_or(()))
    };
    match gotham::bind_server(listener, CallerHandler::new(core), wrap).await {}
}
