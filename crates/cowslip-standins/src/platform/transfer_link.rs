//! Transfers that share the bandwidth of a link.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use crate::shared_state::SharedState;

/// A link on which a number of concurrent transfers run at full speed; beyond it, all slow down in
/// proportion.
#[derive(Clone, Debug)]
pub(crate) struct TransferLink {
    state: SharedState<LinkState>,
    changed: watch::Sender<()>,
}

/// All transfers run at the same speed, so one counter gives the progress of each since its start.
#[derive(Debug)]
struct LinkState {
    full_speed_limit: u64,
    active: u64,
    peak: u64,
    progress_ms: f64,
    updated: Instant,
}

impl LinkState {
    fn slowdown(&self) -> f64 {
        let (active, full_speed_limit) = (self.active as f64, self.full_speed_limit as f64);
        (active / full_speed_limit).max(1.0)
    }

    fn advance(&mut self) {
        let now = Instant::now();
        let elapsed = now.duration_since(self.updated).as_secs_f64() * 1_000.0;
        self.progress_ms += elapsed / self.slowdown();
        self.updated = now;
    }
}

/// Ends a transfer on drop, including when its caller disconnects.
struct LinkGuard {
    link: TransferLink,
}

impl Drop for LinkGuard {
    fn drop(&mut self) {
        let mut state = self.link.state.lock();
        state.advance();
        state.active -= 1;
        drop(state);
        self.link.changed.send_replace(());
    }
}

impl TransferLink {
    /// Creates a link with full speed for up to `full_speed_limit` concurrent transfers.
    pub(crate) fn new(full_speed_limit: u64) -> Self {
        let updated = Instant::now();
        let full_speed_limit = full_speed_limit.max(1);
        let state = LinkState { full_speed_limit, active: 0, peak: 0, progress_ms: 0.0, updated };
        Self { state: SharedState::new(state), changed: watch::Sender::new(()) }
    }

    /// Waits for a transfer that takes `millis` ms at full speed.
    pub(crate) async fn transfer(&self, millis: u64) {
        let mut changed = self.changed.subscribe();
        let end_ms = {
            let mut state = self.state.lock();
            state.advance();
            state.active += 1;
            state.peak = state.peak.max(state.active);
            state.progress_ms + millis as f64
        };
        let _guard = LinkGuard { link: self.clone() };
        self.changed.send_replace(());
        loop {
            changed.mark_unchanged();
            let left_ms = {
                let mut state = self.state.lock();
                state.advance();
                (end_ms - state.progress_ms) * state.slowdown()
            };
            if left_ms <= 0.0 {
                return;
            }
            let left = Duration::from_secs_f64(left_ms / 1_000.0);
            tokio::select! {
                () = tokio::time::sleep(left) => {}
                // Cannot fail: the sender is a field of this link.
                _ = changed.changed() => {}
            }
        }
    }

    /// Returns the peak number of concurrent transfers.
    pub(crate) fn peak(&self) -> u64 {
        self.state.lock().peak
    }
}
