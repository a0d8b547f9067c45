//! Demand to the leader, and the placement table from it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use cowslip_messages::{DemandReport, ModelDemand, PlacementTable, WatchRequest};
use cowslip_rpc::{ControllerApiClient, fault_from_error};
use cowslip_units::{ClockTime, ErrorKind};
use jsonrpsee::core::ClientError;
use tokio::time::{Duration, Instant, sleep, timeout_at};

use crate::{PlacementIndex, RouterCore};

/// Time in ms between two reports while requests wait.
const BUSY_MS: u64 = 100;
/// Time in ms between two reports while none waits.
const QUIET_MS: u64 = 1_000;
/// Longest time in ms that the leader holds a long poll.
const WATCH_MS: u64 = 4_000;
/// Pause in ms after a failed call.
const RETRY_MS: u64 = 100;

/// The controller that answered last as the leader.
#[derive(Debug, Default)]
pub(crate) struct LeaderAddress {
    current: Mutex<(Option<SocketAddr>, usize)>,
}

impl LeaderAddress {
    /// The leader, or the next controller to try.
    fn get(&self, core: &RouterCore) -> Option<SocketAddr> {
        let mut current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        if current.0.is_none() {
            let known = core.state().vms.controllers();
            let listed =
                if core.settings.controllers.is_empty() { known } else { core.settings.controllers.clone() };
            current.1 = current.1.wrapping_add(1);
            current.0 = listed.get(current.1 % listed.len().max(1)).copied();
        }
        current.0
    }

    /// A call to `addr` failed: follows the address of the leader if the fault names it.
    fn failed(&self, addr: SocketAddr, error: &ClientError) {
        let fault = fault_from_error(error).filter(|fault| fault.kind == ErrorKind::NotLeader);
        let leader = fault.and_then(|fault| fault.leader?.parse().ok());
        let mut current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        if current.0 == Some(addr) {
            current.0 = leader.filter(|leader| *leader != addr);
        }
    }
}

/// Reports demand: at once when the first request of a model waits or the last one left, each 100 ms while any waits,
/// else each second.
pub(crate) async fn run_demand(core: Arc<RouterCore>, leader: Arc<LeaderAddress>) {
    let mut sequence = 0;
    loop {
        let waiting = !core.state().queue.is_empty();
        let period_ms = if waiting { BUSY_MS } else { QUIET_MS };
        let until = Instant::now() + Duration::from_millis(period_ms);
        // The time-out is the periodic report.
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
            core.state().leader_at = now;
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
    for (model, count) in std::mem::take(&mut state.arrived) {
        let at = entry(&mut models, &model);
        if let Some(demand) = models.get_mut(at) {
            demand.arrived = count;
        }
    }
    core.metrics.gauge("waiting", state.queue.len() as u64);
    core.metrics.gauge("running", state.running.len() as u64);
    DemandReport { incarnation: core.incarnation.clone(), sequence, table: state.placement.version(), models }
}

/// Follows the placement table by long polls, forever.
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
            core.state().leader_at = now;
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
    for place in &table.upstreams {
        state.permits.set_ramp_age(&place.upstream, place.ramp_age_ms, now);
        if let Some(age_ms) = place.report_age_ms {
            state.choice.reported(&place.upstream, now.minus_ms(age_ms), place.queued);
        }
    }
    core.signals.pump.notify_one();
    // Unloads wait until all routers have acknowledged the table.
    core.signals.demand.notify_one();
}
