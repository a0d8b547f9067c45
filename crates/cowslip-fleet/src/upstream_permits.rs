//! Permits to send requests to upstreams: one member's share for all upstreams.

use cowslip_config::UpstreamRow;
use cowslip_messages::{PeerReport, PermitGrant, PermitHint, PermitRequest, PermitReturn};
use cowslip_units::{ClockTime, IncarnationId, InvariantName, UpstreamId, ViewVersion, assert_invariant};

use crate::share_queue::{GateQueue, PendingValues};
use crate::upstream_share::{LentPermit, UpstreamShare};
use crate::{FleetView, LEND_USABLE_MS, MemberSeeds, RampBudget, VersionTracker, sorted_vec};

/// Owner of a permit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PermitSource {
    /// This member.
    Own,
    /// Another member; unusable for a dispatch from `usable_until` on.
    Borrowed {
        /// The owner.
        lender: IncarnationId,
        /// Sequence number of the borrow call.
        sequence: u64,
        /// From this time on no request may be started with the permit.
        usable_until: ClockTime,
    },
}

/// The right to send one request to an upstream. Pass it to [`UpstreamPermits::start`] at the dispatch, and
/// to [`UpstreamPermits::finish`] in any case.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldPermit {
    /// The upstream that the permit is for.
    pub upstream: UpstreamId,
    /// Owner of the permit.
    pub source: PermitSource,
}

/// A borrow call to send.
#[derive(Clone, Debug, PartialEq)]
pub struct PermitCall {
    /// The member to call.
    pub lender: IncarnationId,
    /// Body of the call.
    pub request: PermitRequest,
}

/// Outcome of [`UpstreamPermits::acquire`].
#[derive(Clone, Debug, PartialEq)]
pub enum PermitStep {
    /// The permit was acquired.
    Granted(HeldPermit),
    /// Send this call and pass the result to [`UpstreamPermits::borrow_answered`].
    Borrow(PermitCall),
    /// According to the last reports, no permit is free.
    Full,
}

#[derive(Clone, Debug, PartialEq)]
struct PermitBorrow {
    sequence: u64,
    lender: IncarnationId,
    upstream: UpstreamId,
    sent_at: ClockTime,
}

/// One member's permits, loans and borrowed permits.
///
/// The caller may dispatch and lend only while its view is confirmed.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamPermits {
    own: IncarnationId,
    version: ViewVersion,
    share_changes: u64,
    gates: GateQueue,
    member_lists: PendingValues<MemberSeeds>,
    upstreams: Vec<UpstreamShare>,
    sequence: u64,
    borrow_calls: Vec<PermitBorrow>,
    /// Borrowed permits not returned: lender and sequence number.
    held: Vec<(IncarnationId, u64)>,
}

impl UpstreamPermits {
    /// A member without upstreams.
    pub fn new(own: IncarnationId) -> Self {
        Self {
            own,
            version: ViewVersion::ZERO,
            share_changes: 0,
            gates: GateQueue::default(),
            member_lists: PendingValues::new(MemberSeeds::default()),
            upstreams: Vec::new(),
            sequence: 0,
            borrow_calls: Vec::new(),
            held: Vec::new(),
        }
    }

    /// Applies the members of the view and the limits of the sheet in force. Call it in the same step as each
    /// change of members or sheet: permits that this member loses are gone at once, gained ones become usable
    /// after the handoff delay.
    pub fn configure(&mut self, view: &FleetView, rows: &[UpstreamRow], now: ClockTime) {
        if view.share_changes() > self.share_changes + 1 {
            // A skipped version may have given this member's permits to others; see `TeamShares::configure`.
            self.member_lists.push(view.version(), MemberSeeds::default());
        }
        self.share_changes = view.share_changes();
        self.member_lists.push(view.version(), MemberSeeds::new(view.members()));
        if view.version() > self.version {
            self.version = view.version();
            self.gates.enqueue(self.version, now);
        }
        for row in rows {
            match sorted_vec::find_mut(&mut self.upstreams, &row.upstream, |share| &share.upstream) {
                Some(share) => share.ramp.set_limits(row.slots, row.fresh_slots, row.ramp_ms),
                None => {
                    let ramp = RampBudget::new(row.slots, row.fresh_slots, row.ramp_ms, now);
                    let share = UpstreamShare::new(row.upstream.clone(), ramp);
                    sorted_vec::put(&mut self.upstreams, share, |share| &share.upstream);
                }
            }
        }
        for share in &mut self.upstreams {
            if sorted_vec::find(rows, &share.upstream, |row| &row.upstream).is_none() {
                share.ramp.set_limits(0, 0, 0);
            }
            share.member_lists_changed();
        }
        self.upstreams.retain(|share| share.ramp.slots() > 0 || share.taken() > 0);
    }

