//! The periodic report to a peer.

use cowslip_messages::PeerReport;
use cowslip_units::{ClockTime, IncarnationId};

use crate::{FleetView, TeamShares, UpstreamPermits};

/// Composes the report of `own` to `receiver`. It removes the settlements queued for the receiver; if the
/// report is lost, the receiver's loans expire by themselves.
pub fn compose_report(
    own: &IncarnationId,
    receiver: &IncarnationId,
    view: &FleetView,
    shares: &mut TeamShares,
    permits: &mut UpstreamPermits,
    now: ClockTime,
) -> PeerReport {
    PeerReport {
        incarnation: own.clone(),
        version: view.version(),
        tokens: shares.hints(now),
        permits: permits.hints(now),
        settled: shares.take_settled(receiver),
        permits_held: permits.held_from(receiver),
        permits_done_before: permits.done_before(),
    }
}
