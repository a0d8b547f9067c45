//! Generates fleets of any size from a seed.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use cowslip_config::{
    AdapterRow, DomainRow, EngineKind, FleetSheet, LimitRow, ModelRow, RouteRow, RouteTarget, TeamRow,
    UpstreamRow,
};
use cowslip_fleet::FleetView;
use cowslip_messages::{KeyEntry, KeyState, MemberEntry, ViewSnapshot};
use cowslip_units::{
    DomainId, IncarnationId, KeyDigest, MemorySize, ModelId, RouteId, TeamId, TokenCount, TokenRate,
    UpstreamId, ViewVersion, VmId,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smol_str::SmolStr;

/// Number of failure domains at the target.
const DOMAINS: usize = 7;

/// Generates fleets. Names are as long as those in `examples/`.
#[derive(Clone, Debug)]
pub struct FleetGenerator {
    random: ChaCha8Rng,
}

impl FleetGenerator {
    /// Creates a generator; the same seed gives the same fleets.
    pub fn new(seed: u64) -> Self {
        Self { random: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Draws a number below `limit`.
    pub fn below(&mut self, limit: usize) -> usize {
        self.random.random_range(0..limit.max(1))
    }

    /// Draws a number between 0 and 1.
    pub fn share(&mut self) -> f64 {
        self.random.random()
    }

    /// Name of failure domain `at`.
    pub fn domain(at: usize) -> DomainId {
        id(DomainId::new(&format!("kerala-central-{}", at % DOMAINS)))
    }

    /// Name of upstream `at`.
    pub fn upstream(at: usize) -> UpstreamId {
        id(UpstreamId::new(&format!("accelerator-{at:05}")))
    }

    /// Name of model `at`.
    pub fn model(at: usize) -> ModelId {
        id(ModelId::new(&format!("panchayat-{at:04}-well-summary")))
    }

    /// Name of adapter `at`.
    pub fn adapter(at: usize) -> ModelId {
        id(ModelId::new(&format!("panchayat-adapter-{at:05}-well")))
    }

    /// Name of team `at`.
    pub fn team(at: usize) -> TeamId {
        id(TeamId::new(&format!("field-officers-{at:04}")))
    }

    /// Generates the members of a fleet with `count` routers, sorted.
    pub fn members(&mut self, count: usize) -> Vec<MemberEntry> {
        let mut members: Vec<MemberEntry> = (0..count).map(|at| self.member(at)).collect();
        members.sort();
        members
    }

    /// Generates a new incarnation of the router on VM `at`.
    pub fn member(&mut self, at: usize) -> MemberEntry {
        let number: u64 = self.random.random();
        MemberEntry {
            incarnation: id(IncarnationId::new(&format!("entry-{at:03}:{number:016x}"))),
            vm: id(VmId::new(&format!("entry-{at:03}"))),
            domain: Self::domain(at),
            rpc_addr: address(at, 7_100),
        }
    }

    /// Draws the digest of a key.
    pub fn digest(&mut self) -> KeyDigest {
        KeyDigest::new(self.random.random())
    }

    /// Generates keys, assigned to 500 teams in turn.
    pub fn keys(&mut self, count: usize) -> Vec<KeyEntry> {
        let entry =
            |at| KeyEntry { digest: self.digest(), team: Self::team(at % 500), state: KeyState::Given };
        (0..count).map(entry).collect()
    }

    /// Generates a snapshot at version 1 with this number of keys and members.
    pub fn snapshot(&mut self, keys: usize, members: usize) -> ViewSnapshot {
        ViewSnapshot {
            version: ViewVersion::new(1),
            keys: self.keys(keys),
            members: self.members(members),
            ..ViewSnapshot::default()
        }
    }

    /// Generates a view with this number of keys and members.
    pub fn view(&mut self, keys: usize, members: usize) -> FleetView {
        FleetView::from_snapshot(self.snapshot(keys, members))
    }

    /// Team rows of a sheet.
    pub fn teams(count: usize) -> Vec<TeamRow> {
        let team = |at| TeamRow {
            team: Self::team(at),
            rate: TokenRate::new(3_600),
            burst: TokenCount::new(36_000),
        };
        (0..count).map(team).collect()
    }

    /// Upstream rows of a sheet: model engines with 80 GiB and 16 slots each.
    pub fn upstreams(count: usize) -> Vec<UpstreamRow> {
        let upstream = |at| UpstreamRow {
            upstream: Self::upstream(at),
            domain: Self::domain(at),
            address: address(at, 9_000),
            engine: EngineKind::Model { checks_fencing: at % 2 == 0 },
            memory: MemorySize::new(81_920),
            slots: 16,
            fresh_slots: 4,
            ramp_ms: 5_000,
        };
        (0..count).map(upstream).collect()
    }

    /// A sheet of this size with one route, which reaches every model and adapter.
    pub fn sheet(models: usize, adapters: usize, upstreams: usize, teams: usize) -> FleetSheet {
        let model = |at| ModelRow {
            model: Self::model(at),
            weights: MemorySize::new(30_000),
            kv_per_slot: MemorySize::new(512),
            kv_slots: 16,
            max_replicas: 100,
            load_ms: 4_000,
        };
        let adapter = |at: usize| AdapterRow {
            adapter: Self::adapter(at),
            model: Self::model(at % models.max(1)),
            memory: MemorySize::new(200),
            load_ms: 20,
        };
        let models: Vec<ModelRow> = (0..models).map(model).collect();
        let adapters: Vec<AdapterRow> = (0..adapters).map(adapter).collect();
        let mut names: Vec<ModelId> = models.iter().map(|row| row.model.clone()).collect();
        names.extend(adapters.iter().map(|row| row.adapter.clone()));
        names.sort();
        let route = RouteRow {
            route: id(RouteId::new("models")),
            path: SmolStr::new("/v1/"),
            methods: Vec::new(),
            teams: (0..teams).map(Self::team).collect(),
            open: false,
            target: RouteTarget::Models(names),
            idempotent: true,
            deadline_ms: 15_000,
            call_tokens: TokenCount::ZERO,
        };
        FleetSheet {
            domains: (0..DOMAINS).map(|at| DomainRow { domain: Self::domain(at) }).collect(),
            upstreams: Self::upstreams(upstreams),
            models,
            adapters,
            teams: Self::teams(teams),
            routes: vec![route],
            limits: LimitRow { loads_per_10s: 30, loads_at_once: 4, adapters_in_transit: 32 },
        }
    }
}

/// Unwraps a generated name, which is valid by construction.
fn id<T, E: std::fmt::Debug>(name: Result<T, E>) -> T {
    name.expect("generated names contain only accepted characters")
}

fn address(at: usize, port: u16) -> SocketAddr {
    let [_, _, high, low] = u32::try_from(at).unwrap_or_default().to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 1, high, low)), port)
}
