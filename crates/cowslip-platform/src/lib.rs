//! Traits and HTTP clients for the services of the platform and the orders to model engines.
//!
//! `docs/interfaces.md` describes the wire formats. Each trait has a suite of contract tests that run against
//! the stand-ins over sockets.

mod call_budget;
mod engine_client;
mod engine_orders;
mod http_caller;
mod object_store;
mod platform_client;
mod platform_error;
mod table_service;
mod vm_list;
mod wire_format;

pub use engine_client::EngineClient;
pub use engine_orders::{
    AdapterOrder, CacheEvent, CheckpointTier, EngineOrders, EngineReport, EngineRole, LoadOrder, LoadedModel,
    OrderReply, RoleOrder, UnloadOrder,
};
pub use http_caller::{CallKind, CallRequest, HttpCaller};
pub use object_store::ObjectStore;
pub use platform_client::PlatformClient;
pub use platform_error::PlatformError;
pub use table_service::{RowCondition, RowValue, TableService, TableTransaction, TransactionOutcome};
pub use vm_list::{VmEntry, VmList, VmRole, VmState};
