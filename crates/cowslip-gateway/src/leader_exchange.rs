//! Reports to the leader, and the RPC server for other gateways.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use cowslip_entry::{
    AnswerNotice, CrashCursor, CrashLogCopy, GatewayReport, LeaderAnswer, LeaseRenewal, StandaloneQuota,
    TokenGrantLine, UpstreamUpdate, ViewCopy, candidate_interval_ms, last_renewal, report_interval_ms,
    silent_after_ms, urgent_interval_ms,
};
use cowslip_rpc::{GatewayApiClient, GatewayApiServer};
use cowslip_units::{ClockTime, TeamId};
use jsonrpsee::core::{RpcResult, async_trait};
use slog::{info, warn};
use smol_str::SmolStr;
use tokio::time::timeout;

use crate::crash_exchange::merge_crashes;
use crate::gateway::Gateway;
use crate::gateway_metrics::OutcomeLabels;
use crate::gateway_state::GatewayState;
use crate::lease_task::{SMALL_FLEET, accept_handover, resign_if_store_unreachable};
use crate::peer_clients::PeerClients;
use crate::plan_record::{ReportKind, WorkTimer, record_answer};
use crate::standalone_share::raise_fleet_size;
use crate::view_copy::{apply_upstream_updates, apply_view_copy, view_copy};

/// Report interval in ms while no leader answers.
const LEADERLESS_REPORT_MS: u64 = 150;

/// Shortest interval in ms between two reports.
const MIN_REPORT_MS: u64 = 4;

/// Time in ms for which a former leader answers reports with its handover.
const HANDOVER_VALIDITY_MS: u64 = 4_000;

/// Staleness in ms of the own view from which another gateway is asked for a copy. A change that is known to
/// be missing is fetched without waiting for it.
const CONFIRM_AGE_MS: u64 = 2_600;

/// RPC server for other gateways.
#[derive(Clone, Debug)]
pub(crate) struct PeerServer {
    gateway: Arc<Gateway>,
}

impl PeerServer {
    /// Creates the server of `gateway`.
    pub(crate) const fn new(gateway: Arc<Gateway>) -> Self {
        Self { gateway }
    }
}

#[async_trait]
impl GatewayApiServer for PeerServer {
    async fn gateway_report(&self, report: GatewayReport) -> RpcResult<LeaderAnswer> {
        Ok(answer_report(&self.gateway, report))
    }

    async fn crash_update(&self, update: CrashLogCopy) -> RpcResult<()> {
        merge_crashes(&self.gateway, &mut self.gateway.lock(), &update, self.gateway.crash_time());
        Ok(())
    }

    async fn view_copy(&self) -> RpcResult<ViewCopy> {
        let now = self.gateway.now();
        Ok(view_copy(&self.gateway.lock(), now))
    }
}

