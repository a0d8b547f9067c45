//! Reports to the leader, and the RPC server for other gateways.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use cowslip_entry::{
    AnswerNotice, GatewayReport, LeaderAnswer, LeaseRenewal, StandaloneQuota, TokenGrantLine, ViewCopy,
    candidate_interval_ms, heard_ms, last_renewal, report_interval_ms, urgent_interval_ms,
};
use cowslip_rpc::{GatewayApiClient, GatewayApiServer, connect};
use cowslip_units::{ClockTime, TeamId};
use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::http_client::HttpClient;
use slog::{info, warn};
use smol_str::SmolStr;
use tokio::time::timeout;

use crate::gateway_metrics::OutcomeLabels;
use crate::gateway_state::{Gateway, GatewayState};
use crate::leader_duty::{SMALL_FLEET, resign_if_cut_off, take_handover};
use crate::own_parts::learn_fleet;
use crate::store_follow::{take_copy, take_news, view_copy};

/// Report interval in ms while requests wait for loads, which take a second or more.
const LOAD_WAIT_MS: u64 = 120;

/// Report interval in ms while no leader answers.
const SEARCH_MS: u64 = 150;

/// Shortest interval in ms between two reports.
const LEAST_MS: u64 = 4;

/// Timeout in ms of a call to another gateway, and its increase per member of the fleet: a leader may have
/// reports of all members queued.
const ANSWER_MS: (u64, u64) = (400, 5);

/// Time in ms for which a former leader answers reports with its handover.
const HANDOVER_MS: u64 = 4_000;

/// Staleness in ms of the own view from which another gateway is asked for a copy. A known missing change
/// needs no waiting.
const VOUCH_AGE_MS: u64 = 2_600;

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

    async fn view_copy(&self) -> RpcResult<ViewCopy> {
        let now = self.gateway.now();
        Ok(view_copy(&self.gateway.lock(), now))
    }
}

/// Answers a report: as the leader, or by naming the known leader.
pub(crate) fn answer_report(gateway: &Gateway, report: GatewayReport) -> LeaderAnswer {
    let now = gateway.now();
    let lease = lease_news(gateway, now);
    let urgent = report.demand.iter().any(|line| line.waiting > 0);
    let mut state = gateway.lock();
    let state = &mut *state;
    if report.gateway.is_empty() {
        let leader = if state.lead.is_some() { Some(gateway.settings.peers) } else { state.leader };
        let fleet = state.fleet.unwrap_or_default() as u32;
        return LeaderAnswer { leader, fleet, ..LeaderAnswer::default() };
    }
    if report.reaches_store && report.may_lead {
        resign_if_cut_off(gateway, state, now);
    }
    let view = state.stamp(now);
    let config = state.view.config().cloned();
    let leader = state.leader;
    let own = gateway.settings.peers;
    let Some(lead) = state.lead.as_mut() else {
        let handover = state.given.as_ref().filter(|_| report.may_lead);
        let handover = handover.map(|(handover, at)| (handover, now.since_ms(*at)));
        let handover = handover.filter(|(_, age_ms)| *age_ms < HANDOVER_MS);
        let handover = handover.map(|(handover, age_ms)| handover.aged(age_ms));
        return LeaderAnswer { leader, view, handover, ..LeaderAnswer::default() };
    };
    if let Some(config) = &config {
        lead.grants.configure(config.teams(), now);
    }
    let leaving = AnswerNotice { leaving: true, away_ms: None };
    for start in &report.leaving {
        state.book.note(start, leaving, now);
    }
    let services = config.as_ref().map_or(&[][..], |config| config.services());
    let answer = lead.answer(report, services, view, lease, own, now);
    // The next plan allows full snapshots to more gateways.
    if urgent || (answer.deferred && !answer.brief) {
        gateway.lead_now.notify_one();
    }
    answer
}

