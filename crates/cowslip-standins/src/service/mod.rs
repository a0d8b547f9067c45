//! Stand-in for a plain service: lookups and non-idempotent calls, with faults.

mod service_handler;
mod service_journal;
mod service_server;
mod service_state;

pub use service_journal::ServiceJournal;
pub use service_server::ServiceServer;
