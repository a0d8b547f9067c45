//! A ledger row with the state that this leader keeps about it in memory.

use cowslip_messages::ReplicaState;
use cowslip_units::{ClockTime, FencingToken, OrderId};
use smol_str::SmolStr;

use crate::{EngineOrder, LedgerRow, OrderAction, OrderIssuer, RowKind};

/// First delay before an order in doubt is resent, in ms; doubles up to [`MAX_RESEND_MS`].
pub(crate) const MIN_RESEND_MS: u64 = 250;
/// Longest delay before an order in doubt is resent, in ms.
const MAX_RESEND_MS: u64 = 4_000;

/// A ledger row and its in-memory state.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct LedgerEntry {
    /// The row as it should be in the table service.
    pub(crate) row: LedgerRow,
    /// Incremented by each change of the row.
    pub(crate) revision: u64,
    /// Revision of the last committed change; 0 if the row was never written.
    pub(crate) committed_revision: u64,
    /// True when the next batch deletes the row.
    pub(crate) pending_delete: bool,
    /// The order whose call is in flight.
    pub(crate) in_flight: Option<OrderId>,
    /// True when a load order of this leader may have reached the engine.
    pub(crate) attempted: bool,
    /// True when the engine does not hold the row's model, but the order of an issuer may still load it.
    pub(crate) absent: bool,
    /// When all other issuers were first seen to have released their orders or to be gone.
    pub(crate) issuers_finished_at: Option<ClockTime>,
    /// True when the boot that answered the load order is known (`row.boot`).
    pub(crate) verified: bool,
    /// True when the last report lists the model although the order is unanswered.
    pub(crate) reported_loaded: bool,
    /// Earliest time of the next attempt.
    pub(crate) resend_at: ClockTime,
    /// Delay in ms after the next failed attempt.
    pub(crate) resend_ms: u64,
    /// Boot of the engine that was known when the order was last sent.
    pub(crate) sent_boot: Option<SmolStr>,
    /// When the load was confirmed, or the row was adopted.
    pub(crate) confirmed_at: ClockTime,
}

impl LedgerEntry {
    /// An entry whose row is not yet in the table service.
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

    /// Whether the order may be sent now.
    pub(crate) fn is_order_due(&self, now: ClockTime) -> bool {
        let has_open_order = matches!(self.row.state, ReplicaState::Ordered | ReplicaState::Unloading);
        let is_idle = self.in_flight.is_none() && !self.pending_delete && !self.absent;
        has_open_order && is_idle && self.committed_revision == self.revision && self.resend_at <= now
    }

    /// The order that follows from the row's state.
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

    /// Whether a load order of another leader may still reach the engine.
    pub(crate) fn has_foreign_issuer(&self, own_issuer: &OrderIssuer) -> bool {
        self.row.issuers.iter().any(|issuer| issuer != own_issuer)
    }

    /// Returns the row to the ordered state, so that the same load order is sent again.
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

    /// Delays the next attempt, with exponential backoff.
    pub(crate) fn back_off(&mut self, now: ClockTime) {
        self.resend_at = now.plus_ms(self.resend_ms);
        self.resend_ms = (self.resend_ms * 2).min(MAX_RESEND_MS);
    }

    /// Removes issuers whose load order can no longer take effect, after the engine answered an order that
    /// carries this leader's fencing token. An engine that checks fencing tokens rejects all older orders
    /// from then on.
    pub(crate) fn remove_void_issuers(&mut self, own_issuer: &OrderIssuer, checks_fencing: bool) {
        if checks_fencing {
            self.row.issuers.clear();
        } else {
            self.row.issuers.retain(|issuer| issuer != own_issuer);
        }
    }
}
