//! RPC interface of a gateway for other gateways.

// The macro generates public items without documentation.
#![allow(missing_docs)]

use cowslip_entry::{CrashLogCopy, GatewayReport, LeaderAnswer, ViewCopy};
use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

#[rpc(server, client)]
pub trait GatewayApi {
    #[method(name = "gateway_report")]
    async fn gateway_report(&self, report: GatewayReport) -> RpcResult<LeaderAnswer>;

    #[method(name = "crash_update")]
    async fn crash_update(&self, update: CrashLogCopy) -> RpcResult<()>;

    #[method(name = "view_copy")]
    async fn view_copy(&self) -> RpcResult<ViewCopy>;
}
