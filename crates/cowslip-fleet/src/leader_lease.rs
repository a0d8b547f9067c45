//! The leader lease: the holder's and the candidate's side.

use cowslip_platform::{PlatformError, RowValue, TableTransaction, TransactionOutcome};
use cowslip_units::{ClockTime, FencingToken};

use crate::{LEASE_EPOCH_PREFIX, LEASE_KEY, LeaseHolder, LeaseRow, LeaseTimes, epoch_key};

/// What a controller does next about the lease.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseStep {
    /// Nothing until this time.
    Idle(ClockTime),
    /// Read the row [`LEASE_KEY`] and pass the result to [`LeaderLease::read_answered`].
    Read,
    /// Commit this and pass the result to [`LeaderLease::commit_answered`].
    Commit(TableTransaction),
}

/// The lease row as last read.
#[derive(Clone, Debug, PartialEq)]
struct SeenRow {
    row_version: Option<u64>,
    row: LeaseRow,
    /// When the answer with this version first arrived. The version was written before that.
    since: ClockTime,
}

#[derive(Clone, Debug, PartialEq)]
enum LeaseRole {
    Candidate,
    Holder,
    Releasing,
    Released,
}

/// A write that was sent and not answered, or is being answered.
#[derive(Clone, Debug, PartialEq)]
struct SentWrite {
    row: LeaseRow,
    /// Send time of the first write of this row: any of the repeated writes may be the one that took effect.
    first_sent_at: ClockTime,
    in_doubt: bool,
}

/// One controller's part in the leader lease.
///
/// The caller loops: [`next`](Self::next), carry the step out, pass the result back. Calls have a time-out of at
/// most 500 ms. The lease is judged by this process's own monotonic clock only; no time is written to the row.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaderLease {
    own: LeaseHolder,
    times: LeaseTimes,
    role: LeaseRole,
    seen: Option<SeenRow>,
    sent: Option<SentWrite>,
    /// Send time of the last renewal that took effect.
    valid_from: Option<ClockTime>,
    /// Send time of the step in progress.
    step_at: ClockTime,
    next_at: ClockTime,
    highest_epoch: FencingToken,
    /// Version of the holder's row and when it was renewed, as the holder told.
    told: Option<(u64, ClockTime)>,
    /// When the row of the holder before was first seen, which is later than its last renewal, and whether it said that
    /// the lease was given up.
    earlier: Option<(ClockTime, bool)>,
    /// Time in ms for which an earlier process of this VM held the lease at least that this one took over.
    same_vm_held_ms: Option<u64>,
    /// The own epoch that this process has given up without the store.
    given_up: Option<FencingToken>,
    /// An epoch that its holder said it has given up.
    observe_release: Option<FencingToken>,
    /// True when the last write failed.
    failing: bool,
    /// Members of the fleet to write with the next renewal.
    members: u32,
    /// True when an earlier process of this VM has ended for sure once this one runs.
    replaces_own: bool,
}

