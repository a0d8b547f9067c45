//! Processor time of this process, for metrics: where a VM has a small share of a core, work that takes long keeps
//! everything else waiting.

use rustix::time::{ClockId, Timespec, clock_gettime};

/// Processor time in µs that the calling thread has used.
pub fn thread_time_us() -> u64 {
    micros(clock_gettime(ClockId::ThreadCPUTime))
}

/// Processor time in µs that all threads of the process have used.
pub fn process_time_us() -> u64 {
    micros(clock_gettime(ClockId::ProcessCPUTime))
}

fn micros(time: Timespec) -> u64 {
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec).unwrap_or_default();
    seconds.saturating_mul(1_000_000).saturating_add(nanos / 1_000)
}