/// Answers a report: as the leader, or by naming the known leader.
pub(crate) fn answer_report(gateway: &Gateway, report: GatewayReport) -> LeaderAnswer {
    let timer = WorkTimer::start();
    let now = gateway.now();
    let lease = lease_renewal(gateway, now);
    let kind = ReportKind::of(&report);
    let urgent = report.demand.iter().any(|line| line.waiting > 0);
    let mut state = gateway.lock();
    let state = &mut *state;
    if report.gateway.is_empty() {
        let leader = if state.lead.is_some() { Some(gateway.settings.peers) } else { state.leader };
        let fleet = state.reported_fleet_size.unwrap_or_default() as u32;
        return LeaderAnswer { leader, fleet, ..LeaderAnswer::default() };
    }
    if report.reaches_store && report.may_lead {
        resign_if_store_unreachable(gateway, state, now);
    }
    let view = state.freshness(now);
    let config = state.view.config().cloned();
    let leader = state.leader;
    let own = gateway.settings.peers;
    if state.lead.is_some() {
        merge_crashes(gateway, state, &report.crashes, gateway.crash_time());
    }
    let crash_cursor = report.crash_cursor;
    let Some(lead) = state.lead.as_mut() else {
        let handover = state.outgoing_handover.as_ref().filter(|_| report.may_lead);
        let handover = handover.map(|(handover, at)| (handover, now.since_ms(*at)));
        let handover = handover.filter(|(_, age_ms)| *age_ms < HANDOVER_VALIDITY_MS);
        let handover = handover.map(|(handover, age_ms)| handover.aged(age_ms));
        return LeaderAnswer { leader, view, handover, ..LeaderAnswer::default() };
    };
    if let Some(config) = &config {
        lead.configure(config, now);
    }
    let leaving = AnswerNotice { leaving: true, paused_ms: None };
    for start in &report.leaving {
        state.upstreams.record_notice(start, leaving, now);
    }
    let services = config.as_ref().map_or(&[][..], |config| config.services());
    let fence = lead.fence.get();
    let answer = lead.answer(report, services, view, lease, own, now);
    let known = if crash_cursor.term == fence { crash_cursor.revision } else { 0 };
    let log = &state.quarantine.log;
    let answer = LeaderAnswer {
        crashes: log.changes_since(known, gateway.crash_time()),
        crash_cursor: CrashCursor { term: fence, revision: log.cursor() },
        ..answer
    };
    record_answer(gateway, &mut lead.work, kind, timer);
    // Each plan allows full snapshots for more gateways, and deferred ones wait for theirs.
    if urgent || (answer.deferred && !answer.brief) {
        gateway.plan_now.notify_one();
    }
    answer
}

/// Last renewal of the own lease, reported to candidates; `None` when this gateway does not hold it.
fn lease_renewal(gateway: &Gateway, now: ClockTime) -> Option<LeaseRenewal> {
    let lease = gateway.lease.lock().unwrap_or_else(PoisonError::into_inner);
    let (version, renewed_at) = lease.as_ref()?.renewal(now)?;
    Some(LeaseRenewal { version, age_ms: now.since_ms(renewed_at) })
}

/// A report's answer, and what of the report the leader has taken over with it.
struct AnsweredReport {
    answer: LeaderAnswer,
    /// Tokens by team that were spent without a leader.
    spent_alone: Vec<(TeamId, u64)>,
    crashes: CrashLogCopy,
}

impl AnsweredReport {
    /// An answered report without its answer.
    fn new(report: &GatewayReport) -> Self {
        let spending = report.tokens.iter().filter(|request| request.spent_alone > 0);
        Self {
            answer: LeaderAnswer::default(),
            spent_alone: spending.map(|request| (request.team.clone(), request.spent_alone)).collect(),
            crashes: report.crashes.clone(),
        }
    }

    /// Sets the answer.
    fn with_answer(self, answer: LeaderAnswer) -> Self {
        Self { answer, ..self }
    }
}

