//! Leader lease as seen by its holder and by candidates.

use cowslip_platform::{PlatformError, RowValue, TableTransaction, TransactionOutcome};
use cowslip_units::{ClockTime, FencingToken, StoreEra};

use crate::observed_row::ObservedRow;
use crate::{LEASE_EPOCH_PREFIX, LEASE_KEY, LeaseHolder, LeaseRow, LeaseStep, LeaseTimes, epoch_key};

#[derive(Clone, Debug, PartialEq)]
enum LeaseRole {
    Candidate,
    Holder,
    Releasing,
    Released,
}

/// A write whose result is not known yet.
#[derive(Clone, Debug, PartialEq)]
struct SentWrite {
    row: LeaseRow,
    /// Send time of the first write of this row: any of the retries may be the one that took effect.
    first_sent_at: ClockTime,
    in_doubt: bool,
}

/// One controller's state for the leader lease.
///
/// The caller loops: call [`next`](Self::next), carry out the step, pass the result back. Calls must have a
/// timeout of at most 500 ms. The lease is judged by this process's own monotonic clock only; no time is
/// written to the row.
///
/// A store that is restored from a backup begins a new era, assigns version numbers a second time, and may have
/// lost the last takeovers. So nothing that was read or sent in an earlier era gives a lease: a holder reads the
/// row again, and a candidate waits a whole lease from its first read in the new era, because the last holder of
/// the earlier one may act until then. An epoch of an earlier era is never held in a later one.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaderLease {
    own: LeaseHolder,
    times: LeaseTimes,
    role: LeaseRole,
    seen: Option<ObservedRow>,
    sent: Option<SentWrite>,
    /// Send time of the last renewal that took effect.
    valid_from: Option<ClockTime>,
    /// Send time of the step in progress.
    step_at: ClockTime,
    next_at: ClockTime,
    highest_epoch: FencingToken,
    /// The newest known era of the store.
    era: StoreEra,
    /// Version of the holder's row and its time of renewal, as reported by the holder.
    reported_renewal: Option<(u64, ClockTime)>,
    /// When the previous holder's row was first seen, which is later than its last renewal, and whether that
    /// holder released the lease.
    previous_holder: Option<(ClockTime, bool)>,
    /// Least time in ms for which earlier processes of this VM held the lease that this process took over.
    same_vm_held_ms: Option<u64>,
    /// Own epoch that this process resigned without writing the row.
    abandoned_epoch: Option<FencingToken>,
    /// Epoch that its holder reported as resigned.
    released_epoch: Option<FencingToken>,
    /// True when the last write failed.
    failing: bool,
    /// Size of the fleet to write with the next renewal.
    members: u32,
    /// True when earlier processes of this VM are certain to have ended once this one runs.
    replaces_predecessor: bool,
}

impl LeaderLease {
    /// A candidate that has not read the row.
    pub fn new(own: LeaseHolder) -> Self {
        Self {
            own,
            times: LeaseTimes::default(),
            role: LeaseRole::Candidate,
            seen: None,
            sent: None,
            valid_from: None,
            step_at: ClockTime::ZERO,
            next_at: ClockTime::ZERO,
            highest_epoch: FencingToken::ZERO,
            era: StoreEra::ZERO,
            reported_renewal: None,
            previous_holder: None,
            same_vm_held_ms: None,
            abandoned_epoch: None,
            released_epoch: None,
            failing: false,
            members: 0,
            replaces_predecessor: false,
        }
    }

    /// Sets the timing parameters. The lease's validity must be the same for all candidates; a candidate may
    /// wait longer than others before a takeover.
    #[must_use]
    pub fn with_times(mut self, times: LeaseTimes) -> Self {
        self.times = times;
        self
    }

    /// Allows an immediate takeover from an earlier process of the same VM. Only for a process that cannot
    /// run at the same time as its predecessor, for instance because both listen at the VM's address.
    #[must_use]
    pub fn with_replaced_predecessor(mut self) -> Self {
        self.replaces_predecessor = true;
        self
    }

    /// Changes the timing parameters; see [`with_times`](Self::with_times).
    pub fn set_times(&mut self, times: LeaseTimes) {
        self.times = times;
    }

    /// Sets the fleet size that the next renewal writes. After all processes were killed, the row is the only
    /// source of the fleet size.
    pub fn set_members(&mut self, members: u32) {
        self.members = members;
    }

