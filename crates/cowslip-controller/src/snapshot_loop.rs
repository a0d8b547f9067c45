//! The task that rewrites the snapshot row and deletes changes that are no longer read.

use cowslip_fleet::{SNAPSHOT_KEY, applied_key, change_key, snapshot_transaction};
use cowslip_messages::{ChangeRecord, ViewSnapshot};
use cowslip_platform::{EngineOrders, PlatformError, TableTransaction};
use cowslip_units::ViewVersion;

use crate::{ControllerCore, PlatformServices};

/// Period of the check, in ms.
const CHECK_PERIOD_MS: u64 = 2_000;
/// Changes kept that are older than the snapshot. Operators retry a call in doubt with the same change id
/// within minutes; at 23,000 changes a day, these are more than four hours.
const KEPT_CHANGES: u64 = 4_096;
/// Changes deleted in one transaction.
const DELETE_LIMIT: usize = 64;

impl<P: PlatformServices, E: EngineOrders> ControllerCore<P, E> {
    /// Keeps the snapshot row close to the view, while this process is the leader.
    pub(crate) async fn maintain_snapshot(self) {
        let mut written = ViewVersion::ZERO;
        loop {
            self.clock.sleep_ms(CHECK_PERIOD_MS).await;
            let is_leading = {
                let now = self.now();
                let state = self.lock();
                state.leader.is_some() && state.lease.is_leader(now) && state.view.version() > written
            };
            if is_leading {
                match self.write_snapshot().await {
                    Ok(version) => written = version,
                    Err(error) => slog::debug!(self.logger, "snapshot not written"; "error" => %error),
                }
            }
        }
    }

    async fn write_snapshot(&self) -> Result<ViewVersion, PlatformError> {
        let stored = self.store_result(self.platform.read(SNAPSHOT_KEY).await)?;
        let (transaction, version) = {
            let now = self.now();
            let state = self.lock();
            let version = state.view.version();
            let transaction = snapshot_transaction(&state.view, stored.as_ref());
            (transaction.and_then(|transaction| state.lease.fence(transaction, now)), version)
        };
        if let Some(transaction) = transaction {
            let outcome = self.store_result(self.platform.commit(&transaction).await)?;
            if outcome.committed {
                slog::info!(self.logger, "snapshot written"; "version" => version.get());
            }
        } else if let Some(stored) = stored
            && let Ok(snapshot) = serde_json::from_str::<ViewSnapshot>(&stored.value)
        {
            self.delete_changes(snapshot.version).await?;
        }
        Ok(version)
    }

    async fn delete_changes(&self, snapshot: ViewVersion) -> Result<(), PlatformError> {
        let Some(last) = snapshot.get().checked_sub(KEPT_CHANGES) else {
            return Ok(());
        };
        let end = change_key(ViewVersion::new(last));
        let rows = self.store_result(self.platform.scan("change/", "change/", DELETE_LIMIT).await)?;
        let mut transaction = TableTransaction::new();
        for row in rows.iter().filter(|row| row.key < end) {
            transaction = transaction.with_delete(&row.key);
            if let Ok(record) = serde_json::from_str::<ChangeRecord>(&row.value) {
                transaction = transaction.with_delete(&applied_key(&record.change_id));
            }
        }
        if transaction.deletes.is_empty() {
            return Ok(());
        }
        let now = self.now();
        let fenced = self.lock().lease.fence(transaction, now);
        if let Some(transaction) = fenced {
            self.store_result(self.platform.commit(&transaction).await)?;
        }
        Ok(())
    }
}
