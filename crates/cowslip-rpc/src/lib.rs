//! JSON-RPC interfaces of the router, the controller and the gateway.
//!
//! `jsonrpsee` boxes its method handlers internally; that `dyn` is the library's own, and it is not on the
//! path of a request that needs no share from another router.

mod controller_api;
mod fault_codec;
mod gateway_api;
mod router_api;
mod rpc_client;

pub use controller_api::{ControllerApiClient, ControllerApiServer};
pub use fault_codec::{error_from_fault, fault_from_error};
pub use gateway_api::{GatewayApiClient, GatewayApiServer};
pub use router_api::{RouterApiClient, RouterApiServer};
pub use rpc_client::{CallError, connect};