    /// Fleet size according to the row as last read; `None` before the first read, zero when the row does not
    /// have it.
    pub fn members(&self) -> Option<u32> {
        self.seen.as_ref().map(|seen| seen.row.members)
    }

    /// Version of the own row and send time of the write that renewed it, while this process holds the lease.
    pub fn renewal(&self, now: ClockTime) -> Option<(u64, ClockTime)> {
        self.epoch(now)?;
        Some((self.seen.as_ref()?.row_version?, self.valid_from?))
    }

    /// Records that the holder reported a renewal of its row, which got this version, at `at` or before. A
    /// candidate that later finds the row unchanged waits from that time instead of from its first read of
    /// the version.
    pub fn observe_renewal(&mut self, row_version: u64, at: ClockTime) {
        self.reported_renewal = Some((row_version, at));
    }

    /// Latest time at which an earlier holder may have acted if it acts for at most `acts_ms` after each
    /// renewal; `None` when there was no holder before the epoch of this process.
    pub fn previous_holder_until(&self, acts_ms: u64, now: ClockTime) -> Option<ClockTime> {
        let seen = self.seen.as_ref()?;
        if seen.row.epoch.get() <= 1 {
            return None;
        }
        let (since, released) = self.previous_holder.unwrap_or((now, false));
        Some(if released { since } else { since.plus_ms(acts_ms) })
    }

    /// Least time in ms for which earlier processes of this VM held the lease that this process took over,
    /// and during which no other VM acted; `None` when another VM held it before.
    pub fn same_vm_held_ms(&self) -> Option<u64> {
        self.same_vm_held_ms
    }

    /// Time from which this holder may act so that at least `gap_ms` lie between its acts and those of earlier
    /// holders, which act for at most `acts_ms` after each renewal. A restarted VM that held the lease long
    /// enough before is the only one that can have acted.
    pub fn acts_from(&self, acts_ms: u64, gap_ms: u64, now: ClockTime) -> ClockTime {
        let is_sole = self.same_vm_held_ms.is_some_and(|held_ms| held_ms >= acts_ms + gap_ms);
        match self.previous_holder_until(acts_ms, now) {
            Some(until) if !is_sole => until.plus_ms(gap_ms).max(now),
            _ => now,
        }
    }

    /// The epoch in which this process may act as leader now; `None` when it must not act.
    pub fn epoch(&self, now: ClockTime) -> Option<FencingToken> {
        let from = self.valid_from.filter(|_| self.role == LeaseRole::Holder)?;
        let row = &self.seen.as_ref()?.row;
        (now.since_ms(from) < self.times.valid_ms).then_some(row.epoch)
    }

    /// True while this process may act as leader.
    pub fn is_leader(&self, now: ClockTime) -> bool {
        self.epoch(now).is_some()
    }

    /// Holder according to the row as last read; `None` before the first read, after a release, or when the
    /// row does not exist.
    pub fn holder(&self) -> Option<&LeaseHolder> {
        self.seen.as_ref()?.row.holder.as_ref()
    }

    /// Epoch of the row as last read; `None` before the first read.
    pub fn observed_epoch(&self) -> Option<FencingToken> {
        self.seen.as_ref().map(|seen| seen.row.epoch)
    }

    /// Epoch of the write whose result is not known yet.
    pub fn pending_epoch(&self) -> Option<FencingToken> {
        self.sent.as_ref().map(|sent| sent.row.epoch)
    }

    /// The newest known era of the store.
    pub fn era(&self) -> StoreEra {
        self.era
    }

    /// The highest epoch that must not be used any more.
    pub fn highest_epoch(&self) -> FencingToken {
        self.highest_epoch
    }

    /// Adds the condition that no later epoch was taken; `None` when this process must not act. The row of
    /// the next epoch is written by a takeover only, not by renewals, so a renewal never fails an unrelated
    /// write.
    pub fn fence(&self, transaction: TableTransaction, now: ClockTime) -> Option<TableTransaction> {
        let epoch = self.epoch(now)?;
        Some(transaction.with_absent(&epoch_key(epoch.next())))
    }

    /// When this candidate may take over, if the row that it last read does not change until then; `None`
    /// when it is not a candidate or has not read the row.
    pub fn takeover_at(&self) -> Option<ClockTime> {
        let seen = self.seen.as_ref().filter(|_| self.role == LeaseRole::Candidate)?;
        Some(self.takeover_due(seen))
    }

