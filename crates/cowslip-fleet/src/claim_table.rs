//! Claims: a request that must not run twice is dispatched at most once.

use cowslip_messages::{AttemptStatus, ClaimStatusRequest};
use cowslip_platform::{PlatformError, RowValue, TableTransaction, TransactionOutcome};
use cowslip_units::{AttemptId, ClockTime, IncarnationId, InvariantName, assert_invariant};
use smol_str::SmolStr;

use crate::claim_attempt::{AttemptState, ClaimAttempt, OtherClaim};
use crate::{ClaimKey, ClaimRow, ClaimState, StoredAnswer, sorted_vec};

/// Time in ms until a failed call is retried.
const CLAIM_RETRY_MS: u64 = 100;

/// Time in ms between two polls of another attempt's claim.
const CLAIM_POLL_MS: u64 = 200;

/// Initial time in ms between polls for the row of an abandoned attempt; doubles with each poll.
const RELEASE_POLL_MS: u64 = 1_000;

/// Longest time in ms between polls for the row of an abandoned attempt.
const MAX_RELEASE_POLL_MS: u64 = 64_000;

/// Time in ms for which an abandoned attempt is kept after its row was last written. A write that takes
/// effect later leaves a row that its owner has no record of, which counts as an unknown outcome.
const ABANDONED_RETENTION_MS: u64 = 600_000;

/// Next step for an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimStep {
    /// Commit this and call [`ClaimTable::commit_answered`].
    Commit(TableTransaction),
    /// Commit this, which replaces an abandoned attempt, and call [`ClaimTable::commit_answered`].
    Takeover(TableTransaction),
    /// Read the row with this key and call [`ClaimTable::read_answered`].
    Read(SmolStr),
    /// Send this to the owner and call [`ClaimTable::owner_answered`].
    Ask(ClaimStatusRequest),
    /// Call [`ClaimTable::poll`] after this time in ms.
    Wait(u64),
    /// The claim is held: check view and deadline again, call [`ClaimTable::start_dispatch`], and send if it
    /// returns true.
    Dispatch,
    /// The request ran; respond with this answer.
    Replay(StoredAnswer),
    /// Respond with `outcome_unknown`, ran `unknown`.
    Unknown,
    /// Respond with `idempotency_key_reused`.
    Reused,
    /// Respond that the request was not run. This attempt never will run it.
    NotRun,
    /// Nothing is left to do.
    Ended,
}

/// The attempts of one router.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimTable {
    own: IncarnationId,
    attempts: Vec<ClaimAttempt>,
}

impl ClaimTable {
    /// A table without attempts.
    pub fn new(own: IncarnationId) -> Self {
        Self { own, attempts: Vec::new() }
    }

    /// Starts an attempt with a new id.
    pub fn begin(
        &mut self,
        attempt: AttemptId,
        key: ClaimKey,
        request_digest: SmolStr,
        now: ClockTime,
    ) -> ClaimStep {
        let known = sorted_vec::find(&self.attempts, &attempt, |entry| &entry.attempt).is_some();
        if !assert_invariant(!known, InvariantName::RunsOnce, || {
            format!("attempt id {attempt} is not unique")
        }) {
            return ClaimStep::NotRun;
        }
        let entry = ClaimAttempt::new(attempt.clone(), key, request_digest);
        sorted_vec::put(&mut self.attempts, entry, |entry| &entry.attempt);
        self.poll(&attempt, now)
    }

    fn entry(&mut self, attempt: &AttemptId) -> Option<&mut ClaimAttempt> {
        sorted_vec::find_mut(&mut self.attempts, attempt, |entry| &entry.attempt)
    }

