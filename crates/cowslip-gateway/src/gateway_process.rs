//! Process lifecycle: starts the background tasks, and drains requests at shutdown.

use std::io;
use std::process::ExitCode;
use std::sync::{Arc, PoisonError};

use cowslip_adapter::GatewaySettings;
use cowslip_entry::{UsageMeter, WallClock};
use cowslip_fleet::LeaseHolder;
use cowslip_rpc::GatewayApiServer;
use cowslip_runtime::{ProcessClock, SharedLimiter, ShutdownSignal, process_time_us, random_hex};
use cowslip_units::{IncarnationId, VmId, drain_violations};
use jsonrpsee::server::{Server, ServerConfig};
use slog::{Logger, error, info, warn};
use thiserror::Error;
use tokio::signal::unix::{SignalKind, signal};

use crate::caller_listener::report_connections;
use crate::caller_server::{listen, serve_callers, serve_status};
use crate::crash_exchange::share_crashes;
use crate::duty_scaling::scaling_loop;
use crate::duty_usage::usage_loop;
use crate::gateway::Gateway;
use crate::leader_exchange::{PeerServer, report_loop};
use crate::lease_task::lease_loop;
use crate::part_guard::expire_crashes;
use crate::plan_task::plan_loop;
use crate::quarantine_store::sync_quarantine;
use crate::store_watch::{WatchedTable, watch_table};

/// Time in ms from the signal until idle connections are closed. By then the platform's entry point has seen
/// two not-ready responses and opens no new connections.
const CLOSE_IDLE_MS: u64 = 2_600;

/// The process exits this many ms before the end of the grace period, finished or not.
const EXIT_MARGIN_MS: u64 = 300;

/// Poll interval in ms while requests drain.
const DRAIN_POLL_MS: u64 = 50;

/// Limit on concurrent peer connections; every other gateway may have a report in flight to the leader.
const MAX_PEER_CONNECTIONS: u32 = 2_048;

/// Largest request in bytes of a peer.
const MAX_PEER_REQUEST_BYTES: u32 = 4 << 20;

/// Interval in ms between maintenance runs.
const MAINTENANCE_MS: u64 = 500;

/// Why the process failed to start.
#[derive(Debug, Error)]
enum StartError {
    /// A socket cannot be bound, or a signal handler not be installed.
    #[error("cannot listen: {0}")]
    Listen(#[from] io::Error),
    /// The settings hold an invalid id.
    #[error("invalid id in the settings: {0}")]
    Id(#[from] cowslip_units::UnitError),
}

/// Runs a gateway until it is stopped. `line_limiter` counts the log lines that were suppressed.
pub async fn run_gateway(settings: GatewaySettings, logger: Logger, line_limiter: SharedLimiter) -> ExitCode {
    let clock = ProcessClock::new();
    let gateway = Gateway::new(settings, clock, logger);
    match start(&gateway, line_limiter).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            error!(gateway.logger, "start_failed"; "fault" => %fault);
            ExitCode::FAILURE
        }
    }
}

