//! Team shares and permits of one router after the handoff delay.

use cowslip_config::UpstreamRow;
use cowslip_fleet::{
    BucketOwners, FleetView, MemberSeeds, PermitStep, SHARE_HANDOFF_DELAY_MS, TeamShares, UpstreamPermits,
    VersionTracker,
};
use cowslip_messages::{PeerReport, PermitHint};
use cowslip_units::{ClockTime, IncarnationId, ViewVersion};

use crate::FleetGenerator;

/// Time at which the generated states are past all delays and have full buckets.
pub const SETTLED_AT: ClockTime = ClockTime::new(1_000_000);

/// Returns a bucket owner of team 0, or with `is_owner` false another member if there is one.
pub fn member_of(view: &FleetView, is_owner: bool) -> IncarnationId {
    let owners = BucketOwners::new(&FleetGenerator::team(0), &MemberSeeds::new(view.members()));
    let mut members = view.members().iter().map(|member| member.incarnation.clone());
    let found = members.find(|member| owners.contains(member) == is_owner);
    found.or_else(|| view.members().first().map(|member| member.incarnation.clone())).unwrap_or_default()
}

/// A version tracker in which every member has the view's version.
pub(crate) fn converged_tracker(own: &IncarnationId, view: &FleetView) -> VersionTracker {
    let mut tracker = VersionTracker::new(own.clone(), view);
    view.members().iter().for_each(|member| tracker.on_report(&member.incarnation, view.version()));
    tracker
}

/// Shares of `teams` teams after the handoff delay.
pub fn settled_shares(own: &IncarnationId, view: &FleetView, teams: usize) -> TeamShares {
    let mut shares = TeamShares::new(own.clone());
    shares.configure(view, &FleetGenerator::teams(teams), ClockTime::ZERO);
    let tracker = converged_tracker(own, view);
    shares.tick(&tracker, ClockTime::ZERO);
    shares.tick(&tracker, ClockTime::new(2 * SHARE_HANDOFF_DELAY_MS));
    shares
}

/// Permits of these upstreams after the handoff delay, with the owners not yet computed.
pub fn settled_permits(own: &IncarnationId, view: &FleetView, rows: &[UpstreamRow]) -> UpstreamPermits {
    let mut permits = UpstreamPermits::new(own.clone());
    permits.configure(view, rows, ClockTime::ZERO);
    let tracker = converged_tracker(own, view);
    permits.tick(&tracker, ClockTime::ZERO);
    permits.tick(&tracker, ClockTime::new(2 * SHARE_HANDOFF_DELAY_MS));
    permits
}

/// Acquires and releases a permit of every upstream, so that the owners are computed.
pub fn acquire_each(permits: &mut UpstreamPermits, rows: &[UpstreamRow]) {
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

/// A report of a peer with a permit hint for each of these upstreams.
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
