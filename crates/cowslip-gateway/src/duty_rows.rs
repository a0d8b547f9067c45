//! The rows that the leader keeps for usage reports.

use cowslip_entry::{MAX_USAGE_ROWS, OpenUsage, RowOutcome, StoredUsage, UsageCheckpoint, UsageRow};
use cowslip_platform::{PlatformError, RowValue, TableService, TableTransaction, TransactionOutcome};
use cowslip_units::WindowId;
use serde::Serialize;
use serde::de::DeserializeOwned;
use slog::warn;

use crate::gateway::Gateway;

/// Start of the keys of closed windows; the window's number follows.
const CLOSED_PREFIX: &str = "usage/closed/";

/// Start of the keys of checkpoints; a number from 0 follows.
const OPEN_PREFIX: &str = "usage/open/";

/// Rows read of each kind: more than there should be.
const MAX_READ: usize = MAX_USAGE_ROWS * 3;

/// Key of a closed window. Keys sort like windows.
fn closed_key(window: WindowId) -> String {
    format!("{CLOSED_PREFIX}{:012}", window.get())
}

fn open_key(number: usize) -> String {
    format!("{OPEN_PREFIX}{number:03}")
}

/// Reads all rows; `None` when the store does not answer.
pub(crate) async fn read_usage(gateway: &Gateway) -> Option<StoredUsage> {
    let closed = scan(gateway, CLOSED_PREFIX).await?;
    let open = scan(gateway, OPEN_PREFIX).await?;
    let versioned = |row: &RowValue| Some((decode::<UsageRow>(gateway, row)?, row.version));
    Some(StoredUsage {
        closed: closed.iter().filter_map(versioned).collect(),
        open: open.iter().filter_map(|row| decode::<OpenUsage>(gateway, row)).collect(),
    })
}

async fn scan(gateway: &Gateway, prefix: &str) -> Option<Vec<RowValue>> {
    let result = gateway.store.scan(prefix, "", MAX_READ).await;
    gateway.metrics.count_store_call("usage_read", result.is_err());
    result.map_err(|error| log_failure(gateway, "read", &error)).ok()
}

/// Writes the row of a closed window if there is none, and removes those of old windows.
pub(crate) async fn write_closed(gateway: &Gateway, row: &UsageRow, removed: &[WindowId]) -> RowOutcome {
    let key = closed_key(row.window);
    let Some(value) = encode(gateway, row) else { return RowOutcome::Failed };
    let mut transaction = TableTransaction::new().with_absent(&key).with_put(&key, value);
    for window in removed {
        transaction = transaction.with_delete(&closed_key(*window));
    }
    let Some(outcome) = commit(gateway, "usage_close", &transaction).await else { return RowOutcome::Failed };
    if let Some(version) = outcome.versions.first().filter(|_| outcome.committed) {
        return RowOutcome::Written(*version);
    }
    match outcome.rows.iter().find(|known| known.key == key) {
        Some(known) => decode::<UsageRow>(gateway, known)
            .map_or(RowOutcome::Unreadable, |present| RowOutcome::Present(present, known.version)),
        None => RowOutcome::Failed,
    }
}

/// Replaces the row of a closed window if it has that version; `None` when the store does not answer.
pub(crate) async fn mark_closed(gateway: &Gateway, row: &UsageRow, version: u64) -> Option<bool> {
    let key = closed_key(row.window);
    let value = encode(gateway, row)?;
    let transaction = TableTransaction::new().with_version(&key, version).with_put(&key, value);
    commit(gateway, "usage_mark", &transaction).await.map(|outcome| outcome.committed)
}

/// Writes a checkpoint in place of the one before. Returns whether the store took it.
pub(crate) async fn write_checkpoint(gateway: &Gateway, checkpoint: &UsageCheckpoint) -> bool {
    let mut transaction = TableTransaction::new();
    for (number, row) in checkpoint.rows.iter().enumerate() {
        let Some(value) = encode(gateway, row) else { return false };
        transaction = transaction.with_put(&open_key(number), value);
    }
    for number in checkpoint.rows.len()..checkpoint.present {
        transaction = transaction.with_delete(&open_key(number));
    }
    commit(gateway, "usage_checkpoint", &transaction).await.is_some_and(|outcome| outcome.committed)
}

async fn commit(
    gateway: &Gateway,
    kind: &'static str,
    transaction: &TableTransaction,
) -> Option<TransactionOutcome> {
    let result = gateway.store.commit(transaction).await;
    gateway.metrics.count_store_call(kind, result.is_err());
    result.map_err(|error| log_failure(gateway, kind, &error)).ok()
}

fn log_failure(gateway: &Gateway, call: &str, error: &PlatformError) {
    warn!(gateway.logger, "usage_store_failed"; "call" => call, "error" => %error);
}

fn encode(gateway: &Gateway, row: &impl Serialize) -> Option<String> {
    let text = serde_json::to_string(row);
    text.map_err(|error| warn!(gateway.logger, "usage_row_unwritable"; "error" => %error)).ok()
}

fn decode<T: DeserializeOwned>(gateway: &Gateway, row: &RowValue) -> Option<T> {
    let decoded = serde_json::from_str(&row.value);
    decoded
        .map_err(|error| {
            warn!(gateway.logger, "usage_row_unreadable"; "key" => %row.key, "version" => row.version,
                "error" => %error);
        })
        .ok()
}
