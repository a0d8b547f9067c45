//! Batches of ledger writes.

use crate::{LedgerBatch, LedgerEvent, ReplicaLedger};

impl ReplicaLedger {
    /// The next batch, or the last one again if its commit failed or is in doubt. `None` if there is nothing
    /// to write or a commit is in flight.
    pub fn next_batch(&mut self) -> Option<LedgerBatch> {
        if self.batch_in_flight || self.superseded {
            return None;
        }
        if self.pending_batch.is_none() {
            if self.dirty.is_empty() {
                return None;
            }
            self.batches += 1;
            let mut batch = LedgerBatch { number: self.batches, puts: Vec::new(), deletes: Vec::new() };
            let mut revisions = Vec::new();
            for key in std::mem::take(&mut self.dirty) {
                let Some(entry) = self.entry(&key) else {
                    continue;
                };
                revisions.push((key.clone(), entry.revision));
                if entry.pending_delete {
                    batch.deletes.push(key);
                } else {
                    batch.puts.push(entry.row.clone());
                }
            }
            self.pending_batch = Some((batch, revisions));
        }
        self.batch_in_flight = true;
        self.pending_batch.as_ref().map(|(batch, _)| batch.clone())
    }

    /// Processes a committed batch. Returns true if the batch contained the first write of any row.
    pub fn batch_committed(&mut self, number: u64) -> bool {
        if self.pending_batch.as_ref().is_none_or(|(batch, _)| batch.number != number) {
            return false;
        }
        self.batch_in_flight = false;
        let Some((_, revisions)) = self.pending_batch.take() else {
            return false;
        };
        let mut has_first_write = false;
        for (key, revision) in revisions {
            let Some(entry) = self.entry_mut(&key) else {
                continue;
            };
            has_first_write |= entry.committed_revision == 0;
            entry.committed_revision = revision;
            if entry.pending_delete && entry.revision == revision {
                self.remove(&key);
                self.events.push(LedgerEvent::Deleted { key });
            } else {
                self.refresh(&key);
            }
        }
        has_first_write
    }

    /// Processes a failed commit, or one in doubt; the same batch is returned again by
    /// [`ReplicaLedger::next_batch`].
    pub fn batch_failed(&mut self, number: u64) {
        if self.pending_batch.as_ref().is_some_and(|(batch, _)| batch.number == number) {
            self.batch_in_flight = false;
        }
    }
}
