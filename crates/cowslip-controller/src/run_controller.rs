//! Runs a controller until a shutdown is requested.

use std::future::Future;
use std::time::Duration;

use cowslip_platform::EngineOrders;
use cowslip_rpc::ControllerApiServer;
use cowslip_runtime::ViolationReporter;
use cowslip_units::FencingToken;
use jsonrpsee::server::{ServerBuilder, ServerConfig};
use thiserror::Error;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::{ControllerCore, ControllerService, PlatformServices};

/// Most connections; each of 350 routers holds a long poll and a few calls.
const MAX_CONNECTIONS: u32 = 4_096;
/// Largest request in bytes; a sheet with 9,000 adapters is below 1 MiB.
const MAX_REQUEST_BYTES: u32 = 16 * 1024 * 1024;
/// Period in ms in which gauges are sent and failed assertions are reported.
const GAUGE_PERIOD_MS: u64 = 1_000;
/// Longest time in ms for each step of the shutdown.
const SHUTDOWN_STEP_TIMEOUT_MS: u64 = 3_000;

/// Why a controller could not start.
#[derive(Debug, Error)]
pub enum RunFault {
    /// The RPC address cannot be used.
    #[error("cannot serve JSON-RPC at {addr}: {reason}")]
    Listen {
        /// The RPC address from the settings.
        addr: std::net::SocketAddr,
        /// Error of the operating system.
        reason: String,
    },
}

/// Runs the controller until `stop` completes, then releases its orders and the lease.
pub async fn run_controller<P, E>(
    core: ControllerCore<P, E>,
    stop: impl Future<Output = ()>,
) -> Result<(), RunFault>
where
    P: PlatformServices,
    E: EngineOrders,
{
    let addr = core.rpc_addr();
    let fault = |error: std::io::Error| RunFault::Listen { addr, reason: error.to_string() };
    let config = ServerConfig::builder()
        .max_connections(MAX_CONNECTIONS)
        .max_request_body_size(MAX_REQUEST_BYTES)
        .max_response_body_size(4 * MAX_REQUEST_BYTES)
        .http_only()
        .build();
    let server = ServerBuilder::with_config(config).build(addr).await.map_err(fault)?;
    let server = server.start(ControllerService::new(core.clone()).into_rpc());
    slog::info!(core.logger, "controller started"; "rpc_addr" => addr.to_string(),
        "incarnation" => core.lock().own().incarnation.as_str());
    let mut tasks = JoinSet::new();
    let starter = core.clone();
    tasks.spawn(async move { starter.write_issuer(FencingToken::ZERO, u32::MAX).await });
    tasks.spawn(core.clone().follow_view());
    tasks.spawn(core.clone().watch_vms());
    tasks.spawn(core.clone().maintain_members());
    tasks.spawn(core.clone().read_reports());
    tasks.spawn(core.clone().maintain_snapshot());
    tasks.spawn(core.clone().send_gauges());
    let lease = tokio::spawn(core.clone().maintain_lease());
    let leading = tokio::spawn(core.clone().lead());
    stop.await;
    slog::info!(core.logger, "stopping");
    core.lock().stopping = true;
    core.planner_wake.notify_one();
    let limit = Duration::from_millis(SHUTDOWN_STEP_TIMEOUT_MS);
    let released = timeout(limit, leading).await;
    if released.is_err() {
        slog::warn!(core.logger, "orders not released in the table");
    }
    let now = core.now();
    core.lock().lease.release(now);
    if timeout(limit, lease).await.is_err() {
        // The lease expires on its own.
        slog::warn!(core.logger, "the lease was not released");
    }
    // The server is stopped last, so that operators' calls in flight are answered.
    let _ = server.stop();
    let _ = timeout(limit, server.stopped()).await;
    tasks.abort_all();
    slog::info!(core.logger, "stopped");
    Ok(())
}

impl<P: PlatformServices, E: EngineOrders> ControllerCore<P, E> {
    /// Sends gauges and reports failed assertions, every second.
    async fn send_gauges(self) {
        let mut violations = ViolationReporter::new(self.logger.clone(), self.metrics.clone());
        loop {
            violations.check();
            let now = self.now();
            {
                let state = self.lock();
                self.metrics.gauge("leader", u64::from(state.lease.is_leader(now)));
                self.metrics.gauge("store_up", u64::from(state.is_store_up(now)));
                self.metrics.gauge("view_version", state.view.version().get());
                self.metrics.gauge("members", count(state.view.members().len()));
                if let Some(leader) = &state.leader {
                    let planner = &leader.planner;
                    self.metrics.gauge("epoch", leader.epoch.get());
                    self.metrics.gauge("ledger_rows", count(planner.ledger().rows().count()));
                    self.metrics.gauge("loads_running", count(planner.queue().running()));
                    self.metrics.gauge("adapters_in_transit", count(planner.queue().adapters()));
                    self.metrics.gauge("models_waiting", count(planner.demand().waiting().len()));
                    self.metrics.gauge("routers_reporting", count(planner.demand().routers()));
                }
            }
            self.clock.sleep_ms(GAUGE_PERIOD_MS).await;
        }
    }
}

fn count(items: usize) -> u64 {
    u64::try_from(items).unwrap_or(u64::MAX)
}
