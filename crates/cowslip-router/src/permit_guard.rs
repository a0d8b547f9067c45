//! RAII guard of an upstream permit.

use std::sync::Arc;

use cowslip_fleet::HeldPermit;
use cowslip_units::UpstreamId;

use crate::RouterCore;
use crate::permit_borrow::return_permit;

/// Frees the permit, or returns it to its lender, when dropped. Must not be dropped while the state is
/// locked, because dropping locks it.
#[derive(Debug)]
pub struct PermitGuard {
    core: Arc<RouterCore>,
    permit: HeldPermit,
}

impl PermitGuard {
    /// Creates the guard of `permit`.
    pub fn new(core: &Arc<RouterCore>, permit: HeldPermit) -> Self {
        Self { core: Arc::clone(core), permit }
    }

    /// The upstream that the permit is for.
    pub fn upstream(&self) -> &UpstreamId {
        &self.permit.upstream
    }

    /// The guarded permit.
    pub fn permit(&self) -> &HeldPermit {
        &self.permit
    }
}

impl Drop for PermitGuard {
    fn drop(&mut self) {
        let message = self.core.state().permits.finish(self.permit.clone());
        if let Some((lender, message)) = message {
            return_permit(&self.core, lender, message);
        }
        self.core.signals.dispatch.notify_one();
    }
}
