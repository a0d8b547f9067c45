//! RPC interface of a controller for routers and operators.

// The macro generates public items without documentation.
#![allow(missing_docs)]

use cowslip_messages::{
    ApplyRequest, ChangeOutcome, DemandReply, DemandReport, ExplainReply, KeyRequest, StatusReply,
    SwitchRequest, WatchReply, WatchRequest,
};
use cowslip_units::ModelId;
use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

#[rpc(server, client)]
pub trait ControllerApi {
    /// Served by the leader only.
    #[method(name = "demand")]
    async fn demand(&self, report: DemandReport) -> RpcResult<DemandReply>;

    /// Served by the leader only.
    #[method(name = "placement_watch")]
    async fn placement_watch(&self, request: WatchRequest) -> RpcResult<WatchReply>;

    #[method(name = "apply_sheet")]
    async fn apply_sheet(&self, request: ApplyRequest) -> RpcResult<ChangeOutcome>;

    /// Text of the sheet in force; empty if none was applied.
    #[method(name = "sheet_text")]
    async fn sheet_text(&self) -> RpcResult<String>;

    #[method(name = "key_give")]
    async fn key_give(&self, request: KeyRequest) -> RpcResult<ChangeOutcome>;

    #[method(name = "key_withdraw")]
    async fn key_withdraw(&self, request: KeyRequest) -> RpcResult<ChangeOutcome>;

    #[method(name = "set_domain")]
    async fn set_domain(&self, request: SwitchRequest) -> RpcResult<ChangeOutcome>;

    #[method(name = "set_upstream")]
    async fn set_upstream(&self, request: SwitchRequest) -> RpcResult<ChangeOutcome>;

    #[method(name = "status")]
    async fn status(&self) -> RpcResult<StatusReply>;

    /// Served by the leader only.
    #[method(name = "explain")]
    async fn explain(&self, model: ModelId) -> RpcResult<ExplainReply>;
}