    /// Makes permits usable whose handoff delay is over, and reclaims those lent to processes that are no
    /// longer members.
    pub fn tick(&mut self, tracker: &VersionTracker, now: ClockTime) {
        let Some(version) = self.gates.pop_open(tracker, now) else {
            return;
        };
        self.member_lists.promote(version);
        let member_lists = &self.member_lists;
        for share in &mut self.upstreams {
            share.member_lists_changed();
            share.lent.retain(|lent| member_lists.iter().any(|list| list.contains(&lent.borrower)));
        }
    }

    fn share_mut(&mut self, upstream: &UpstreamId) -> Option<&mut UpstreamShare> {
        sorted_vec::find_mut(&mut self.upstreams, upstream, |share| &share.upstream)
    }

    /// Sets the ramp's age in ms from the placement table; `None` when the upstream takes its full load.
    pub fn set_ramp_age(&mut self, upstream: &UpstreamId, age_ms: Option<u64>, now: ClockTime) {
        if let Some(share) = self.share_mut(upstream) {
            share.ramp.set_ramp_age(age_ms, now);
        }
    }

    /// Restarts the ramp after this process saw that the upstream restarted, or that it or its failure domain
    /// was returned to service.
    pub fn mark_fresh(&mut self, upstream: &UpstreamId, now: ClockTime) {
        if let Some(share) = self.share_mut(upstream) {
            share.ramp.mark_fresh(now);
        }
    }

    /// Limit on requests in flight at the upstream, of all routers together.
    pub fn budget(&self, upstream: &UpstreamId, now: ClockTime) -> u32 {
        let share = sorted_vec::find(&self.upstreams, upstream, |share| &share.upstream);
        share.map_or(0, |share| share.ramp.budget(now))
    }

    /// Own permits for the upstream that are free now.
    pub fn own_free(&mut self, upstream: &UpstreamId, now: ClockTime) -> u32 {
        let (own, member_lists) = (&self.own, &self.member_lists);
        let share = sorted_vec::find_mut(&mut self.upstreams, upstream, |share| &share.upstream);
        share.map_or(0, |share| share.free(own, member_lists, now))
    }

    /// Takes an own permit, or returns the call that borrows one.
    pub fn acquire(&mut self, upstream: &UpstreamId, now: ClockTime) -> PermitStep {
        let (own, member_lists) = (&self.own, &self.member_lists);
        let Some(share) = sorted_vec::find_mut(&mut self.upstreams, upstream, |share| &share.upstream) else {
            return PermitStep::Full;
        };
        if share.free(own, member_lists, now) > 0 {
            share.used += 1;
            check_taken(share, own, member_lists, now);
            let permit = HeldPermit { upstream: upstream.clone(), source: PermitSource::Own };
            return PermitStep::Granted(permit);
        }
        let Some(lender) = share.choose_lender(own, member_lists, now) else {
            return PermitStep::Full;
        };
        self.sequence += 1;
        self.borrow_calls.push(PermitBorrow {
            sequence: self.sequence,
            lender: lender.clone(),
            upstream: upstream.clone(),
            sent_at: now,
        });
        let request = PermitRequest {
            borrower: self.own.clone(),
            upstream: upstream.clone(),
            sequence: self.sequence,
            version: self.version,
        };
        PermitStep::Borrow(PermitCall { lender, request })
    }

    /// Handles the result of a borrow call; `None` if it failed. Returns the permit if one was lent. A failed
    /// call is not retried, and the next report shows the lender that its permit is not held.
    pub fn borrow_answered(
        &mut self,
        lender: &IncarnationId,
        sequence: u64,
        grant: Option<&PermitGrant>,
    ) -> Option<HeldPermit> {
        let at = self
            .borrow_calls
            .iter()
            .position(|borrow| borrow.sequence == sequence && borrow.lender == *lender)?;
        let borrow = self.borrow_calls.swap_remove(at);
        if let Some(share) = self.share_mut(&borrow.upstream) {
            share.hint(lender, grant.map_or(0, |grant| grant.left));
        }
        if !grant.is_some_and(|grant| grant.granted) {
            return None;
        }
        self.held.push((borrow.lender.clone(), sequence));
        let usable_until = borrow.sent_at.plus_ms(LEND_USABLE_MS);
        let source = PermitSource::Borrowed { lender: borrow.lender, sequence, usable_until };
        Some(HeldPermit { upstream: borrow.upstream, source })
    }

