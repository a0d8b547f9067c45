//! Index of the idle replicas and adapters by the time until which they are kept.

use cowslip_units::ClockTime;

use crate::RowKey;

/// Idle rows, ordered by the time until which they are kept.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct IdleIndex {
    by_time: Vec<(ClockTime, RowKey)>,
    by_key: Vec<(RowKey, ClockTime)>,
}

impl IdleIndex {
    /// Adds a row, or updates its time.
    pub(crate) fn set(&mut self, key: &RowKey, until: ClockTime) {
        if self.until(key) == Some(until) {
            return;
        }
        self.clear(key);
        if let Err(at) = self.by_key.binary_search_by(|(known, _)| known.cmp(key)) {
            self.by_key.insert(at, (key.clone(), until));
        }
        let entry = (until, key.clone());
        if let Err(at) = self.by_time.binary_search(&entry) {
            self.by_time.insert(at, entry);
        }
    }

    pub(crate) fn clear(&mut self, key: &RowKey) {
        if let Ok(at) = self.by_key.binary_search_by(|(known, _)| known.cmp(key)) {
            let (key, until) = self.by_key.remove(at);
            if let Ok(at) = self.by_time.binary_search(&(until, key)) {
                self.by_time.remove(at);
            }
        }
    }

    /// Time until which the row is kept, if it is idle.
    pub(crate) fn until(&self, key: &RowKey) -> Option<ClockTime> {
        let at = self.by_key.binary_search_by(|(known, _)| known.cmp(key)).ok()?;
        self.by_key.get(at).map(|(_, until)| *until)
    }

    /// Rows whose time has passed.
    pub(crate) fn due(&self, now: ClockTime) -> impl Iterator<Item = &RowKey> {
        self.by_time.iter().take_while(move |(until, _)| *until <= now).map(|(_, key)| key)
    }

    /// All idle rows, the first to be unloaded first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &RowKey> {
        self.by_time.iter().map(|(_, key)| key)
    }
}
