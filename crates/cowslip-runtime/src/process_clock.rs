//! The clock of a process. All time used for decisions is read here.
//!
//! The clock includes the time during which the VM was suspended (`CLOCK_BOOTTIME`). `std::time::Instant`
//! does not: a lease or a confirmation would still appear valid after its VM was suspended and resumed.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cowslip_units::ClockTime;
use rustix::time::{ClockId, clock_gettime};

/// Monotonic clock of a process; starts near zero.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    start_ms: u64,
}

impl ProcessClock {
    /// Creates a clock that starts now.
    pub fn new() -> Self {
        Self { start_ms: boot_time_ms() }
    }

    /// Current time.
    pub fn now(&self) -> ClockTime {
        ClockTime::new(boot_time_ms().saturating_sub(self.start_ms))
    }

    /// Sleeps for `millis` ms.
    pub async fn sleep_ms(&self, millis: u64) {
        tokio::time::sleep(Duration::from_millis(millis)).await;
    }

    /// Time in ms since the Unix epoch. It may step by seconds and differs between VMs: for records read by people, and
    /// as one of many inputs of the true time of day.
    pub fn unix_time_ms(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}

impl Default for ProcessClock {
    fn default() -> Self {
        Self::new()
    }
}

/// Time in ms since the machine was booted, including suspension.
fn boot_time_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    seconds.saturating_mul(1_000).saturating_add(nanos / 1_000_000)
}
