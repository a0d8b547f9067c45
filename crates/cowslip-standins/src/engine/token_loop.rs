//! Continuous batching: all running requests advance together, one token per step.

use std::time::Duration;

use tokio::time::{Instant, sleep_until};

use crate::engine::engine_shared::EngineShared;

/// When the loop is late by more than this, the missed time is dropped instead of caught up.
const MAX_LAG: Duration = Duration::from_millis(100);

/// Generates tokens until the server stops.
pub(crate) async fn run_token_loop(shared: EngineShared) {
    let mut last_step = Instant::now();
    loop {
        let step_time = shared.state.lock().step_time();
        let Some(step_time) = step_time else {
            shared.wake.notified().await;
            last_step = Instant::now();
            continue;
        };
        let step = last_step + step_time;
        sleep_until(step).await;
        last_step = if step.elapsed() > MAX_LAG { Instant::now() } else { step };
        shared.state.lock().step(shared.now_ms());
    }
}
