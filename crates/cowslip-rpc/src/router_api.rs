//! RPC interface of a router for other processes of the system.

// The macro generates public items without documentation.
#![allow(missing_docs)]

use cowslip_messages::{
    AttemptStatus, ClaimStatusRequest, ConfirmReply, FetchReply, FetchRequest, PeerReport, PermitGrant,
    PermitRequest, PermitReturn, PushReply, PushRequest, RouterStatus, TokenGrant, TokenRequest,
};
use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

#[rpc(server, client)]
pub trait RouterApi {
    #[method(name = "view_push")]
    async fn view_push(&self, request: PushRequest) -> RpcResult<PushReply>;

    #[method(name = "view_confirm")]
    async fn view_confirm(&self) -> RpcResult<ConfirmReply>;

    #[method(name = "view_fetch")]
    async fn view_fetch(&self, request: FetchRequest) -> RpcResult<FetchReply>;

    #[method(name = "peer_exchange")]
    async fn peer_exchange(&self, report: PeerReport) -> RpcResult<PeerReport>;

    #[method(name = "tokens_borrow")]
    async fn tokens_borrow(&self, request: TokenRequest) -> RpcResult<TokenGrant>;

    #[method(name = "permit_borrow")]
    async fn permit_borrow(&self, request: PermitRequest) -> RpcResult<PermitGrant>;

    #[method(name = "permit_return")]
    async fn permit_return(&self, request: PermitReturn) -> RpcResult<()>;

    #[method(name = "claim_status")]
    async fn claim_status(&self, request: ClaimStatusRequest) -> RpcResult<AttemptStatus>;

    #[method(name = "router_status")]
    async fn router_status(&self) -> RpcResult<RouterStatus>;
}
