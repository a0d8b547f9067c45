//! What a gateway keeps while it leads.

use std::net::SocketAddr;

use cowslip_entry::{
    AdapterName, GatewayReport, GrantBook, LeaderAnswer, LeaseNews, LoadPlanner, NewsLog, NewsMarks,
    ServiceRule, StoreLimit, UpstreamBook, UpstreamEntry, ViewStamp, adapters_of,
};
use cowslip_units::{ClockTime, FenceNumber, ModelId, UpstreamId};
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
    upstreams: NewsLog<UpstreamId, UpstreamEntry>,
    adapters: NewsLog<UpstreamId, Vec<AdapterName>>,
    members: NewsLog<SmolStr, ()>,
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
            upstreams: NewsLog::new(),
            adapters: NewsLog::new(),
            members: NewsLog::new(),
        }
    }

    /// Takes note of what the gateways are to be told of upstreams and adapters.
    pub(crate) fn note(&mut self, book: &UpstreamBook, now: ClockTime) {
        let entries = book.all().iter().map(|known| (known.entry.id.clone(), known.entry.without_copies()));
        self.upstreams.sync(entries);
        let engines = self.planner.engines().iter();
        self.adapters.sync(engines.map(|engine| (engine.entry.id.clone(), adapters_of(engine, now))));
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
        let own_news = report.term == self.fence.get();
        let marks = if own_news { report.marks } else { NewsMarks::default() };
        let waits =
            |model: &ModelId| report.demand.iter().any(|line| line.model == *model && line.waiting > 0);
        let arrivals = self.planner.arrivals(services, now);
        let arrivals = arrivals.into_iter().filter(|line| waits(&line.model)).collect();
        self.grants.heard(&gateway, now);
        if let Some(address) = report.address {
            self.addresses.retain(|(name, _)| *name != gateway);
            self.addresses.push((gateway.clone(), address));
        }
        let grants = self.grants.grant(&report.tokens, now);
        self.planner.heard(report, now);
        let members = self.grants.members();
        self.addresses.retain(|(name, _)| members.binary_search(name).is_ok());
        self.members.sync(members.into_iter().map(|name| (name, ())));
        let others = self.addresses.iter().rev().filter(|(name, _)| *name != gateway);
        LeaderAnswer {
            leads: true,
            term: self.fence.get(),
            leader: Some(own),
            view,
            lease,
            peers: others.map(|(_, address)| *address).take(MAX_PEERS).collect(),
            fresh: !own_news,
            marks: NewsMarks {
                upstreams: self.upstreams.mark(),
                adapters: self.adapters.mark(),
                members: self.members.mark(),
            },
            upstreams: self.upstreams.since(marks.upstreams),
            adapters: self.adapters.since(marks.adapters),
            members: self
                .members
                .since(marks.members)
                .into_iter()
                .map(|(name, here)| (name, here.is_some()))
                .collect(),
            grants,
            rooms: self.grants.rooms(now),
            running: self.planner.demand().running(&gateway),
            arrivals,
            leaving: self.planner.leaving(),
        }
    }
}