/// Renewal of the own lease, reported to candidates.
fn lease_news(gateway: &Gateway, now: ClockTime) -> Option<LeaseRenewal> {
    let lease = gateway.lease.lock().unwrap_or_else(PoisonError::into_inner);
    let (version, renewed_at) = lease.as_ref()?.renewal(now)?;
    Some(LeaseRenewal { version, age_ms: now.since_ms(renewed_at) })
}

/// RPC clients by peer address.
#[derive(Debug, Default)]
struct PeerClients {
    clients: Vec<(SocketAddr, HttpClient)>,
}

impl PeerClients {
    fn get(&mut self, gateway: &Gateway, address: SocketAddr) -> Option<HttpClient> {
        if let Some((_, client)) = self.clients.iter().find(|(known, _)| *known == address) {
            return Some(client.clone());
        }
        let members = gateway.lock().members.len() as u64;
        match connect(address, ANSWER_MS.0 + ANSWER_MS.1 * members) {
            Ok(client) => {
                self.clients.push((address, client.clone()));
                Some(client)
            }
            Err(error) => {
                warn!(gateway.logger, "peer_client_failed"; "peer" => %address, "error" => %error);
                None
            }
        }
    }

    /// Drops a client, so that the next call opens a new connection.
    fn forget(&mut self, address: SocketAddr) {
        self.clients.retain(|(known, _)| *known != address);
    }
}

/// Sends reports to the leader for as long as the process runs.
pub(crate) async fn report_loop(gateway: Arc<Gateway>) {
    let mut clients = PeerClients::default();
    let mut heard = false;
    let mut next_peer = 0_usize;
    // Send time of the last report that got a complete answer.
    let mut told_at = None;
    loop {
        let sent_at = gateway.now();
        let (leader, leads) = {
            let state = gateway.lock();
            (state.leader, state.lead.is_some())
        };
        let answer = if leads {
            let report = gateway.lock().take_report(&gateway.settings, false, sent_at);
            let alone = spent_alone(&report);
            Some((answer_report(&gateway, report), alone))
        } else if let Some(leader) = leader {
            let brief = told_at.is_some_and(|at| sent_at.since_ms(at) < brief_within_ms(&gateway));
            ask_leader(&gateway, &mut clients, leader, brief, sent_at).await
        } else {
            None
        };
        if !leads && !answer.as_ref().is_some_and(|(answer, _)| answer.leads) {
            // A former leader may still answer without naming its successor.
            learn_from_peer(&gateway, &mut clients, &mut next_peer, leader).await;
        }
        let led = answer.as_ref().is_some_and(|(answer, _)| answer.leads);
        if led != heard {
            heard = led;
            if led {
                info!(gateway.logger, "leader_heard"; "leader" => leader.map(|leader| leader.to_string()));
            } else {
                warn!(gateway.logger, "leader_lost"; "leader" => leader.map(|leader| leader.to_string()));
            }
        }
        if let Some((answer, alone)) = answer {
            if !answer.leads && answer.leader.is_none_or(|named| Some(named) == leader) {
                // It no longer leads and names no successor: no need to wait until it counts as silent.
                gateway.lock().leader_gone(sent_at);
            }
            if answer.leads && !answer.brief {
                told_at = (!answer.deferred).then_some(sent_at);
            }
            take_answer(&gateway, answer, alone, sent_at);
        }
        vouch(&gateway, &mut clients, &mut next_peer).await;
        pause(&gateway).await;
    }
}

/// Asks another gateway for the leader, so that not all gateways read the lease row when the leader is lost.
async fn learn_from_peer(
    gateway: &Arc<Gateway>,
    clients: &mut PeerClients,
    next_peer: &mut usize,
    lost: Option<SocketAddr>,
) {
    let mut peers = gateway.lock().peers.clone();
    peers.retain(|peer| Some(*peer) != lost);
    let Some(peer) = peers.get(*next_peer % peers.len().max(1)).copied() else { return };
    *next_peer += 1;
    let Some(client) = clients.get(gateway, peer) else { return };
    // An empty report carries no data and only asks for the leader.
    match client.gateway_report(GatewayReport::default()).await {
        Ok(answer) => {
            let mut state = gateway.lock();
            if answer.leader.is_some() && answer.leader != lost {
                state.leader = answer.leader;
            }
            if answer.fleet > 0 {
                learn_fleet(&mut state, &gateway.settings.name, answer.fleet as usize, gateway.now());
            }
        }
        Err(_) => clients.forget(peer),
    }
}

