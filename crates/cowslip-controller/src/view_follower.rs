//! The task that follows the change log in the table service.

use std::time::Duration;

use cowslip_fleet::{ApplyOutcome, FleetView, HEAD_KEY, SNAPSHOT_KEY, VersionRow, change_key};
use cowslip_messages::{ChangeRecord, ViewSnapshot};
use cowslip_platform::{EngineOrders, PlatformError};
use cowslip_units::ViewVersion;
use tokio::time::timeout;

use crate::{ControllerCore, PlatformServices};

/// Period in which the head of the change log is read, in ms.
const HEAD_PERIOD_MS: u64 = 500;
/// Changes read in one scan.
const SCAN_LIMIT: usize = 256;
/// Attempts to reach a version; a stale read may not show it yet.
const MAX_ATTEMPTS: usize = 64;

impl<P: PlatformServices, E: EngineOrders> ControllerCore<P, E> {
    /// Reads the head of the change log every 500 ms and applies new changes to the view; never returns.
    pub async fn follow_view(self) {
        loop {
            self.refresh_view().await;
            let period = Duration::from_millis(HEAD_PERIOD_MS);
            let _ = timeout(period, self.view_wake.notified()).await;
        }
    }

    /// Updates view and sheet to the present head, as far as the store can be read.
    pub(crate) async fn refresh_view(&self) {
        if let Ok(Some(row)) = self.store_result(self.platform.read(HEAD_KEY).await)
            && let Ok(head) = serde_json::from_str::<VersionRow>(&row.value)
        {
            let version = self.lock().view.version();
            if head.version > version {
                // A failed read is retried with the next head.
                let _ = self.catch_up(head.version).await;
            }
        }
        self.load_sheet().await;
    }

    /// Updates the view to at least `version`.
    pub(crate) async fn catch_up(&self, version: ViewVersion) -> Result<(), PlatformError> {
        for _ in 0..MAX_ATTEMPTS {
            let known = self.lock().view.version();
            if known >= version {
                return Ok(());
            }
            let rows =
                self.store_result(self.platform.scan("change/", &change_key(known), SCAN_LIMIT).await)?;
            let mut applied = false;
            for row in rows {
                let record: ChangeRecord = serde_json::from_str(&row.value)
                    .map_err(|error| PlatformError::Malformed(format!("{}: {error}", row.key)))?;
                match self.apply(&record) {
                    ApplyOutcome::Applied => applied = true,
                    ApplyOutcome::AlreadyApplied => {}
                    ApplyOutcome::Gap => break,
                }
            }
            if !applied && !self.adopt_snapshot().await? {
                self.clock.sleep_ms(20).await;
            }
        }
        Err(PlatformError::InDoubt(format!("changes up to version {version} are not visible")))
    }

    fn apply(&self, record: &ChangeRecord) -> ApplyOutcome {
        let now = self.now();
        let mut state = self.lock();
        let before = state.view.clone();
        let outcome = state.view.apply(record);
        if outcome == ApplyOutcome::Applied {
            state.view_changed(&before, now);
            drop(state);
            slog::info!(self.logger, "change applied"; "version" => record.version.get(),
                "author" => record.author.as_str(), "change_id" => record.change_id.as_str());
            self.planner_wake.notify_one();
        }
        outcome
    }

    /// Replaces the view by the stored snapshot if that is newer. Returns whether the view changed.
    async fn adopt_snapshot(&self) -> Result<bool, PlatformError> {
        let Some(row) = self.store_result(self.platform.read(SNAPSHOT_KEY).await)? else {
            return Ok(false);
        };
        let snapshot: ViewSnapshot = serde_json::from_str(&row.value)
            .map_err(|error| PlatformError::Malformed(format!("{SNAPSHOT_KEY}: {error}")))?;
        let now = self.now();
        let mut state = self.lock();
        let before: FleetView = state.view.clone();
        if snapshot.version <= before.version() {
            return Ok(false);
        }
        state.view.adopt(snapshot);
        state.view_changed(&before, now);
        Ok(true)
    }
}
