//! States whose resident memory is measured.

use crate::memory_meter::MemoryMeter;
use crate::planner_fixture::settle;
use crate::routing_slopes::warmed_selector;
use crate::share_fixtures::{acquire_each, member_of, permit_report, settled_permits, settled_shares};
use crate::view_slopes::{changed_view, restarted_view};
use crate::{FleetGenerator, PlannerFixture, RunPlan};

/// A state with a variable size.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryCase {
    /// A view, by number of keys.
    ViewKeys,
    /// A view, by number of members.
    ViewMembers,
    /// A view, by number of key changes applied to it.
    ViewChanges,
    /// A view with 350 members, by number of member changes applied to it.
    ViewRestarts,
    /// Shares at a bucket owner, by number of teams.
    SharesTeams,
    /// Permits, by number of upstreams, all in use, without hints of peers.
    PermitsUpstreams,
    /// Permits of 6,300 upstreams, all in use, by number of members, without hints of peers.
    PermitsMembers,
    /// Permits of 6,300 upstreams with 350 members, by number of peers that sent hints for all of them.
    PermitsHints,
    /// A sheet with 250 models and 6,300 upstreams, by number of adapters.
    SheetAdapters,
    /// A placement table of 6,300 upstreams, by number of loaded adapters.
    TableAdapters,
    /// A planner with 250 models and 9,000 adapters declared, by number of upstreams, each with one replica.
    PlannerUpstreams,
    /// A planner with 6,300 upstreams, by number of adapters declared and loaded.
    PlannerAdapters,
    /// A planner with 6,300 upstreams, by number of routers that report 190 requests in flight each.
    PlannerRouters,
    /// Upstream loads at a router, by number of upstreams to which it has sent requests.
    ChoiceUpstreams,
}

impl MemoryCase {
    /// All cases in the order of the report.
    pub const ALL: &[Self] = &[
        Self::ViewKeys,
        Self::ViewMembers,
        Self::ViewChanges,
        Self::ViewRestarts,
        Self::SharesTeams,
        Self::PermitsUpstreams,
        Self::PermitsMembers,
        Self::PermitsHints,
        Self::SheetAdapters,
        Self::TableAdapters,
        Self::PlannerUpstreams,
        Self::PlannerAdapters,
        Self::PlannerRouters,
        Self::ChoiceUpstreams,
    ];

