//! Counters of a simulated run.

/// Counters of one run; the same in each run with the same seed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WakeCounts {
    /// Idle models and adapters that became used; each becomes idle again.
    pub wakes: u64,
    /// Planner steps.
    pub steps: u64,
    /// Ledger transactions.
    pub transactions: u64,
    /// Ledger rows written.
    pub rows_put: u64,
    /// Ledger rows deleted.
    pub rows_deleted: u64,
    /// Bytes of the rows written, as JSON.
    pub row_bytes: f64,
    /// Orders sent to engines.
    pub orders: u64,
    /// New versions of the placement table.
    pub table_versions: u64,
    /// Demand reports of the one router, which has all the demand.
    pub demand_reports: u64,
    /// Ledger rows at the end of the run.
    pub loaded_rows: u64,
}
