//! Bounds the lines of each kind in a log, and counts those that are left out.

/// Lines of one kind in the present second.
#[derive(Clone, Debug, PartialEq, Eq)]
struct KindCount {
    kind: String,
    second: u64,
    written: u32,
    left_out: u64,
}

/// How many lines of each kind may be written in a second.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LineLimiter {
    lines_per_s: u32,
    /// Sorted by kind. Kinds come from a closed list in the code.
    counts: Vec<KindCount>,
}

impl LineLimiter {
    /// At most `lines_per_s` lines of each kind in a second.
    pub fn new(lines_per_s: u32) -> Self {
        Self { lines_per_s, counts: Vec::new() }
    }

    /// True when a line of that kind may be written in this second; otherwise it is counted as left out.
    pub fn take(&mut self, kind: &str, second: u64) -> bool {
        let at = match self.counts.binary_search_by(|count| count.kind.as_str().cmp(kind)) {
            Ok(at) => at,
            Err(at) => {
                self.counts.insert(at, KindCount { kind: kind.to_owned(), second, written: 0, left_out: 0 });
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
            count.left_out += 1;
        }
        allowed
    }

    /// Takes the numbers of lines left out since the last call, by kind.
    pub fn take_suppressed(&mut self) -> Vec<(String, u64)> {
        let some = self.counts.iter_mut().filter(|count| count.left_out > 0);
        some.map(|count| (count.kind.clone(), std::mem::take(&mut count.left_out))).collect()
    }
}