/// Sends reports to the leader for as long as the process runs.
pub(crate) async fn report_loop(gateway: Arc<Gateway>) {
    let mut clients = PeerClients::default();
    let mut has_leader = false;
    let mut next_peer = 0_usize;
    // Send time of the last report that got a complete answer.
    let mut last_full_answer_at = None;
    loop {
        let sent_at = gateway.now();
        let (leader, leads) = {
            let state = gateway.lock();
            (state.leader, state.lead.is_some())
        };
        let answered = if leads {
            let report = own_report(&gateway, false, sent_at);
            let answered = AnsweredReport::new(&report);
            Some(answered.with_answer(answer_report(&gateway, report)))
        } else if let Some(leader) = leader {
            let brief =
                last_full_answer_at.is_some_and(|at| sent_at.since_ms(at) < brief_period_ms(&gateway));
            report_to_leader(&gateway, &mut clients, leader, brief, sent_at).await
        } else {
            None
        };
        let is_leader = answered.as_ref().is_some_and(|answered| answered.answer.leads);
        if !leads && !is_leader {
            // A former leader may still answer without naming its successor.
            find_leader(&gateway, &mut clients, &mut next_peer, leader).await;
        }
        if is_leader != has_leader {
            has_leader = is_leader;
            if is_leader {
                info!(gateway.logger, "leader_heard"; "leader" => leader.map(|leader| leader.to_string()));
            } else {
                warn!(gateway.logger, "leader_lost"; "leader" => leader.map(|leader| leader.to_string()));
            }
        }
        if let Some(answered) = answered {
            let answer = &answered.answer;
            if !answer.leads && answer.leader.is_none_or(|named| Some(named) == leader) {
                // It no longer leads and names no successor: there is no need to wait until it counts as
                // silent.
                gateway.lock().record_leader_lost(sent_at);
            }
            if answer.leads && !answer.brief {
                last_full_answer_at = (!answer.deferred).then_some(sent_at);
            }
            apply_answer(&gateway, answered, sent_at);
        }
        confirm_view(&gateway, &mut clients, &mut next_peer).await;
        wait_for_next_report(&gateway).await;
    }
}

/// Asks another gateway for the leader, so that not all gateways read the lease row when the leader is lost.
async fn find_leader(
    gateway: &Arc<Gateway>,
    clients: &mut PeerClients,
    next_peer: &mut usize,
    former_leader: Option<SocketAddr>,
) {
    let mut peers = gateway.lock().peers.clone();
    peers.retain(|peer| Some(*peer) != former_leader);
    let Some(peer) = peers.get(*next_peer % peers.len().max(1)).copied() else { return };
    *next_peer += 1;
    let Some(client) = clients.get(gateway, peer) else { return };
    // An empty report carries no data and only asks for the leader.
    match client.gateway_report(GatewayReport::default()).await {
        Ok(answer) => {
            let mut state = gateway.lock();
            if answer.leader.is_some() && answer.leader != former_leader {
                state.leader = answer.leader;
            }
            if answer.fleet > 0 {
                raise_fleet_size(&mut state, &gateway.settings.name, answer.fleet as usize, gateway.now());
            }
        }
        Err(_) => clients.remove_client(peer),
    }
}

/// The report to send now, with the usage counts where usage is reported.
fn own_report(gateway: &Gateway, brief: bool, sent_at: ClockTime) -> GatewayReport {
    let own_day = gateway.own_day();
    gateway.begin_report();
    let mut state = gateway.lock();
    let report = state.build_report(&gateway.settings, brief, sent_at, gateway.crash_time());
    let usage = state.usage.as_mut().map(|meter| meter.report(own_day, sent_at));
    GatewayReport { usage, ..report }
}

async fn report_to_leader(
    gateway: &Arc<Gateway>,
    clients: &mut PeerClients,
    leader: SocketAddr,
    brief: bool,
    sent_at: ClockTime,
) -> Option<AnsweredReport> {
    let client = clients.get(gateway, leader)?;
    let report = own_report(gateway, brief, sent_at);
    let answered = AnsweredReport::new(&report);
    let result = client.gateway_report(report).await;
    let outcome = if result.is_ok() { "ok" } else { "failed" };
    gateway.metrics.reports.get_or_create(&OutcomeLabels { kind: "report", outcome }).inc();
    match result {
        Ok(answer) => Some(answered.with_answer(answer)),
        Err(error) => {
            clients.remove_client(leader);
            if gateway.may_log() {
                warn!(gateway.logger, "report_failed"; "leader" => %leader, "error" => %error);
            }
            None
        }
    }
}

