//! Stores the prompt parts that are quarantined, for gateways that no leader informs of them: after all of them have
//! ended at once, or for one that reaches the store but not the others.

use std::sync::Arc;

use cowslip_entry::CrashLogCopy;
use cowslip_platform::{PlatformError, RowValue, TableService, TableTransaction};
use cowslip_units::{ClockTime, StoreEra};
use slog::{info, warn};

use crate::crash_exchange::merge_crashes;
use crate::gateway_state::Gateway;

/// Key of the row.
const QUARANTINE_KEY: &str = "quarantine";

/// Interval in ms between two checks whether the row must be read or written.
const CHECK_MS: u64 = 250;

/// Time in ms after the last answer of a leader from which a gateway uses the row itself.
const LEADERLESS_MS: u64 = 1_000;

/// Interval in ms between two reads of a gateway without a leader.
const READ_INTERVAL_MS: u64 = 1_000;

/// What is known of the row.
#[derive(Debug)]
struct QuarantineRow {
    /// Version of the row; `None` when it is absent.
    version: Option<u64>,
    /// Digest of its crashes.
    digest: u64,
    /// Time of the read or write.
    known_at: ClockTime,
    /// Era of the store at that time.
    era: StoreEra,
}

/// Role in which a gateway uses the row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RowRole {
    /// The leader keeps the row current.
    Leader,
    /// No leader has answered for some time.
    Leaderless,
    /// The leader informs this gateway.
    Follower,
}

/// Reads and writes the row for as long as the process runs.
pub(crate) async fn sync_quarantine(gateway: Arc<Gateway>) {
    let mut known: Option<QuarantineRow> = None;
    let mut last_role = RowRole::Follower;
    loop {
        gateway.clock.sleep_ms(CHECK_MS).await;
        let role = row_role(&gateway);
        if role != last_role {
            // The row may have changed since this gateway last used it.
            known = None;
            last_role = role;
        }
        if role == RowRole::Follower {
            continue;
        }
        let era = gateway.store.era();
        let is_old = |row: &QuarantineRow| {
            let is_due = gateway.now().since_ms(row.known_at) >= READ_INTERVAL_MS;
            row.era != era || (role == RowRole::Leaderless && is_due)
        };
        if known.as_ref().is_none_or(is_old) {
            known = read_row(&gateway, era).await;
        }
        if let Some(row) = &known {
            let quarantined = gateway.lock().quarantine.log.quarantined_copy(gateway.crash_time());
            // Only the leader knows that a part is no longer quarantined.
            let is_needed =
                quarantined.digest() != row.digest && (role == RowRole::Leader || !quarantined.is_empty());
            if is_needed {
                known = write_row(&gateway, row, &quarantined, era).await;
            }
        }
    }
}

fn row_role(gateway: &Gateway) -> RowRole {
    let now = gateway.now();
    let state = gateway.lock();
    let is_informed = state.last_leader_contact.is_some_and(|at| now.since_ms(at) < LEADERLESS_MS);
    if state.lead.is_some() {
        RowRole::Leader
    } else if !is_informed {
        RowRole::Leaderless
    } else {
        RowRole::Follower
    }
}

async fn read_row(gateway: &Gateway, era: StoreEra) -> Option<QuarantineRow> {
    let result = gateway.store.read(QUARANTINE_KEY).await;
    gateway.metrics.count_store_call("quarantine_read", result.is_err());
    // The store is read again at the next check.
    let row = result.ok()?;
    Some(take_row(gateway, row, era))
}

/// Merges the row's crashes.
fn take_row(gateway: &Gateway, row: Option<RowValue>, era: StoreEra) -> QuarantineRow {
    let version = row.as_ref().map(|row| row.version);
    let copy = row.map_or_else(CrashLogCopy::default, |row| decode(gateway, &row));
    let mut state = gateway.lock();
    merge_crashes(gateway, &mut state, &copy, gateway.crash_time());
    QuarantineRow { version, digest: copy.digest(), known_at: gateway.now(), era }
}

/// Crashes in a row. One that cannot be read counts as empty, and is overwritten.
fn decode(gateway: &Gateway, row: &RowValue) -> CrashLogCopy {
    serde_json::from_str(&row.value).unwrap_or_else(|error| {
        warn!(gateway.logger, "quarantine_unreadable"; "version" => row.version, "error" => %error);
        CrashLogCopy::default()
    })
}

/// Writes the row, unless another gateway has changed it since.
async fn write_row(
    gateway: &Gateway,
    row: &QuarantineRow,
    quarantined: &CrashLogCopy,
    era: StoreEra,
) -> Option<QuarantineRow> {
    let text = serde_json::to_string(quarantined)
        .inspect_err(|error| warn!(gateway.logger, "quarantine_unwritable"; "error" => %error))
        .ok()?;
    let transaction = TableTransaction::new();
    let transaction = match row.version {
        Some(version) => transaction.with_version(QUARANTINE_KEY, version),
        None => transaction.with_absent(QUARANTINE_KEY),
    };
    let result = gateway.store.commit(&transaction.with_put(QUARANTINE_KEY, text)).await;
    gateway.metrics.count_store_call("quarantine_write", result.is_err());
    log_write(gateway, quarantined, &result.as_ref().map(|outcome| outcome.committed));
    let outcome = result.ok()?;
    if !outcome.committed {
        let current = outcome.rows.into_iter().find(|row| row.key == QUARANTINE_KEY);
        return Some(take_row(gateway, current, era));
    }
    let version = outcome.versions.first().copied();
    Some(QuarantineRow { version, digest: quarantined.digest(), known_at: gateway.now(), era })
}

fn log_write(gateway: &Gateway, quarantined: &CrashLogCopy, result: &Result<bool, &PlatformError>) {
    let error = result.as_ref().err().map(ToString::to_string);
    info!(gateway.logger, "quarantine_written"; "crashes" => quarantined.crashes.len(),
        "committed" => result.as_ref().is_ok_and(|committed| *committed), "error" => error);
}
