//! Bounded log of the latest requests to a stand-in.

use std::collections::VecDeque;

use crate::{RequestOutcome, RequestRecord};

/// Records kept; older ones are dropped so that a long run does not exhaust memory.
const MAX_RECORDS: usize = 50_000;

/// Request records, numbered from 0 in order of arrival.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecordLog {
    records: VecDeque<RequestRecord>,
    dropped: u64,
}

impl RecordLog {
    /// Appends a record and returns its number.
    pub(crate) fn push(&mut self, record: RequestRecord) -> u64 {
        if self.records.len() == MAX_RECORDS {
            self.records.pop_front();
            self.dropped += 1;
        }
        self.records.push_back(record);
        self.dropped + u64::try_from(self.records.len()).unwrap_or(u64::MAX) - 1
    }

    /// Sets the outcome of a request if its record is still kept.
    pub(crate) fn finish(&mut self, number: u64, outcome: RequestOutcome, tokens: u32) {
        if let Some(record) = self.find(number) {
            record.outcome = outcome;
            record.tokens = tokens;
        }
    }

    /// Marks a request as having taken effect if its record is still kept.
    pub(crate) fn mark_effect(&mut self, number: u64) {
        if let Some(record) = self.find(number) {
            record.effect = true;
        }
    }

    fn find(&mut self, number: u64) -> Option<&mut RequestRecord> {
        let at = usize::try_from(number.checked_sub(self.dropped)?).ok()?;
        self.records.get_mut(at)
    }

    /// Returns the kept records, oldest first.
    pub(crate) fn all(&self) -> Vec<RequestRecord> {
        self.records.iter().cloned().collect()
    }
}
