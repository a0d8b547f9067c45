//! What a gateway keeps while it leads.

use std::net::SocketAddr;

use cowslip_entry::{
    AdapterName, GatewayReport, GrantBook, LeaderAnswer, LeaseNews, LoadPlanner, NewsLog, NewsMarks,
    ServiceRule, UpstreamBook, UpstreamEntry, ViewStamp, adapters_of,
};
use cowslip_units::{ClockTime, FenceNumber, ModelId, UpstreamId};
use smol_str::SmolStr;

/// Gateways that are told everything between two plans at most. A new leader that told all of a large fleet at once was
/// busy for longer than its lease.
const WHOLE_ANSWERS: u32 = 2;

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
    /// Gateways that may still be told everything before the next plan.
    whole_left: u32,
    upstreams: NewsLog<UpstreamId, UpstreamEntry>,
    adapters: NewsLog<UpstreamId, Vec<AdapterName>>,
    members: NewsLog<SmolStr, ()>,
}

impl LeaderState {
    /// A leader with a plan and a book that know nothing yet.
    pub(crate) fn new(fence: FenceNumber, planner: LoadPlanner, grants: GrantBook) -> Self {
        Self {
            fence,
            planner,
            grants,
            addresses: Vec::new(),
            whole_left: WHOLE_ANSWERS,
            upstreams: NewsLog::new(),
            adapters: NewsLog::new(),
            members: NewsLog::new(),
        }
    }

    /// Takes note of what the gateways are to be told of upstreams, adapters and members. Done with each plan and not
    /// with each report, of which a large fleet sends hundreds a second.
    pub(crate) fn note(&mut self, book: &UpstreamBook, now: ClockTime) {
        self.whole_left = WHOLE_ANSWERS;
        let members = self.grants.members();
        self.addresses.retain(|(name, _)| members.binary_search(name).is_ok());
        self.members.sync(members.into_iter().map(|name| (name, ())));
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
        let deferred = !own_news && self.whole_left == 0;
        if !own_news && !deferred {
            self.whole_left -= 1;
        }
        let newest = NewsMarks {
            upstreams: self.upstreams.mark(),
            adapters: self.adapters.mark(),
            members: self.members.mark(),
        };
        let marks = match (own_news, deferred) {
            (true, _) => report.marks,
            (false, true) => newest,
            (false, false) => NewsMarks::default(),
        };
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
        let running = self.planner.demand().running_beside(&report.running);
        self.planner.heard(report, now);
        let others = self.addresses.iter().rev().filter(|(name, _)| *name != gateway);
        LeaderAnswer {
            leads: true,
            term: self.fence.get(),
            leader: Some(own),
            view,
            lease,
            peers: others.map(|(_, address)| *address).take(MAX_PEERS).collect(),
            deferred,
            fresh: !own_news && !deferred,
            marks: newest,
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
            running,
            arrivals,
            leaving: self.planner.leaving(),
        }
    }
}
