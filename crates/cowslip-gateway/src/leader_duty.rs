//! The leader lease: who holds it, and what begins and ends with it.

use std::net::SocketAddr;
use std::sync::Arc;

use cowslip_adapter::NodeSettings;
use cowslip_entry::{LeaderHandover, LoadPlanner, QuotaAllocator, ReceivedHandover, heard_ms, rank_of};
use cowslip_fleet::{LEASE_KEY, LeaderLease, LeaseHolder, LeaseStep, LeaseTimes};
use cowslip_platform::{RowValue, TableService};
use cowslip_units::{ClockTime, FencingToken, StoreEra};
use slog::{info, warn};

use crate::gateway_metrics::OutcomeLabels;
use crate::gateway_state::{Gateway, GatewayState};
use crate::leader_state::LeaderState;
use crate::own_parts::learn_fleet;

/// Times of the lease: valid for 3 s, renewed every 0.7 s. A new leader of a large fleet on a small VM may be busy for two
/// seconds.
const LEASE_TIMES: LeaseTimes = LeaseTimes::new(LEASE_MS, RENEW_MS, 150);

/// The times of a weak candidate. When a lease runs out, all candidates wait for it; a weak one leaves it to the others
/// for so much longer. A leader of 85 gateways on a link of 10 Mbit/s answered their reports too late to be of use.
const WEAK_TIMES: LeaseTimes = LeaseTimes::new(LEASE_MS, RENEW_MS, 900);

/// Validity of the lease in ms.
pub(crate) const LEASE_MS: u64 = 3_000;

/// Time in ms after a renewal of the lease in which its holder sends orders. It is shorter than the lease, so that the
/// next leader of one that has died may order sooner, and longer than renewals take while all is well.
pub(crate) const ORDERS_MS: u64 = 1_500;

/// Pause in ms between two renewals.
const RENEW_MS: u64 = 700;

/// Longest sleep in ms between two looks at the lease.
const LOOK_MS: u64 = 100;

/// Time in ms since the last renewal that was told from which a renewal is overdue: the pause between two, a call that is
/// not answered, and a report's pause.
const OVERDUE_MS: u64 = 1_300;

/// Time in ms since its last renewal from which a leader gives its lease up to one that reaches the store.
const RESIGN_MS: u64 = 1_100;

/// Time in ms that each candidate leaves to those before it in the order of a hash to find out whether the store answers.
const PROBE_RANK_MS: u64 = 120;

/// Pause in ms between two such calls of a gateway.
const PROBE_PAUSE_MS: u64 = 500;

/// Time in ms on top of two reports without an answer of the leader after which a candidate reads the lease row.
const SILENT_MS: u64 = 100;

/// Time in ms that each candidate leaves to those before it in the order of a hash, so that one takes over and the others
/// hear of it.
const RANK_MS: u64 = 150;

/// Longest such time in ms in a small fleet, where all are alike. In a large one few VMs are strong, and their ranks
/// among all say little; all that matters is that not every gateway reads the row at once.
const MAX_RANK_MS: u64 = 1_500;

/// Longest such time in ms in a large fleet.
const LARGE_RANK_MS: u64 = 450;

/// Time in ms that a VM with little processor time or a narrow link leaves to the others at its start.
const WEAK_START_MS: u64 = 500;

/// Time in ms that such a VM of a large fleet leaves to the others when the leader is lost.
const WEAK_MS: u64 = 1_500;

/// The same when the leader has said that it leads no longer: the row names the next one by then.
const WEAK_LOST_MS: u64 = 600;

/// Gateways that a leader on a weak VM can serve.
pub(crate) const SMALL_FLEET: usize = 24;

/// Time in ms on top of the required gap between the orders of two holders.
const GAP_MARGIN_MS: u64 = 200;

/// Bits of an epoch below the era of the store in which it is given out.
const ERA_EPOCH_BITS: u32 = 32;

/// Part of the limit's tolerance that a leader grants at once when it does not know what was granted before it.
const TOLERANCE_PART: f64 = 0.2;

