//! Wakes waiting requests after a change that may let them proceed.

use std::sync::atomic::{AtomicU64, Ordering};

use tokio::sync::Notify;
use tokio::sync::futures::Notified;

/// A notification with the number of changes so far, so that what was found before a change is not used after it.
#[derive(Debug, Default)]
pub(crate) struct ChangeSignal {
    notify: Notify,
    changes: AtomicU64,
}

impl ChangeSignal {
    /// Counts a change and wakes all that wait.
    pub(crate) fn notify_waiters(&self) {
        self.changes.fetch_add(1, Ordering::Relaxed);
        self.notify.notify_waiters();
    }

    /// Completes after the next change.
    pub(crate) fn notified(&self) -> Notified<'_> {
        self.notify.notified()
    }

    /// Number of changes so far.
    pub(crate) fn changes(&self) -> u64 {
        self.changes.load(Ordering::Relaxed)
    }
}