    /// Releases the lease for a planned stop: this process does not act from now on.
    pub fn release(&mut self, now: ClockTime) {
        if self.role == LeaseRole::Holder || self.sent.is_some() {
            self.role = LeaseRole::Releasing;
            self.next_at = now;
        } else {
            self.role = LeaseRole::Released;
        }
    }

    /// Resigns the lease to another process that reaches the store while this one does not: the row still
    /// names this process, which neither acts nor renews it from now on.
    pub fn abandon(&mut self, now: ClockTime) {
        if self.role != LeaseRole::Holder {
            return;
        }
        self.abandoned_epoch = self.seen.as_ref().map(|seen| seen.row.epoch);
        self.role = LeaseRole::Candidate;
        self.valid_from = None;
        self.sent = None;
        self.next_at = now.plus_ms(self.times.poll_ms);
    }

    /// Records that the holder of that epoch reported its resignation, so a candidate need not wait until its
    /// lease expires.
    pub fn observe_release(&mut self, epoch: FencingToken) {
        self.released_epoch = self.released_epoch.max(Some(epoch));
    }

    /// Records that another process reported this epoch as taken. A candidate that hears of an epoch of a later
    /// store era reads the row again before it takes over.
    pub fn observe_epoch(&mut self, epoch: FencingToken) {
        if epoch <= self.highest_epoch {
            return;
        }
        self.highest_epoch = epoch;
        if epoch.era() > self.era && self.role == LeaseRole::Candidate {
            self.seen = None;
        }
    }

    /// Records the newest known era of the store. A write that was sent in an earlier one gives no lease, even
    /// if it takes effect.
    pub fn observe_era(&mut self, era: StoreEra) {
        if era <= self.era {
            return;
        }
        self.era = era;
        self.highest_epoch = self.highest_epoch.max(FencingToken::before_era(era));
        if let Some(sent) = self.sent.take() {
            self.abandoned_epoch = Some(sent.row.epoch);
        }
    }

    /// True while this process holds the lease and its last write failed.
    pub fn is_failing(&self) -> bool {
        self.failing && self.role == LeaseRole::Holder
    }

    /// True until the release is written to the row.
    pub fn is_releasing(&self) -> bool {
        self.role == LeaseRole::Releasing
    }

    /// True once the release is complete.
    pub fn is_released(&self) -> bool {
        self.role == LeaseRole::Released
    }

    /// The step to carry out now.
    pub fn next(&mut self, now: ClockTime) -> LeaseStep {
        if self.role == LeaseRole::Released {
            return LeaseStep::Idle(ClockTime::NEVER);
        }
        if now < self.next_at {
            return LeaseStep::Idle(self.next_at);
        }
        self.step_at = now;
        if self.sent.as_ref().is_some_and(|sent| sent.in_doubt) {
            return LeaseStep::Read;
        }
        let Some(seen) = self.seen.clone().filter(|seen| seen.era == self.era) else {
            return LeaseStep::Read;
        };
        match self.role {
            LeaseRole::Holder => self.commit(&seen, Some(self.own.clone()), seen.row.epoch),
            LeaseRole::Releasing if seen.row.holder.as_ref() == Some(&self.own) => {
                self.commit(&seen, None, seen.row.epoch)
            }
            LeaseRole::Candidate if self.can_take_over(&seen, now) => {
                let epoch = self.highest_epoch.next();
                self.commit(&seen, Some(self.own.clone()), epoch)
            }
            LeaseRole::Candidate | LeaseRole::Releasing | LeaseRole::Released => LeaseStep::Read,
        }
    }

    fn can_take_over(&self, seen: &ObservedRow, now: ClockTime) -> bool {
        now >= self.takeover_due(seen)
    }

    /// True for a row of an older backup of the store, which does not identify the last holder.
    fn is_outdated(&self, row: &LeaseRow) -> bool {
        row.epoch < self.highest_epoch
    }

    /// When the row may be taken over if it does not change.
    fn takeover_due(&self, seen: &ObservedRow) -> ClockTime {
        let epoch = Some(seen.row.epoch);
        match &seen.row.holder {
            _ if self.is_outdated(&seen.row) => seen.since.plus_ms(self.times.takeover_ms),
            None => seen.since,
            Some(_) if epoch == self.released_epoch => seen.since,
            Some(_) if epoch == self.abandoned_epoch => seen.since.plus_ms(self.times.takeover_ms),
            Some(_) if self.replaces_predecessor && seen.row.is_held_by(&self.own.vm) => seen.since,
            Some(_) => seen.since.plus_ms(self.times.takeover_ms),
        }
    }