/// Applies the leader's answer.
fn apply_answer(gateway: &Gateway, answered: AnsweredReport, sent_at: ClockTime) {
    let AnsweredReport { answer, spent_alone, crashes } = answered;
    let now = gateway.now();
    let mut state = gateway.lock();
    if let Some(age_ms) = answer.view.age_ms {
        let known = state.view.confirm(answer.view.changed, sent_at.minus_ms(age_ms));
        if !known && !state.view_outdated {
            state.view_outdated = true;
            gateway.watch_now.notify_waiters();
        }
    }
    if !answer.leads {
        drop(state);
        if let Some(handover) = answer.handover {
            accept_handover(gateway, handover, now);
        }
        return;
    }
    if let (Some(meter), Some(usage)) = (state.usage.as_mut(), &answer.usage) {
        meter.record_answer(usage, answer.term, sent_at, now);
    }
    state.leader_lost_at = None;
    state.last_leader_contact = Some(sent_at);
    state.leader_renewal = last_renewal(state.leader_renewal, answer.lease, now);
    if !answer.brief {
        state.peers = answer.peers;
    }
    apply_members(&mut state, answer.members, answer.fresh);
    state.reported_fleet_size = Some(answer.fleet as usize);
    if state.lead.is_none() && !answer.deferred {
        let update = UpstreamUpdate {
            entries: answer.upstreams,
            models: answer.models,
            version: answer.view.upstream_version,
            fresh: answer.fresh,
        };
        apply_upstream_updates(gateway, &mut state, update, &answer.view, sent_at, now);
    }
    for (id, names) in answer.adapters {
        state.upstreams.set_adapters(&id, names.unwrap_or_default());
    }
    if !answer.deferred {
        state.term = answer.term;
        state.cursors = answer.marks;
    }
    if !answer.brief {
        state.upstreams.apply_load(&answer.running, &answer.leaving);
        let figures_at = state.leader_figures_at(sent_at);
        state.upstreams.apply_tokens(&answer.tokens, figures_at);
        if let Some(cursor) = answer.pace_cursor {
            state.upstreams.apply_paces(&answer.paces);
            state.pace_cursor = cursor;
        }
    }
    if state.lead.is_none() {
        state.upstreams.mark_left(&answer.left, answer.view.upstream_version);
    }
    state.upstreams.apply_places(answer.places, &answer.arrivals, now);
    set_standalone_shares(&mut state, &gateway.settings.name, &answer.rooms, now);
    apply_crashes(gateway, &mut state, &crashes, &answer.crashes, answer.crash_cursor);
    state.loads.set_pending(answer.arrivals, now);
    state.loads.set_delays(answer.delays, now);
    for tokens in &mut state.tokens {
        tokens.quota.record_answer(answer.term);
    }
    for (team, amount) in spent_alone {
        state.team_tokens(&team, now).quota.settle(amount);
    }
    for grant in &answer.grants {
        apply_grant(&mut state, grant, sent_at, now);
    }
    drop(state);
    gateway.state_changed.notify_waiters();
}

/// Applies the leader's crashes. `reported` are those of the report.
fn apply_crashes(
    gateway: &Gateway,
    state: &mut GatewayState,
    reported: &CrashLogCopy,
    received: &CrashLogCopy,
    cursor: CrashCursor,
) {
    if state.lead.is_some() {
        return;
    }
    state.quarantine.log.mark_shared(reported);
    merge_crashes(gateway, state, received, gateway.crash_time());
    if cursor.term != state.crash_cursor.term {
        state.quarantine.log.share_again();
    }
    state.crash_cursor = cursor;
}

fn apply_members(state: &mut GatewayState, changes: Vec<(SmolStr, bool)>, fresh: bool) {
    if fresh {
        state.members.clear();
    }
    for (name, present) in changes {
        match (state.members.binary_search(&name), present) {
            (Err(at), true) => state.members.insert(at, name),
            (Ok(at), false) => {
                state.members.remove(at);
            }
            (Ok(_), true) | (Err(_), false) => {}
        }
    }
}

fn apply_grant(state: &mut GatewayState, grant: &TokenGrantLine, sent_at: ClockTime, now: ClockTime) {
    let tokens = state.team_tokens(&grant.team, now);
    tokens.quota.add_grant(grant.granted, sent_at, now);
    tokens.rejected_until = now.plus_ms(grant.wait_ms);
}