    /// The next step of an attempt.
    pub fn poll(&mut self, attempt: &AttemptId, now: ClockTime) -> ClaimStep {
        let own = self.own.clone();
        let Some(entry) = self.entry(attempt) else {
            return ClaimStep::Ended;
        };
        match &entry.state {
            AttemptState::Claiming { replaced_version } => {
                let replaced_version = *replaced_version;
                let row = entry.row(&own, ClaimState::Dispatching);
                match entry.write(replaced_version, &row) {
                    Some(transaction) if replaced_version.is_some() => ClaimStep::Takeover(transaction),
                    Some(transaction) => ClaimStep::Commit(transaction),
                    None => self.abandon(attempt, now),
                }
            }
            AttemptState::Reading | AttemptState::Following { .. } => {
                ClaimStep::Read(entry.key.as_str().into())
            }
            AttemptState::Held => ClaimStep::Dispatch,
            AttemptState::Dispatched => ClaimStep::Wait(CLAIM_POLL_MS),
            AttemptState::Storing { read_first: true, .. } => ClaimStep::Read(entry.key.as_str().into()),
            AttemptState::Storing { result, .. } => {
                let row = entry.row(&own, result.clone());
                match entry.write(entry.row_version, &row) {
                    Some(transaction) => ClaimStep::Commit(transaction),
                    None => self.end(attempt, ClaimStep::Unknown, now),
                }
            }
            AttemptState::Abandoned { read_first: true, .. } => ClaimStep::Read(entry.key.as_str().into()),
            AttemptState::Abandoned { .. } => match entry.row_version {
                Some(version) => {
                    let key = entry.key.as_str();
                    ClaimStep::Commit(TableTransaction::new().with_version(key, version).with_delete(key))
                }
                None => ClaimStep::Ended,
            },
        }
    }

    /// Handles the result of [`ClaimStep::Commit`] or [`ClaimStep::Takeover`].
    pub fn commit_answered(
        &mut self,
        attempt: &AttemptId,
        result: &Result<TransactionOutcome, PlatformError>,
        now: ClockTime,
    ) -> ClaimStep {
        let Some(entry) = self.entry(attempt) else {
            return ClaimStep::Ended;
        };
        match (result, &mut entry.state) {
            (Err(error), AttemptState::Claiming { .. }) => {
                if error.in_doubt() {
                    entry.in_doubt = true;
                    entry.state = AttemptState::Reading;
                }
                ClaimStep::Wait(CLAIM_RETRY_MS)
            }
            (Err(error), AttemptState::Storing { read_first, .. }) => {
                *read_first |= error.in_doubt();
                entry.retry_at = now.plus_ms(CLAIM_RETRY_MS);
                ClaimStep::Wait(CLAIM_RETRY_MS)
            }
            (Err(error), AttemptState::Abandoned { .. }) => {
                entry.in_doubt |= error.in_doubt();
                self.schedule_release(attempt, now)
            }
            (Ok(outcome), AttemptState::Claiming { .. }) if outcome.committed => {
                let version = outcome.versions.first().copied();
                self.hold(attempt, version)
            }
            (Ok(outcome), AttemptState::Storing { .. }) if outcome.committed => self.stored(attempt),
            (Ok(outcome), AttemptState::Abandoned { .. }) if outcome.committed => {
                entry.row_version = None;
                self.schedule_release(attempt, now)
            }
            (Ok(outcome), _) => {
                let row = outcome.rows.first().cloned();
                self.examine(attempt, row.as_ref(), now)
            }
            (Err(_), _) => ClaimStep::Ended,
        }
    }

    /// Handles the result of [`ClaimStep::Read`].
    pub fn read_answered(
        &mut self,
        attempt: &AttemptId,
        result: &Result<Option<RowValue>, PlatformError>,
        now: ClockTime,
    ) -> ClaimStep {
        match result {
            Ok(row) => self.examine(attempt, row.as_ref(), now),
            Err(_) => {
                let Some(entry) = self.entry(attempt) else {
                    return ClaimStep::Ended;
                };
                if matches!(entry.state, AttemptState::Abandoned { .. }) {
                    return self.schedule_release(attempt, now);
                }
                entry.retry_at = now.plus_ms(CLAIM_RETRY_MS);
                ClaimStep::Wait(CLAIM_RETRY_MS)
            }
        }
    }

