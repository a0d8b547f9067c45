//! The one place where a process reads its clock.
//!
//! The clock counts the time during which a VM is suspended (`CLOCK_BOOTTIME`). `std::time::Instant` does not, so a
//! lease or a confirmation would look fresh to a process that wakes up after its VM was suspended.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cowslip_units::ClockTime;
use rustix::time::{ClockId, clock_gettime};

/// A process's steady clock; starts near zero.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    start_ms: u64,
}

impl ProcessClock {
    /// A clock that starts now.
    pub fn new() -> Self {
        Self { start_ms: boot_ms() }
    }

    /// The present point.
    pub fn now(&self) -> ClockTime {
        ClockTime::new(boot_ms().saturating_sub(self.start_ms))
    }

    /// Sleeps for `millis` milliseconds.
    pub async fn sleep_ms(&self, millis: u64) {
        tokio::time::sleep(Duration::from_millis(millis)).await;
    }

    /// Milliseconds since the Unix epoch, for records that people read; no decision rests on it.
    pub fn wall_ms(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}

impl Default for ProcessClock {
    fn default() -> Self {
        Self::new()
    }
}

/// Milliseconds since the machine started, suspension included.
fn boot_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    seconds.saturating_mul(1_000).saturating_add(nanos / 1_000_000)
}
