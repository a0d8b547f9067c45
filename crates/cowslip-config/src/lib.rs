//! Settings files (INI) and sheets (CSV): parsing, validation and comparison.
//!
//! A sheet declares the fleet: failure domains, upstreams, models, adapters, teams, routes and limits.

mod column_change;
mod fleet_sheet;
mod row_change;
mod row_fields;
mod settings_reader;
mod sheet_checks;
mod sheet_column;
mod sheet_diff;
mod sheet_digest;
mod sheet_draft;
mod sheet_fault;
mod sheet_kind;
mod sheet_record;
mod sheet_rows;
mod sheet_text;

pub use column_change::ColumnChange;
pub use fleet_sheet::FleetSheet;
pub use row_change::{RowChange, RowDelta};
pub use settings_reader::{SettingsFault, SettingsReader};
pub use sheet_column::SheetColumn;
pub use sheet_diff::SheetDiff;
pub use sheet_digest::sheet_digest;
pub use sheet_fault::SheetFault;
pub use sheet_kind::SheetKind;
pub use sheet_record::SheetRecord;
pub use sheet_rows::{
    AdapterRow, DomainRow, EngineKind, LimitRow, ModelRow, RouteRow, RouteTarget, TeamRow, UpstreamRow,
};
