//! Borrows permits from other routers and returns them.

use std::sync::Arc;

use cowslip_fleet::PermitCall;
use cowslip_messages::PermitReturn;
use cowslip_routing::WaitTarget;
use cowslip_rpc::RouterApiClient;
use cowslip_units::IncarnationId;

use crate::{PermitGuard, RouterCore};

/// Sends a borrow call in the background and passes the permit to the dispatcher.
pub(crate) fn borrow_permit(core: &Arc<RouterCore>, target: WaitTarget, call: PermitCall) {
    let core = Arc::clone(core);
    tokio::spawn(async move {
        let sequence = call.request.sequence;
        let client = core.rpc_addr(&call.lender).and_then(|addr| core.peers.call(addr));
        let grant = match client {
            Some(client) => client.permit_borrow(call.request).await.ok(),
            None => None,
        };
        core.metrics.count("permit_borrows", 1);
        let permit = {
            let mut state = core.state();
            if let Some(count) = state.borrows_in_flight.get_mut(&target) {
                *count = count.saturating_sub(1);
            }
            state.permits.borrow_answered(&call.lender, sequence, grant.as_ref())
        };
        match permit {
            Some(permit) => crate::dispatch_loop::dispatch_borrowed(&core, PermitGuard::new(&core, permit)),
            None => core.signals.dispatch.notify_one(),
        }
    });
}

/// Returns a borrowed permit. If the message is lost, the next report to the lender no longer lists the
/// permit as held.
pub(crate) fn return_permit(core: &Arc<RouterCore>, lender: IncarnationId, message: PermitReturn) {
    // Without a runtime the process is exiting; the lender then reclaims the permit by itself.
    let Ok(runtime) = tokio::runtime::Handle::try_current() else {
        return;
    };
    let core = Arc::clone(core);
    runtime.spawn(async move {
        if let Some(client) = core.rpc_addr(&lender).and_then(|addr| core.peers.call(addr)) {
            let _ = client.permit_return(message).await;
        }
    });
}
