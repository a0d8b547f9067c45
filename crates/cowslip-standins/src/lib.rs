//! Stand-ins for the external systems: the platform, model engines and plain services.
//!
//! Each implements the wire formats of `docs/interfaces.md`, injects faults on request (`PUT /faults`) and
//! records the requests it received (`GET /journal`). Tests start them in-process on a free port; the
//! binaries run the same servers. Settings and faults are described in `docs/standins.md`.

mod call_counter;
mod connection_aborted;
mod engine;
mod fault_switch;
mod faulty_body;
mod history_map;
mod http_reply;
mod http_server;
mod platform;
mod record_log;
mod reply_body;
mod request_outcome;
mod request_record;
mod running_server;
mod service;
mod shared_state;
mod standin_client;
mod standin_process;

pub use connection_aborted::ConnectionAborted;
pub use engine::{EngineFault, EngineFaultMode, EngineJournal, EngineServer, OrderRecord};
pub use platform::{
    OperationCount, PlatformFault, PlatformFaultMode, PlatformJournal, PlatformServer, PlatformService,
    WeightsJournal,
};
pub use request_outcome::RequestOutcome;
pub use request_record::RequestRecord;
pub use running_server::RunningServer;
pub use service::{ServiceJournal, ServiceServer};
pub use standin_client::StandinClient;
pub use standin_process::{StandinProcess, run_standin};
