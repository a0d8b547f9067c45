//! Permission to send a stream's request once more, taken at the moment at which it is written.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use cowslip_units::ServiceId;
use tokio::sync::Notify;

use crate::gateway::Gateway;
use crate::retry_choice::take_retry;

/// Permission to resume a stream, which takes one retry from the budget when it is used.
#[derive(Debug)]
pub(crate) struct ResumePermit {
    gateway: Arc<Gateway>,
    service: ServiceId,
    is_taken: AtomicBool,
    taken: Notify,
}

impl ResumePermit {
    /// A permit that has not been taken.
    pub(crate) fn new(gateway: &Arc<Gateway>, service: &ServiceId) -> Self {
        Self {
            gateway: Arc::clone(gateway),
            service: service.clone(),
            is_taken: AtomicBool::new(false),
            taken: Notify::new(),
        }
    }

    /// Takes the permit; false when the retry budget is empty. A permit that was taken stays valid, because
    /// the same request may be written on a second connection when the first had been closed.
    pub(crate) fn take(&self) -> bool {
        if self.is_taken() {
            return true;
        }
        let taken = take_retry(&self.gateway, &self.service, self.gateway.now());
        if taken {
            self.is_taken.store(true, Ordering::Relaxed);
            self.taken.notify_one();
        }
        taken
    }

    /// True when the request may have been written.
    pub(crate) fn is_taken(&self) -> bool {
        self.is_taken.load(Ordering::Relaxed)
    }

    /// Waits until the permit is taken.
    pub(crate) async fn taken(&self) {
        self.taken.notified().await;
    }
}
