//! Keys of rejected requests that may come again.
//!
//! Load this answers: attempts have no common id, so a request that comes again after a rejection is recognised
//! by the key of its prompt. Each rejection counts once, for the first request with the key.

use cowslip_units::{ClockTime, PartId};

/// Largest number of keys kept; some 30 KB. A gateway of the smallest VM rejects fewer within one deadline.
const MAX_KEYS: usize = 512;

/// Keys of rejected requests, sorted, each with the deadline of its caller.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ReturningKeys {
    keys: Vec<(PartId, ClockTime)>,
}

impl ReturningKeys {
    /// Records the key of a rejected request whose caller may come again until `deadline`.
    pub(crate) fn record(&mut self, key: PartId, deadline: ClockTime, now: ClockTime) {
        if self.keys.len() >= MAX_KEYS {
            self.make_room(now);
        }
        match self.find(&key) {
            Ok(at) => {
                if let Some((_, known)) = self.keys.get_mut(at) {
                    *known = deadline.max(*known);
                }
            }
            Err(at) => self.keys.insert(at, (key, deadline)),
        }
    }

    /// Removes the key of a request that arrives; true when it comes again.
    pub(crate) fn take(&mut self, key: &PartId, now: ClockTime) -> bool {
        let Ok(at) = self.find(key) else {
            return false;
        };
        let (_, deadline) = self.keys.remove(at);
        now < deadline
    }

    fn find(&self, key: &PartId) -> Result<usize, usize> {
        self.keys.binary_search_by(|(known, _)| known.cmp(key))
    }

    /// Removes the expired keys, or the one that expires first.
    fn make_room(&mut self, now: ClockTime) {
        self.keys.retain(|(_, deadline)| now < *deadline);
        if self.keys.len() < MAX_KEYS {
            return;
        }
        let first = self.keys.iter().enumerate().min_by_key(|(_, (_, deadline))| *deadline);
        if let Some((at, _)) = first {
            self.keys.remove(at);
        }
    }
}
