//! Assertions of the promises inside the program.
//!
//! A failed assertion must not stop a router that serves others, so it is recorded here and the process's
//! loop drains the records into its log and metrics. Each process is one loop on one thread, hence the
//! thread-local store. Randomised runs drain it after each step and fail if it holds anything.

use std::cell::RefCell;

use crate::InvariantName;

/// Most records kept until the next drain, so that a fault in a hot path cannot fill the memory.
const MAX_RECORDS: usize = 64;

/// A failed assertion with the state that it saw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The promise.
    pub invariant: InvariantName,
    /// The state that broke it.
    pub detail: String,
}

thread_local! {
    static RECORDS: RefCell<Vec<Violation>> = const { RefCell::new(Vec::new()) };
}

/// Records a violation of `promise` unless `holds`; `detail` is only evaluated then. Returns `holds`.
pub fn assert_invariant(holds: bool, invariant: InvariantName, detail: impl FnOnce() -> String) -> bool {
    if !holds {
        RECORDS.with_borrow_mut(|records| {
            if records.len() < MAX_RECORDS {
                records.push(Violation { invariant, detail: detail() });
            }
        });
    }
    holds
}

/// Takes all violations recorded on this thread since the last call.
pub fn drain_violations() -> Vec<Violation> {
    RECORDS.with_borrow_mut(std::mem::take)
}