impl LeaderLease {
    /// A candidate that knows nothing yet.
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
            told: None,
            earlier: None,
            same_vm_held_ms: None,
            given_up: None,
            observe_release: None,
            failing: false,
            members: 0,
            replaces_own: false,
        }
    }

    /// Sets the times. The lease's validity must be the same for all candidates; one may wait longer than others before
    /// it takes over.
    #[must_use]
    pub fn with_times(mut self, times: LeaseTimes) -> Self {
        self.times = times;
        self
    }

    /// Takes a lease over at once that an earlier process of the same VM holds. Only for a process that cannot run beside
    /// its predecessor, for instance because both listen at the VM's address.
    #[must_use]
    pub fn with_replaced_predecessor(mut self) -> Self {
        self.replaces_own = true;
        self
    }

    /// Changes the times; see [`with_times`](Self::with_times).
    pub fn set_times(&mut self, times: LeaseTimes) {
        self.times = times;
    }

    /// Sets the number of the fleet's members that the next renewal writes. Processes that start after all were killed
    /// know of each other only what the row says.
    pub fn set_members(&mut self, members: u32) {
        self.members = members;
    }

    /// Members of the fleet as the row last said; `None` before the row was read, zero when it does not say.
    pub fn members(&self) -> Option<u32> {
        self.seen.as_ref().map(|seen| seen.row.members)
    }

    /// The version of the own row and the send time of the write that renewed it, while this process holds the lease.
    pub fn renewal(&self, now: ClockTime) -> Option<(u64, ClockTime)> {
        self.epoch(now)?;
        Some((self.seen.as_ref()?.row_version?, self.valid_from?))
    }

    /// The holder told that it renewed its row, which then got this version, at `at` or before. A candidate that later
    /// finds the row unchanged need not wait as long as if it had never seen that version.
    pub fn observe_renewal(&mut self, row_version: u64, at: ClockTime) {
        self.told = Some((row_version, at));
    }

    /// The time until which an earlier holder may have acted that acts for `acts_ms` after each renewal at most; `None` when
    /// no one held the lease before the epoch of this process.
    pub fn previous_holder_until(&self, acts_ms: u64, now: ClockTime) -> Option<ClockTime> {
        let seen = self.seen.as_ref()?;
        if seen.row.epoch.get() <= 1 {
            return None;
        }
        let (since, gave_up) = self.earlier.unwrap_or((now, false));
        Some(if gave_up { since } else { since.plus_ms(acts_ms) })
    }

    /// Time in ms for which the earlier process of this VM held the lease at least that this one took over; `None` when
    /// another VM held it before. No other VM has acted for so long.
    pub fn same_vm_held_ms(&self) -> Option<u64> {
        self.same_vm_held_ms
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

    /// The holder that the row named when it was last read.
    pub fn holder(&self) -> Option<&LeaseHolder> {
        self.seen.as_ref()?.row.holder.as_ref()
    }

    /// Adds the condition that no later epoch was taken; `None` when this process must not act. The row of the
    /// next epoch is written by its takeover and does not change with renewals, so a renewal never fails an
    /// unrelated write.
    pub fn fence(&self, transaction: TableTransaction, now: ClockTime) -> Option<TableTransaction> {
        let epoch = self.epoch(now)?;
        Some(transaction.with_absent(&epoch_key(epoch.next())))
    }

    /// When this candidate may take the row over that it last read, if it does not change until then.
    pub fn takeover_at(&self) -> Option<ClockTime> {
        let seen = self.seen.as_ref().filter(|_| self.role == LeaseRole::Candidate)?;
        Some(self.free_from(seen))
    }

    /// Gives the lease up for a planned stop: this process does not act from now on.
    pub fn release(&mut self, now: ClockTime) {
        if self.role == LeaseRole::Holder || self.sent.is_some() {
            self.role = LeaseRole::Releasing;
            self.next_at = now;
        } else {
            self.role = LeaseRole::Released;
        }
    }

    /// Gives the lease up to another process that reaches the store, while this one does not: the row still names this
    /// process, which does not act and does not renew from now on.
    pub fn abandon(&mut self, now: ClockTime) {
        if self.role != LeaseRole::Holder {
            return;
        }
        self.given_up = self.seen.as_ref().map(|seen| seen.row.epoch);
        self.role = LeaseRole::Candidate;
        self.valid_from = None;
        self.sent = None;
        self.next_at = now.plus_ms(self.times.poll_ms);
    }

    /// The holder of that epoch said that it has given the lease up: its row need not run out.
    pub fn observe_release(&mut self, epoch: FencingToken) {
        self.observe_release = self.observe_release.max(Some(epoch));
    }

    /// An epoch was given out, as another one told, or epochs up to it must not be given out.
    pub fn observe_epoch(&mut self, epoch: FencingToken) {
        self.highest_epoch = self.highest_epoch.max(epoch);
    }

    /// True while this process holds the lease and its last write failed.
    pub fn is_failing(&self) -> bool {
        self.failing && self.role == LeaseRole::Holder
    }

    /// True while the lease is being given up: the row has not said so yet.
    pub fn is_releasing(&self) -> bool {
        self.role == LeaseRole::Releasing
    }

    /// True when nothing of the lease is left to give up.
    pub fn is_released(&self) -> bool {
        self.role == LeaseRole::Released
    }

    /// The next step.
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
        let Some(seen) = self.seen.clone() else {
            return LeaseStep::Read;
        };
        match self.role {
            LeaseRole::Holder => self.commit(&seen, Some(self.own.clone()), seen.row.epoch),
            LeaseRole::Releasing if seen.row.holder.as_ref() == Some(&self.own) => {
                self.commit(&seen, None, seen.row.epoch)
            }
            LeaseRole::Candidate if self.may_take(&seen, now) => {
                let epoch = self.highest_epoch.next();
                self.commit(&seen, Some(self.own.clone()), epoch)
            }
            LeaseRole::Candidate | LeaseRole::Releasing | LeaseRole::Released => LeaseStep::Read,
        }
    }

    fn may_take(&self, seen: &SeenRow, now: ClockTime) -> bool {
        now >= self.free_from(seen)
    }

    /// When the row that was seen may be taken over if it does not change.
    fn free_from(&self, seen: &SeenRow) -> ClockTime {
        let epoch = Some(seen.row.epoch);
        match &seen.row.holder {
            // The row in an older copy of the store says nothing of the last holder.
            _ if seen.row.epoch < self.highest_epoch => seen.since.plus_ms(self.times.takeover_ms),
            None => seen.since,
            Some(_) if epoch == self.observe_release => seen.since,
            Some(_) if epoch == self.given_up => seen.since.plus_ms(self.times.takeover_ms),
            Some(_) if self.replaces_own && seen.row.is_held_by(&self.own.vm) => seen.since,
            Some(_) => seen.since.plus_ms(self.times.takeover_ms),
        }
    }

    fn commit(&mut self, seen: &SeenRow, holder: Option<LeaseHolder>, epoch: FencingToken) -> LeaseStep {
        let takes = epoch != seen.row.epoch;
        let renewals = if takes { 0 } else { seen.row.renewals + 1 };
        let again = |sent: &&SentWrite| {
            (&sent.row.holder, sent.row.epoch, sent.row.renewals) == (&holder, epoch, renewals)
        };
        // A repeated write is the same in all, so that either of the two may have taken effect.
        let repeated = self.sent.as_ref().filter(again).map(|sent| sent.row.members);
        let members = repeated.unwrap_or(if takes { seen.row.members } else { self.members });
        let earlier_ms =
            if takes { self.held_by_own_ms(seen).unwrap_or_default() } else { seen.row.earlier_ms };
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
        if !takes {
            return LeaseStep::Commit(transaction);
        }
        let mark = epoch_key(epoch);
        LeaseStep::Commit(transaction.with_absent(&mark).with_put(&mark, self.own.incarnation.to_string()))
    }

    /// The result of [`LeaseStep::Read`].
    pub fn read_answered(&mut self, result: &Result<Option<RowValue>, PlatformError>, now: ClockTime) {
        match result {
            Ok(row) => self.observe(row.as_ref(), now),
            Err(_) => self.next_at = now.plus_ms(self.times.retry_ms),
        }
    }

    /// The result of [`LeaseStep::Commit`].
    pub fn commit_answered(&mut self, result: &Result<TransactionOutcome, PlatformError>, now: ClockTime) {
        self.failing = result.is_err();
        match result {
            Ok(outcome) if outcome.committed => {
                let Some(sent) = self.sent.as_mut() else { return };
                // Of the writes of this row only the last one can have been answered so.
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

    /// Takes note of the row as the store has it.
    fn observe(&mut self, value: Option<&RowValue>, now: ClockTime) {
        let row_version = value.map(|value| value.version);
        let row = match value.map(|value| serde_json::from_str::<LeaseRow>(&value.value)) {
            Some(Ok(row)) => row,
            // A row that cannot be read is left alone for the whole wait and then replaced.
            Some(Err(_)) => LeaseRow { holder: Some(unreadable_holder()), ..LeaseRow::default() },
            None => LeaseRow::default(),
        };
        let same = self.seen.as_ref().filter(|seen| seen.row_version == row_version);
        let told = self.told.filter(|(version, _)| Some(*version) == row_version).map(|(_, at)| at);
        let since = same.map_or(now, |seen| seen.since).min(told.unwrap_or(now));
        // A row of an earlier epoch than one that is known stands in an older copy of the store.
        let outdated = row.epoch < self.highest_epoch;
        self.highest_epoch = self.highest_epoch.max(row.epoch);
        let own = row.holder.as_ref() == Some(&self.own) && self.given_up != Some(row.epoch) && !outdated;
        if own && self.role == LeaseRole::Candidate {
            self.note_earlier();
        }
        if own {
            self.hold(&row);
        } else {
            self.lose(&row);
        }
        self.seen = Some(SeenRow { row_version, row, since });
        self.next_at = match self.role {
            LeaseRole::Holder => {
                let renewed = self.valid_from.unwrap_or_default().plus_ms(self.times.renew_ms);
                renewed.max(self.step_at)
            }
            LeaseRole::Candidate => self.candidate_at(now),
            LeaseRole::Releasing | LeaseRole::Released => now,
        };
    }

    /// Takes note of the holder before, as this process takes the lease over.
    fn note_earlier(&mut self) {
        let Some(before) = &self.seen else { return };
        let gave_up = before.row.holder.is_none() || self.observe_release == Some(before.row.epoch);
        let earlier = (before.since, gave_up);
        let held_ms = self.held_by_own_ms(before);
        self.earlier = Some(earlier);
        self.same_vm_held_ms = held_ms;
    }

    /// Time in ms for which earlier processes of this VM have held the lease of a row at least; `None` when another VM
    /// holds it.
    fn held_by_own_ms(&self, seen: &SeenRow) -> Option<u64> {
        let own = self.replaces_own && seen.row.is_held_by(&self.own.vm);
        own.then(|| seen.row.earlier_ms + seen.row.renewals * self.times.renew_ms)
    }

    fn candidate_at(&self, now: ClockTime) -> ClockTime {
        let poll = self.step_at.plus_ms(self.times.poll_ms);
        match &self.seen {
            Some(seen) => poll.min(self.free_from(seen)).max(now),
            None => poll,
        }
    }

    fn hold(&mut self, row: &LeaseRow) {
        let written = self.sent.as_ref().filter(|sent| sent.row == *row).map(|sent| sent.first_sent_at);
        if written.is_some() {
            self.valid_from = written;
            self.sent = None;
        } else if let Some(sent) = self.sent.as_mut() {
            // The write has not taken effect yet and still may; the next step repeats it.
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
            // A takeover that is still under way is not waited for: the lease it takes runs out by itself.
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

/// Stands for the holder in a row that cannot be parsed.
fn unreadable_holder() -> LeaseHolder {
    LeaseHolder { vm: Default::default(), incarnation: Default::default() }
}
