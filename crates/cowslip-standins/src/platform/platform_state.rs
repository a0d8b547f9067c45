//! State of the platform: table, objects, VM list, faults and journal.

use bytes::Bytes;
use cowslip_platform::{RowValue, TableTransaction, TransactionOutcome, VmEntry};

use crate::history_map::HistoryMap;
use crate::platform::PlatformJournal;
use crate::platform::fault_set::FaultSet;
use crate::platform::start_limiter::StartLimiter;
use crate::platform::table_store::TableStore;

/// Mutable state of the platform, without the transfers in flight.
#[derive(Debug)]
pub(crate) struct PlatformState {
    pub(crate) table: TableStore,
    pub(crate) objects: HistoryMap<Bytes>,
    pub(crate) vms: HistoryMap<VmEntry>,
    pub(crate) faults: FaultSet,
    pub(crate) starts: StartLimiter,
    pub(crate) journal: PlatformJournal,
}

impl PlatformState {
    /// Creates an empty platform with this limit of checkpoint transfers started per 10 s.
    pub(crate) fn new(loads_per_10s: u64) -> Self {
        Self {
            table: TableStore::new(),
            objects: HistoryMap::new(),
            vms: HistoryMap::new(),
            faults: FaultSet::default(),
            starts: StartLimiter::new(loads_per_10s),
            journal: PlatformJournal::default(),
        }
    }

    /// Reads a row and counts the read.
    pub(crate) fn read_row(&mut self, key: &str, at_ms: u64) -> Option<RowValue> {
        self.journal.operations.reads += 1;
        self.table.read(key, at_ms)
    }

    /// Scans rows and counts the reads, at least one.
    pub(crate) fn scan_rows(&mut self, prefix: &str, after: &str, limit: usize, at_ms: u64) -> Vec<RowValue> {
        let rows = self.table.scan(prefix, after, limit, at_ms);
        self.journal.operations.reads += count(rows.len()).max(1);
        rows
    }

    /// Commits a transaction and counts its writes if it was committed.
    pub(crate) fn commit_rows(&mut self, now_ms: u64, transaction: &TableTransaction) -> TransactionOutcome {
        let outcome = self.table.commit(now_ms, transaction);
        if outcome.committed {
            self.journal.operations.writes += count(transaction.puts.len() + transaction.deletes.len());
        }
        outcome
    }

    /// Reads an object and counts the read.
    pub(crate) fn get_object(&mut self, name: &str, at_ms: u64) -> Option<Bytes> {
        self.journal.operations.reads += 1;
        self.objects.get(name, at_ms).cloned()
    }

    /// Writes an object, or deletes it for `None`, and counts the write.
    pub(crate) fn put_object(&mut self, now_ms: u64, name: &str, body: Option<Bytes>) {
        self.journal.operations.writes += 1;
        self.objects.put(now_ms, name, body);
    }
}

fn count(length: usize) -> u64 {
    u64::try_from(length).unwrap_or(u64::MAX)
}
