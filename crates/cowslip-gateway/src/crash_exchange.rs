//! Sends crashes whose suspects have unknown prompt parts to other gateways, without waiting for the leader.
//!
//! Each gateway passes on what is new to it, so that an update reaches the whole fleet in a few hops,
//! also while there is no leader. What is lost on the way, and what is less urgent, goes with the reports to the
//! leader and with its answers.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use cowslip_entry::CrashLogCopy;
use cowslip_rpc::GatewayApiClient;
use cowslip_units::ClockTime;
use slog::warn;

use crate::gateway::Gateway;
use crate::gateway_metrics::OutcomeLabels;
use crate::gateway_state::GatewayState;
use crate::part_guard::notify_crash_change;
use crate::peer_clients::PeerClients;

/// Time in ms in which several changes are collected.
const COLLECT_MS: u64 = 10;

/// Number of gateways to which each gateway sends an update.
const FANOUT: usize = 4;

/// Sends updates to other gateways for as long as the process runs.
pub(crate) async fn share_crashes(gateway: Arc<Gateway>) {
    let clients = Arc::new(Mutex::new(PeerClients::default()));
    let mut next_peer = 0_usize;
    loop {
        gateway.crashes_changed.notified().await;
        gateway.clock.sleep_ms(COLLECT_MS).await;
        let (update, targets) = {
            let mut state = gateway.lock();
            (state.quarantine.log.take_urgent(gateway.crash_time()), peers_to_notify(&state, &mut next_peer))
        };
        let Some(update) = update else { continue };
        for peer in targets {
            let (gateway, clients, update) = (Arc::clone(&gateway), Arc::clone(&clients), update.clone());
            // A peer that does not answer must not delay the others.
            tokio::spawn(async move { notify_peer(&gateway, &clients, peer, update).await });
        }
    }
}

/// The leader, which every other gateway hears, and some others in turn.
fn peers_to_notify(state: &GatewayState, next_peer: &mut usize) -> Vec<SocketAddr> {
    let leader = state.leader.filter(|_| state.lead.is_none());
    let mut targets: Vec<SocketAddr> = leader.into_iter().collect();
    let others: Vec<SocketAddr> = state.peers.iter().copied().filter(|peer| Some(*peer) != leader).collect();
    for _ in 0..others.len().min(FANOUT - targets.len()) {
        *next_peer = (*next_peer + 1) % others.len();
        targets.extend(others.get(*next_peer));
    }
    targets
}

async fn notify_peer(
    gateway: &Gateway,
    clients: &Mutex<PeerClients>,
    peer: SocketAddr,
    update: CrashLogCopy,
) {
    let client = clients.lock().unwrap_or_else(PoisonError::into_inner).get(gateway, peer);
    let Some(client) = client else { return };
    let result = client.crash_update(update).await;
    let outcome = if result.is_ok() { "ok" } else { "failed" };
    gateway.metrics.reports.get_or_create(&OutcomeLabels { kind: "crash_update", outcome }).inc();
    if let Err(error) = result {
        clients.lock().unwrap_or_else(PoisonError::into_inner).remove_client(peer);
        if gateway.may_log() {
            warn!(gateway.logger, "crash_update_failed"; "peer" => %peer, "error" => %error);
        }
    }
}

/// Merges another gateway's copy of crashes, or the stored one.
pub(crate) fn merge_crashes(
    gateway: &Gateway,
    state: &mut GatewayState,
    copy: &CrashLogCopy,
    now: ClockTime,
) {
    if copy.is_empty() {
        return;
    }
    let before = state.quarantine.log.cursor();
    state.quarantine.log.merge(copy, now);
    if state.quarantine.log.cursor() != before {
        notify_crash_change(gateway, state);
    }
}
