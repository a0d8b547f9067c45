//! A ledger row with what this leader knows about it beyond the table.

use cowslip_messages::ReplicaState;
use cowslip_units::{ClockTime, FencingToken, OrderId};
use smol_str::SmolStr;

use crate::{EngineOrder, LedgerRow, OrderAction, OrderIssuer, RowKind};

/// First wait before an order in doubt is sent again, in ms; doubles up to [`MAX_RESEND_MS`].
pub(crate) const MIN_RESEND_MS: u64 = 250;
/// Longest wait before an order in doubt is sent again, in ms.
const MAX_RESEND_MS: u64 = 4_000;

/// A row and its local state.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct LedgerEntry {
    /// The row as it should be in the table.
    pub(crate) row: LedgerRow,
    /// Counts changes of the row.
    pub(crate) revision: u64,
    /// Stamp of the last committed change.
    pub(crate) committed_revision: u64,
    /// The row is deleted with the next batch.
    pub(crate) pending_delete: bool,
    /// The order whose call is under way.
    pub(crate) in_flight: Option<OrderId>,
    /// A load order of this leader may have reached the engine.
    pub(crate) attempted: bool,
    /// The engine does not hold the row's model, but an issuer may still load it.
    pub(crate) absent: bool,
    /// When all issuers but this leader were first known to have given up or to be gone.
    pub(crate) issuers_finished_at: Option<ClockTime>,
    /// The boot in which the load order was answered is known: `row.boot`.
    pub(crate) verified: bool,
    /// The last report listed the model although the order's answer is missing.
    pub(crate) reported_loaded: bool,
    /// Time from which the order may be sent again.
    pub(crate) resend_at: ClockTime,
    /// Next wait before a repeated order in ms.
    pub(crate) resend_ms: u64,
    /// The engine's boot as known when the order was last sent.
    pub(crate) sent_boot: Option<SmolStr>,
    /// When the load was confirmed or adopted.
    pub(crate) confirmed_at: ClockTime,
}

impl LedgerEntry {
    /// A new entry whose row is not in the table yet.
    pub(crate) fn new(row: LedgerRow, now: ClockTime) -> Self {
        Self {
            row,
            revision: 1,
            committed_revision: 0,
            pending_delete: false,
            in_flight: None,
            attempted: false,
            absent: false,
            issuers_finished_at: None,
            verified: false,
            reported_loaded: false,
            resend_at: ClockTime::ZERO,
            resend_ms: MIN_RESEND_MS,
            sent_boot: None,
            confirmed_at: now,
        }
    }

    /// Whether its order may be sent now.
    pub(crate) fn is_order_due(&self, now: ClockTime) -> bool {
        let state = matches!(self.row.state, ReplicaState::Ordered | ReplicaState::Unloading);
        let idle = self.in_flight.is_none() && !self.pending_delete && !self.absent;
        state && idle && self.committed_revision == self.revision && self.resend_at <= now
    }

    /// The order that the row's state asks for.
    pub(crate) fn order(&self, fence: FencingToken) -> EngineOrder {
        let row = &self.row;
        let (order, action) = match (&row.unload, row.state, row.key.kind) {
            (Some(unload), ReplicaState::Unloading, _) => (unload.clone(), OrderAction::Unload),
            (_, _, RowKind::Replica) => {
                (row.order.clone(), OrderAction::Load { memory: row.memory, load_ms: row.load_ms })
            }
            (_, _, RowKind::Adapter) => {
                let model = row.base.clone();
                let action = OrderAction::LoadAdapter { model, memory: row.memory, load_ms: row.load_ms };
                (row.order.clone(), action)
            }
        };
        EngineOrder { key: row.key.clone(), order, fence, action }
    }

    /// Whether a load order of another leader may still arrive.
    pub(crate) fn has_foreign_issuer(&self, own_issuer: &OrderIssuer) -> bool {
        self.row.issuers.iter().any(|issuer| issuer != own_issuer)
    }

    /// Puts the row back into doubt: the same load order is sent again.
    pub(crate) fn reissue(&mut self, own_issuer: &OrderIssuer) {
        self.row.state = ReplicaState::Ordered;
        self.row.epoch = own_issuer.epoch;
        self.row.boot = None;
        self.row.unload = None;
        self.row.issuers.push(own_issuer.clone());
        self.row.issuers.sort();
        self.row.issuers.dedup();
        self.verified = false;
        self.absent = false;
        self.reported_loaded = false;
        self.revision += 1;
    }

    /// Delays the next attempt.
    pub(crate) fn back_off(&mut self, now: ClockTime) {
        self.resend_at = now.plus_ms(self.resend_ms);
        self.resend_ms = (self.resend_ms * 2).min(MAX_RESEND_MS);
    }

    /// Forgets issuers whose load order can no longer take effect, after the engine answered an order that
    /// carries this leader's fencing number. An engine that checks fencing refuses all older ones from now on.
    pub(crate) fn remove_void_issuers(&mut self, own_issuer: &OrderIssuer, checks_fencing: bool) {
        if checks_fencing {
            self.row.issuers.clear();
        } else {
            self.row.issuers.retain(|issuer| issuer != own_issuer);
        }
    }
}
