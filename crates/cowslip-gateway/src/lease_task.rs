//! The leader lease: acquiring, renewing and releasing it, and what starts and ends with it.

use std::net::SocketAddr;
use std::sync::Arc;

use cowslip_adapter::{GatewaySettings, RateBound};
use cowslip_entry::{
    DutyGate, LeaderHandover, LoadPlanner, QuotaAllocator, ReceivedHandover, UsageLedger, hash_rank,
    silent_after_ms,
};
use cowslip_fleet::{LeaderLease, LeaseHolder, LeaseStep, LeaseTimes};
use cowslip_units::{ClockTime, FencingToken};
use slog::{info, warn};

use crate::gateway::Gateway;
use crate::gateway_state::GatewayState;
use crate::leader_state::LeaderState;
use crate::lease_calls::{observe_era, read_lease, write_lease};
use crate::standalone_share::raise_fleet_size;

/// Lease times: valid for 3 s, renewed every 0.7 s. A new leader of a large fleet on a small VM may be busy
/// for two seconds.
const LEASE_TIMES: LeaseTimes = LeaseTimes::new(LEASE_MS, RENEW_INTERVAL_MS, 150);

/// Lease times of a weak candidate, a VM with little CPU time or a narrow link. All candidates wait for a
/// lease to expire; a weak one waits longer, to let others take over first. A leader of 85 gateways on a 10
/// Mbit/s link answered their reports too late to be of use.
const WEAK_TIMES: LeaseTimes = LeaseTimes::new(LEASE_MS, RENEW_INTERVAL_MS, 900);

/// Validity of the lease in ms.
pub(crate) const LEASE_MS: u64 = 3_000;

/// Time in ms after a lease renewal during which the leader sends orders. It is shorter than the lease, so
/// that the successor of a crashed leader may send orders sooner, and longer than the interval between
/// renewals in normal operation.
pub(crate) const ORDER_VALIDITY_MS: u64 = 1_500;

/// Interval in ms between two renewals.
const RENEW_INTERVAL_MS: u64 = 700;

/// Longest sleep in ms between two checks of the lease.
const POLL_MS: u64 = 100;

/// Time in ms since the last known renewal after which the next one counts as overdue: the renewal interval,
/// one unanswered call and a report interval.
const RENEWAL_OVERDUE_MS: u64 = 1_300;

/// A leader that has not renewed its lease for this many ms resigns when a gateway that reaches the store
/// asks for the lead.
const RESIGN_AFTER_MS: u64 = 1_100;

/// Delay in ms per rank in hash order before a candidate probes the store, so that candidates probe one after
/// another instead of all at once.
const PROBE_RANK_MS: u64 = 120;

/// Interval in ms between two probes of a gateway.
const PROBE_INTERVAL_MS: u64 = 500;

/// Time in ms, on top of two unanswered reports to the leader, after which a candidate reads the lease row.
const LEADER_SILENT_MS: u64 = 100;

/// Delay in ms per rank in hash order before a candidate takes over, so that one of them does and the others
/// see its lease before their turn.
const RANK_DELAY_MS: u64 = 150;

/// Longest rank delay in ms in a small fleet, where all VMs are alike.
const MAX_RANK_DELAY_MS: u64 = 1_500;

/// Longest rank delay in ms in a large fleet. Few of its VMs are strong enough to lead, so a rank among all
/// members means little; the delay only has to prevent that all gateways read the row at once.
const LARGE_FLEET_RANK_DELAY_MS: u64 = 450;

/// Delay in ms before a weak VM tries to lead after its start.
const WEAK_START_DELAY_MS: u64 = 500;

/// Additional delay in ms of a weak VM in a large fleet when the leader is silent.
const WEAK_DELAY_MS: u64 = 1_500;

/// Like [`WEAK_DELAY_MS`], when the leader reported that it no longer leads: by then the row names the next
/// leader.
const WEAK_TAKEOVER_DELAY_MS: u64 = 600;

/// Largest fleet that a leader on a weak VM can serve.
pub(crate) const SMALL_FLEET: usize = 24;

/// Margin in ms added to the required gap between the orders of two leaders.
const ORDER_GAP_MARGIN_MS: u64 = 200;

/// Share of the rate tolerance that a new leader may grant at once when it has no handover with earlier
/// grants.
const TOLERANCE_SHARE: f64 = 0.2;