async fn ask_leader(
    gateway: &Arc<Gateway>,
    clients: &mut PeerClients,
    leader: SocketAddr,
    brief: bool,
    sent_at: ClockTime,
) -> Option<(LeaderAnswer, Vec<(TeamId, u64)>)> {
    let client = clients.get(gateway, leader)?;
    let report = gateway.lock().take_report(&gateway.settings, brief, sent_at);
    let alone = spent_alone(&report);
    let result = client.gateway_report(report).await;
    let outcome = if result.is_ok() { "ok" } else { "failed" };
    gateway.metrics.reports.get_or_create(&OutcomeLabels { kind: "report", outcome }).inc();
    match result {
        Ok(answer) => Some((answer, alone)),
        Err(error) => {
            clients.forget(leader);
            if gateway.may_log() {
                warn!(gateway.logger, "report_failed"; "leader" => %leader, "error" => %error);
            }
            None
        }
    }
}

/// Tokens that a report lists as spent without a leader.
fn spent_alone(report: &GatewayReport) -> Vec<(TeamId, u64)> {
    let told = report.tokens.iter().filter(|ask| ask.spent_alone > 0);
    told.map(|ask| (ask.team.clone(), ask.spent_alone)).collect()
}

/// Applies the leader's answer. The leader has counted the tokens that were spent without one.
fn take_answer(gateway: &Gateway, answer: LeaderAnswer, spent_alone: Vec<(TeamId, u64)>, sent_at: ClockTime) {
    let now = gateway.now();
    let mut state = gateway.lock();
    if let Some(age_ms) = answer.view.age_ms {
        let known = state.view.confirm(answer.view.changed, sent_at.minus_ms(age_ms));
        if !known && !state.behind {
            state.behind = true;
            gateway.follow_now.notify_waiters();
        }
    }
    if !answer.leads {
        drop(state);
        if let Some(handover) = answer.handover {
            take_handover(gateway, handover, now);
        }
        return;
    }
    state.leader_lost_at = None;
    state.leader_heard_at = Some(sent_at);
    state.lease_told = last_renewal(state.lease_told, answer.lease, now);
    state.peers = answer.peers;
    take_members(&mut state, answer.members, answer.fresh);
    state.fleet = Some(answer.fleet as usize);
    if state.lead.is_none() && !answer.deferred {
        take_news(gateway, &mut state, answer.upstreams, answer.fresh, &answer.view, sent_at, now);
    }
    for (id, names) in answer.adapters {
        state.book.set_adapters(&id, names.unwrap_or_default());
    }
    if !answer.deferred {
        state.term = answer.term;
        state.marks = answer.marks;
    }
    if !answer.brief {
        state.book.told(&answer.running, &answer.leaving);
    }
    if state.lead.is_none() {
        state.book.mark_left(&answer.left, answer.view.upstream_version);
    }
    state.book.apply_places(answer.places, &answer.arrivals, now);
    set_own_parts(&mut state, &gateway.settings.name, &answer.rooms, now);
    state.told_arrivals(answer.arrivals, now);
    for tokens in &mut state.tokens {
        tokens.purse.heard(answer.term);
    }
    for (team, amount) in spent_alone {
        state.team_tokens(&team, now).purse.counted(amount);
    }
    for grant in &answer.grants {
        take_grant(&mut state, grant, sent_at, now);
    }
    drop(state);
    gateway.changed.notify_waiters();
}

