//! A small fleet in one process: stand-ins for platform, engines and service, a fake leader, and real
//! routers.

#![allow(dead_code, unused_imports, reason = "each test file uses a part of it")]
#![allow(clippy::unwrap_used, reason = "a failed set-up fails the test")]

mod fake_leader;
mod fragile_upstream;
mod test_caller;

use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::time::Duration;

use cowslip_fleet::{HEAD_KEY, VersionRow, change_key, sheet_key};
use cowslip_messages::{ChangeRecord, FleetChange, MemberEntry, ReplicaState};
use cowslip_platform::{
    EngineClient, EngineOrders, LoadOrder, ObjectStore, PlatformClient, TableService, TableTransaction,
    VmEntry, VmRole, VmState,
};
use cowslip_router::{RouterCore, RouterProcess, RouterSettings};
use cowslip_runtime::{random_hex, sha256_hex};
use cowslip_standins::{EngineServer, PlatformServer, RunningServer, ServiceServer, StandinClient};
use cowslip_units::{FencingToken, MemorySize, ViewVersion};
use serde_json::{Value, json};
use slog::{Discard, Logger, o};

pub(crate) use fake_leader::FakeLeader;
pub(crate) use fragile_upstream::FragileUpstream;
pub(crate) use test_caller::{ReadStream, TestCaller, chat_body, expected_text, read_stream};

/// Keys of team `crews`.
pub(crate) const KEY: &str = "key-of-crews";
pub(crate) const SECOND_KEY: &str = "second-key-of-crews";
/// Key of team `farms`.
pub(crate) const FARM_KEY: &str = "key-of-farms";
/// A withdrawn key of team `crews`.
pub(crate) const OLD_KEY: &str = "old-key";

const HEADER: &str = "kind,name,domain,address,engine,fencing,memory_mib,slots,fresh_slots,ramp_ms,\
kv_mib_per_slot,kv_slots,max_replicas,load_ms,model,rate,burst,path,methods,teams,open,models,services,\
idempotent,deadline_ms,call_tokens,value";

pub(crate) struct TestFleet {
    pub(crate) platform: RunningServer,
    pub(crate) engines: Vec<RunningServer>,
    pub(crate) service: RunningServer,
    pub(crate) leader: FakeLeader,
    pub(crate) routers: Vec<RouterProcess>,
    client: PlatformClient,
    version: ViewVersion,
}

fn engine(name: &str) -> RunningServer {
    let memory = MemorySize::new(100);
    let server = EngineServer::new(name).with_ramp(8, 0).with_token_interval_ms(5).with_resume_ms(2_000);
    server
        .with_loaded("warm".parse().unwrap(), memory)
        .with_loaded("fine".parse().unwrap(), memory)
        .start()
        .unwrap()
}

fn free_addr() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

impl TestFleet {
    /// Starts a fleet with this many routers. Requests that need no share are served from the start.
    pub(crate) async fn start(routers: usize) -> Self {
        let platform = PlatformServer::new().with_vm_list_lag_ms(0).start().unwrap();
        let engines = vec![engine("engine-1"), engine("engine-2")];
        let service = ServiceServer::new("logbook").start().unwrap();
        let client = PlatformClient::new(platform.addr);
        let leader = FakeLeader::start().await;
        let mut fleet = Self {
            platform,
            engines,
            service,
            leader,
            routers: Vec::new(),
            client,
            version: ViewVersion::ZERO,
        };
        fleet.list_upstreams().await;
        let text = fleet.sheet();
        let digest = sha256_hex(text.as_bytes());
        fleet.client.put(&sheet_key(&digest), text.into()).await.unwrap();
        fleet.change(FleetChange::SheetApplied { digest: digest.into() }).await;
        for (key, team) in [(KEY, "crews"), (SECOND_KEY, "crews"), (OLD_KEY, "crews"), (FARM_KEY, "farms")] {
            let digest = sha256_hex(key.as_bytes()).parse().unwrap();
            fleet.change(FleetChange::KeyGiven { digest, team: team.parse().unwrap() }).await;
        }
        fleet.withdraw(OLD_KEY).await;
        for number in 1..=routers {
            fleet.add_router(number).await;
        }
        fleet.set_members().await;
        fleet.wait_until(|core| core.state().confirmation.can_admit(core.now())).await;
        fleet
    }

