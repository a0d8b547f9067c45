//! Measures the resident memory of large states.

use std::hint::black_box;

/// Growth of resident memory to reach by building copies, large enough to make the granularity of pages and
/// of the allocator negligible.
const MIN_GROWTH_BYTES: u64 = 24 * 1024 * 1024;

/// Returns the resident memory of this process in bytes, from `/proc/self/statm`; 0 when that cannot be read.
pub(crate) fn resident_bytes() -> u64 {
    // The page size of Linux on x86-64 and in the usual arm64 kernels.
    const PAGE_BYTES: u64 = 4096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok()).unwrap_or_default()
        * PAGE_BYTES
}

/// Measures memory by the growth of resident memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct MemoryMeter {
    max_copies: u64,
}

impl MemoryMeter {
    /// Creates a meter; with `quick` it builds few copies and is inaccurate.
    pub(crate) const fn new(quick: bool) -> Self {
        Self { max_copies: if quick { 3 } else { 4_000 } }
    }

    /// Returns the resident bytes of one state returned by `build`. A first state, which grows the
    /// allocator's pools, is not counted; then several are built and kept, so that nothing is freed in
    /// between.
    #[allow(clippy::cast_precision_loss)]
    pub(crate) fn measure_growth<S>(self, mut build: impl FnMut() -> S) -> f64 {
        let start = resident_bytes();
        let first = black_box(build());
        let before = resident_bytes();
        let estimate = before.saturating_sub(start).max(4096);
        let copies = (MIN_GROWTH_BYTES / estimate).clamp(3, self.max_copies);
        let kept: Vec<S> = (0..copies).map(|_| black_box(build())).collect();
        let grown = resident_bytes().saturating_sub(before);
        black_box((&first, &kept));
        grown as f64 / copies as f64
    }
}
