//! Keys of rows and objects in the shared store.

use cowslip_units::{ChangeId, FencingToken, ViewVersion};
use smol_str::{SmolStr, format_smolstr};

/// Row with the version of the last change.
pub const HEAD_KEY: &str = "head";

/// Row with a full snapshot of the view.
pub const SNAPSHOT_KEY: &str = "snapshot";

/// Row with the holder of the leader lease.
pub const LEASE_KEY: &str = "lease/controller";

/// Prefix of the keys of the rows that mark epochs as taken.
pub const LEASE_EPOCH_PREFIX: &str = "lease/epoch/";

/// Row of the change at `version`; keys sort by version.
pub fn change_key(version: ViewVersion) -> SmolStr {
    format_smolstr!("change/{:020}", version.get())
}

/// Row with the version at which a change took effect.
pub fn applied_key(change_id: &ChangeId) -> SmolStr {
    format_smolstr!("applied/{change_id}")
}

/// Row that exists once `epoch` was taken.
pub fn epoch_key(epoch: FencingToken) -> SmolStr {
    format_smolstr!("{LEASE_EPOCH_PREFIX}{:020}", epoch.get())
}

/// Object with the text of a sheet.
pub fn sheet_key(digest: &str) -> SmolStr {
    format_smolstr!("sheet/{digest}")
}
