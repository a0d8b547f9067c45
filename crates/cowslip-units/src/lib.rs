//! Types shared by every crate of the workspace: ids, sizes, rates, clock times and the closed list of error
//! kinds.
//!
//! Nothing here does I/O or reads a clock. Each process reads its monotonic clock in one place
//! (`cowslip-runtime`) and passes [`ClockTime`] values to the crates that make decisions.

mod clock_time;
mod day_time;
mod error_answer;
mod error_kind;
mod fencing_token;
mod invariant_name;
mod key_digest;
mod memory_size;
mod run_state;
mod store_era;
mod text_id;
mod token_count;
mod token_rate;
mod unit_error;
mod view_version;
mod violation;
mod whole_number;
mod window_id;

pub use clock_time::ClockTime;
pub use day_time::DayTime;
pub use error_answer::{ErrorAnswer, RetryHint};
pub use error_kind::ErrorKind;
pub use fencing_token::FencingToken;
pub use invariant_name::InvariantName;
pub use key_digest::KeyDigest;
pub use memory_size::MemorySize;
pub use run_state::RunState;
pub use store_era::StoreEra;
pub use text_id::{
    AttemptId, ChangeId, DomainId, IncarnationId, ModelId, OrderId, PartId, ReportId, RequestId, RouteId,
    ServiceId, TeamId, UpstreamId, VmId,
};
pub use token_count::TokenCount;
pub use token_rate::TokenRate;
pub use unit_error::UnitError;
pub use view_version::ViewVersion;
pub use violation::{Violation, assert_invariant, drain_violations};
pub use window_id::WindowId;