/// Runs the lease state machine until the lease is released at shutdown.
pub(crate) async fn lease_loop(gateway: Arc<Gateway>, own: LeaseHolder) {
    let mut lease = LeaderLease::new(own).with_times(LEASE_TIMES).with_replaced_predecessor();
    if gateway.settings.weak {
        gateway.clock.sleep_ms(WEAK_START_DELAY_MS).await;
    }
    loop {
        let now = gateway.now();
        lease.set_times(if is_weak(&gateway, &gateway.lock()) { WEAK_TIMES } else { LEASE_TIMES });
        if gateway.lock().stopping_at.is_some() {
            lease.release(now);
        }
        if std::mem::take(&mut gateway.lock().resigned) {
            lease.abandon(now);
        }
        apply_lease(&gateway, &mut lease, now);
        if lease.is_released() {
            return;
        }
        lease.observe_epoch(FencingToken::new(gateway.lock().term));
        observe_era(&gateway, &mut lease);
        if let Some(received) = &gateway.lock().received_handover {
            lease.observe_release(FencingToken::new(received.handover.term));
        }
        if should_probe(&gateway, now) {
            let answered = read_lease(&gateway, &mut lease).await;
            record_probe(&gateway, answered, now);
            continue;
        }
        if can_skip_lease_read(&gateway, &lease, now) {
            gateway.clock.sleep_ms(POLL_MS).await;
            continue;
        }
        if let Some((version, renewed_at)) = gateway.lock().leader_renewal {
            lease.observe_renewal(version, renewed_at);
        }
        if let Some(lead) = gateway.lock().lead.as_ref() {
            lease.set_members(lead.grants.fleet(now) as u32);
        }
        match lease.next(now) {
            LeaseStep::Idle(until) => {
                gateway.clock.sleep_ms(until.since_ms(now).clamp(1, POLL_MS)).await;
            }
            LeaseStep::Read => {
                read_lease(&gateway, &mut lease).await;
            }
            LeaseStep::Commit(transaction) => write_lease(&gateway, &mut lease, &transaction).await,
        }
        update_leader(&gateway, &lease);
    }
}

/// True when this gateway should leave the lead to others. Any VM can lead a small fleet.
fn is_weak(gateway: &Gateway, state: &GatewayState) -> bool {
    gateway.settings.weak && state.member_count() > SMALL_FLEET
}

/// True when the leader's renewal is overdue and it is this gateway's turn by rank to test whether the store
/// is reachable.
fn should_probe(gateway: &Gateway, now: ClockTime) -> bool {
    let state = gateway.lock();
    if state.lead.is_some() || state.leader_lost_at.is_some() || is_weak(gateway, &state) {
        return false;
    }
    let rank = hash_rank(state.term, &gateway.settings.name, &state.members) as u64;
    let wait_ms = RENEWAL_OVERDUE_MS + (rank * PROBE_RANK_MS).min(LEASE_MS);
    let overdue = state.leader_renewal.is_some_and(|(_, renewed_at)| now.since_ms(renewed_at) >= wait_ms);
    let leader_active =
        state.last_leader_contact.is_some_and(|at| now.since_ms(at) < silent_after_ms(state.members.len()));
    overdue && leader_active && state.probed_at.is_none_or(|at| now.since_ms(at) >= PROBE_INTERVAL_MS)
}

/// Records a probe that was sent at `sent_at`. When the store answered, the leader gets a report at once.
fn record_probe(gateway: &Gateway, answered: bool, sent_at: ClockTime) {
    let mut state = gateway.lock();
    state.probed_at = Some(sent_at);
    if answered {
        state.store_reached_at = Some(sent_at);
        gateway.request_report();
    }
}

/// Resigns as leader in favour of a gateway that reaches the store, when this one has failed to renew its
/// lease. The lease itself is released by the lease task, which may be waiting for the store.
pub(crate) fn resign_if_store_unreachable(gateway: &Gateway, state: &mut GatewayState, now: ClockTime) {
    let mut shared = gateway.lease.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    let renewed_at = shared.as_ref().filter(|lease| lease.is_failing()).and_then(|lease| lease.renewal(now));
    let overdue = renewed_at.is_some_and(|(_, renewed_at)| now.since_ms(renewed_at) >= RESIGN_AFTER_MS);
    let Some(mut lead) = state.lead.take_if(|_| overdue) else { return };
    *shared = None;
    drop(shared);
    let fence = lead.fence;
    state.outgoing_handover = Some((lead.handover(order_gap_ms(&gateway.settings), now), now));
    state.resigned = true;
    state.leader = None;
    state.leader_lost_at = Some(now);
    warn!(gateway.logger, "lead_resigned"; "fence" => fence.get());
}

/// True while a leader answers this gateway's reports, or other candidates come first: the row need not be
/// read.
fn can_skip_lease_read(gateway: &Gateway, lease: &LeaderLease, now: ClockTime) -> bool {
    let state = gateway.lock();
    let name = &gateway.settings.name;
    let rank = hash_rank(state.term, name, &state.members) as u64;
    let max_ms =
        if state.member_count() > SMALL_FLEET { LARGE_FLEET_RANK_DELAY_MS } else { MAX_RANK_DELAY_MS };
    let rank_ms = (rank * RANK_DELAY_MS).min(max_ms);
    let weak_ms = if is_weak(gateway, &state) { WEAK_DELAY_MS } else { 0 };
    let should_wait = match state.leader_lost_at {
        // The leader resigned in favour of the gateway that has just reached the store; it takes over without
        // delay.
        Some(_) if state.can_reach_store(now) => false,
        Some(lost_at) => now.since_ms(lost_at) < rank_ms + weak_ms.min(WEAK_TAKEOVER_DELAY_MS),
        None => {
            let silent_ms = silent_after_ms(state.members.len()) + LEADER_SILENT_MS + rank_ms + weak_ms;
            state.last_leader_contact.is_some_and(|at| now.since_ms(at) < silent_ms)
        }
    };
    // The last contact of a leader that is shutting down is with itself, and it must still release its lease.
    let holds = lease.is_leader(now) || lease.is_releasing();
    should_wait && !holds && state.lead.is_none()
}