fn take_members(state: &mut GatewayState, news: Vec<(SmolStr, bool)>, fresh: bool) {
    if fresh {
        state.members.clear();
    }
    for (name, here) in news {
        match (state.members.binary_search(&name), here) {
            (Err(at), true) => state.members.insert(at, name),
            (Ok(at), false) => {
                state.members.remove(at);
            }
            (Ok(_), true) | (Err(_), false) => {}
        }
    }
}

fn take_grant(state: &mut GatewayState, grant: &TokenGrantLine, sent_at: ClockTime, now: ClockTime) {
    let tokens = state.team_tokens(&grant.team, now);
    tokens.purse.granted(grant.granted, sent_at, now);
    tokens.refused_until = now.plus_ms(grant.wait_ms);
}

fn set_own_parts(state: &mut GatewayState, own: &str, rooms: &[StandaloneQuota], now: ClockTime) {
    let Some(config) = state.view.config().cloned() else { return };
    for allowance in rooms {
        if let Some(team) = config.team(&allowance.team) {
            state.set_own_part(own, team, Some(allowance.tokens), now);
            state.team_tokens(&team.name, now).tight_until = now.plus_ms(allowance.tight_ms);
        }
    }
}

/// Fetches the view of another gateway when the own one is stale or lacks a change.
async fn vouch(gateway: &Arc<Gateway>, clients: &mut PeerClients, next_peer: &mut usize) {
    let now = gateway.now();
    let (old, peer) = {
        let state = gateway.lock();
        // A copy is large, so it is fetched only when the store does not answer this gateway.
        let refused = state.store_failed_at.is_some_and(|at| now.since_ms(at) < VOUCH_AGE_MS);
        let old = refused && (state.behind || state.view.age_ms(now).is_none_or(|age| age >= VOUCH_AGE_MS));
        let mut peers = state.peers.clone();
        if state.lead.is_none() {
            peers.extend(state.leader);
        }
        let at = if peers.is_empty() { 0 } else { *next_peer % peers.len() };
        (old, peers.get(at).copied())
    };
    let (true, Some(peer)) = (old, peer) else { return };
    *next_peer += 1;
    let Some(client) = clients.get(gateway, peer) else { return };
    let result = client.view_copy().await;
    let outcome = if result.is_ok() { "ok" } else { "failed" };
    gateway.metrics.reports.get_or_create(&OutcomeLabels { kind: "view_copy", outcome }).inc();
    match result {
        Ok(copy) => take_copy(gateway, copy, now),
        Err(_) => clients.forget(peer),
    }
}

/// Time in ms after a complete answer during which reports about waiting requests are brief. Zero in a small
/// fleet, where a complete answer is worth more than the bytes it costs.
fn brief_within_ms(gateway: &Gateway) -> u64 {
    let members = gateway.lock().members.len();
    if members > SMALL_FLEET { report_interval_ms(members) } else { 0 }
}

async fn pause(gateway: &Gateway) {
    let pause_ms = {
        let now = gateway.now();
        let state = gateway.lock();
        let members = state.members.len();
        let heard = state.leader_heard_at.is_some_and(|at| now.since_ms(at) < heard_ms(members));
        let led = heard && state.leader_lost_at.is_none();
        let told_ms =
            if gateway.settings.weak { report_interval_ms(members) } else { candidate_interval_ms(members) };
        let usual_ms = if led { told_ms } else { SEARCH_MS };
        let urgent_ms = urgent_interval_ms(members);
        if state.waits_briefly() {
            urgent_ms.min(usual_ms)
        } else if state.has_unplaced(now) {
            LOAD_WAIT_MS.max(urgent_ms).min(usual_ms)
        } else {
            usual_ms
        }
    };
    let woken = timeout(Duration::from_millis(pause_ms), gateway.report_now.notified()).await;
    if woken.is_ok() {
        gateway.clock.sleep_ms(LEAST_MS).await;
    }
}
