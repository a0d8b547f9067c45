//! Per-kind rate limit for log lines that counts suppressed lines.

/// Counters of one kind of line in the current second.
#[derive(Clone, Debug, PartialEq, Eq)]
struct LineCount {
    kind: String,
    second: u64,
    written: u32,
    suppressed: u64,
}

/// Limits how many lines of each kind may be written per second.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LineLimiter {
    lines_per_s: u32,
    /// Sorted by kind. Kinds are string literals in the code, so their number is bounded.
    counts: Vec<LineCount>,
}

impl LineLimiter {
    /// Creates a limiter that allows `lines_per_s` lines of each kind per second.
    pub fn new(lines_per_s: u32) -> Self {
        Self { lines_per_s, counts: Vec::new() }
    }

    /// Returns true if a line of this kind may be written in this second, otherwise counts it as suppressed.
    pub fn take(&mut self, kind: &str, second: u64) -> bool {
        let at = match self.counts.binary_search_by(|count| count.kind.as_str().cmp(kind)) {
            Ok(at) => at,
            Err(at) => {
                self.counts
                    .insert(at, LineCount { kind: kind.to_owned(), second, written: 0, suppressed: 0 });
                at
            }
        };
        let Some(count) = self.counts.get_mut(at) else { return true };
        if count.second != second {
            count.second = second;
            count.written = 0;
        }
        let allowed = count.written < self.lines_per_s;
        if allowed {
            count.written += 1;
        } else {
            count.suppressed += 1;
        }
        allowed
    }

    /// Returns the number of lines suppressed since the last call, by kind, and resets the counters.
    pub fn take_suppressed(&mut self) -> Vec<(String, u64)> {
        let entries = self.counts.iter_mut().filter(|count| count.suppressed > 0);
        entries.map(|count| (count.kind.clone(), std::mem::take(&mut count.suppressed))).collect()
    }
}
