//! A router that answers every call immediately.

use cowslip_messages::{
    AttemptStatus, ClaimStatusRequest, ConfirmReply, FetchReply, FetchRequest, PeerReport, PermitGrant,
    PermitRequest, PermitReturn, PushReply, PushRequest, RouterStatus, TokenGrant, TokenRequest,
};
use cowslip_rpc::RouterApiServer;
use cowslip_units::{IncarnationId, TokenCount, ViewVersion, VmId};
use jsonrpsee::core::{RpcResult, async_trait};

/// Answers with small constant replies, except that `peer_exchange` returns the report it received.
#[derive(Clone, Debug)]
pub struct EchoRouter {
    /// Incarnation reported in replies.
    pub own: IncarnationId,
}

#[async_trait]
impl RouterApiServer for EchoRouter {
    async fn view_push(&self, request: PushRequest) -> RpcResult<PushReply> {
        let version = request.changes.last().map(|record| record.version).unwrap_or_default();
        Ok(PushReply { incarnation: self.own.clone(), version })
    }

    async fn view_confirm(&self) -> RpcResult<ConfirmReply> {
        Ok(ConfirmReply { incarnation: self.own.clone(), version: ViewVersion::new(1), age_ms: Some(7) })
    }

    async fn view_fetch(&self, _request: FetchRequest) -> RpcResult<FetchReply> {
        Ok(FetchReply { snapshot: None, changes: Vec::new(), sheet_text: None })
    }

    async fn peer_exchange(&self, report: PeerReport) -> RpcResult<PeerReport> {
        Ok(report)
    }

    async fn tokens_borrow(&self, request: TokenRequest) -> RpcResult<TokenGrant> {
        Ok(TokenGrant { granted: request.amount, left: TokenCount::ZERO })
    }

    async fn permit_borrow(&self, _request: PermitRequest) -> RpcResult<PermitGrant> {
        Ok(PermitGrant { granted: true, left: 0 })
    }

    async fn permit_return(&self, _request: PermitReturn) -> RpcResult<()> {
        Ok(())
    }

    async fn claim_status(&self, _request: ClaimStatusRequest) -> RpcResult<AttemptStatus> {
        Ok(AttemptStatus::Running)
    }

    async fn router_status(&self) -> RpcResult<RouterStatus> {
        Ok(RouterStatus {
            incarnation: self.own.clone(),
            vm: VmId::default(),
            version: ViewVersion::new(1),
            confirm_age_ms: Some(7),
            degraded: false,
            waiting: 0,
            running: 0,
            draining: false,
            violations: 0,
        })
    }
}
