//! Storage of the ledger in the table service: takeover and transactions.

use cowslip_placement::{LedgerBatch, LedgerRow};
use cowslip_platform::{EngineOrders, PlatformError, RowValue, TableTransaction};
use cowslip_units::{ClockTime, FencingToken};
use smol_str::SmolStr;

use crate::ledger_head::{LEDGER_HEAD_KEY, LedgerHead};
use crate::rows_digest::{RowsDigest, row_digest};
use crate::stored_ledger::StoredLedger;
use crate::{ControllerCore, PlatformServices};

/// Rows read in one scan.
const SCAN_LIMIT: usize = 1_000;
/// Delay in ms after a failed call or a stale scan.
const RETRY_MS: u64 = 100;

/// Scans before the head is taken over again, in case it was deleted by hand.
const SCAN_ATTEMPTS: u32 = 10;

/// Outcome of a ledger transaction.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum BatchOutcome {
    /// It took effect.
    Committed(StoredLedger),
    /// It failed or is in doubt, and must be retried.
    Failed,
    /// Another leader has taken over the ledger.
    Superseded,
}

impl<P: PlatformServices, E: EngineOrders> ControllerCore<P, E> {
    /// Takes over the ledger for `epoch` and reads its rows; `None` if the lease is lost in the meantime.
    pub(crate) async fn take_over_ledger(
        &self,
        epoch: FencingToken,
    ) -> Option<(StoredLedger, Vec<LedgerRow>)> {
        let mut warned = false;
        loop {
            let (head_version, head) = self.take_over_head(epoch).await?;
            for _ in 0..SCAN_ATTEMPTS {
                if !self.is_leading(epoch) {
                    return None;
                }
                match self.scan_rows().await {
                    Ok((rows, digests)) => {
                        let mut sum = RowsDigest::default();
                        digests.iter().for_each(|(_, digest)| sum.add(*digest));
                        if head.rows.is_none_or(|expected| expected == sum) {
                            return Some((StoredLedger { head_version, rows: sum, digests }, rows));
                        }
                        if !warned {
                            warned = true;
                            slog::warn!(self.logger, "ledger scan does not match the ledger's head; read again";
                                "expected" => format!("{:?}", head.rows), "found" => format!("{sum:?}"));
                        }
                    }
                    Err(error) => slog::warn!(self.logger, "ledger not read"; "error" => %error),
                }
                self.clock.sleep_ms(RETRY_MS).await;
            }
        }
    }

    /// Whether this process holds the lease of `epoch` now.
    pub(crate) fn is_leading(&self, epoch: FencingToken) -> bool {
        let now = self.now();
        self.lock().lease.epoch(now) == Some(epoch)
    }

    /// Replaces the head row, which invalidates every later write of earlier leaders.
    async fn take_over_head(&self, epoch: FencingToken) -> Option<(u64, LedgerHead)> {
        let mut seen: Option<Option<RowValue>> = None;
        loop {
            if !self.is_leading(epoch) {
                return None;
            }
            let row = match seen.take() {
                Some(row) => row,
                None => match self.store_result(self.platform.read(LEDGER_HEAD_KEY).await) {
                    Ok(row) => row,
                    Err(_) => {
                        self.clock.sleep_ms(RETRY_MS).await;
                        continue;
                    }
                },
            };
            let previous = parse_head(row.as_ref());
            if previous.epoch > epoch {
                return None;
            }
            let head = LedgerHead { epoch, number: 0, rows: previous.rows };
            let value = serde_json::to_string(&head).ok()?;
            let transaction = match &row {
                Some(row) => TableTransaction::new().with_version(LEDGER_HEAD_KEY, row.version),
                None => TableTransaction::new().with_absent(LEDGER_HEAD_KEY),
            };
            let now = self.now();
            let transaction = self.lock().lease.fence(transaction.with_put(LEDGER_HEAD_KEY, value), now)?;
            match self.store_result(self.platform.commit(&transaction).await) {
                Ok(outcome) if outcome.committed => {
                    return Some((outcome.versions.first().copied()?, head));
                }
                Ok(outcome) => {
                    // The conflict returned the current rows, so they are not stale.
                    seen = Some(outcome.rows.into_iter().find(|row| row.key == LEDGER_HEAD_KEY));
                    self.clock.sleep_ms(RETRY_MS).await;
                }
                Err(_) => self.clock.sleep_ms(RETRY_MS).await,
            }
        }
    }

