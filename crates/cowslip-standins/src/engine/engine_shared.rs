//! State shared by the handlers and tasks of one engine.

use std::sync::Arc;

use cowslip_runtime::ProcessClock;
use tokio::sync::Notify;

use crate::StandinClient;
use crate::engine::engine_state::EngineState;
use crate::shared_state::SharedState;

/// Handle to an engine's state, clock and weight store.
#[derive(Clone, Debug)]
pub(crate) struct EngineShared {
    pub(crate) state: SharedState<EngineState>,
    /// Wakes the token loop when a request is admitted.
    pub(crate) wake: Arc<Notify>,
    pub(crate) clock: ProcessClock,
    /// Time in ms for which an interrupted stream can be resumed.
    pub(crate) resume_ms: u64,
    /// The platform whose weight store is used; without one, a remote load takes its nominal time.
    pub(crate) platform: Option<StandinClient>,
}

impl EngineShared {
    /// Returns the current time in ms.
    pub(crate) fn now_ms(&self) -> u64 {
        self.clock.now().millis()
    }
}
