//! Watches the store's tables, and applies copies of them from other gateways.

use std::sync::Arc;
use std::time::Duration;

use cowslip_adapter::{
    FeedOutcome, OPERATOR_TABLE, StoreRow, StoreRows, UPSTREAM_TABLE, operator_change, upstream_entry,
};
use cowslip_entry::{
    CopiedRow, OperatorChange, UpstreamEntry, UpstreamUpdate, ViewCopy, ViewFreshness, ViewOutcome,
    silent_after_ms,
};
use cowslip_platform::PlatformError;
use cowslip_units::{ClockTime, StoreEra, UpstreamId};
use slog::{info, warn};
use tokio::time::timeout;

use crate::gateway_metrics::OutcomeLabels;
use crate::gateway_state::{Gateway, GatewayState};
use crate::lease_task::SMALL_FLEET;

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

/// Coverage of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadExtent {
    /// All rows.
    Table,
    /// All changes since the known version.
    Changes,
    /// The first changes since the known version; more may follow.
    Part,
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

fn count_store_call(gateway: &Gateway, kind: &'static str, failed: bool) {
    let outcome = if failed { "failed" } else { "ok" };
    gateway.metrics.store_calls.get_or_create(&OutcomeLabels { kind, outcome }).inc();
}

async fn read_all(
    gateway: &Arc<Gateway>,
    table: WatchedTable,
    sent_at: ClockTime,
) -> Result<Option<u64>, PlatformError> {
    let result = gateway.store.read_table(table.name()).await;
    count_store_call(gateway, "read_table", result.is_err());
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
        count_store_call(gateway, "follow", result.is_err());
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

/// Applies rows of the operators' table that were requested at `sent_at`.
fn apply_operator_rows(gateway: &Gateway, rows: StoreRows, extent: ReadExtent, sent_at: ClockTime) {
    let mut changes: Vec<OperatorChange> = Vec::with_capacity(rows.rows.len());
    for row in &rows.rows {
        let (change, fault) = operator_change(row);
        if let Some(fault) = fault {
            warn!(gateway.logger, "operator_row_unreadable"; "key" => %row.key, "version" => row.version,
                "fault" => fault);
        }
        changes.push(change);
    }
    let now = gateway.now();
    let mut state = gateway.lock();
    let version = rows.version;
    if version < state.view.version() {
        // An older read would mix old rows into the newer ones kept for other gateways.
        return;
    }
    if StoreEra::of(version) > StoreEra::of(state.view.version()) {
        info!(gateway.logger, "store_era"; "table" => OPERATOR_TABLE, "era" => StoreEra::of(version).get(),
            "version" => StoreEra::raw_version(version), "before" => StoreEra::raw_version(state.view.version()));
        changes.splice(0..0, state.view.evacuation_changes(version));
    }
    update_rows(&mut state.operator_rows, rows.rows, extent == ReadExtent::Table);
    let outcome = match extent {
        ReadExtent::Table => state.view.replace(changes, version, sent_at),
        ReadExtent::Changes => state.view.apply(changes, version, sent_at),
        ReadExtent::Part => state.view.apply_part(changes, version),
    };
    state.view_outdated &= extent == ReadExtent::Part;
    apply_outcome(gateway, &mut state, &outcome, now);
    let changed = outcome != ViewOutcome::default();
    let age_ms = state.view.age_ms(now);
    drop(state);
    if changed {
        info!(gateway.logger, "view_changed"; "store_version" => version, "config" => outcome.config,
            "evacuated" => format!("{:?}", outcome.evacuated), "reinstated" => format!("{:?}", outcome.reinstated),
            "age_ms" => age_ms);
        gateway.state_changed.notify_waiters();
    }
}

fn apply_outcome(gateway: &Gateway, state: &mut GatewayState, outcome: &ViewOutcome, now: ClockTime) {
    for domain in &outcome.evacuated {
        if let Err(at) = state.evacuated.binary_search(domain) {
            state.evacuated.insert(at, domain.clone());
        }
    }
    let config = state.view.config().cloned();
    for domain in &outcome.reinstated {
        state.evacuated.retain(|known| known != domain);
        if let Some(config) = &config {
            state.upstreams.mark_warming_up(domain, config.services(), now);
        }
    }
    if let Some(version) = outcome.config {
        gateway.metrics.config_version.set(version);
        // The leader sends quotas for the new rates once it has read the configuration.
        state.reset_standalone_shares(&gateway.settings.name, now);
    }
}

/// Applies rows of the upstreams' table that were requested at `sent_at`.
fn apply_upstream_rows(gateway: &Gateway, rows: StoreRows, extent: ReadExtent, sent_at: ClockTime) {
    let now = gateway.now();
    let mut state = gateway.lock();
    if rows.version < state.upstream_version {
        return;
    }
    apply_store_era(gateway, &mut state, rows.version, now);
    state.upstream_version = rows.version;
    if extent == ReadExtent::Part {
        state.upstream_freshness.answered(sent_at);
    } else {
        state.upstream_freshness.confirm(sent_at);
    }
    state.upstreams_known = true;
    let hold = state.store_outage.has_recent_outage(now);
    let mut seen: Vec<UpstreamId> = Vec::new();
    for row in &rows.rows {
        if row.removed {
            if let Ok(id) = UpstreamId::new(&row.key) {
                state.upstreams.remove(&id, hold, now);
                info!(gateway.logger, "upstream_removed"; "upstream" => %id, "version" => row.version, "held" => hold);
            }
            continue;
        }
        match upstream_entry(row) {
            Ok(entry) => {
                seen.push(entry.id.clone());
                let (id, draining) = (entry.id.clone(), entry.draining);
                let models = entry.models.len();
                let cold_ms = entry.cold_left_ms;
                let is_new = state.upstreams.put(entry, now);
                if is_new || draining {
                    info!(gateway.logger, "upstream_entry"; "upstream" => %id, "version" => row.version,
                        "draining" => draining, "models" => models, "cold_ms" => cold_ms, "new" => is_new);
                }
            }
            Err(fault) => {
                warn!(gateway.logger, "upstream_entry_unreadable"; "key" => %row.key, "version" => row.version,
                    "fault" => fault);
                // An unreadable entry names no usable upstream.
                if let Ok(id) = UpstreamId::new(&row.key) {
                    state.upstreams.remove(&id, false, now);
                }
            }
        }
    }
    if extent == ReadExtent::Table {
        let missing: Vec<UpstreamId> = state
            .upstreams
            .all()
            .iter()
            .map(|known| known.entry.id.clone())
            .filter(|id| !seen.contains(id))
            .collect();
        for id in missing {
            state.upstreams.remove(&id, hold, now);
            info!(gateway.logger, "upstream_removed"; "upstream" => %id, "version" => rows.version, "held" => hold);
        }
    }
    state.upstreams_from_store |= extent == ReadExtent::Table;
    drop(state);
    gateway.state_changed.notify_waiters();
    gateway.plan_now.notify_one();
}

/// Switches to the store era of `version` when that is later than the known one.
fn apply_store_era(gateway: &Gateway, state: &mut GatewayState, version: u64, now: ClockTime) {
    if StoreEra::of(version) <= StoreEra::of(state.upstream_version) || !state.upstreams_known {
        return;
    }
    info!(gateway.logger, "store_era"; "table" => UPSTREAM_TABLE, "era" => StoreEra::of(version).get(),
        "version" => StoreEra::raw_version(version), "before" => StoreEra::raw_version(state.upstream_version));
    gateway.metrics.era_changes.inc();
    state.upstreams.exclude_departed(now);
}

/// Updates a copy of a table's rows, sorted by key.
fn update_rows(kept: &mut Vec<StoreRow>, rows: Vec<StoreRow>, full: bool) {
    if full {
        kept.clear();
    }
    for row in rows {
        match kept.binary_search_by(|known| known.key.cmp(&row.key)) {
            Ok(at) if row.removed => {
                kept.remove(at);
            }
            Ok(at) => kept[at] = row,
            Err(at) if !row.removed => kept.insert(at, row),
            Err(_) => {}
        }
    }
}

/// Copy of this gateway's tables for another gateway.
pub(crate) fn view_copy(state: &GatewayState, now: ClockTime) -> ViewCopy {
    let copied = |rows: &[StoreRow]| {
        let copy = |row: &StoreRow| {
            Some(CopiedRow {
                key: row.key.clone(),
                value: String::from_utf8(row.value.to_vec()).ok()?,
                version: row.version,
            })
        };
        rows.iter().filter_map(copy).collect()
    };
    ViewCopy {
        view: state.freshness(now),
        operator_rows: copied(&state.operator_rows),
        upstreams: state.upstreams.published_entries().collect(),
        held: state.upstreams.held(now),
    }
}

/// Applies another gateway's tables. `requested_at` is the send time of the request for them.
pub(crate) fn apply_view_copy(gateway: &Gateway, copy: ViewCopy, requested_at: ClockTime) {
    let rows = |rows: Vec<CopiedRow>| {
        let row = |row: CopiedRow| StoreRow {
            key: row.key,
            value: row.value.into(),
            version: row.version,
            removed: false,
        };
        rows.into_iter().map(row).collect()
    };
    let Some(age_ms) = copy.view.age_ms else { return };
    let operators = StoreRows { rows: rows(copy.operator_rows), version: copy.view.version };
    info!(gateway.logger, "view_copied"; "store_version" => operators.version, "age_ms" => age_ms);
    apply_operator_rows(gateway, operators, ReadExtent::Table, requested_at.minus_ms(age_ms));
    let upstreams = copy.upstreams.into_iter().map(|entry| (entry.id.clone(), Some(entry))).collect();
    let mut state = gateway.lock();
    if state.lead.is_none() {
        apply_upstream_updates(gateway, &mut state, upstreams, true, &copy.view, requested_at, gateway.now());
        state.upstreams.apply_held(&copy.held, copy.view.upstream_version, gateway.now());
    }
}

/// Applies upstream entries of another gateway, confirmed as stated in `freshness`. `requested_at` is the
/// send time of the request for them. With `fresh` they are a full snapshot: upstreams that are not listed
/// are removed.
pub(crate) fn apply_upstream_updates(
    gateway: &Gateway,
    state: &mut GatewayState,
    changes: Vec<(UpstreamId, Option<UpstreamEntry>)>,
    fresh: bool,
    freshness: &ViewFreshness,
    requested_at: ClockTime,
    now: ClockTime,
) {
    apply_store_era(gateway, state, freshness.upstream_version, now);
    let own_version = state.upstream_version;
    let update = UpstreamUpdate { entries: changes, version: freshness.upstream_version, fresh };
    state.upstreams.apply_update(update, own_version, now);
    state.upstreams_from_store = false;
    state.upstreams_known = true;
    state.upstream_version = state.upstream_version.max(freshness.upstream_version);
    if let Some(age_ms) = freshness.upstream_age_ms {
        state.upstream_freshness.confirm(requested_at.minus_ms(age_ms));
    }
}
