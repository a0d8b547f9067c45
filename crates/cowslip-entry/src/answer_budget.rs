//! Memory that a process uses for the answers of upstreams that it buffers.
//!
//! An answer of ordinary size is always read. A larger one takes from a budget that all answers share, and may hold
//! at most as much of it as it leaves to the others. So a single large answer gets much, answers without end are given up
//! sooner the more there are, and something is always left for the next one.

/// Bytes of each answer that count for no budget.
pub const FREE_ANSWER_BYTES: usize = 64 << 10;

/// Bytes that all answers share beyond [`FREE_ANSWER_BYTES`] each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerBudget {
    max_bytes: usize,
    used_bytes: usize,
}

impl AnswerBudget {
    /// An unused budget.
    pub const fn new(max_bytes: usize) -> Self {
        Self { max_bytes, used_bytes: 0 }
    }

    /// Changes the size of an answer; returns false, and changes nothing, when it may not grow so far.
    pub fn resize(&mut self, from_bytes: usize, to_bytes: usize) -> bool {
        let (from, to) = (counted(from_bytes), counted(to_bytes));
        let others = self.used_bytes.saturating_sub(from);
        if to > from && to > self.max_bytes.saturating_sub(others) / 2 {
            return false;
        }
        self.used_bytes = others + to;
        true
    }

    /// Bytes in use.
    pub const fn used_bytes(&self) -> usize {
        self.used_bytes
    }
}

/// Bytes of an answer that count for the budget.
const fn counted(bytes: usize) -> usize {
    bytes.saturating_sub(FREE_ANSWER_BYTES)
}