    /// Name in the report.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::ViewKeys => "memory.view_keys",
            Self::ViewMembers => "memory.view_members",
            Self::ViewChanges => "memory.view_changes",
            Self::ViewRestarts => "memory.view_restarts",
            Self::SharesTeams => "memory.shares_teams",
            Self::PermitsUpstreams => "memory.permits_upstreams",
            Self::PermitsMembers => "memory.permits_members",
            Self::PermitsHints => "memory.permits_hints",
            Self::SheetAdapters => "memory.sheet_adapters",
            Self::TableAdapters => "memory.table_adapters",
            Self::PlannerUpstreams => "memory.planner_upstreams",
            Self::PlannerAdapters => "memory.planner_adapters",
            Self::PlannerRouters => "memory.planner_routers",
            Self::ChoiceUpstreams => "memory.choice_upstreams",
        }
    }

    /// Describes what the size counts and what is held constant.
    pub const fn by(self) -> &'static str {
        match self {
            Self::ViewKeys => "keys ever given (350 members)",
            Self::ViewMembers => "members (no keys)",
            Self::ViewChanges => "key changes applied (350 members)",
            Self::ViewRestarts => "consecutive member changes (350 members)",
            Self::SharesTeams => "teams (8 members, so that the VM is a bucket owner of each)",
            Self::PermitsUpstreams => "upstreams (350 members, 16 slots, all in use, no hints)",
            Self::PermitsMembers => "members (6,300 upstreams, all in use, no hints)",
            Self::PermitsHints => "peers that sent hints for all 6,300 upstreams (350 members)",
            Self::SheetAdapters => "adapters declared (250 models, 6,300 upstreams, 500 teams)",
            Self::TableAdapters => "adapters loaded (6,300 upstreams, one replica each)",
            Self::PlannerUpstreams => "upstreams (250 models, 9,000 adapters declared, one replica each)",
            Self::PlannerAdapters => "adapters declared and loaded (250 models, 6,300 upstreams)",
            Self::PlannerRouters => "routers that report 190 requests in flight each (6,300 upstreams)",
            Self::ChoiceUpstreams => "upstreams to which 64 or more requests were sent",
        }
    }

    /// Path of the type that holds the state.
    pub const fn mechanism(self) -> &'static str {
        match self {
            Self::ViewKeys | Self::ViewMembers | Self::ViewChanges | Self::ViewRestarts => {
                "cowslip_fleet::FleetView"
            }
            Self::SharesTeams => "cowslip_fleet::TeamShares",
            Self::PermitsUpstreams | Self::PermitsMembers | Self::PermitsHints => {
                "cowslip_fleet::UpstreamPermits"
            }
            Self::SheetAdapters => "cowslip_config::FleetSheet",
            Self::TableAdapters => "cowslip_messages::PlacementTable",
            Self::PlannerUpstreams | Self::PlannerAdapters | Self::PlannerRouters => {
                "cowslip_placement::PlacementPlanner"
            }
            Self::ChoiceUpstreams => "cowslip_routing::UpstreamSelector",
        }
    }

    /// Sizes to measure. The last one is the target or the size used by docs/CAPACITY.md.
    pub const fn sizes(self) -> &'static [usize] {
        match self {
            Self::ViewKeys => &[1_000, 10_000, 30_000, 100_000],
            Self::ViewMembers | Self::PermitsMembers => &[9, 50, 150, 350],
            Self::ViewChanges => &[1_000, 5_000, 23_000],
            Self::ViewRestarts => &[16, 64, 128, 256],
            Self::SharesTeams => &[50, 500, 2_000],
            Self::PermitsUpstreams | Self::PlannerUpstreams => &[12, 600, 2_100, 6_300],
            Self::PermitsHints => &[8, 50, 150, 349],
            Self::SheetAdapters | Self::TableAdapters | Self::PlannerAdapters => &[40, 2_000, 5_000, 9_000],
            Self::PlannerRouters => &[9, 50, 150, 350],
            Self::ChoiceUpstreams => &[12, 600, 2_100, 6_300],
        }
    }

    /// Returns the resident bytes of one such state. Exact only in a process that has done nothing else
    /// before.
    pub fn measure(self, size: usize, plan: &RunPlan) -> f64 {
        let mut generator = plan.generator();
        let (members, upstreams) = (plan.size(350), plan.size(6_300));
        let meter = MemoryMeter::new(plan.quick);
        match self {
            Self::ViewKeys => meter.measure_growth(|| generator.view(size, members)),
            Self::ViewMembers => meter.measure_growth(|| generator.view(0, size)),
            Self::ViewChanges => meter.measure_growth(|| changed_view(&mut generator, members, size)),
            Self::ViewRestarts => meter.measure_growth(|| restarted_view(&mut generator, members, size)),
            Self::SharesTeams => {
                let view = generator.view(0, 8);
                let own = member_of(&view, true);
                meter.measure_growth(|| settled_shares(&own, &view, size))
            }
            Self::PermitsUpstreams => permit_bytes(meter, &mut generator, members, size, 0),
            Self::PermitsMembers => permit_bytes(meter, &mut generator, size, upstreams, 0),
            Self::PermitsHints => permit_bytes(meter, &mut generator, members, upstreams, size),
            Self::SheetAdapters => meter.measure_growth(|| FleetGenerator::sheet(250, size, upstreams, 500)),
            Self::TableAdapters => {
                let fixture =
                    PlannerFixture { warm_adapters: size, ..PlannerFixture::new(250, size, upstreams) };
                let planner = fixture.make(&generator.members(members));
                meter.measure_growth(|| planner.table(PlannerFixture::STARTED_AT))
            }
            Self::PlannerUpstreams => {
                let members = generator.members(members);
                meter.measure_growth(|| PlannerFixture::new(250, 9_000, size).make(&members))
            }
            Self::PlannerAdapters => {
                let members = generator.members(members);
                let fixture =
                    PlannerFixture { warm_adapters: size, ..PlannerFixture::new(250, size, upstreams) };
                meter.measure_growth(|| fixture.make(&members))
            }
            Self::ChoiceUpstreams => meter.measure_growth(|| warmed_selector(plan.seed, size, 64)),
            Self::PlannerRouters => {
                let members = generator.members(size);
                let fixture = PlannerFixture::new(250, 9_000, upstreams);
                meter.measure_growth(|| {
                    let mut planner = fixture.make(&members);
                    for member in &members {
                        let report = fixture.demand(&mut generator, &member.incarnation, 1, 190);
                        planner.demand_report(report, PlannerFixture::STARTED_AT);
                    }
                    settle(&mut planner, PlannerFixture::STARTED_AT);
                    planner
                })
            }
        }
    }
}

fn permit_bytes(
    meter: MemoryMeter,
    generator: &mut FleetGenerator,
    members: usize,
    upstreams: usize,
    peers: usize,
) -> f64 {
    let view = generator.view(0, members);
    let own = member_of(&view, true);
    let rows = FleetGenerator::upstreams(upstreams);
    let others: Vec<_> =
        view.members().iter().map(|member| &member.incarnation).filter(|name| **name != own).collect();
    meter.measure_growth(|| {
        let mut permits = settled_permits(&own, &view, &rows);
        acquire_each(&mut permits, &rows);
        for peer in others.iter().take(peers) {
            // Reports are parsed from JSON, so that they do not share their names, as when received from
            // peers.
            let text = serde_json::to_string(&permit_report(peer, &rows)).unwrap_or_default();
            if let Ok(report) = serde_json::from_str(&text) {
                permits.on_report(&report);
            }
        }
        permits
    })
}
