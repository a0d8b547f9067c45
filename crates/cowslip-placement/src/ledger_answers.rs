//! How the ledger processes the outcomes of orders.

use cowslip_messages::ReplicaState;
use cowslip_units::{ClockTime, OrderId};

use crate::{LedgerEvent, OrderAnswer, ReplicaLedger, RowKey, RowKind};

/// Delay in ms before an unload that the engine refused is retried.
const UNLOAD_RETRY_MS: u64 = 1_000;

impl ReplicaLedger {
    /// Processes the outcome of an order that [`ReplicaLedger::orders`] returned.
    pub fn order_answered(&mut self, key: &RowKey, order: &OrderId, answer: &OrderAnswer, now: ClockTime) {
        let Some(entry) = self.entry_mut(key) else {
            return;
        };
        if entry.in_flight.as_ref() == Some(order) {
            entry.in_flight = None;
        }
        if entry.row.unload.as_ref() == Some(order) && entry.row.state == ReplicaState::Unloading {
            self.unload_answered(key, answer, now);
        } else if entry.row.order == *order && entry.row.state == ReplicaState::Ordered {
            self.load_answered(key, answer, now);
        }
    }

    fn load_answered(&mut self, key: &RowKey, answer: &OrderAnswer, now: ClockTime) {
        let own_issuer = self.own_issuer.clone();
        let Some(record) = self.record_mut(&key.upstream) else {
            return;
        };
        let fencing = record.checks_fencing;
        let boot = record.boot.clone();
        let Some(entry) = record.entry_mut(key) else {
            return;
        };
        match answer {
            OrderAnswer::Done { sequence } => {
                entry.attempted = true;
                entry.remove_void_issuers(&own_issuer, fencing);
                entry.row.state = ReplicaState::Loaded;
                entry.row.sequence = *sequence;
                entry.row.boot = None;
                entry.row.fresh = key.kind == RowKind::Replica;
                entry.verified = false;
                entry.confirmed_at = now;
                entry.revision += 1;
                if entry.sent_boot == boot {
                    record.min_sequence = record.min_sequence.max(*sequence);
                    record.order_confirmed = true;
                }
                self.events.push(LedgerEvent::Loaded { key: key.clone() });
            }
            OrderAnswer::Refused { reason } => {
                entry.attempted = true;
                entry.remove_void_issuers(&own_issuer, fencing);
                entry.row.boot = None;
                entry.verified = false;
                entry.confirmed_at = now;
                let event = LedgerEvent::Refused { key: key.clone(), reason: reason.clone() };
                self.events.push(event);
                self.free(key, "the engine refused the order");
            }
            OrderAnswer::OldFence => {
                entry.attempted = true;
                self.mark_superseded();
            }
            OrderAnswer::NotSent => entry.back_off(now),
            OrderAnswer::InDoubt => {
                entry.attempted = true;
                entry.back_off(now);
            }
        }
        self.refresh(key);
    }

    fn unload_answered(&mut self, key: &RowKey, answer: &OrderAnswer, now: ClockTime) {
        let own_issuer = self.own_issuer.clone();
        let Some(record) = self.record_mut(&key.upstream) else {
            return;
        };
        let fencing = record.checks_fencing;
        let boot = record.boot.clone();
        let Some(entry) = record.entry_mut(key) else {
            return;
        };
        match answer {
            OrderAnswer::Done { sequence } => {
                entry.remove_void_issuers(&own_issuer, fencing);
                if entry.sent_boot == boot {
                    record.min_sequence = record.min_sequence.max(*sequence);
                    record.order_confirmed = true;
                }
                let mut freed = vec![key.clone()];
                if key.kind == RowKind::Replica {
                    // An adapter whose order is in doubt again is decided by the answer to that order.
                    let adapters = record.adapters_of(&key.name);
                    let freed_adapters =
                        adapters.filter(|adapter| adapter.row.state != ReplicaState::Ordered);
                    freed.extend(freed_adapters.map(|adapter| adapter.row.key.clone()));
                }
                for key in freed {
                    self.free(&key, "the engine confirmed the unload");
                }
            }
            OrderAnswer::Refused { reason } => {
                entry.row.state = ReplicaState::Draining;
                entry.resend_at = now.plus_ms(UNLOAD_RETRY_MS);
                entry.revision += 1;
                let event = LedgerEvent::Refused { key: key.clone(), reason: reason.clone() };
                self.events.push(event);
            }
            OrderAnswer::OldFence => self.mark_superseded(),
            OrderAnswer::NotSent | OrderAnswer::InDoubt => entry.back_off(now),
        }
        self.refresh(key);
    }
}
