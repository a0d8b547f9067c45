//! How the ledger processes load reports.

use cowslip_messages::ReplicaState;
use cowslip_units::{ClockTime, InvariantName, ModelId, UpstreamId, assert_invariant};

use crate::ledger_entry::LedgerEntry;
use crate::{LedgerEvent, LedgerRow, ReplicaLedger, RowKey, RowKind, UpstreamReport};

/// Time in ms for which reports must list a model without a row before a row is added; a delayed report may
/// still list a model that has just been unloaded.
const UNKNOWN_MODEL_DELAY_MS: u64 = 2_000;
/// Reason recorded when an engine has evicted a model on its own.
pub(crate) const REASON_EVICTED: &str = "a newer report does not list it";
impl ReplicaLedger {
    /// Processes a load report that was requested at `requested_at`; `kind_of` returns kind and model of a
    /// listed name. Returns false for a repeated, reordered or stale report.
    pub fn report(
        &mut self,
        upstream: &UpstreamId,
        report: &UpstreamReport,
        requested_at: ClockTime,
        kind_of: impl Fn(&ModelId) -> (RowKind, ModelId),
    ) -> bool {
        let record = self.record_or_insert(upstream);
        if requested_at <= record.requested_at {
            return false;
        }
        if record.boot.as_ref() == Some(&report.boot) {
            if report.sequence < record.min_sequence {
                return false;
            }
        } else {
            record.boot = Some(report.boot.clone());
            record.order_confirmed = false;
            record.unknown.clear();
        }
        record.requested_at = requested_at;
        record.min_sequence = report.sequence;
        let keys: Vec<RowKey> = record.entries.iter().map(|entry| entry.row.key.clone()).collect();
        for key in keys {
            self.report_row(&key, report, requested_at);
            self.refresh(&key);
        }
        self.report_unknown(upstream, report, requested_at, kind_of);
        true
    }

    fn report_row(&mut self, key: &RowKey, report: &UpstreamReport, requested_at: ClockTime) {
        let listed = report.has_loaded(&key.name);
        let own_issuer = self.own_issuer.clone();
        let Some(entry) = self.entry_mut(key) else {
            return;
        };
        if entry.pending_delete || requested_at <= entry.confirmed_at {
            return;
        }
        if entry.row.state == ReplicaState::Ordered {
            entry.reported_loaded = listed;
            return;
        }
        if !entry.verified {
            let answered_here = entry.sent_boot.as_ref() == Some(&report.boot);
            if answered_here || listed {
                if !answered_here {
                    entry.row.sequence = report.sequence;
                }
                entry.row.boot = Some(report.boot.clone());
                entry.verified = true;
                entry.revision += 1;
            } else if entry.row.state == ReplicaState::Loaded || entry.absent {
                // The engine restarted shortly before or after it answered, so the boot that answered is
                // unknown.
                entry.reissue(&own_issuer);
                self.events.push(LedgerEvent::Reissued { key: key.clone() });
                return;
            } else {
                return;
            }
        }
        let same_boot = entry.row.boot.as_ref() == Some(&report.boot);
        if entry.has_foreign_issuer(&own_issuer) {
            if !same_boot {
                entry.reissue(&own_issuer);
                self.events.push(LedgerEvent::Reissued { key: key.clone() });
                return;
            }
            if entry.issuers_finished_at.is_some_and(|at| at < requested_at) {
                entry.row.issuers.clear();
                entry.revision += 1;
                if entry.absent {
                    self.free(key, "no issuer is left that may load it");
                    return;
                }
            }
        }
        let Some(entry) = self.entry(key).filter(|entry| !entry.absent) else {
            return;
        };
        let newer = report.sequence >= entry.row.sequence;
        if !same_boot {
            self.free(key, "the engine restarted");
        } else if newer && !listed {
            self.free(key, REASON_EVICTED);
        }
    }

    fn report_unknown(
        &mut self,
        upstream: &UpstreamId,
        report: &UpstreamReport,
        requested_at: ClockTime,
        kind_of: impl Fn(&ModelId) -> (RowKind, ModelId),
    ) {
        let own_issuer = self.own_issuer.clone();
        let record = self.record_or_insert(upstream);
        let order_confirmed = record.order_confirmed;
        let mut found = Vec::new();
        let mut unknown = Vec::new();
        for (name, memory) in &report.loaded {
            if record.has_name(name) {
                continue;
            }
            let seen =
                record.unknown.iter().find(|(known, _)| known == name).map_or(requested_at, |(_, at)| *at);
            if requested_at.since_ms(seen) >= UNKNOWN_MODEL_DELAY_MS {
                found.push((name.clone(), *memory));
            } else {
                unknown.push((name.clone(), seen));
            }
        }
        record.unknown = unknown;
        for (name, memory) in found {
            let Ok(order) = self.next_order() else {
                continue;
            };
            assert_invariant(!order_confirmed, InvariantName::ReplicasDecided, || {
                format!("{upstream} holds {name} without a row in boot {}", report.boot)
            });
            let (kind, base) = kind_of(&name);
            let key = RowKey { upstream: upstream.clone(), kind, name };
            let row = LedgerRow {
                key: key.clone(),
                base,
                state: ReplicaState::Loaded,
                memory,
                load_ms: 0,
                order,
                unload: None,
                epoch: own_issuer.epoch,
                issuers: Vec::new(),
                boot: Some(report.boot.clone()),
                sequence: report.sequence,
                fresh: false,
            };
            let mut entry = LedgerEntry::new(row, requested_at);
            entry.attempted = true;
            entry.verified = true;
            self.insert(entry);
            self.refresh(&key);
            self.events.push(LedgerEvent::Found { key });
        }
    }
}
