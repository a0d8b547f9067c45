//! Finds out whether an upstream has ended under a request.

use cowslip_runtime::refuses_connections;

use crate::{CallFault, CallFlight, RouterCore};

/// Upstreams that may end under one call: the first one, and one that it is sent to instead.
pub(crate) const MAX_ENDED_BY_CALL: usize = 2;

/// True when the upstream of a failed attempt has ended while it may have run the request.
pub(crate) async fn has_ended(core: &RouterCore, flight: &CallFlight, fault: &CallFault) -> bool {
    let has_ended = fault.is_broken && refuses_connections(flight.address).await;
    if has_ended {
        core.metrics.count("upstreams_ended", 1);
    }
    has_ended
}
