//! Stand-in for the platform: table service, object store, weight store and VM list, with faults.

mod fault_action;
mod fault_set;
mod platform_call;
mod platform_fault;
mod platform_handler;
mod platform_journal;
mod platform_server;
mod platform_state;
mod start_limiter;
mod table_store;
mod transfer_link;

pub use platform_fault::{PlatformFault, PlatformFaultMode, PlatformService};
pub use platform_journal::{OperationCount, PlatformJournal, WeightsJournal};
pub use platform_server::PlatformServer;
