//! States whose resident memory is measured.

use crate::memory_meter::MemoryMeter;
use crate::planner_maker::settle;
use crate::routing_slopes::used_choice;
use crate::share_maker::{member_of, permit_report, settled_permits, settled_shares, use_all};
use crate::view_slopes::{changed_view, restarted_view};
use crate::{FleetMaker, PlannerMaker, RunPlan};

/// A state of which the size can be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryCase {
    /// A view with so many keys.
    ViewKeys,
    /// A view with so many members.
    ViewMembers,
    /// A view that has folded in so many changes of keys.
    ViewChanges,
    /// A view with 350 members after so many changes of members.
    ViewRestarts,
    /// Shares of so many teams at a home node.
    SharesTeams,
    /// Permits of so many upstreams, all in use, without hints of peers.
    PermitsUpstreams,
    /// Permits of 6,300 upstreams with so many members, all in use, without hints of peers.
    PermitsMembers,
    /// Permits of 6,300 upstreams with 350 members, with hints for all of them from so many peers.
    PermitsHints,
    /// A sheet with so many adapters, 250 models and 6,300 upstreams.
    SheetAdapters,
    /// A placement table of 6,300 upstreams with so many adapters loaded.
    TableAdapters,
    /// A planner with so many upstreams with one replica each, 250 models and 9,000 adapters declared.
    PlannerUpstreams,
    /// A planner with 6,300 upstreams and so many adapters declared and loaded.
    PlannerAdapters,
    /// A planner with 6,300 upstreams to which so many routers report 190 requests in flight each.
    PlannerRouters,
    /// Loads of so many upstreams at a router that has sent to each of them.
    ChoiceUpstreams,
}

impl MemoryCase {
    /// Every case.
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

    /// What its size counts.
    pub const fn by(self) -> &'static str {
        match self {
            Self::ViewKeys => "keys ever given (350 members)",
            Self::ViewMembers => "members (no keys)",
            Self::ViewChanges => "changes of keys folded in (350 members)",
            Self::ViewRestarts => "changes of members in a row (350 members)",
            Self::SharesTeams => "teams (8 members, so that the node is a home of each)",
            Self::PermitsUpstreams => "upstreams (350 members, 16 slots, all in use, no hints)",
            Self::PermitsMembers => "members (6,300 upstreams, all in use, no hints)",
            Self::PermitsHints => "peers that hint at all 6,300 upstreams (350 members)",
            Self::SheetAdapters => "adapters declared (250 models, 6,300 upstreams, 500 teams)",
            Self::TableAdapters => "adapters loaded (6,300 upstreams, one replica each)",
            Self::PlannerUpstreams => "upstreams (250 models, 9,000 adapters declared, one replica each)",
            Self::PlannerAdapters => "adapters declared and loaded (250 models, 6,300 upstreams)",
            Self::PlannerRouters => "routers that report 190 requests in flight each (6,300 upstreams)",
            Self::ChoiceUpstreams => "upstreams to which 64 or more requests were sent",
        }
    }

    /// The type that holds the state.
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
            Self::ChoiceUpstreams => "cowslip_routing::UpstreamChoice",
        }
    }

    /// Sizes to measure; the last one is the target or the size that docs/CAPACITY.md uses.
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

    /// Resident bytes of one such state, measured in this process, which should have done nothing else.
    pub fn measure(self, size: usize, plan: &RunPlan) -> f64 {
        let mut maker = plan.maker();
        let (members, upstreams) = (plan.size(350), plan.size(6_300));
        let meter = MemoryMeter::new(plan.quick);
        match self {
            Self::ViewKeys => meter.grown_bytes(|| maker.view(size, members)),
            Self::ViewMembers => meter.grown_bytes(|| maker.view(0, size)),
            Self::ViewChanges => meter.grown_bytes(|| changed_view(&mut maker, members, size)),
            Self::ViewRestarts => meter.grown_bytes(|| restarted_view(&mut maker, members, size)),
            Self::SharesTeams => {
                let view = maker.view(0, 8);
                let own = member_of(&view, true);
                meter.grown_bytes(|| settled_shares(&own, &view, size))
            }
            Self::PermitsUpstreams => permit_bytes(meter, &mut maker, members, size, 0),
            Self::PermitsMembers => permit_bytes(meter, &mut maker, size, upstreams, 0),
            Self::PermitsHints => permit_bytes(meter, &mut maker, members, upstreams, size),
            Self::SheetAdapters => meter.grown_bytes(|| FleetMaker::sheet(250, size, upstreams, 500)),
            Self::TableAdapters => {
                let made = PlannerMaker { warm_adapters: size, ..PlannerMaker::new(250, size, upstreams) };
                let planner = made.make(&maker.members(members));
                meter.grown_bytes(|| planner.table(PlannerMaker::STARTED_AT))
            }
            Self::PlannerUpstreams => {
                let members = maker.members(members);
                meter.grown_bytes(|| PlannerMaker::new(250, 9_000, size).make(&members))
            }
            Self::PlannerAdapters => {
                let members = maker.members(members);
                let made = PlannerMaker { warm_adapters: size, ..PlannerMaker::new(250, size, upstreams) };
                meter.grown_bytes(|| made.make(&members))
            }
            Self::ChoiceUpstreams => meter.grown_bytes(|| used_choice(plan.seed, size, 64)),
            Self::PlannerRouters => {
                let members = maker.members(size);
                let made = PlannerMaker::new(250, 9_000, upstreams);
                meter.grown_bytes(|| {
                    let mut planner = made.make(&members);
                    for member in &members {
                        let report = made.demand(&mut maker, &member.incarnation, 1, 190);
                        planner.demand_report(report, PlannerMaker::STARTED_AT);
                    }
                    settle(&mut planner, PlannerMaker::STARTED_AT);
                    planner
                })
            }
        }
    }
}

fn permit_bytes(
    meter: MemoryMeter,
    maker: &mut FleetMaker,
    members: usize,
    upstreams: usize,
    peers: usize,
) -> f64 {
    let view = maker.view(0, members);
    let own = member_of(&view, true);
    let rows = FleetMaker::upstreams(upstreams);
    let others: Vec<_> =
        view.members().iter().map(|member| &member.incarnation).filter(|name| **name != own).collect();
    meter.grown_bytes(|| {
        let mut permits = settled_permits(&own, &view, &rows);
        use_all(&mut permits, &rows);
        for peer in others.iter().take(peers) {
            // Each report is a message of its own, with names of its own.
            let text = serde_json::to_string(&permit_report(peer, &rows)).unwrap_or_default();
            if let Ok(report) = serde_json::from_str(&text) {
                permits.on_report(&report);
            }
        }
        permits
    })
}
