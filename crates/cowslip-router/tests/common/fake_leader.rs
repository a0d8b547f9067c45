//! Fake leader whose placement table is set by the test; rejects all operator calls.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cowslip_messages::{
    AdapterPlacement, ApplyRequest, ChangeOutcome, DemandReply, DemandReport, ExplainReply, KeyRequest,
    OperatorFault, PlacementTable, ReplicaPlacement, ReplicaState, StatusReply, SwitchRequest, TableVersion,
    UpstreamState, WatchReply, WatchRequest,
};
use cowslip_rpc::{ControllerApiServer, error_from_fault};
use cowslip_units::{ErrorKind, FencingToken, ModelId};
use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::server::{Server, ServerHandle};

#[derive(Clone)]
struct LeaderState {
    table: Arc<Mutex<PlacementTable>>,
    demand: Arc<Mutex<Vec<DemandReport>>>,
}

pub(crate) struct FakeLeader {
    pub(crate) addr: SocketAddr,
    state: LeaderState,
    _server: ServerHandle,
}

fn replica(model: &str, upstream: &str, state: ReplicaState, ready_in_ms: u64) -> ReplicaPlacement {
    ReplicaPlacement {
        model: model.parse().unwrap(),
        upstream: upstream.parse().unwrap(),
        state,
        ready_in_ms,
    }
}

impl FakeLeader {
    /// Starts a leader whose table lists model `warm` and adapter `fine` as loaded on both engines.
    pub(crate) async fn start() -> Self {
        let names = ["engine-1", "engine-2"];
        let table = PlacementTable {
            version: TableVersion { epoch: FencingToken::new(1), count: 1 },
            replicas: names.iter().map(|name| replica("warm", name, ReplicaState::Loaded, 0)).collect(),
            adapters: names
                .iter()
                .map(|name| AdapterPlacement {
                    adapter: "fine".parse().unwrap(),
                    upstream: name.parse().unwrap(),
                    state: ReplicaState::Loaded,
                })
                .collect(),
            upstreams: ["engine-1", "engine-2", "logbook"]
                .iter()
                .map(|name| UpstreamState {
                    upstream: name.parse().unwrap(),
                    live: true,
                    ramp_age_ms: None,
                    queued: 0,
                    report_age_ms: None,
                })
                .collect(),
            refused: Vec::new(),
        };
        let state = LeaderState { table: Arc::new(Mutex::new(table)), demand: Arc::default() };
        let server = Server::builder().build("127.0.0.1:0").await.unwrap();
        let addr = server.local_addr().unwrap();
        let server = server.start(state.clone().into_rpc());
        Self { addr, state, _server: server }
    }

    /// Modifies the table and increments its version.
    pub(crate) fn change(&self, change: impl FnOnce(&mut PlacementTable)) {
        let mut table = self.state.table.lock().unwrap();
        change(&mut table);
        table.version.count += 1;
    }

    pub(crate) fn set_replica(&self, model: &str, upstream: &str, state: ReplicaState, ready_in_ms: u64) {
        self.change(|table| {
            let model: ModelId = model.parse().unwrap();
            table
                .replicas
                .retain(|placement| placement.model != model || placement.upstream.as_str() != upstream);
            table.replicas.push(replica(model.as_str(), upstream, state, ready_in_ms));
        });
    }

    /// Demand reports received so far.
    pub(crate) fn demand(&self) -> Vec<DemandReport> {
        self.state.demand.lock().unwrap().clone()
    }
}

fn not_the_leader<T>() -> RpcResult<T> {
    let fault = OperatorFault { kind: ErrorKind::NotLeader, messages: Vec::new(), leader: None };
    Err(error_from_fault(&fault))
}

#[async_trait]
impl ControllerApiServer for LeaderState {
    async fn demand(&self, report: DemandReport) -> RpcResult<DemandReply> {
        self.demand.lock().unwrap().push(report);
        Ok(DemandReply { table: self.table.lock().unwrap().version })
    }

    async fn placement_watch(&self, request: WatchRequest) -> RpcResult<WatchReply> {
        for _ in 0..request.wait_ms / 10 {
            let table = self.table.lock().unwrap().clone();
            if table.version > request.since {
                return Ok(WatchReply { table: Some(table) });
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Ok(WatchReply { table: None })
    }

    async fn apply_sheet(&self, _request: ApplyRequest) -> RpcResult<ChangeOutcome> {
        not_the_leader()
    }

    async fn sheet_text(&self) -> RpcResult<String> {
        not_the_leader()
    }

    async fn key_give(&self, _request: KeyRequest) -> RpcResult<ChangeOutcome> {
        not_the_leader()
    }

    async fn key_withdraw(&self, _request: KeyRequest) -> RpcResult<ChangeOutcome> {
        not_the_leader()
    }

    async fn set_domain(&self, _request: SwitchRequest) -> RpcResult<ChangeOutcome> {
        not_the_leader()
    }

    async fn set_upstream(&self, _request: SwitchRequest) -> RpcResult<ChangeOutcome> {
        not_the_leader()
    }

    async fn status(&self) -> RpcResult<StatusReply> {
        not_the_leader()
    }

    async fn explain(&self, _model: ModelId) -> RpcResult<ExplainReply> {
        not_the_leader()
    }
}
