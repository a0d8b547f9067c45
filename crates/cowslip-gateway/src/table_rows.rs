//! Applies rows of the store's tables to the state of the gateway.

use cowslip_adapter::{OPERATOR_TABLE, StoreRow, StoreRows, UPSTREAM_TABLE, operator_change, upstream_entry};
use cowslip_entry::{OperatorChange, ViewOutcome};
use cowslip_units::{ClockTime, StoreEra, UpstreamId};
use slog::{info, warn};

use crate::gateway::Gateway;
use crate::gateway_state::GatewayState;

/// Coverage of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadExtent {
    /// All rows.
    Table,
    /// All changes since the known version.
    Changes,
    /// The first changes since the known version; more may follow.
    Part,
}

/// Applies rows of the operators' table that were requested at `sent_at`.
pub(crate) fn apply_operator_rows(
    gateway: &Gateway,
    rows: StoreRows,
    extent: ReadExtent,
    sent_at: ClockTime,
) {
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
pub(crate) fn apply_upstream_rows(
    gateway: &Gateway,
    rows: StoreRows,
    extent: ReadExtent,
    sent_at: ClockTime,
) {
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
pub(crate) fn apply_store_era(gateway: &Gateway, state: &mut GatewayState, version: u64, now: ClockTime) {
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