    /// Chooses the next step by the row as the store has it.
    fn examine(&mut self, attempt: &AttemptId, value: Option<&RowValue>, now: ClockTime) -> ClaimStep {
        let Some(entry) = self.entry(attempt) else {
            return ClaimStep::Ended;
        };
        let parsed = value.map(|value| (value.version, serde_json::from_str::<ClaimRow>(&value.value)));
        let is_own = matches!(&parsed, Some((_, Ok(row))) if row.attempt == *attempt);
        match &mut entry.state {
            AttemptState::Abandoned { read_first, .. } => {
                entry.row_version = parsed.filter(|_| is_own).map(|(version, _)| version);
                *read_first = entry.row_version.is_none();
                return if is_own { self.poll(attempt, now) } else { self.schedule_release(attempt, now) };
            }
            AttemptState::Storing { read_first, .. } if is_own => {
                *read_first = false;
                return self.examine_stored(attempt, parsed, now);
            }
            AttemptState::Storing { .. } => {
                // A claim that may have been dispatched is neither taken over nor deleted by any router.
                assert_invariant(false, InvariantName::RunsOnce, || {
                    format!("row of dispatched attempt {attempt} was replaced by {value:?}")
                });
                let step = entry.answer().cloned().map_or(ClaimStep::Unknown, ClaimStep::Replay);
                return self.end(attempt, step, now);
            }
            AttemptState::Held | AttemptState::Dispatched => return self.poll(attempt, now),
            AttemptState::Claiming { .. } | AttemptState::Reading | AttemptState::Following { .. } => {}
        }
        match parsed {
            None => {
                entry.state = AttemptState::Claiming { replaced_version: None };
                self.poll(attempt, now)
            }
            Some((_, Err(_))) => self.end(attempt, ClaimStep::Unknown, now),
            Some((version, Ok(_))) if is_own => self.hold(attempt, Some(version)),
            Some((_, Ok(row))) if row.request_digest != entry.request_digest => {
                self.end(attempt, ClaimStep::Reused, now)
            }
            Some((_, Ok(ClaimRow { state: ClaimState::Done(answer), .. }))) => {
                self.end(attempt, ClaimStep::Replay(answer), now)
            }
            Some((_, Ok(ClaimRow { state: ClaimState::Unknown, .. }))) => {
                self.end(attempt, ClaimStep::Unknown, now)
            }
            Some((version, Ok(row))) => self.follow(attempt, version, row, now),
        }
    }

    /// Handles a row that contains this attempt while its result is to be stored.
    fn examine_stored(
        &mut self,
        attempt: &AttemptId,
        parsed: Option<(u64, serde_json::Result<ClaimRow>)>,
        now: ClockTime,
    ) -> ClaimStep {
        let Some(entry) = self.entry(attempt) else {
            return ClaimStep::Ended;
        };
        match parsed {
            Some((version, Ok(row))) if row.state == ClaimState::Dispatching => {
                entry.row_version = Some(version);
                self.poll(attempt, now)
            }
            _ => self.stored(attempt),
        }
    }

    /// Handles a row that is held by another attempt.
    fn follow(&mut self, attempt: &AttemptId, row_version: u64, row: ClaimRow, now: ClockTime) -> ClaimStep {
        let request = ClaimStatusRequest { owner: row.owner.clone(), attempt: row.attempt.clone() };
        let own_status = (row.owner == self.own).then(|| self.attempt_status(&request));
        let Some(entry) = self.entry(attempt) else {
            return ClaimStep::Ended;
        };
        let unknown_at = match &entry.state {
            AttemptState::Following { unknown_at, .. } => *unknown_at,
            _ => None,
        };
        if unknown_at == Some(row_version) {
            return self.end(attempt, ClaimStep::Unknown, now);
        }
        let other = OtherClaim { row_version, owner: row.owner, attempt: row.attempt };
        entry.state = AttemptState::Following { other, unknown_at };
        match own_status {
            Some(attempt_status) => self.owner_answered(attempt, Some(attempt_status), now),
            None => ClaimStep::Ask(request),
        }
    }

    /// Handles the owner's answer; `None` when it did not answer. If the owner is certain to have ended (its
    /// VM is gone, or runs another incarnation), the caller passes [`AttemptStatus::NotKnown`].
    pub fn owner_answered(
        &mut self,
        attempt: &AttemptId,
        attempt_status: Option<AttemptStatus>,
        now: ClockTime,
    ) -> ClaimStep {
        let Some(entry) = self.entry(attempt) else {
            return ClaimStep::Ended;
        };
        let AttemptState::Following { other, unknown_at } = &mut entry.state else {
            return self.poll(attempt, now);
        };
        match attempt_status {
            None | Some(AttemptStatus::Running) => ClaimStep::Wait(CLAIM_POLL_MS),
            Some(AttemptStatus::GivenUp) => {
                entry.state = AttemptState::Claiming { replaced_version: Some(other.row_version) };
                self.poll(attempt, now)
            }
            Some(AttemptStatus::OutcomeUnknown) => self.end(attempt, ClaimStep::Unknown, now),
            // The owner may have stored the answer and removed the attempt since the row was read.
            Some(AttemptStatus::NotKnown) => {
                *unknown_at = Some(other.row_version);
                self.poll(attempt, now)
            }
        }
    }

