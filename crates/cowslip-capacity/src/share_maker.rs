//! Team shares and permits of one router, past their gain waits.

use cowslip_config::UpstreamRow;
use cowslip_fleet::{
    BucketOwners, FleetView, MemberSeeds, PermitStep, SHARE_HANDOFF_DELAY_MS, TeamShares, UpstreamPermits,
    VersionTracker,
};
use cowslip_messages::{PeerReport, PermitHint};
use cowslip_units::{ClockTime, IncarnationId, ViewVersion};

use crate::FleetMaker;

/// When the made states are past all waits and have full buckets.
pub const SETTLED_AT: ClockTime = ClockTime::new(1_000_000);

/// A member of the home set of team 0, or a member outside of it if there is one.
pub fn member_of(view: &FleetView, home: bool) -> IncarnationId {
    let homes = BucketOwners::new(&FleetMaker::team(0), &MemberSeeds::new(view.members()));
    let mut members = view.members().iter().map(|member| member.incarnation.clone());
    let found = members.find(|member| homes.contains(member) == home);
    found.or_else(|| view.members().first().map(|member| member.incarnation.clone())).unwrap_or_default()
}

/// The spread in which every member has the view's version.
pub(crate) fn full_spread(own: &IncarnationId, view: &FleetView) -> VersionTracker {
    let mut spread = VersionTracker::new(own.clone(), view);
    view.members().iter().for_each(|member| spread.on_report(&member.incarnation, view.version()));
    spread
}

/// Shares of so many teams, past the gain wait.
pub fn settled_shares(own: &IncarnationId, view: &FleetView, teams: usize) -> TeamShares {
    let mut shares = TeamShares::new(own.clone());
    shares.configure(view, &FleetMaker::teams(teams), ClockTime::ZERO);
    let spread = full_spread(own, view);
    shares.tick(&spread, ClockTime::ZERO);
    shares.tick(&spread, ClockTime::new(2 * SHARE_HANDOFF_DELAY_MS));
    shares
}

/// Permits of these upstreams, past the gain wait, with owners not computed yet.
pub fn settled_permits(own: &IncarnationId, view: &FleetView, rows: &[UpstreamRow]) -> UpstreamPermits {
    let mut permits = UpstreamPermits::new(own.clone());
    permits.configure(view, rows, ClockTime::ZERO);
    let spread = full_spread(own, view);
    permits.tick(&spread, ClockTime::ZERO);
    permits.tick(&spread, ClockTime::new(2 * SHARE_HANDOFF_DELAY_MS));
    permits
}

/// Deals once with every upstream, so that its owners are computed.
pub fn use_all(permits: &mut UpstreamPermits, rows: &[UpstreamRow]) {
    for row in rows {
        permits.set_ramp_age(&row.upstream, None, SETTLED_AT);
        match permits.acquire(&row.upstream, SETTLED_AT) {
            PermitStep::Granted(permit) => {
                permits.finish(permit);
            }
            PermitStep::Borrow(call) => {
                permits.borrow_answered(&call.lender, call.request.sequence, None);
            }
            PermitStep::Full => {}
        }
    }
}

/// A report in which a peer hints at its permits of so many upstreams.
pub(crate) fn permit_report(peer: &IncarnationId, rows: &[UpstreamRow]) -> PeerReport {
    let hint = |row: &UpstreamRow| PermitHint { upstream: row.upstream.clone(), free: 1 };
    PeerReport {
        incarnation: peer.clone(),
        version: ViewVersion::new(1),
        tokens: Vec::new(),
        permits: rows.iter().map(hint).collect(),
        settled: Vec::new(),
        permits_held: Vec::new(),
        permits_done_before: u64::MAX,
    }
}
