//! Periodic exchange of view versions and free-capacity hints with other routers.

use std::sync::Arc;

use cowslip_fleet::compose_report;
use cowslip_messages::PeerReport;
use cowslip_rpc::RouterApiClient;
use cowslip_units::IncarnationId;
use futures::future::join_all;
use tokio::time::{Duration, sleep};

use crate::store_poll::fetch_from_peer;
use crate::{PeerAddress, RouterCore};

/// Interval in ms between rounds.
const PERIOD_MS: u64 = 500;
/// Number of peers called per round, in rotation. A small fleet exchanges with all peers in each round; in a
/// large fleet the cost per VM stays constant, and the hints are older instead.
const PEERS_PER_ROUND: usize = 8;

/// Task that exchanges reports every [`PERIOD_MS`].
pub(crate) async fn run_exchange(core: Arc<RouterCore>) {
    let mut offset: usize = rand::random::<u16>().into();
    loop {
        tick_shares(&core);
        let peers = core.peer_addresses();
        let count = peers.len().min(PEERS_PER_ROUND);
        let round: Vec<&PeerAddress> =
            peers.iter().cycle().skip(offset % peers.len().max(1)).take(count).collect();
        offset = offset.wrapping_add(count);
        join_all(round.into_iter().map(|peer| exchange(&core, peer))).await;
        core.signals.dispatch.notify_one();
        sleep(Duration::from_millis(PERIOD_MS)).await;
    }
}

/// Applies pending increases of shares whose safety delay has passed.
pub(crate) fn tick_shares(core: &RouterCore) {
    let now = core.now();
    let mut state = core.state();
    let state = &mut *state;
    state.version_tracker.view_changed(&state.view);
    state.shares.tick(&state.version_tracker, now);
    state.permits.tick(&state.version_tracker, now);
}

/// Reports settled amounts to all peers during shutdown, so that tokens and permits lent to this router are
/// released immediately.
pub(crate) async fn final_exchange(core: &Arc<RouterCore>) {
    let peers = core.peer_addresses();
    join_all(peers.iter().map(|peer| exchange(core, peer))).await;
}

async fn exchange(core: &Arc<RouterCore>, peer: &PeerAddress) -> Option<()> {
    let client = core.peers.call(peer.addr)?;
    let receiver = peer.incarnation.clone().unwrap_or_default();
    let report = build_report(core, &receiver);
    let reply = client.peer_exchange(report).await.ok()?;
    apply_report(core, &reply);
    if reply.version > core.state().view.version() {
        fetch_from_peer(core, peer).await;
    }
    Some(())
}

/// Composes this router's report to `receiver`.
pub(crate) fn build_report(core: &RouterCore, receiver: &IncarnationId) -> PeerReport {
    let now = core.now();
    let mut state = core.state();
    let state = &mut *state;
    compose_report(&core.incarnation, receiver, &state.view, &mut state.shares, &mut state.permits, now)
}

/// Applies a peer's report.
pub(crate) fn apply_report(core: &RouterCore, report: &PeerReport) {
    let now = core.now();
    let mut state = core.state();
    state.version_tracker.on_report(&report.incarnation, report.version);
    state.shares.on_report(report, now);
    state.permits.on_report(report);
    if report.version > state.view.version() {
        core.signals.view_outdated.notify_one();
    }
}