/// Keeps the lease until it is released at a planned stop.
pub(crate) async fn lease_loop(gateway: Arc<Gateway>, own: LeaseHolder) {
    let mut lease = LeaderLease::new(own).with_times(LEASE_TIMES).with_replaced_predecessor();
    if gateway.settings.weak {
        gateway.clock.sleep_ms(WEAK_START_MS).await;
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
        settle_lead(&gateway, &mut lease, now);
        if lease.is_released() {
            return;
        }
        lease.observe_epoch(FencingToken::new(gateway.lock().term));
        lease.observe_epoch(first_epoch(gateway.store.era()));
        if let Some(received) = &gateway.lock().received {
            lease.observe_release(FencingToken::new(received.told.term));
        }
        if must_probe(&gateway, now) {
            let result = gateway.store.read(LEASE_KEY).await;
            count_store(&gateway, "lease_read", result.is_err());
            lease.read_answered(&result, gateway.now());
            log_lease(&gateway, &lease, result.as_ref().ok().and_then(|row| row.as_ref()));
            probed(&gateway, result.is_ok(), now);
            continue;
        }
        if follows_well(&gateway, &lease, now) {
            gateway.clock.sleep_ms(LOOK_MS).await;
            continue;
        }
        if let Some((version, renewed_at)) = gateway.lock().lease_told {
            lease.observe_renewal(version, renewed_at);
        }
        if let Some(lead) = gateway.lock().lead.as_ref() {
            lease.set_members(lead.grants.fleet(now) as u32);
        }
        match lease.next(now) {
            LeaseStep::Idle(until) => {
                gateway.clock.sleep_ms(until.since_ms(now).clamp(1, LOOK_MS)).await;
            }
            LeaseStep::Read => {
                let result = gateway.store.read(LEASE_KEY).await;
                count_store(&gateway, "lease_read", result.is_err());
                lease.read_answered(&result, gateway.now());
                log_lease(&gateway, &lease, result.as_ref().ok().and_then(|row| row.as_ref()));
            }
            LeaseStep::Commit(transaction) => {
                let result = gateway.store.commit(&transaction).await;
                count_store(&gateway, "lease_write", result.is_err());
                lease.commit_answered(&result, gateway.now());
            }
        }
        learn_leader(&gateway, &lease);
    }
}

/// Epochs of an era of the store begin above all those of the eras before: what was given out last may stand in no row
/// any more, and no process that knows it may be left.
const fn first_epoch(era: StoreEra) -> FencingToken {
    FencingToken::new(era.get() << ERA_EPOCH_BITS)
}

fn log_lease(gateway: &Gateway, lease: &LeaderLease, row: Option<&RowValue>) {
    let now = gateway.now();
    let told = gateway.lock().lease_told.map(|(version, _)| version);
    info!(gateway.logger, "lease_read"; "version" => row.map(|row| row.version), "told" => told,
        "holder" => lease.holder().map(|holder| holder.vm.to_string()),
        "takeover_in_ms" => lease.takeover_at().map(|at| at.since_ms(now)));
}

fn count_store(gateway: &Gateway, kind: &'static str, failed: bool) {
    let outcome = if failed { "failed" } else { "ok" };
    gateway.metrics.store_calls.get_or_create(&OutcomeLabels { kind, outcome }).inc();
}

/// True when this gateway should leave the lead to others: any VM can lead a small fleet.
fn is_weak(gateway: &Gateway, state: &GatewayState) -> bool {
    gateway.settings.weak && state.member_count() > SMALL_FLEET
}

/// True when the leader has not renewed its lease in time, and this gateway, by its rank, is to find out whether the store
/// answers others.
fn must_probe(gateway: &Gateway, now: ClockTime) -> bool {
    let state = gateway.lock();
    if state.lead.is_some() || state.leader_lost_at.is_some() || is_weak(gateway, &state) {
        return false;
    }
    let rank = rank_of(state.term, &gateway.settings.name, &state.members) as u64;
    let wait_ms = OVERDUE_MS + (rank * PROBE_RANK_MS).min(LEASE_MS);
    let overdue = state.lease_told.is_some_and(|(_, renewed_at)| now.since_ms(renewed_at) >= wait_ms);
    let heard = state.leader_heard_at.is_some_and(|at| now.since_ms(at) < heard_ms(state.members.len()));
    overdue && heard && state.probed_at.is_none_or(|at| now.since_ms(at) >= PROBE_PAUSE_MS)
}

/// Takes note of a probe that was sent at `sent_at`, and tells the leader at once when the store answers.
fn probed(gateway: &Gateway, answered: bool, sent_at: ClockTime) {
    let mut state = gateway.lock();
    state.probed_at = Some(sent_at);
    if answered {
        state.store_reached_at = Some(sent_at);
        gateway.report_now.notify_one();
    }
}

/// Ends the leader's duties in favour of a gateway that reaches the store, while this one has failed to renew its lease. The
/// lease itself is given up by its loop, which may be waiting for the store.
pub(crate) fn resign_if_cut_off(gateway: &Gateway, state: &mut GatewayState, now: ClockTime) {
    let mut shared = gateway.lease.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    let renewed_at = shared.as_ref().filter(|lease| lease.is_failing()).and_then(|lease| lease.renewal(now));
    let overdue = renewed_at.is_some_and(|(_, renewed_at)| now.since_ms(renewed_at) >= RESIGN_MS);
    let Some(mut lead) = state.lead.take_if(|_| overdue) else { return };
    *shared = None;
    drop(shared);
    let fence = lead.fence;
    state.given = Some((lead.handover(order_gap_ms(&gateway.settings), now), now));
    state.resigned = true;
    state.leader = None;
    state.leader_lost_at = Some(now);
    warn!(gateway.logger, "lead_resigned"; "fence" => fence.get());
}

