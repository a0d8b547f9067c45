//! Copies of the store's tables that gateways give each other.

use cowslip_adapter::{StoreRow, StoreRows};
use cowslip_entry::{CopiedRow, UpstreamUpdate, ViewCopy, ViewFreshness};
use cowslip_units::ClockTime;
use slog::info;

use crate::gateway::Gateway;
use crate::gateway_state::GatewayState;
use crate::table_rows::{ReadExtent, apply_operator_rows, apply_store_era};

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
    let entries = copy.upstreams.into_iter().map(|entry| (entry.id.clone(), Some(entry))).collect();
    let version = copy.view.upstream_version;
    let update = UpstreamUpdate { entries, models: Vec::new(), version, fresh: true };
    let mut state = gateway.lock();
    if state.lead.is_none() {
        apply_upstream_updates(gateway, &mut state, update, &copy.view, requested_at, gateway.now());
        state.upstreams.apply_held(&copy.held, version, gateway.now());
    }
}

/// Applies an update of another gateway about upstreams, confirmed as stated in `freshness`. `requested_at` is the send
/// time of the request for it.
pub(crate) fn apply_upstream_updates(
    gateway: &Gateway,
    state: &mut GatewayState,
    update: UpstreamUpdate,
    freshness: &ViewFreshness,
    requested_at: ClockTime,
    now: ClockTime,
) {
    apply_store_era(gateway, state, freshness.upstream_version, now);
    let own_version = state.upstream_version;
    state.upstreams.apply_update(update, own_version, now);
    state.upstreams_from_store = false;
    state.upstreams_known = true;
    state.upstream_version = state.upstream_version.max(freshness.upstream_version);
    if let Some(age_ms) = freshness.upstream_age_ms {
        state.upstream_freshness.confirm(requested_at.minus_ms(age_ms));
    }
}