    fn hold(&mut self, attempt: &AttemptId, row_version: Option<u64>) -> ClaimStep {
        if let Some(entry) = self.entry(attempt) {
            entry.row_version = row_version;
            entry.state = AttemptState::Held;
        }
        ClaimStep::Dispatch
    }

    /// Returns true if the request may be sent now, at most once for an attempt. The caller must have just
    /// checked view and deadline again; if they do not hold, it calls [`abandon`](Self::abandon) instead.
    pub fn start_dispatch(&mut self, attempt: &AttemptId) -> bool {
        let Some(entry) = self.entry(attempt) else {
            return false;
        };
        let can_dispatch = entry.state == AttemptState::Held;
        let twice = matches!(entry.state, AttemptState::Dispatched | AttemptState::Storing { .. });
        let known = !can_dispatch || entry.row_version.is_some();
        assert_invariant(!twice && known, InvariantName::RunsOnce, || {
            format!("dispatch of attempt {} in state {:?}", entry.attempt, entry.state)
        });
        if can_dispatch && known {
            entry.state = AttemptState::Dispatched;
        }
        can_dispatch && known
    }

    /// Ends the attempt after the upstream refused the request without running it, or no byte could be sent.
    /// A new attempt may claim again.
    pub fn rejected_unrun(&mut self, attempt: &AttemptId, now: ClockTime) -> ClaimStep {
        if let Some(entry) = self.entry(attempt)
            && entry.state == AttemptState::Dispatched
        {
            entry.state = AttemptState::Held;
        }
        self.abandon(attempt, now)
    }

    /// Records the upstream's answer, which is stored before it is returned to the caller.
    pub fn answered(&mut self, attempt: &AttemptId, answer: StoredAnswer, now: ClockTime) -> ClaimStep {
        self.store(attempt, ClaimState::Done(answer), now)
    }

    /// Records that the request was sent and no complete answer was received.
    pub fn failed(&mut self, attempt: &AttemptId, now: ClockTime) -> ClaimStep {
        self.store(attempt, ClaimState::Unknown, now)
    }

    fn store(&mut self, attempt: &AttemptId, result: ClaimState, now: ClockTime) -> ClaimStep {
        if let Some(entry) = self.entry(attempt)
            && entry.state == AttemptState::Dispatched
        {
            entry.state = AttemptState::Storing { result, read_first: false };
        }
        self.poll(attempt, now)
    }

    fn stored(&mut self, attempt: &AttemptId) -> ClaimStep {
        let Some(entry) = self.entry(attempt) else {
            return ClaimStep::Ended;
        };
        let step = entry.answer().cloned().map_or(ClaimStep::Unknown, ClaimStep::Replay);
        let answered = entry.answered;
        // A stored attempt has no write in doubt: its row does not change any more.
        self.attempts.retain(|entry| entry.attempt != *attempt);
        if answered { ClaimStep::Ended } else { step }
    }

    /// Ends an attempt that will not dispatch, with the result `step`.
    fn end(&mut self, attempt: &AttemptId, step: ClaimStep, now: ClockTime) -> ClaimStep {
        let Some(entry) = self.entry(attempt) else {
            return ClaimStep::Ended;
        };
        let answered = std::mem::replace(&mut entry.answered, true);
        if entry.in_doubt && !matches!(entry.state, AttemptState::Storing { .. }) {
            entry.state = AttemptState::Abandoned { since: now, next_at: now, reads: 0, read_first: true };
        } else {
            self.attempts.retain(|entry| entry.attempt != *attempt);
        }
        if answered { ClaimStep::Ended } else { step }
    }

