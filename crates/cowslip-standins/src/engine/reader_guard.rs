//! Detects that the connection reading a response has closed.

use tokio::runtime::Handle;

use crate::engine::engine_shared::EngineShared;

/// Held while a connection reads the response to a request. When the last guard of an active request is
/// dropped, the request is cancelled after the grace time unless another reader is attached meanwhile.
#[derive(Debug)]
pub(crate) struct ReaderGuard {
    shared: EngineShared,
    number: u64,
    grace_ms: u64,
}

impl ReaderGuard {
    /// Creates a guard of run `number` with a grace time in ms; 0 cancels at once.
    pub(crate) fn new(shared: &EngineShared, number: u64, grace_ms: u64) -> Self {
        Self { shared: shared.clone(), number, grace_ms }
    }
}

impl Drop for ReaderGuard {
    fn drop(&mut self) {
        let (shared, number, grace_ms) = (self.shared.clone(), self.number, self.grace_ms);
        let now_ms = shared.now_ms();
        let Some(generation) = shared.state.lock().detach_reader(now_ms, number) else { return };
        if grace_ms == 0 {
            shared.state.lock().cancel_abandoned(now_ms, number, generation);
        } else if let Ok(runtime) = Handle::try_current() {
            runtime.spawn(async move {
                shared.clock.sleep_ms(grace_ms).await;
                shared.state.lock().cancel_abandoned(shared.now_ms(), number, generation);
            });
        }
    }
}
