//! Running requests that this router can cancel.

use std::collections::BTreeMap;

use cowslip_units::{ErrorKind, KeyDigest};
use tokio::sync::oneshot;

/// Entry of a running request.
#[derive(Debug)]
struct RunningCall {
    /// Digest of the caller's key; `None` on open routes.
    key: Option<KeyDigest>,
    cancel: oneshot::Sender<ErrorKind>,
}

/// Table of running requests, by number.
#[derive(Debug, Default)]
pub struct RunningCalls {
    calls: BTreeMap<u64, RunningCall>,
    last_number: u64,
}

impl RunningCalls {
    /// Adds a request. The receiver resolves when the request must be cancelled.
    pub fn add(&mut self, key: Option<KeyDigest>) -> (u64, oneshot::Receiver<ErrorKind>) {
        let (cancel, cancel_signal) = oneshot::channel();
        self.last_number += 1;
        self.calls.insert(self.last_number, RunningCall { key, cancel });
        (self.last_number, cancel_signal)
    }

    /// Removes a request that has completed.
    pub fn remove(&mut self, number: u64) {
        self.calls.remove(&number);
    }

    /// Cancels the requests of a withdrawn key.
    pub fn cancel_key_requests(&mut self, digest: &KeyDigest) {
        self.cancel_where(ErrorKind::KeyWithdrawn, |key| key == Some(digest));
    }

    /// Cancels all requests that were sent with a key.
    pub fn cancel_all_keyed(&mut self, kind: ErrorKind) {
        self.cancel_where(kind, |key| key.is_some());
    }

    /// Digests of the keys of running requests that have not been cancelled.
    pub fn keys(&self) -> impl Iterator<Item = &KeyDigest> {
        self.calls.values().filter_map(|call| call.key.as_ref())
    }

    /// Number of running requests.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// True if no request is running.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    fn cancel_where(&mut self, kind: ErrorKind, matches: impl Fn(Option<&KeyDigest>) -> bool) {
        let numbers: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, call)| matches(call.key.as_ref()))
            .map(|(number, _)| *number)
            .collect();
        for call in numbers.iter().filter_map(|number| self.calls.remove(number)) {
            // A closed receiver means that the request has already completed.
            let _ = call.cancel.send(kind);
        }
    }
}