    /// Abandons an attempt whose caller disconnected or must be answered now. Returns the answer:
    /// [`ClaimStep::NotRun`] if this attempt sent nothing and never will, [`ClaimStep::Unknown`] if it or
    /// another attempt may have, and [`ClaimStep::Replay`] if the upstream's answer is available and only not
    /// stored. The remaining work is done in the background, see [`next_background`](Self::next_background).
    /// A disconnect does not cancel an attempt that was dispatched: its answer can still be stored.
    pub fn abandon(&mut self, attempt: &AttemptId, now: ClockTime) -> ClaimStep {
        let Some(entry) = self.entry(attempt) else {
            return ClaimStep::Ended;
        };
        entry.answered = true;
        let step = match &entry.state {
            AttemptState::Dispatched => {
                entry.state = AttemptState::Storing { result: ClaimState::Unknown, read_first: false };
                return ClaimStep::Unknown;
            }
            AttemptState::Storing { .. } => {
                return entry.answer().cloned().map_or(ClaimStep::Unknown, ClaimStep::Replay);
            }
            AttemptState::Abandoned { .. } => return ClaimStep::NotRun,
            AttemptState::Following { .. } => ClaimStep::Unknown,
            AttemptState::Claiming { .. } | AttemptState::Reading | AttemptState::Held => ClaimStep::NotRun,
        };
        let written = entry.state == AttemptState::Held;
        // A write in flight counts as in doubt.
        if written || entry.in_doubt || matches!(entry.state, AttemptState::Claiming { .. }) {
            entry.in_doubt |= !written;
            entry.state =
                AttemptState::Abandoned { since: now, next_at: now, reads: 0, read_first: !written };
        } else {
            self.attempts.retain(|entry| entry.attempt != *attempt);
        }
        step
    }

    /// Schedules the next poll for the row of an abandoned attempt, or removes the attempt.
    fn schedule_release(&mut self, attempt: &AttemptId, now: ClockTime) -> ClaimStep {
        let Some(entry) = self.entry(attempt) else {
            return ClaimStep::Ended;
        };
        let (row_version, in_doubt) = (entry.row_version, entry.in_doubt);
        if let AttemptState::Abandoned { since, next_at, reads, read_first } = &mut entry.state {
            let wait_ms = RELEASE_POLL_MS.saturating_mul(1 << (*reads).min(16)).min(MAX_RELEASE_POLL_MS);
            *next_at = now.plus_ms(wait_ms);
            *reads += 1;
            *read_first = true;
            let settled = row_version.is_none() && !in_doubt;
            if settled || now.since_ms(*since) >= ABANDONED_RETENTION_MS {
                self.attempts.retain(|entry| entry.attempt != *attempt);
            }
        }
        ClaimStep::Ended
    }

    /// The next background work: deleting the row of an abandoned attempt, or storing the result of an
    /// attempt whose caller was answered. Carry out the step, pass the result back, and follow the steps
    /// until one is [`ClaimStep::Wait`] or [`ClaimStep::Ended`].
    pub fn next_background(&mut self, now: ClockTime) -> Option<(AttemptId, ClaimStep)> {
        let due = |entry: &&ClaimAttempt| match &entry.state {
            AttemptState::Abandoned { next_at, .. } => now >= *next_at,
            AttemptState::Storing { .. } => entry.answered && now >= entry.retry_at,
            _ => false,
        };
        let attempt = self.attempts.iter().find(due)?.attempt.clone();
        // The same work is not returned again until its result arrives.
        if let Some(entry) = self.entry(&attempt) {
            entry.retry_at = now.plus_ms(RELEASE_POLL_MS);
            if let AttemptState::Abandoned { next_at, .. } = &mut entry.state {
                *next_at = now.plus_ms(RELEASE_POLL_MS);
            }
        }
        let step = self.poll(&attempt, now);
        Some((attempt, step))
    }

    /// Answers a `claim_status` call.
    pub fn attempt_status(&self, request: &ClaimStatusRequest) -> AttemptStatus {
        if request.owner != self.own {
            return AttemptStatus::NotKnown;
        }
        let entry = sorted_vec::find(&self.attempts, &request.attempt, |entry| &entry.attempt);
        entry.map_or(AttemptStatus::NotKnown, ClaimAttempt::attempt_status)
    }

    /// Number of attempts in the table.
    pub fn len(&self) -> usize {
        self.attempts.len()
    }

    /// True when the table has no attempts.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }
}
