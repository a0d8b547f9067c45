//! Confirms the view with the store, or with peers while the store does not answer.

use std::sync::Arc;

use cowslip_fleet::{CONFIRM_PERIOD_MS, ConfirmOutcome, HEAD_KEY, SNAPSHOT_KEY, VersionRow, change_key};
use cowslip_messages::{ChangeRecord, FetchRequest, ViewSnapshot};
use cowslip_platform::{PlatformError, RowValue, TableService};
use cowslip_rpc::RouterApiClient;
use cowslip_units::{ErrorKind, ViewVersion};
use futures::future::join_all;
use rand::seq::{IndexedRandom, SliceRandom};
use tokio::time::{Duration, Instant, sleep, timeout_at};

use crate::view_sync::{apply_changes, apply_fetched, apply_snapshot};
use crate::{PeerAddress, RouterCore};

/// Number of changes read per call.
const CHANGES_PER_READ: usize = 256;
/// Number of peers queried first for their confirmation; a single one that reaches the store suffices.
const FIRST_PEERS: usize = 4;
/// Interval in ms between checks of the confirmation's age.
const WATCH_MS: u64 = 100;
/// Divisor for the peers queried beyond a bare majority: one for every this many peers, because some do not
/// answer.
const SPARE_DIVISOR: usize = 8;

/// Task that confirms the view every [`CONFIRM_PERIOD_MS`], and at once when a peer has a newer version.
pub(crate) async fn run_store_poll(core: Arc<RouterCore>) {
    loop {
        // The period starts before the calls, because they take up to a second while the store is down.
        let next = Instant::now() + Duration::from_millis(CONFIRM_PERIOD_MS);
        confirm(&core).await;
        // A timeout is the normal case.
        let _ = timeout_at(next, core.signals.view_outdated.notified()).await;
    }
}

/// Task that cancels requests with a key when the view has been unconfirmed for too long.
pub(crate) async fn run_confirm_watch(core: Arc<RouterCore>) {
    loop {
        sleep(Duration::from_millis(WATCH_MS)).await;
        let now = core.now();
        let mut state = core.state();
        if state.confirmation.is_past_stream_end(now) {
            state.running.cancel_all_keyed(ErrorKind::ViewStale);
        }
    }
}

async fn confirm(core: &Arc<RouterCore>) {
    if confirm_by_store(core).await.is_err() {
        core.metrics.count("store_failures", 1);
        confirm_by_peers(core).await;
    }
    let now = core.now();
    let mut state = core.state();
    let state = &mut *state;
    state.confirmation.view_changed(&state.view, now);
    let age_ms = state.confirmation.age_ms(now).unwrap_or(u64::MAX);
    core.metrics.gauge("confirm_age_ms", age_ms);
}

async fn confirm_by_store(core: &Arc<RouterCore>) -> Result<(), PlatformError> {
    let ticket = {
        let state = core.state();
        state.confirmation.ticket(&state.view, core.now())
    };
    let row = core.platform.read(HEAD_KEY).await?;
    let head = head_version(row.as_ref())?;
    let outcome = {
        let now = core.now();
        let mut state = core.state();
        let state = &mut *state;
        state.store_last_contact = now;
        state.confirmation.store_answered(ticket, head, &state.view)
    };
    if let ConfirmOutcome::Fetch(version) = outcome {
        fetch_from_store(core, version).await?;
    }
    Ok(())
}

fn head_version(row: Option<&RowValue>) -> Result<ViewVersion, PlatformError> {
    let Some(row) = row else {
        return Ok(ViewVersion::ZERO);
    };
    let parsed: Result<VersionRow, _> = serde_json::from_str(&row.value);
    parsed.map(|row| row.version).map_err(|error| PlatformError::Malformed(error.to_string()))
}

