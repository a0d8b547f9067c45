//! The store calls of the leader lease. Each result is passed to the lease with the era of the store, and logged.

use cowslip_fleet::{LEASE_EPOCH_PREFIX, LEASE_KEY, LeaderLease};
use cowslip_platform::{PlatformError, RowValue, TableService, TableTransaction, TransactionOutcome};
use cowslip_units::{FencingToken, StoreEra};
use slog::info;

use crate::gateway::Gateway;

/// Reads the lease row; returns whether the store answered.
pub(crate) async fn read_lease(gateway: &Gateway, lease: &mut LeaderLease) -> bool {
    let result = gateway.store.read(LEASE_KEY).await;
    gateway.metrics.count_store_call("lease_read", result.is_err());
    observe_era(gateway, lease);
    lease.read_answered(&result, gateway.store.era(), gateway.now());
    log_lease_read(gateway, lease, result.as_ref().ok().and_then(|row| row.as_ref()));
    result.is_ok()
}

/// Carries out a write of the lease row.
pub(crate) async fn write_lease(gateway: &Gateway, lease: &mut LeaderLease, transaction: &TableTransaction) {
    let result = gateway.store.commit(transaction).await;
    gateway.metrics.count_store_call("lease_write", result.is_err());
    observe_era(gateway, lease);
    lease.commit_answered(&result, gateway.store.era(), gateway.now());
    log_lease_write(gateway, lease, transaction, &result);
}

/// Tells the lease of the store's era, and records what a later one ends.
pub(crate) fn observe_era(gateway: &Gateway, lease: &mut LeaderLease) {
    let era = gateway.store.era();
    if era <= lease.era() {
        return;
    }
    let pending_epoch = lease.pending_epoch();
    info!(gateway.logger, "lease_era"; "era" => era.get(), "previous_era" => lease.era().get(),
        "held_epoch" => lease.epoch(gateway.now()).map(FencingToken::get),
        "dropped_epoch" => pending_epoch.map(FencingToken::get));
    if pending_epoch.is_some() {
        gateway.metrics.lease_writes_dropped.inc();
    }
    lease.observe_era(era);
}

fn log_lease_read(gateway: &Gateway, lease: &LeaderLease, row: Option<&RowValue>) {
    let now = gateway.now();
    let reported_version = gateway.lock().leader_renewal.map(|(version, _)| version);
    let version = row.map(|row| row.version);
    info!(gateway.logger, "lease_read"; "version" => version.map(StoreEra::raw_version),
        "row_era" => version.map(|version| StoreEra::of(version).get()),
        "store_era" => gateway.store.era().get(), "reported_version" => reported_version,
        "epoch" => lease.observed_epoch().map(FencingToken::get), "highest_epoch" => lease.highest_epoch().get(),
        "holder" => lease.holder().map(|holder| holder.vm.to_string()), "holds" => lease.is_leader(now),
        "takeover_in_ms" => lease.takeover_at().map(|at| at.since_ms(now)));
}

/// Logs takeovers, and renewals that the store did not carry out.
fn log_lease_write(
    gateway: &Gateway,
    lease: &LeaderLease,
    transaction: &TableTransaction,
    result: &Result<TransactionOutcome, PlatformError>,
) {
    let epoch = transaction.puts.iter().find_map(|(key, _)| key.strip_prefix(LEASE_EPOCH_PREFIX));
    let committed = result.as_ref().is_ok_and(|outcome| outcome.committed);
    if epoch.is_none() && committed {
        return;
    }
    let condition = transaction.conditions.iter().find(|condition| condition.key == LEASE_KEY);
    let version = condition.and_then(|condition| condition.version);
    let error = result.as_ref().err().map(ToString::to_string);
    info!(gateway.logger, "lease_write"; "takeover_epoch" => epoch, "committed" => committed, "error" => error,
        "condition_version" => version.map(StoreEra::raw_version),
        "condition_era" => version.map(|version| StoreEra::of(version).get()),
        "store_era" => gateway.store.era().get(), "highest_epoch" => lease.highest_epoch().get(),
        "holds" => lease.is_leader(gateway.now()));
}