fn update_leader(gateway: &Gateway, lease: &LeaderLease) {
    if let Some(members) = lease.members() {
        raise_fleet_size(&mut gateway.lock(), &gateway.settings.name, members as usize, gateway.now());
    }
    if gateway.lock().resigned {
        return;
    }
    let address: Option<SocketAddr> = lease.holder().and_then(|holder| holder.vm.as_str().parse().ok());
    if let Some(address) = address {
        let mut state = gateway.lock();
        if state.leader != Some(address) {
            state.leader = Some(address);
            drop(state);
            gateway.request_report();
        }
    }
}

/// Required gap in ms between the last order of one leader and the first order of the next one to an engine.
fn order_gap_ms(settings: &GatewaySettings) -> u64 {
    settings.order_gap_ms + ORDER_GAP_MARGIN_MS
}

/// Applies the handover of the last leader, unless a later one is known.
pub(crate) fn accept_handover(gateway: &Gateway, handover: LeaderHandover, now: ClockTime) {
    let received = ReceivedHandover { handover, at: now };
    let gap_ms = order_gap_ms(&gateway.settings);
    let mut state = gateway.lock();
    if state.received_handover.as_ref().is_some_and(|known| known.handover.term >= received.handover.term) {
        return;
    }
    let handover_received =
        state.lead.as_mut().is_some_and(|lead| lead.accept_handover(&received, gap_ms, now));
    info!(gateway.logger, "handover"; "term" => received.handover.term, "orders" => received.handover.orders.len(),
        "teams" => received.handover.windows.len(), "leads" => handover_received);
    state.received_handover = Some(received);
}

/// Starts or ends the leader role according to the lease.
fn apply_lease(gateway: &Gateway, lease: &mut LeaderLease, now: ClockTime) {
    let epoch = lease.epoch(now);
    let mut state = gateway.lock();
    match (epoch, &state.lead) {
        (Some(fence), None) => {
            let earlier = lease.previous_holder_until(LEASE_MS, now);
            let settings = &gateway.settings;
            let orders_from = lease.acts_from(ORDER_VALIDITY_MS, order_gap_ms(settings), now);
            // Without a bound no request takes tokens.
            let bound = settings.rate_bound.unwrap_or(RateBound { window_ms: 1, tolerance: 0 });
            let initial_grant = (bound.tolerance as f64 * TOLERANCE_SHARE) as u64;
            let grants = QuotaAllocator::new(bound.window_ms, initial_grant, earlier.is_some(), now);
            let grants = grants
                .with_members(&state.members)
                .with_fleet_size(state.reported_fleet_size.unwrap_or_default());
            let planner = LoadPlanner::new(settings.loads, orders_from, now);
            let mut lead = LeaderState::new(fence, planner, grants);
            if let Some(cloud) = &settings.cloud {
                let gate = DutyGate::new(orders_from, cloud.calls_per_s);
                lead = lead.with_duties(gate, cloud.usage.map(|terms| UsageLedger::new(terms, fence)));
            }
            let received = state.received_handover.as_ref();
            let handover_received =
                received.is_some_and(|received| lead.accept_handover(received, order_gap_ms(settings), now));
            state.lead = Some(lead);
            state.outgoing_handover = None;
            drop(state);
            gateway.metrics.lease_changes.inc();
            info!(gateway.logger, "lead_began"; "fence" => fence.get(), "handover_received" => handover_received,
                "orders_in_ms" => if handover_received { 0 } else { orders_from.since_ms(now) });
            gateway.request_report();
            gateway.watch_now.notify_waiters();
        }
        (None, Some(lead)) => {
            let fence = lead.fence;
            // Other candidates take over as soon as this gateway reports the end, so the lease must not be
            // kept.
            lease.abandon(now);
            let mut ended = state.lead.take();
            let gap_ms = order_gap_ms(&gateway.settings);
            state.outgoing_handover = ended.as_mut().map(|lead| (lead.handover(gap_ms, now), now));
            state.leader = None;
            drop(state);
            gateway.metrics.lease_changes.inc();
            warn!(gateway.logger, "lead_ended"; "fence" => fence.get());
        }
        (Some(_), Some(_)) => {
            drop(state);
        }
        (None, None) => {}
    }
    *gateway.lease.lock().unwrap_or_else(std::sync::PoisonError::into_inner) = Some(lease.clone());
}