    /// True if a request may be sent with the permit now. Call it at the dispatch: the permit may have moved
    /// to another member since it was acquired.
    pub fn start(&mut self, permit: &HeldPermit, now: ClockTime) -> bool {
        match &permit.source {
            PermitSource::Borrowed { usable_until, .. } => now < *usable_until,
            PermitSource::Own => {
                let (own, member_lists) = (&self.own, &self.member_lists);
                sorted_vec::find_mut(&mut self.upstreams, &permit.upstream, |share| &share.upstream)
                    .is_some_and(|share| share.taken() <= share.owned(own, member_lists, now))
            }
        }
    }

    /// Ends the use of a permit, whether or not a request was sent. Returns the message to the lender of a
    /// borrowed one.
    pub fn finish(&mut self, permit: HeldPermit) -> Option<(IncarnationId, PermitReturn)> {
        match permit.source {
            PermitSource::Own => {
                if let Some(share) = self.share_mut(&permit.upstream) {
                    share.used = share.used.saturating_sub(1);
                }
                None
            }
            PermitSource::Borrowed { lender, sequence, .. } => {
                self.held.retain(|(name, held)| *held != sequence || *name != lender);
                let borrower = self.own.clone();
                Some((lender, PermitReturn { borrower, upstream: permit.upstream, sequence }))
            }
        }
    }

    /// Answers a borrow call. The permit is deducted before the answer is sent. Nothing is lent while the own
    /// view is not confirmed (`can_admit`) or is older than the borrower's, or to a process that is not a
    /// member.
    pub fn lend(&mut self, request: &PermitRequest, can_admit: bool, now: ClockTime) -> PermitGrant {
        let (own, member_lists) = (&self.own, &self.member_lists);
        let is_member = member_lists.newest().is_some_and(|list| list.contains(&request.borrower));
        let current = can_admit && request.version <= self.version && is_member;
        let share = sorted_vec::find_mut(&mut self.upstreams, &request.upstream, |share| &share.upstream);
        let Some(share) = share else {
            return PermitGrant { granted: false, left: 0 };
        };
        let lent = LentPermit { borrower: request.borrower.clone(), sequence: request.sequence };
        let granted = match share.lent.binary_search(&lent) {
            Ok(_) => true,
            Err(at) if current && share.free(own, member_lists, now) > 0 => {
                share.lent.insert(at, lent);
                check_taken(share, own, member_lists, now);
                true
            }
            Err(_) => false,
        };
        PermitGrant { granted, left: share.free(own, member_lists, now) }
    }

    /// Records that a borrower returned a permit; a repeated return has no effect.
    pub fn returned(&mut self, message: &PermitReturn) {
        if let Some(share) = self.share_mut(&message.upstream) {
            share.lent.retain(|lent| lent.sequence != message.sequence || lent.borrower != message.borrower);
        }
    }

    /// Applies free permits from a peer's report, and reclaims permits lent to the peer that it does not
    /// hold, because the grant or the return was lost. Sequence numbers are never reused, so a late report
    /// reclaims nothing that is in use.
    pub fn on_report(&mut self, report: &PeerReport) {
        for hint in &report.permits {
            if let Some(share) = self.share_mut(&hint.upstream) {
                share.hint(&report.incarnation, hint.free);
            }
        }
        for share in &mut self.upstreams {
            share.lent.retain(|lent| {
                lent.borrower != report.incarnation
                    || lent.sequence > report.permits_done_before
                    || report.permits_held.contains(&lent.sequence)
            });
        }
    }

    /// Free own permits of the upstreams that this member uses. For other upstreams, peers assume that all of
    /// its permits are free.
    pub fn hints(&mut self, now: ClockTime) -> Vec<PermitHint> {
        let (own, member_lists) = (&self.own, &self.member_lists);
        let hint = |share: &mut UpstreamShare| PermitHint {
            upstream: share.upstream.clone(),
            free: share.free(own, member_lists, now),
        };
        self.upstreams.iter_mut().filter(|share| share.is_in_use()).map(hint).collect()
    }

    /// Sequence numbers of permits borrowed from `lender` and not returned.
    pub fn held_from(&self, lender: &IncarnationId) -> Vec<u64> {
        self.held.iter().filter(|(name, _)| name == lender).map(|(_, sequence)| *sequence).collect()
    }

    /// Sequence number up to which all borrow calls were answered or timed out.
    pub fn done_before(&self) -> u64 {
        self.borrow_calls.iter().map(|borrow| borrow.sequence - 1).min().unwrap_or(self.sequence)
    }
}

fn check_taken(
    share: &mut UpstreamShare,
    own: &IncarnationId,
    member_lists: &PendingValues<MemberSeeds>,
    now: ClockTime,
) {
    let (taken, owned) = (share.taken(), share.owned(own, member_lists, now));
    assert_invariant(taken <= owned, InvariantName::FreshProtected, || {
        format!("{taken} permits of {} in use, but only {owned} owned", share.upstream)
    });
}