    async fn scan_rows(&self) -> Result<(Vec<LedgerRow>, Vec<(SmolStr, u64)>), PlatformError> {
        let mut rows = Vec::new();
        let mut digests = Vec::new();
        for prefix in ["adapter/", "replica/"] {
            let mut after = SmolStr::new(prefix);
            loop {
                let page = self.store_result(self.platform.scan(prefix, &after, SCAN_LIMIT).await)?;
                for row in &page {
                    digests.push((row.key.clone(), row_digest(&row.key, &row.value)));
                    rows.push(
                        serde_json::from_str::<LedgerRow>(&row.value)
                            .map_err(|error| PlatformError::Malformed(format!("{}: {error}", row.key)))?,
                    );
                }
                match page.last() {
                    Some(last) if page.len() == SCAN_LIMIT => after = last.key.clone(),
                    _ => break,
                }
            }
        }
        digests.sort();
        Ok((rows, digests))
    }

    /// Commits one batch; `stored` is the ledger as last committed.
    pub(crate) async fn commit_batch(
        &self,
        epoch: FencingToken,
        batch: &LedgerBatch,
        mut stored: StoredLedger,
    ) -> BatchOutcome {
        let mut transaction = TableTransaction::new().with_version(LEDGER_HEAD_KEY, stored.head_version);
        let mut writes: Vec<(SmolStr, Option<String>)> = Vec::new();
        for row in &batch.puts {
            let Ok(text) = serde_json::to_string(row) else {
                return BatchOutcome::Failed;
            };
            writes.push((row.key.to_string().into(), Some(text)));
        }
        writes.extend(batch.deletes.iter().map(|key| (key.to_string().into(), None)));
        for (key, text) in writes {
            let place = stored.digests.binary_search_by(|(known, _)| known.cmp(&key));
            if let Ok(at) = place {
                let (_, digest) = stored.digests.remove(at);
                stored.rows.remove(digest);
            }
            match text {
                Some(text) => {
                    let digest = row_digest(&key, &text);
                    stored.rows.add(digest);
                    let at = place.unwrap_or_else(|at| at);
                    stored.digests.insert(at, (key.clone(), digest));
                    transaction = transaction.with_put(&key, text);
                }
                None => transaction = transaction.with_delete(&key),
            }
        }
        let head = LedgerHead { epoch, number: batch.number, rows: Some(stored.rows) };
        let Ok(value) = serde_json::to_string(&head) else {
            return BatchOutcome::Failed;
        };
        let position = transaction.puts.len();
        let now: ClockTime = self.now();
        let fenced = self.lock().lease.fence(transaction.with_put(LEDGER_HEAD_KEY, value), now);
        let Some(transaction) = fenced else {
            return BatchOutcome::Failed;
        };
        match self.store_result(self.platform.commit(&transaction).await) {
            Ok(outcome) if outcome.committed => match outcome.versions.get(position) {
                Some(version) => BatchOutcome::Committed(StoredLedger { head_version: *version, ..stored }),
                None => BatchOutcome::Failed,
            },
            Ok(outcome) => {
                let row = outcome.rows.iter().find(|row| row.key == LEDGER_HEAD_KEY);
                let found = parse_head(row);
                match row {
                    Some(row) if found == head => {
                        // An earlier attempt took effect and its answer was lost.
                        BatchOutcome::Committed(StoredLedger { head_version: row.version, ..stored })
                    }
                    _ => BatchOutcome::Superseded,
                }
            }
            Err(_) => BatchOutcome::Failed,
        }
    }
}

/// Parses the head row; an absent or unreadable row yields a head without digest, which accepts any rows.
fn parse_head(row: Option<&RowValue>) -> LedgerHead {
    row.and_then(|row| serde_json::from_str(&row.value).ok()).unwrap_or_default()
}
