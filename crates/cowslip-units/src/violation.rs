//! Run-time assertions of the system's invariants.
//!
//! A failed assertion must not stop a router that serves other requests, so it is recorded here, and the main
//! loop of the process drains the records into its log and metrics. Each process is one loop on one thread,
//! hence the thread-local storage. Randomised tests drain the records after each step and fail if there are
//! any.

use std::cell::RefCell;

use crate::InvariantName;

/// Most records kept until the next drain, so that a fault in a hot path cannot exhaust the memory.
const MAX_RECORDS: usize = 64;

/// A failed assertion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The invariant that does not hold.
    pub invariant: InvariantName,
    /// The state that violates it.
    pub detail: String,
}

thread_local! {
    static RECORDS: RefCell<Vec<Violation>> = const { RefCell::new(Vec::new()) };
}

/// Records a violation of `invariant` unless `holds`; `detail` is evaluated only then. Returns `holds`.
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

/// Takes the violations recorded on this thread since the last call.
pub fn drain_violations() -> Vec<Violation> {
    RECORDS.with_borrow_mut(std::mem::take)
}
