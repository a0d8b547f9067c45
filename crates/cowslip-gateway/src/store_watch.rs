//! Watches the store's tables.

use std::sync::Arc;
use std::time::Duration;

use cowslip_adapter::{FeedOutcome, OPERATOR_TABLE, StoreRows, UPSTREAM_TABLE};
use cowslip_entry::silent_after_ms;
use cowslip_platform::PlatformError;
use cowslip_units::ClockTime;
use slog::{info, warn};
use tokio::time::timeout;

use crate::gateway::Gateway;
use crate::lease_task::SMALL_FLEET;
use crate::table_rows::{ReadExtent, apply_operator_rows, apply_upstream_rows};

/// Long-poll timeout in ms for the operators' table. The leader's view is at most this stale, plus the time
/// of one call; the views of other gateways are staler by a report interval.
const OPERATOR_WAIT_MS: u64 = 700;

/// Long-poll timeout in ms for the upstreams' table.
const UPSTREAM_WAIT_MS: u64 = 700;

/// A gateway reads the store itself when the staleness of its view comes within this many ms of the time
/// limit for applying a configuration. A small VM needs some time to decode a configuration of a thousand
/// routes.
const CONFIG_MARGIN_MS: u64 = 800;

/// Delay in ms per fleet member for which a gateway without a leader collects upstream changes.
const COLLECT_MS_PER_MEMBER: u64 = 8;
/// Longest such delay in ms.
const MAX_COLLECT_MS: u64 = 700;

/// Time in ms after its start for which a gateway with a leader waits for the leader's snapshot instead of
/// reading the whole table itself, because the whole fleet may start at once.
const LEADER_SNAPSHOT_MS: u64 = 3_000;

/// Like [`LEADER_SNAPSHOT_MS`], before the gateway has found a leader.
const LEADER_SEARCH_MS: u64 = 600;

/// Longest pause in ms between two checks whether the store must be read.
const IDLE_POLL_MS: u64 = 150;

/// First and longest backoff in ms after a failed call.
const BACKOFF_MS: (u64, u64) = (60, 400);

/// Longest backoff in ms of a gateway that gets updates from a leader and needs the store only for the rest.
/// When the store rejects a third of a large fleet's calls, the retries of all gateways add up.
const INFORMED_BACKOFF_MS: u64 = 1_200;

/// Table that a task watches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WatchedTable {
    /// Configuration and evacuations.
    Operators,
    /// Upstream entries.
    Upstreams,
}

impl WatchedTable {
    const fn name(self) -> &'static str {
        match self {
            Self::Operators => OPERATOR_TABLE,
            Self::Upstreams => UPSTREAM_TABLE,
        }
    }

    const fn wait_ms(self) -> u64 {
        match self {
            Self::Operators => OPERATOR_WAIT_MS,
            Self::Upstreams => UPSTREAM_WAIT_MS,
        }
    }
}

/// Delays the next call of a gateway that does not lead, to collect several upstream changes. Otherwise each
/// change in a large fleet without a leader would complete a call of every gateway.
async fn collect_changes(gateway: &Gateway, table: WatchedTable) {
    let (leads, members) = {
        let state = gateway.lock();
        (state.lead.is_some(), state.members.len() as u64)
    };
    if table == WatchedTable::Upstreams && !leads {
        gateway.clock.sleep_ms((members * COLLECT_MS_PER_MEMBER).min(MAX_COLLECT_MS)).await;
    }
}

/// Next action of a watch task.
enum WatchStep {
    /// Do nothing: the leader's updates are sufficient.
    Wait,
    /// Read the whole table.
    ReadAll,
    /// Read changes after a version, waiting for at most that many ms.
    ReadChanges(u64, u64),
}

fn next_step(gateway: &Gateway, table: WatchedTable, history_lost: bool) -> WatchStep {
    let now = gateway.now();
    let state = gateway.lock();
    let leads = state.lead.is_some();
    match table {
        WatchedTable::Operators => {
            let read_after_ms = gateway.settings.config_ms.saturating_sub(CONFIG_MARGIN_MS);
            let fresh = state.view.age_ms(now).is_some_and(|age| age < read_after_ms);
            if !leads && fresh && !state.view_outdated {
                return WatchStep::Wait;
            }
            if history_lost || state.view.version() == 0 {
                return WatchStep::ReadAll;
            }
            let wait_ms = if state.view_outdated && !leads { 0 } else { table.wait_ms() };
            WatchStep::ReadChanges(state.view.version(), wait_ms)
        }
        WatchedTable::Upstreams => {
            let has_updates = !state.upstream_freshness.is_query_due(gateway.settings.drain_ms, now);
            let age_ms = now.since_ms(gateway.started_at);
            let leader_wait_ms =
                if state.last_leader_contact.is_some() { LEADER_SNAPSHOT_MS } else { LEADER_SEARCH_MS };
            let expects_snapshot = age_ms < leader_wait_ms && !state.upstreams_known;
            if !leads && (has_updates || expects_snapshot) {
                return WatchStep::Wait;
            }
            // The leader needs the weight locations, which gateways do not pass on to each other.
            if history_lost || state.upstream_version == 0 || (leads && !state.upstreams_from_store) {
                return WatchStep::ReadAll;
            }
            // Without a leader the call confirms the known entries and must not wait for changes.
            WatchStep::ReadChanges(state.upstream_version, if leads { table.wait_ms() } else { 0 })
        }
    }
}

