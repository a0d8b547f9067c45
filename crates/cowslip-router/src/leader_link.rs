//! Reports demand to the leader and receives the placement table from it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use cowslip_messages::{DemandReport, ModelDemand, PlacementTable, WatchRequest};
use cowslip_rpc::{ControllerApiClient, fault_from_error};
use cowslip_units::{ClockTime, ErrorKind};
use jsonrpsee::core::ClientError;
use tokio::time::{Duration, Instant, sleep, timeout_at};

use crate::{PlacementIndex, RouterCore};

/// Interval in ms between reports while requests are queued.
const WAITING_REPORT_MS: u64 = 100;
/// Interval in ms between reports while the queue is empty.
const IDLE_REPORT_MS: u64 = 1_000;
/// Longest time in ms for which the leader delays its reply to a long poll.
const WATCH_MS: u64 = 4_000;
/// Delay in ms before the next call after a failed one.
const RETRY_MS: u64 = 100;

/// Address of the controller that last answered as the leader, and the position in the list of controllers.
#[derive(Debug, Default)]
pub(crate) struct LeaderAddress {
    current: Mutex<(Option<SocketAddr>, usize)>,
}

impl LeaderAddress {
    /// Returns the leader, or the next controller to try if the leader is unknown.
    fn get(&self, core: &RouterCore) -> Option<SocketAddr> {
        let mut current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        if current.0.is_none() {
            let listed_controllers = core.state().vms.controllers();
            let controllers = if core.settings.controllers.is_empty() {
                listed_controllers
            } else {
                core.settings.controllers.clone()
            };
            current.1 = current.1.wrapping_add(1);
            current.0 = controllers.get(current.1 % controllers.len().max(1)).copied();
        }
        current.0
    }

    /// Handles a failed call to `addr`: follows the redirect if the error names the leader.
    fn failed(&self, addr: SocketAddr, error: &ClientError) {
        let fault = fault_from_error(error).filter(|fault| fault.kind == ErrorKind::NotLeader);
        let leader = fault.and_then(|fault| fault.leader?.parse().ok());
        let mut current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        if current.0 == Some(addr) {
            current.0 = leader.filter(|leader| *leader != addr);
        }
    }
}

/// Task that reports demand: at once when the first request for a model is queued or a queued request is
/// cancelled, every [`WAITING_REPORT_MS`] while requests are queued, otherwise every [`IDLE_REPORT_MS`].
pub(crate) async fn run_demand_reports(core: Arc<RouterCore>, leader: Arc<LeaderAddress>) {
    let mut sequence = 0;
    loop {
        let waiting = !core.state().queue.is_empty();
        let period_ms = if waiting { WAITING_REPORT_MS } else { IDLE_REPORT_MS };
        let until = Instant::now() + Duration::from_millis(period_ms);
        // A timeout triggers the periodic report.
        let _ = timeout_at(until, core.signals.demand.notified()).await;
        sequence += 1;
        if !send_demand(&core, &leader, sequence).await {
            sleep(Duration::from_millis(RETRY_MS)).await;
        }
    }
}

async fn send_demand(core: &RouterCore, leader: &LeaderAddress, sequence: u64) -> bool {
    let Some(addr) = leader.get(core) else {
        return false;
    };
    let Some(client) = core.peers.call(addr) else {
        return false;
    };
    let report = demand_report(core, sequence);
    match client.demand(report).await {
        Ok(_) => {
            let now = core.now();
            core.state().leader_last_contact = now;
            true
        }
        Err(error) => {
            core.metrics.count("demand_failures", 1);
            leader.failed(addr, &error);
            false
        }
    }
}

fn demand_report(core: &RouterCore, sequence: u64) -> DemandReport {
    let now = core.now();
    let mut state = core.state();
    let mut models = state.queue.demand(now);
    let entry = |models: &mut Vec<ModelDemand>, model: &cowslip_units::ModelId| match models
        .binary_search_by(|demand| demand.model.cmp(model))
    {
        Ok(at) => at,
        Err(at) => {
            let demand = ModelDemand {
                model: model.clone(),
                waiting: Vec::new(),
                running: 0,
                arrived: 0,
                running_on: Vec::new(),
            };
            models.insert(at, demand);
            at
        }
    };
    for ((model, upstream), count) in &state.in_flight {
        let at = entry(&mut models, model);
        if let Some(demand) = models.get_mut(at) {
            demand.running += count;
            demand.running_on.push(upstream.clone());
        }
    }
    for (model, count) in std::mem::take(&mut state.arrival_counts) {
        let at = entry(&mut models, &model);
        if let Some(demand) = models.get_mut(at) {
            demand.arrived = count;
        }
    }
    core.metrics.gauge("waiting", state.queue.len() as u64);
    core.metrics.gauge("running", state.running.len() as u64);
    DemandReport { incarnation: core.incarnation.clone(), sequence, table: state.placement.version(), models }
}

/// Task that follows the placement table by long polls.
pub(crate) async fn run_watch(core: Arc<RouterCore>, leader: Arc<LeaderAddress>) {
    loop {
        if !watch(&core, &leader).await {
            sleep(Duration::from_millis(RETRY_MS)).await;
        }
    }
}

async fn watch(core: &RouterCore, leader: &LeaderAddress) -> bool {
    let Some(addr) = leader.get(core) else {
        return false;
    };
    let Some(client) = core.peers.poll(addr) else {
        return false;
    };
    let since = core.state().placement.version();
    match client.placement_watch(WatchRequest { since, wait_ms: WATCH_MS }).await {
        Ok(reply) => {
            let now = core.now();
            core.state().leader_last_contact = now;
            if let Some(table) = reply.table {
                take_table(core, &table, now);
            }
            true
        }
        Err(error) => {
            core.metrics.count("watch_failures", 1);
            leader.failed(addr, &error);
            false
        }
    }
}

fn take_table(core: &RouterCore, table: &PlacementTable, now: ClockTime) {
    let mut state = core.state();
    let state = &mut *state;
    if table.version <= state.placement.version() {
        return;
    }
    state.placement = PlacementIndex::new(table, &state.placement, now);
    for listed in &table.upstreams {
        state.permits.set_ramp_age(&listed.upstream, listed.ramp_age_ms, now);
        if let Some(age_ms) = listed.report_age_ms {
            state.selector.reported(&listed.upstream, now.minus_ms(age_ms), listed.queued);
        }
    }
    core.signals.dispatch.notify_one();
    // The leader unloads a replica only after all routers have acknowledged the table.
    core.signals.demand.notify_one();
}