    fn commit(&mut self, seen: &ObservedRow, holder: Option<LeaseHolder>, epoch: FencingToken) -> LeaseStep {
        let is_takeover = epoch != seen.row.epoch;
        let renewals = if is_takeover { 0 } else { seen.row.renewals + 1 };
        let again = |sent: &&SentWrite| {
            (&sent.row.holder, sent.row.epoch, sent.row.renewals) == (&holder, epoch, renewals)
        };
        // A retry must write the same row, so that it does not matter which of the two writes takes effect.
        let repeated = self.sent.as_ref().filter(again).map(|sent| sent.row.members);
        let members = repeated.unwrap_or(if is_takeover { seen.row.members } else { self.members });
        let earlier_ms = if is_takeover {
            self.same_vm_lease_ms(seen, epoch).unwrap_or_default()
        } else {
            seen.row.earlier_ms
        };
        let row = LeaseRow { holder, epoch, renewals, members, earlier_ms };
        let Ok(value) = serde_json::to_string(&row) else {
            return LeaseStep::Idle(self.next_at);
        };
        let repeated = self.sent.take().filter(|sent| sent.row == row);
        let first_sent_at = repeated.map_or(self.step_at, |sent| sent.first_sent_at);
        self.sent = Some(SentWrite { row, first_sent_at, in_doubt: false });
        let transaction = match seen.row_version {
            Some(version) => TableTransaction::new().with_version(LEASE_KEY, version),
            None => TableTransaction::new().with_absent(LEASE_KEY),
        };
        let transaction = transaction.with_put(LEASE_KEY, value);
        if !is_takeover {
            return LeaseStep::Commit(transaction);
        }
        let epoch_row = epoch_key(epoch);
        LeaseStep::Commit(
            transaction.with_absent(&epoch_row).with_put(&epoch_row, self.own.incarnation.to_string()),
        )
    }

    /// Handles the result of [`LeaseStep::Read`]. `era` is the newest known era of the store, and that of the
    /// row.
    pub fn read_answered(
        &mut self,
        result: &Result<Option<RowValue>, PlatformError>,
        era: StoreEra,
        now: ClockTime,
    ) {
        self.observe_era(era);
        match result {
            Ok(row) => self.observe(row.as_ref(), now),
            Err(_) => self.next_at = now.plus_ms(self.times.retry_ms),
        }
    }

    /// Handles the result of [`LeaseStep::Commit`]. `era` is the newest known era of the store, and that of the
    /// outcome.
    pub fn commit_answered(
        &mut self,
        result: &Result<TransactionOutcome, PlatformError>,
        era: StoreEra,
        now: ClockTime,
    ) {
        self.observe_era(era);
        self.failing = result.is_err();
        match result {
            Ok(outcome) if outcome.committed => {
                let Some(sent) = self.sent.as_mut() else { return };
                // Of all writes of this row, only the last can have had this result.
                sent.first_sent_at = self.step_at;
                let sent = sent.clone();
                let written = outcome
                    .versions
                    .first()
                    .zip(serde_json::to_string(&sent.row).ok())
                    .map(|(version, value)| RowValue { key: LEASE_KEY.into(), version: *version, value });
                self.observe(written.as_ref(), now);
            }
            Ok(outcome) => {
                let taken = outcome.rows.iter().filter_map(|row| row.key.strip_prefix(LEASE_EPOCH_PREFIX));
                let taken = taken.filter_map(|digits| digits.parse().ok()).max();
                self.highest_epoch = self.highest_epoch.max(taken.unwrap_or_default());
                let row = outcome.rows.iter().find(|row| row.key == LEASE_KEY);
                self.observe(row, now);
            }
            Err(error) => {
                if let Some(sent) = self.sent.as_mut() {
                    sent.in_doubt |= error.in_doubt();
                }
                self.next_at = now.plus_ms(self.times.retry_ms);
            }
        }
    }