/// Fetches all changes newer than this router's view: first the snapshot if many are missing, then the
/// individual changes.
async fn fetch_from_store(core: &Arc<RouterCore>, version: ViewVersion) -> Result<(), PlatformError> {
    let own_version = core.state().view.version();
    if version.get().saturating_sub(own_version.get()) > CHANGES_PER_READ as u64
        || own_version == ViewVersion::ZERO
    {
        read_snapshot(core).await?;
    }
    loop {
        let own_version = core.state().view.version();
        if own_version >= version {
            return Ok(());
        }
        let rows = core.platform.scan("change/", &change_key(own_version), CHANGES_PER_READ).await?;
        let records: Vec<ChangeRecord> =
            rows.iter().map_while(|row| serde_json::from_str(&row.value).ok()).collect();
        let applied = apply_changes(core, &records, None).await;
        if records.is_empty() || applied.is_err() || core.state().view.version() == own_version {
            return Err(PlatformError::Malformed(format!(
                "the changes after version {own_version} cannot be read"
            )));
        }
    }
}

async fn read_snapshot(core: &Arc<RouterCore>) -> Result<(), PlatformError> {
    let Some(row) = core.platform.read(SNAPSHOT_KEY).await? else {
        return Ok(());
    };
    if let Ok(snapshot) = serde_json::from_str::<ViewSnapshot>(&row.value) {
        // A snapshot whose sheet is not available is skipped; the changes produce the same view.
        let _ = apply_snapshot(core, snapshot, None).await;
    }
    Ok(())
}

/// Queries the confirmations of a few peers. If none renews this router's confirmation, queries a
/// majority for a degraded one.
async fn confirm_by_peers(core: &Arc<RouterCore>) {
    let peers = core.peer_addresses();
    let first: Vec<PeerAddress> = peers.choose_multiple(&mut rand::rng(), FIRST_PEERS).cloned().collect();
    let confirm_age_ms = |core: &RouterCore| core.state().confirmation.age_ms(core.now());
    let age_before_ms = confirm_age_ms(core);
    query_peers(core, &first).await;
    let confirmed =
        confirm_age_ms(core).is_some_and(|age_ms| age_before_ms.is_none_or(|before_ms| age_ms < before_ms));
    if !confirmed && peers.len() > first.len() {
        // A majority suffices; querying all peers would double the number of calls during an outage.
        let extra_count = (peers.len() / 2 + peers.len() / SPARE_DIVISOR + 2).saturating_sub(first.len());
        let mut rest: Vec<PeerAddress> = peers.into_iter().filter(|peer| !first.contains(peer)).collect();
        rest.shuffle(&mut rand::rng());
        rest.truncate(extra_count);
        query_peers(core, &rest).await;
    }
}

async fn query_peers(core: &Arc<RouterCore>, peers: &[PeerAddress]) {
    let calls = peers.iter().map(|peer| async move {
        let client = core.peers.call(peer.addr)?;
        let ticket = {
            let state = core.state();
            state.confirmation.ticket(&state.view, core.now())
        };
        let reply = client.view_confirm().await.ok()?;
        let outcome = {
            let now = core.now();
            let mut state = core.state();
            let state = &mut *state;
            state.version_tracker.on_report(&reply.incarnation, reply.version);
            state.confirmation.peer_answered(ticket, &reply, &state.view, now)
        };
        if let ConfirmOutcome::Fetch(_) = outcome {
            fetch_from_peer(core, peer).await;
        }
        Some(())
    });
    join_all(calls).await;
}

/// Fetches all changes newer than this router's view from a peer.
pub(crate) async fn fetch_from_peer(core: &Arc<RouterCore>, peer: &PeerAddress) {
    let since = core.state().view.version();
    let Some(client) = core.peers.call(peer.addr) else {
        return;
    };
    if let Ok(reply) = client.view_fetch(FetchRequest { since }).await {
        // Changes that cannot be applied now are fetched again with the next confirmation.
        let _ = apply_fetched(core, reply).await;
    }
}
