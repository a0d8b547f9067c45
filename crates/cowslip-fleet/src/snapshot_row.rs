//! The row with a full snapshot of the view.

use cowslip_messages::ViewSnapshot;
use cowslip_platform::{RowValue, TableTransaction};

use crate::{FleetView, SNAPSHOT_KEY};

/// Changes between two writes of the snapshot row.
pub const SNAPSHOT_PERIOD: u64 = 64;

/// The transaction that updates the snapshot row to the view; `None` while the row is less than
/// [`SNAPSHOT_PERIOD`] changes older. A row that cannot be parsed is replaced.
pub fn snapshot_transaction(view: &FleetView, stored: Option<&RowValue>) -> Option<TableTransaction> {
    let known = stored.and_then(|row| serde_json::from_str::<ViewSnapshot>(&row.value).ok());
    let lag = view.version().get().saturating_sub(known.map_or(0, |snapshot| snapshot.version.get()));
    if lag < SNAPSHOT_PERIOD {
        return None;
    }
    let value = serde_json::to_string(&view.to_snapshot()).ok()?;
    let transaction = match stored {
        Some(row) => TableTransaction::new().with_version(SNAPSHOT_KEY, row.version),
        None => TableTransaction::new().with_absent(SNAPSHOT_KEY),
    };
    Some(transaction.with_put(SNAPSHOT_KEY, value))
}