/// Watches a table for as long as the process runs, when the leader's updates are not sufficient.
pub(crate) async fn watch_table(gateway: Arc<Gateway>, table: WatchedTable) {
    let mut history_lost = false;
    let mut backoff_ms = BACKOFF_MS.0;
    let mut store_lost = false;
    loop {
        let sent_at = gateway.now();
        let result = match next_step(&gateway, table, history_lost) {
            WatchStep::Wait => {
                // Woken or timed out, the next step is decided again.
                if timeout(Duration::from_millis(IDLE_POLL_MS), gateway.watch_now.notified()).await.is_err() {
                    gateway.record_timer(sent_at, IDLE_POLL_MS);
                }
                continue;
            }
            WatchStep::ReadAll => read_all(&gateway, table, sent_at).await,
            WatchStep::ReadChanges(after, wait_ms) => {
                read_pages(&gateway, table, after, wait_ms, sent_at).await
            }
        };
        match result {
            Ok(version) => {
                gateway.lock().store_outage.answered(sent_at);
                if store_lost {
                    info!(gateway.logger, "store_regained"; "table" => table.name(), "version" => version);
                    store_lost = false;
                }
                history_lost = version.is_none();
                collect_changes(&gateway, table).await;
                backoff_ms = BACKOFF_MS.0;
            }
            Err(error) => {
                record_failed_call(&gateway, table, sent_at, &error);
                if !store_lost {
                    warn!(gateway.logger, "store_lost"; "table" => table.name(), "error" => %error);
                    store_lost = true;
                }
                let slept_at = gateway.now();
                gateway.clock.sleep_ms(backoff_ms).await;
                gateway.record_timer(slept_at, backoff_ms);
                backoff_ms = (backoff_ms * 2).min(max_backoff_ms(&gateway));
            }
        }
    }
}

fn record_failed_call(gateway: &Gateway, table: WatchedTable, sent_at: ClockTime, error: &PlatformError) {
    let now = gateway.now();
    let mut state = gateway.lock();
    state.store_failed_at = Some(now);
    // A response that is malformed, or not complete in time, does not mean that other gateways cannot reach
    // the store either, or that entries cannot be renewed.
    if !error.has_answer() {
        state.store_outage.failed(sent_at, now);
        if table == WatchedTable::Upstreams {
            state.upstream_freshness.failed(sent_at);
        }
    }
    let delay_ms = state.delay.longest_ms(now);
    drop(state);
    info!(gateway.logger, "store_call_failed"; "table" => table.name(), "error" => %error,
        "after_ms" => now.since_ms(sent_at), "timer_late_ms" => delay_ms);
}

/// Longest backoff in ms after failed calls.
fn max_backoff_ms(gateway: &Gateway) -> u64 {
    let state = gateway.lock();
    let members = state.members.len();
    let has_updates =
        state.last_leader_contact.is_some_and(|at| gateway.now().since_ms(at) < silent_after_ms(members));
    let large = state.lead.is_none() && members > SMALL_FLEET;
    if has_updates && large { INFORMED_BACKOFF_MS } else { BACKOFF_MS.1 }
}

async fn read_all(
    gateway: &Arc<Gateway>,
    table: WatchedTable,
    sent_at: ClockTime,
) -> Result<Option<u64>, PlatformError> {
    let result = gateway.store.read_table(table.name()).await;
    gateway.metrics.count_store_call("read_table", result.is_err());
    let rows = result?;
    gateway.metrics.store_s.observe(gateway.now().since_ms(sent_at) as f64 / 1_000.0);
    let version = rows.version;
    match table {
        WatchedTable::Operators => apply_operator_rows(gateway, rows, ReadExtent::Table, sent_at),
        WatchedTable::Upstreams => apply_upstream_rows(gateway, rows, ReadExtent::Table, sent_at),
    }
    Ok(Some(version))
}

/// Reads the changes after a version, page by page, up to the newest state of the store. The state is
/// confirmed as of the call that returned the last page.
async fn read_pages(
    gateway: &Arc<Gateway>,
    table: WatchedTable,
    after: u64,
    wait_ms: u64,
    sent_at: ClockTime,
) -> Result<Option<u64>, PlatformError> {
    let (mut after, mut wait_ms, mut sent_at) = (after, wait_ms, sent_at);
    loop {
        let result = gateway.store.read_changes(table.name(), after, wait_ms).await;
        gateway.metrics.count_store_call("follow", result.is_err());
        let (rows, extent) = match result? {
            FeedOutcome::HistoryLost => {
                info!(gateway.logger, "history_lost"; "table" => table.name(), "version" => after);
                return Ok(None);
            }
            FeedOutcome::Changes(rows) => (rows, ReadExtent::Changes),
            FeedOutcome::Part(rows) => (rows, ReadExtent::Part),
        };
        let is_last_page = extent != ReadExtent::Part || rows.version <= after;
        after = rows.version.max(after);
        let rows = StoreRows { rows: rows.rows, version: after };
        match table {
            WatchedTable::Operators => apply_operator_rows(gateway, rows, extent, sent_at),
            WatchedTable::Upstreams => apply_upstream_rows(gateway, rows, extent, sent_at),
        }
        if is_last_page {
            return Ok(Some(after));
        }
        wait_ms = 0;
        sent_at = gateway.now();
    }
}