    /// Starts a fleet and waits until its routers have received their shares.
    pub(crate) async fn start_ready(routers: usize) -> Self {
        let fleet = Self::start(routers).await;
        fleet
            .wait_until(|core| {
                let now = core.now();
                let mut state = core.state();
                let tokens = state.shares.hints(now).iter().any(|hint| hint.level.get() > 0);
                let members = state.view.members().len() == routers;
                let permits = ["engine-1", "engine-2", "logbook"]
                    .iter()
                    .map(|name| state.permits.own_free(&name.parse().unwrap(), now))
                    .sum::<u32>();
                members && permits > 0 && tokens
            })
            .await;
        fleet
    }

    fn sheet(&self) -> String {
        let rows = [
            "domain,east,,,,,,,,,,,,,,,,,,,,,,,,,".to_owned(),
            "domain,west,,,,,,,,,,,,,,,,,,,,,,,,,".to_owned(),
            format!(
                "upstream,engine-1,east,{},model,checks,8192,8,8,0,,,,,,,,,,,,,,,,,",
                self.engines[0].addr
            ),
            format!(
                "upstream,engine-2,west,{},model,checks,8192,8,8,0,,,,,,,,,,,,,,,,,",
                self.engines[1].addr
            ),
            format!("upstream,logbook,east,{},service,,,8,8,0,,,,,,,,,,,,,,,,,", self.service.addr),
            "model,warm,,,,,100,,,,1,8,2,1000,,,,,,,,,,,,,".to_owned(),
            "model,cold,,,,,100,,,,1,8,2,1000,,,,,,,,,,,,,".to_owned(),
            "model,other,,,,,100,,,,1,8,2,1000,,,,,,,,,,,,,".to_owned(),
            "adapter,fine,,,,,10,,,,,,,10,warm,,,,,,,,,,,,".to_owned(),
            "team,crews,,,,,,,,,,,,,,100000,200000,,,,,,,,,,".to_owned(),
            "team,farms,,,,,,,,,,,,,,1000,2000,,,,,,,,,,".to_owned(),
            "route,drafts,,,,,,,,,,,,,,,,/v1/,,crews,no,warm;cold;fine,,yes,5000,,".to_owned(),
            "route,farms,,,,,,,,,,,,,,,,/v1/,,farms,no,other;warm,,yes,5000,,".to_owned(),
            "route,orders,,,,,,,,,,,,,,,,/work-orders,POST,crews,no,,logbook,no,5000,10,".to_owned(),
            "route,lookups,,,,,,,,,,,,,,,,/lookups,GET;POST,crews,no,,logbook,yes,5000,10,".to_owned(),
            "route,notices,,,,,,,,,,,,,,,,/notices,GET,,yes,,logbook,yes,5000,,".to_owned(),
        ];
        format!("{HEADER}\n{}\n", rows.join("\n"))
    }

    async fn list_upstreams(&self) {
        for (name, addr) in [
            ("engine-1", self.engines[0].addr),
            ("engine-2", self.engines[1].addr),
            ("logbook", self.service.addr),
        ] {
            self.list_vm(name, VmRole::Upstream, addr, VmState::Live).await;
        }
    }

    pub(crate) async fn list_vm(&self, name: &str, role: VmRole, address: SocketAddr, state: VmState) {
        let domain = "east".parse().unwrap();
        let entry = VmEntry { vm: name.parse().unwrap(), domain, role, state, address, controller: None };
        let body = serde_json::to_vec(&entry).unwrap().into();
        StandinClient::new(self.platform.addr).call(http::Method::PUT, "/vms", body).await.unwrap();
    }

    pub(crate) async fn add_router(&mut self, number: usize) {
        // The port may be taken by another test before the router binds it.
        for _ in 0..10 {
            if let Ok(router) = self.try_router(number).await {
                self.routers.push(router);
                return;
            }
        }
        panic!("no free ports");
    }

    async fn try_router(&self, number: usize) -> std::io::Result<RouterProcess> {
        let (callers, rpc) = (free_addr(), free_addr());
        let text = format!(
            "[router]\nvm=entry-{number}\ndomain=east\ncallers_addr={callers}\nrpc_addr={rpc}\nplatform={}\n\
             controllers={}\ndrain_notice_ms=100\nmax_body_bytes=65536\nmax_header_bytes=4096\n\
             max_connections=40\nread_timeout_ms=800\n",
            self.platform.addr, self.leader.addr
        );
        let settings = RouterSettings::from_text(Path::new("router.ini"), &text).unwrap();
        let core = RouterCore::new(settings, Logger::root(Discard, o!())).unwrap();
        let router = RouterProcess::start(core).await?;
        self.list_vm(&format!("entry-{number}"), VmRole::Entry, rpc, VmState::Live).await;
        Ok(router)
    }

