//! The task that acquires, renews and releases the leader lease.

use cowslip_fleet::{LEASE_KEY, LeaseStep};
use cowslip_platform::EngineOrders;
use cowslip_units::StoreEra;

use crate::{ControllerCore, PlatformServices};

/// Longest sleep between two checks of the lease in ms, so that a release is not delayed.
const MAX_SLEEP_MS: u64 = 100;

impl<P: PlatformServices, E: EngineOrders> ControllerCore<P, E> {
    /// Acquires and renews the lease until it is released.
    pub(crate) async fn maintain_lease(self) {
        loop {
            let now = self.now();
            let step = {
                let mut state = self.lock();
                if state.lease.is_released() {
                    return;
                }
                state.lease.next(now)
            };
            match step {
                LeaseStep::Idle(until) => {
                    self.clock.sleep_ms(until.since_ms(now).clamp(1, MAX_SLEEP_MS)).await;
                }
                LeaseStep::Read => {
                    let result = self.store_result(self.platform.read(LEASE_KEY).await);
                    let now = self.now();
                    self.lock().lease.read_answered(&result, StoreEra::ZERO, now);
                }
                LeaseStep::Commit(transaction) => {
                    let result = self.store_result(self.platform.commit(&transaction).await);
                    let now = self.now();
                    self.lock().lease.commit_answered(&result, StoreEra::ZERO, now);
                }
            }
            self.planner_wake.notify_one();
        }
    }
}