async fn start(gateway: &Arc<Gateway>, line_limiter: SharedLimiter) -> Result<(), StartError> {
    let mut shutdown = ShutdownSignal::new()?;
    let mut reload = signal(SignalKind::hangup())?;
    let settings = &gateway.settings;
    let callers = listen(settings.callers)?;
    let readiness = listen(settings.readiness)?;
    let metrics = listen(settings.metrics)?;
    let incarnation = IncarnationId::new(&format!("{}:{}", settings.name, random_hex(6)))?;
    let own = LeaseHolder { vm: VmId::new(&settings.peers.to_string())?, incarnation: incarnation.clone() };
    let terms = settings.cloud.as_ref().and_then(|cloud| cloud.usage);
    gateway.lock().usage =
        terms.map(|terms| UsageMeter::new(incarnation.clone(), terms.window_ms, WallClock::new()));
    let config = ServerConfig::builder()
        .max_connections(MAX_PEER_CONNECTIONS)
        .max_request_body_size(MAX_PEER_REQUEST_BYTES)
        .build();
    let peers = Server::builder().set_config(config).build(settings.peers).await?;
    let serving = peers.start(PeerServer::new(Arc::clone(gateway)).into_rpc());
    info!(gateway.logger, "started"; "incarnation" => %incarnation, "domain" => %settings.domain,
        "callers" => %settings.callers, "store" => %settings.store, "first_start" => settings.first_start);
    tokio::spawn(watch_table(Arc::clone(gateway), WatchedTable::Operators));
    tokio::spawn(watch_table(Arc::clone(gateway), WatchedTable::Upstreams));
    tokio::spawn(serve_callers(Arc::clone(gateway), callers));
    tokio::spawn(serve_status(Arc::clone(gateway), readiness, Arc::clone(&gateway.readiness_connections)));
    tokio::spawn(serve_status(Arc::clone(gateway), metrics, Arc::clone(&gateway.metrics_connections)));
    tokio::spawn(report_loop(Arc::clone(gateway)));
    tokio::spawn(share_crashes(Arc::clone(gateway)));
    tokio::spawn(sync_quarantine(Arc::clone(gateway)));
    tokio::spawn(plan_loop(Arc::clone(gateway)));
    tokio::spawn(usage_loop(Arc::clone(gateway)));
    tokio::spawn(scaling_loop(Arc::clone(gateway)));
    tokio::spawn(run_maintenance(Arc::clone(gateway), line_limiter));
    let lease = tokio::spawn(lease_loop(Arc::clone(gateway), own));
    loop {
        tokio::select! {
            () = shutdown.wait() => break,
            _ = reload.recv() => info!(gateway.logger, "reload"; "effect" => "none of the settings in use can change"),
        }
    }
    drain(gateway).await;
    if lease.is_finished() {
        info!(gateway.logger, "lease_released");
    }
    drop(serving);
    info!(gateway.logger, "stopped");
    Ok(())
}

/// Waits for active requests to finish, at most until the end of the grace period.
async fn drain(gateway: &Arc<Gateway>) {
    let begun_at = gateway.now();
    let active = {
        let mut state = gateway.lock();
        state.stopping_at = Some(begun_at);
        state.active
    };
    info!(gateway.logger, "stopping"; "active" => active);
    gateway.clock.sleep_ms(CLOSE_IDLE_MS.min(gateway.settings.grace_ms / 3)).await;
    gateway.closing.send_replace(true);
    let end_at = begun_at.plus_ms(gateway.settings.grace_ms.saturating_sub(EXIT_MARGIN_MS));
    loop {
        gateway.clock.sleep_ms(DRAIN_POLL_MS).await;
        let busy = gateway.lock().active > 0 || gateway.closing.receiver_count() > 0;
        if !busy || gateway.now() >= end_at {
            return;
        }
    }
}

/// Removes expired upstreams and idle connections, and reports suppressed log lines and failed assertions.
async fn run_maintenance(gateway: Arc<Gateway>, line_limiter: SharedLimiter) {
    loop {
        gateway.clock.sleep_ms(MAINTENANCE_MS).await;
        let now = gateway.now();
        let expired = {
            let mut state = gateway.lock();
            let outage_until = state.store_outage.until();
            state.upstreams.expire(outage_until, now)
        };
        for upstream in expired {
            info!(gateway.logger, "upstream_lapsed"; "upstream" => %upstream);
        }
        gateway.pool.close_idle();
        expire_crashes(&gateway);
        report_connections(&gateway);
        gateway.metrics.processor_s.set(process_time_us() as f64 / 1e6);
        let counts = line_limiter.lock().unwrap_or_else(PoisonError::into_inner).take_suppressed();
        for (kind, count) in counts {
            gateway.metrics.lines_suppressed.inc_by(count);
            warn!(gateway.logger, "log_lines_left_out"; "kind" => kind, "count" => count);
        }
        for violation in drain_violations() {
            gateway.metrics.violations.inc();
            error!(gateway.logger, "violation"; "state" => format!("{violation:?}"));
        }
    }
}