    /// Updates the state from the row as the store has it.
    fn observe(&mut self, value: Option<&RowValue>, now: ClockTime) {
        let row_version = value.map(|value| value.version);
        let row = match value.map(|value| serde_json::from_str::<LeaseRow>(&value.value)) {
            Some(Ok(row)) => row,
            // A row that cannot be parsed counts as held and is replaced after the full wait.
            Some(Err(_)) => LeaseRow { holder: Some(unreadable_holder()), ..LeaseRow::default() },
            None => LeaseRow::default(),
        };
        let same = self.seen.as_ref().filter(|seen| (seen.era, seen.row_version) == (self.era, row_version));
        let reported_at =
            self.reported_renewal.filter(|(version, _)| Some(*version) == row_version).map(|(_, at)| at);
        let since = same.map_or(now, |seen| seen.since).min(reported_at.unwrap_or(now));
        let outdated = self.is_outdated(&row);
        self.highest_epoch = self.highest_epoch.max(row.epoch);
        let is_continued = same.map_or_else(|| self.is_continued(&row, now), |seen| seen.is_continued);
        let own =
            row.holder.as_ref() == Some(&self.own) && self.abandoned_epoch != Some(row.epoch) && !outdated;
        if own && self.role == LeaseRole::Candidate {
            self.record_previous_holder(row.epoch);
        }
        if own {
            self.hold(&row);
        } else {
            self.lose(&row);
        }
        self.seen = Some(ObservedRow { era: self.era, row_version, row, since, is_continued });
        self.next_at = match self.role {
            LeaseRole::Holder => {
                let renewed = self.valid_from.unwrap_or_default().plus_ms(self.times.renew_ms);
                renewed.max(self.step_at)
            }
            LeaseRole::Candidate => self.candidate_at(now),
            LeaseRole::Releasing | LeaseRole::Released => now,
        };
    }

    /// True when `row`, the first one read in an era, is that of the lease which this process still holds.
    fn is_continued(&self, row: &LeaseRow, now: ClockTime) -> bool {
        let held = self.seen.as_ref().filter(|seen| seen.era < self.era && self.is_leader(now));
        held.is_some_and(|held| row.holder.as_ref() == Some(&self.own) && row.epoch == held.row.epoch)
    }

    /// Records the previous holder when this process takes over in `epoch`.
    fn record_previous_holder(&mut self, epoch: FencingToken) {
        let Some(previous) = &self.seen else { return };
        let is_released = previous.row.holder.is_none() || self.released_epoch == Some(previous.row.epoch);
        let previous_holder = (previous.since, is_released && previous.names_last_holder(epoch));
        let held_ms = self.same_vm_lease_ms(previous, epoch);
        self.previous_holder = Some(previous_holder);
        self.same_vm_held_ms = held_ms;
    }

    /// Least time in ms for which processes of this VM have held the lease of a row that is taken over in
    /// `epoch`; `None` when another VM holds it, or may have held it since.
    fn same_vm_lease_ms(&self, seen: &ObservedRow, epoch: FencingToken) -> Option<u64> {
        let is_own = self.replaces_predecessor && seen.row.is_held_by(&self.own.vm);
        let own = is_own && seen.names_last_holder(epoch);
        own.then(|| seen.row.earlier_ms + seen.row.renewals * self.times.renew_ms)
    }

    fn candidate_at(&self, now: ClockTime) -> ClockTime {
        let poll = self.step_at.plus_ms(self.times.poll_ms);
        match &self.seen {
            Some(seen) => poll.min(self.takeover_due(seen)).max(now),
            None => poll,
        }
    }

    fn hold(&mut self, row: &LeaseRow) {
        let written = self.sent.as_ref().filter(|sent| sent.row == *row).map(|sent| sent.first_sent_at);
        if written.is_some() {
            self.valid_from = written;
            self.sent = None;
        } else if let Some(sent) = self.sent.as_mut() {
            // The write has not taken effect but still may; the next step retries it.
            sent.in_doubt = false;
        }
        if self.role == LeaseRole::Candidate {
            self.role = LeaseRole::Holder;
        }
    }

    fn lose(&mut self, row: &LeaseRow) {
        self.valid_from = None;
        match self.role {
            LeaseRole::Holder => self.role = LeaseRole::Candidate,
            // A takeover in flight is not awaited: the lease that it takes expires by itself.
            LeaseRole::Releasing => self.role = LeaseRole::Released,
            LeaseRole::Candidate | LeaseRole::Released => {}
        }
        let superseded = self.seen.as_ref().is_some_and(|seen| seen.row != *row);
        match self.sent.as_mut() {
            Some(_) if superseded => self.sent = None,
            Some(sent) => sent.in_doubt = false,
            None => {}
        }
    }
}

/// Placeholder holder for a row that cannot be parsed.
fn unreadable_holder() -> LeaseHolder {
    LeaseHolder { vm: Default::default(), incarnation: Default::default() }
}
