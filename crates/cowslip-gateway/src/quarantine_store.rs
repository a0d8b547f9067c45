//! Stores the prompt parts that are quarantined, for gateways that no leader informs of them: after all of them have
//! ended at once, or for one that reaches the store but not the others.

use std::sync::Arc;

use cowslip_entry::{CrashLogCopy, LeaderContact, RowSchedule, RowStep};
use cowslip_platform::{PlatformError, RowValue, TableService, TableTransaction};
use cowslip_units::StoreEra;
use slog::{info, warn};

use crate::crash_exchange::merge_crashes;
use crate::gateway::Gateway;

/// Key of the row.
const QUARANTINE_KEY: &str = "quarantine";

/// Interval in ms between two checks whether the row must be read or written.
const CHECK_MS: u64 = 250;

/// What is known of the row.
#[derive(Debug)]
struct QuarantineRow {
    /// Version of the row; `None` when it is absent.
    version: Option<u64>,
    /// Digest of its crashes.
    digest: u64,
    /// Era of the store at that time.
    era: StoreEra,
}

/// Reads and writes the row for as long as the process runs.
pub(crate) async fn sync_quarantine(gateway: Arc<Gateway>) {
    let mut known: Option<QuarantineRow> = None;
    let mut schedule = RowSchedule::new();
    loop {
        gateway.clock.sleep_ms(CHECK_MS).await;
        let era = gateway.store.era();
        schedule.record_row(known.as_ref().is_some_and(|row| row.era == era));
        match next_step(&gateway, &mut schedule) {
            RowStep::Wait => continue,
            RowStep::Read => known = read_row(&gateway, era).await,
            RowStep::Compare => {}
        }
        if let Some(row) = &known {
            let quarantined = gateway.lock().quarantine.log.quarantined_copy(gateway.crash_time());
            let may_write = schedule.may_remove() || !quarantined.is_empty();
            if may_write && quarantined.digest() != row.digest {
                known = write_row(&gateway, row, &quarantined, era).await;
            }
        }
    }
}

fn next_step(gateway: &Gateway, schedule: &mut RowSchedule) -> RowStep {
    let state = gateway.lock();
    let contact = LeaderContact { leads: state.lead.is_some(), last_at: state.last_leader_contact };
    schedule.step(contact, state.fleet_members(&gateway.settings.name), gateway.now())
}

async fn read_row(gateway: &Gateway, era: StoreEra) -> Option<QuarantineRow> {
    let result = gateway.store.read(QUARANTINE_KEY).await;
    gateway.metrics.count_store_call("quarantine_read", result.is_err());
    // A row that could not be read is read again when that is due.
    let row = result.ok()?;
    Some(take_row(gateway, row, era))
}

/// Merges the row's crashes.
fn take_row(gateway: &Gateway, row: Option<RowValue>, era: StoreEra) -> QuarantineRow {
    let version = row.as_ref().map(|row| row.version);
    let copy = row.map_or_else(CrashLogCopy::default, |row| decode(gateway, &row));
    let mut state = gateway.lock();
    merge_crashes(gateway, &mut state, &copy, gateway.crash_time());
    QuarantineRow { version, digest: copy.digest(), era }
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
    Some(QuarantineRow { version, digest: quarantined.digest(), era })
}

fn log_write(gateway: &Gateway, quarantined: &CrashLogCopy, result: &Result<bool, &PlatformError>) {
    let error = result.as_ref().err().map(ToString::to_string);
    info!(gateway.logger, "quarantine_written"; "crashes" => quarantined.crashes.len(),
        "committed" => result.as_ref().is_ok_and(|committed| *committed), "error" => error);
}