    pub(crate) async fn set_members(&mut self) {
        let members = self.routers.iter().map(|router| {
            let core = router.core();
            MemberEntry {
                incarnation: core.incarnation.clone(),
                vm: core.settings.vm.clone(),
                domain: core.settings.domain.clone(),
                rpc_addr: core.settings.rpc_addr,
            }
        });
        let members = members.collect();
        self.change(FleetChange::MembersSet { members }).await;
    }

    /// Commits a change to the store as a controller does, without pushing it to the routers.
    pub(crate) async fn change(&mut self, change: FleetChange) {
        self.version = self.version.next();
        let record = ChangeRecord {
            version: self.version,
            change_id: random_hex(8).parse().unwrap(),
            author: "test".into(),
            change,
        };
        let head = serde_json::to_string(&VersionRow { version: self.version }).unwrap();
        let transaction = TableTransaction::new()
            .with_put(HEAD_KEY, head)
            .with_put(&change_key(self.version), serde_json::to_string(&record).unwrap());
        assert!(self.client.commit(&transaction).await.unwrap().committed);
    }

    pub(crate) async fn withdraw(&mut self, key: &str) {
        let digest = sha256_hex(key.as_bytes()).parse().unwrap();
        self.change(FleetChange::KeyWithdrawn { digest }).await;
    }

    /// Waits until the condition holds at every router.
    pub(crate) async fn wait_until(&self, holds: impl Fn(&RouterCore) -> bool) {
        for _ in 0..800 {
            if self.routers.iter().all(|router| holds(router.core())) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("the condition did not hold within 16 s");
    }

    /// A caller with a key of `crews`, connected to router number `at`.
    pub(crate) fn caller(&self, at: usize) -> TestCaller {
        TestCaller::new(self.routers[at].core().settings.callers_addr, Some(KEY))
    }

    /// Loads a model on the first engine and adds it to the placement table.
    pub(crate) async fn load(&self, model: &str) {
        let order = LoadOrder {
            order: "order-1".parse().unwrap(),
            fence: FencingToken::new(1),
            model: model.parse().unwrap(),
            memory: MemorySize::new(100),
            load_ms: 1,
        };
        EngineClient::new().load(self.engines[0].addr, &order).await.unwrap();
        self.leader.set_replica(model, "engine-1", ReplicaState::Loaded, 0);
    }

    pub(crate) async fn engine_fault(&self, fault: Value) {
        for engine in &self.engines {
            StandinClient::new(engine.addr).put_fault(&fault).await.unwrap();
        }
    }

    pub(crate) async fn service_fault(&self, fault: Value) {
        StandinClient::new(self.service.addr).put_fault(&fault).await.unwrap();
    }

    /// Stops the service and returns its address.
    pub(crate) fn stop_service(&mut self) -> SocketAddr {
        let other = ServiceServer::new("other").start().unwrap();
        std::mem::replace(&mut self.service, other).addr
    }

    pub(crate) async fn platform_fault(&self, service: &str, mode: &str) {
        let fault = json!({"service": service, "mode": mode, "ms": 0, "every": 1});
        StandinClient::new(self.platform.addr).put_fault(&fault).await.unwrap();
    }

    /// All requests received by the upstreams.
    pub(crate) async fn journal(&self) -> Vec<Value> {
        let mut requests = Vec::new();
        for server in self.engines.iter().chain([&self.service]) {
            let journal = StandinClient::new(server.addr).journal().await.unwrap();
            requests.extend(journal["requests"].as_array().unwrap().iter().cloned());
        }
        requests
    }

    pub(crate) async fn effects(&self) -> u64 {
        let journal = StandinClient::new(self.service.addr).journal().await.unwrap();
        journal["effects"].as_u64().unwrap()
    }

    /// Fails the test if an assertion inside a router failed. All routers run on the test's thread.
    pub(crate) fn assert_no_violations(&self) {
        let recorded = cowslip_units::drain_violations();
        assert!(recorded.is_empty(), "{recorded:?}");
        for router in &self.routers {
            assert_eq!(router.core().state().violations, 0);
        }
    }
}