fn set_standalone_shares(state: &mut GatewayState, own: &str, rooms: &[StandaloneQuota], now: ClockTime) {
    let Some(config) = state.view.config().cloned() else { return };
    for allowance in rooms {
        if let Some(team) = config.team(&allowance.team) {
            state.set_standalone_share(own, team, Some(allowance.tokens), now);
            state.team_tokens(&team.name, now).low_quota_until = now.plus_ms(allowance.tight_ms);
        }
    }
}

/// Fetches the view of another gateway when the own one is stale or lacks a change.
async fn confirm_view(gateway: &Arc<Gateway>, clients: &mut PeerClients, next_peer: &mut usize) {
    let now = gateway.now();
    let (is_stale, peer) = {
        let state = gateway.lock();
        // A copy is large, so it is fetched only when the store does not answer this gateway.
        let store_failed = state.store_failed_at.is_some_and(|at| now.since_ms(at) < CONFIRM_AGE_MS);
        let is_stale = store_failed
            && (state.view_outdated || state.view.age_ms(now).is_none_or(|age| age >= CONFIRM_AGE_MS));
        let mut peers = state.peers.clone();
        if state.lead.is_none() {
            peers.extend(state.leader);
        }
        let at = if peers.is_empty() { 0 } else { *next_peer % peers.len() };
        (is_stale, peers.get(at).copied())
    };
    let (true, Some(peer)) = (is_stale, peer) else { return };
    *next_peer += 1;
    let Some(client) = clients.get(gateway, peer) else { return };
    let result = client.view_copy().await;
    let outcome = if result.is_ok() { "ok" } else { "failed" };
    gateway.metrics.reports.get_or_create(&OutcomeLabels { kind: "view_copy", outcome }).inc();
    match result {
        Ok(copy) => apply_view_copy(gateway, copy, now),
        Err(_) => clients.remove_client(peer),
    }
}

/// Time in ms after a complete answer during which reports about waiting requests are brief. Zero in a small
/// fleet, where a complete answer is worth more than the bytes it costs.
fn brief_period_ms(gateway: &Gateway) -> u64 {
    let members = gateway.lock().members.len();
    if members > SMALL_FLEET { report_interval_ms(members) } else { 0 }
}

/// Time in ms between two reports, as things are now.
fn report_pause_ms(gateway: &Gateway) -> u64 {
    let now = gateway.now();
    let state = gateway.lock();
    let members = state.members.len();
    let is_active = state.last_leader_contact.is_some_and(|at| now.since_ms(at) < silent_after_ms(members));
    let has_leader = is_active && state.leader_lost_at.is_none();
    let report_ms =
        if gateway.settings.weak { report_interval_ms(members) } else { candidate_interval_ms(members) };
    let usual_ms = if has_leader { report_ms } else { LEADERLESS_REPORT_MS };
    let urgent_ms = urgent_interval_ms(members);
    if state.has_brief_wait(now) {
        urgent_ms.min(usual_ms)
    } else if let Some(poll_ms) = state.unplaced_poll_ms(now) {
        poll_ms.max(urgent_ms).min(usual_ms)
    } else {
        usual_ms
    }
}

/// Waits until the next report is due. One that is due because requests wait is not sent if they no longer do.
async fn wait_for_next_report(gateway: &Gateway) {
    let last_at = gateway.now();
    loop {
        let due_at = last_at.plus_ms(report_pause_ms(gateway));
        let pause_ms = due_at.since_ms(gateway.now());
        if pause_ms == 0 {
            return;
        }
        let requested = gateway.wait_report_requested();
        if timeout(Duration::from_millis(pause_ms), requested).await.is_ok() {
            gateway.clock.sleep_ms(MIN_REPORT_MS).await;
            return;
        }
    }
}
