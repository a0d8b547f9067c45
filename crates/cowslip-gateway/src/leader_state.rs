//! What a gateway keeps while it leads.

use std::net::SocketAddr;

use cowslip_entry::{
    GatewayReport, GrantBook, LeaderAnswer, LeaseNews, LoadPlanner, ServiceRule, StoreLimit, ViewStamp,
    adapter_places,
};
use cowslip_units::{ClockTime, FenceNumber};
use smol_str::SmolStr;

/// Part of the limit's tolerance that a leader grants at once when it does not know what was granted before it.
const TOLERANCE_PART: f64 = 0.2;

/// Addresses told with an answer at most.
const MAX_PEERS: usize = 8;

/// The leader's plan and books.
#[derive(Debug)]
pub(crate) struct LeaderState {
    /// The lease's fence.
    pub fence: FenceNumber,
    /// Placement.
    pub planner: LoadPlanner,
    /// Tokens of the teams.
    pub grants: GrantBook,
    addresses: Vec<(SmolStr, SocketAddr)>,
}

impl LeaderState {
    /// A leader that sends orders from `orders_from` on; `first` when nobody has led before.
    pub(crate) fn new(
        fence: FenceNumber,
        limit: StoreLimit,
        window_ms: u64,
        tolerance: u64,
        first: bool,
        members: &[SmolStr],
        orders_from: ClockTime,
        now: ClockTime,
    ) -> Self {
        let slack = (tolerance as f64 * TOLERANCE_PART) as u64;
        Self {
            fence,
            planner: LoadPlanner::new(limit, orders_from, now),
            grants: GrantBook::new(window_ms, slack, !first, now).with_members(members),
            addresses: Vec::new(),
        }
    }

    /// Takes a report and answers it.
    pub(crate) fn answer(
        &mut self,
        report: GatewayReport,
        services: &[ServiceRule],
        view: ViewStamp,
        lease: Option<LeaseNews>,
        own: SocketAddr,
        now: ClockTime,
    ) -> LeaderAnswer {
        let gateway = report.gateway.clone();
        self.grants.heard(&gateway, now);
        if let Some(address) = report.address {
            self.addresses.retain(|(name, _)| *name != gateway);
            self.addresses.push((gateway.clone(), address));
        }
        let grants = self.grants.grant(&report.tokens, now);
        self.planner.heard(report, now);
        let members = self.grants.members();
        self.addresses.retain(|(name, _)| members.binary_search(name).is_ok());
        let others = self.addresses.iter().rev().filter(|(name, _)| *name != gateway);
        LeaderAnswer {
            leads: true,
            term: self.fence.get(),
            leader: Some(own),
            view,
            lease,
            peers: others.map(|(_, address)| *address).take(MAX_PEERS).collect(),
            members,
            grants,
            rooms: self.grants.rooms(now),
            running: self.planner.demand().running(&gateway),
            adapters: adapter_places(self.planner.engines(), now),
            arrivals: self.planner.arrivals(services, now),
            leaving: self.planner.leaving(),
        }
    }
}