/// True while a leader answers this gateway's reports, or others should take its lease first: the row need not be read.
fn follows_well(gateway: &Gateway, lease: &LeaderLease, now: ClockTime) -> bool {
    let state = gateway.lock();
    let name = &gateway.settings.name;
    let rank = rank_of(state.term, name, &state.members) as u64;
    let most_ms = if state.member_count() > SMALL_FLEET { LARGE_RANK_MS } else { MAX_RANK_MS };
    let rank_ms = (rank * RANK_MS).min(most_ms);
    let weak_ms = if is_weak(gateway, &state) { WEAK_MS } else { 0 };
    let heard = match state.leader_lost_at {
        // The one that has just reached the store, for which the leader gave its lease up, waits for nobody.
        Some(_) if state.reaches_store(now) => false,
        Some(lost_at) => now.since_ms(lost_at) < rank_ms + weak_ms.min(WEAK_LOST_MS),
        None => {
            let silent_ms = heard_ms(state.members.len()) + SILENT_MS + rank_ms + weak_ms;
            state.leader_heard_at.is_some_and(|at| now.since_ms(at) < silent_ms)
        }
    };
    // A leader that stops has heard itself until now.
    let holds = lease.is_leader(now) || lease.is_releasing();
    heard && !holds && state.lead.is_none()
}

fn learn_leader(gateway: &Gateway, lease: &LeaderLease) {
    if let Some(members) = lease.members() {
        learn_fleet(&mut gateway.lock(), &gateway.settings.name, members as usize, gateway.now());
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
            gateway.report_now.notify_one();
        }
    }
}

/// Time in ms between the last order of a leader to an engine and the first one of another VM.
fn order_gap_ms(settings: &NodeSettings) -> u64 {
    settings.order_gap_ms + GAP_MARGIN_MS
}

/// Takes what the last leader handed over.
pub(crate) fn take_handover(gateway: &Gateway, told: LeaderHandover, now: ClockTime) {
    let received = ReceivedHandover { told, at: now };
    let gap_ms = order_gap_ms(&gateway.settings);
    let mut state = gateway.lock();
    if state.received.as_ref().is_some_and(|known| known.told.term >= received.told.term) {
        return;
    }
    let informed = state.lead.as_mut().is_some_and(|lead| lead.take_handover(&received, gap_ms, now));
    info!(gateway.logger, "handover"; "term" => received.told.term, "orders" => received.told.orders.len(),
        "teams" => received.told.windows.len(), "leads" => informed);
    state.received = Some(received);
}

/// When this gateway may send orders as a new leader. An engine must not get orders of two VMs within the required gap; a
/// VM that restarts and has led long enough before is the only one that has sent any.
fn orders_from(settings: &NodeSettings, lease: &LeaderLease, now: ClockTime) -> ClockTime {
    let gap_ms = order_gap_ms(settings);
    let alone = lease.same_vm_held_ms().is_some_and(|held_ms| held_ms >= ORDERS_MS + gap_ms);
    match lease.previous_holder_until(ORDERS_MS, now) {
        Some(until) if !alone => until.plus_ms(gap_ms).max(now),
        _ => now,
    }
}

/// Begins or ends the duties as the lease says.
fn settle_lead(gateway: &Gateway, lease: &mut LeaderLease, now: ClockTime) {
    let epoch = lease.epoch(now);
    let mut state = gateway.lock();
    match (epoch, &state.lead) {
        (Some(fence), None) => {
            let earlier = lease.previous_holder_until(LEASE_MS, now);
            let orders_from = orders_from(&gateway.settings, lease, now);
            let settings = &gateway.settings;
            let slack = (settings.rate_tolerance as f64 * TOLERANCE_PART) as u64;
            let grants = QuotaAllocator::new(settings.rate_window_ms, slack, earlier.is_some(), now);
            let grants = grants.with_members(&state.members).with_fleet_size(state.fleet.unwrap_or_default());
            let planner = LoadPlanner::new(settings.loads, orders_from, now);
            let mut lead = LeaderState::new(fence, planner, grants);
            let received = state.received.as_ref();
            let informed =
                received.is_some_and(|received| lead.take_handover(received, order_gap_ms(settings), now));
            state.lead = Some(lead);
            state.given = None;
            drop(state);
            gateway.metrics.lease_changes.inc();
            info!(gateway.logger, "lead_began"; "fence" => fence.get(), "informed" => informed,
                "orders_in_ms" => if informed { 0 } else { orders_from.since_ms(now) });
            gateway.report_now.notify_one();
            gateway.follow_now.notify_waiters();
        }
        (None, Some(lead)) => {
            let fence = lead.fence;
            // Others take over at once when they hear of the end.
            lease.abandon(now);
            let mut ended = state.lead.take();
            let gap_ms = order_gap_ms(&gateway.settings);
            state.given = ended.as_mut().map(|lead| (lead.handover(gap_ms, now), now));
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
