//! The operators of a run: they commit changes and push them to the nodes.

use cowslip_fleet::{CommitProtocol, CommitStep, HEAD_KEY, VersionTracker, change_key, next_member_change};
use cowslip_messages::{ChangeRecord, FleetChange};
use cowslip_platform::{PlatformError, TableTransaction};
use cowslip_units::{IncarnationId, ViewVersion};
use rand::Rng;

use super::run_event::{Event, Message};
use super::{FleetRun, NodeWork, failure_domain};
use crate::fixtures::{change_id, digest, node};

impl<W: NodeWork> FleetRun<W> {
    pub(super) fn operate(&mut self, operator: usize) -> Result<(), String> {
        if !self.store_is_up() {
            return Ok(());
        }
        self.catch_up(operator);
        self.push(operator);
        let Some(mut protocol) = self.operators[operator].protocol.take() else {
            if self.rng.random_ratio(1, 10) {
                self.operators[operator].protocol = self.draw_change(operator);
            }
            return Ok(());
        };
        match protocol.next(&self.operators[operator].view) {
            CommitStep::ReadApplied(key) => protocol.applied_answered(self.table.read(&key).as_ref()),
            CommitStep::ReadHead => protocol.head_answered(self.table.read(HEAD_KEY).as_ref()),
            CommitStep::CatchUp(_) => {}
            CommitStep::Commit(transaction) => self.commit_with_faults(&mut protocol, &transaction)?,
            CommitStep::Done(version) => {
                let recorded: Option<ChangeRecord> = self.table.parsed(&change_key(version));
                if recorded != Some(protocol.record(version)) {
                    return Err(format!("committed at {version}, but the log has {recorded:?}"));
                }
                return Ok(());
            }
            CommitStep::Unchanged(_)
            | CommitStep::Conflict(_)
            | CommitStep::Fenced
            | CommitStep::Refused(_) => {
                return Ok(());
            }
        }
        self.operators[operator].protocol = Some(protocol);
        Ok(())
    }

    pub(super) fn commit_with_faults(
        &mut self,
        protocol: &mut CommitProtocol,
        transaction: &TableTransaction,
    ) -> Result<(), String> {
        let lost = Err(PlatformError::InDoubt("lost".into()));
        if !self.faults || self.rng.random_ratio(4, 5) {
            let outcome = self.commit(transaction)?;
            protocol.commit_answered(&Ok(outcome));
            return Ok(());
        }
        match self.rng.random_range(0..3) {
            0 => {}
            1 => drop(self.commit(transaction)?),
            _ => {
                let late = self.rng.random_range(10..500);
                self.after(late, Event::StoreWrite(transaction.clone()));
            }
        }
        protocol.commit_answered(&lost);
        Ok(())
    }

    pub(super) fn catch_up(&mut self, operator: usize) {
        for record in self.log(self.operators[operator].view.version()) {
            self.operators[operator].view.apply(&record);
        }
        let operator = &mut self.operators[operator];
        let tracker = operator.tracker.get_or_insert_with(|| VersionTracker::new(node("op"), &operator.view));
        tracker.view_changed(&operator.view);
        operator.ended.iter().for_each(|own| tracker.ended(own));
    }

    pub(super) fn push(&mut self, operator: usize) {
        let source = &mut self.operators[operator];
        if source.pushed_at + 100 > self.now {
            return;
        }
        source.pushed_at = self.now;
        let Some(tracker) = source.tracker.clone() else { return };
        let version = source.view.version();
        for at in 0..self.nodes.len() {
            let own = self.nodes[at].own.clone();
            let known = tracker.version_of(&own).unwrap_or_default();
            let unreachable = self.partitioned_until > self.now && self.nodes[at].in_second_group;
            if known < version && !unreachable && !(self.faults && self.rng.random_ratio(1, 10)) {
                let delay =
                    self.rng.random_range(1..if self.nodes[at].slow_until > self.now { 4_000 } else { 30 });
                let (from, message) = (node(&format!("x:op{operator}")), Message::Push(self.log(known)));
                self.after(delay, Event::Deliver { to: own, from, message });
            }
        }
        self.note_accepted(operator);
    }

    pub(super) fn pushed(&mut self, operator: usize, own: &IncarnationId, version: ViewVersion) {
        if let Some(tracker) = self.operators[operator].tracker.as_mut() {
            tracker.on_report(own, version);
            self.note_accepted(operator);
        }
    }

    pub(super) fn note_accepted(&mut self, operator: usize) {
        let source = &self.operators[operator];
        let Some(tracker) = &source.tracker else { return };
        let mut version = source.view.version();
        while version > ViewVersion::ZERO && !self.accepted.contains_key(&version) {
            if tracker.has_majority(version) {
                self.accepted.insert(version, self.now);
            }
            version = ViewVersion::new(version.get() - 1);
        }
    }

    pub(super) fn draw_change(&mut self, operator: usize) -> Option<CommitProtocol> {
        self.last_id += 1;
        let id = change_id(&format!("op{operator}.{}", self.last_id));
        let source = &self.operators[operator];
        let members = source
            .tracker
            .as_ref()
            .and_then(|tracker| next_member_change(&source.view, &source.wanted, tracker));
        if let Some(change) = members.filter(|_| operator == 0) {
            return Some(CommitProtocol::new(id, "leader".into(), change));
        }
        let base = source.view.sheet_ref().map(|sheet| sheet.version);
        if base.is_none() || self.rng.random_ratio(1, 10) {
            let digest = self.rng.random_range(0..self.sheets.len()).to_string().into();
            return Some(
                CommitProtocol::new(id, "operator".into(), FleetChange::SheetApplied { digest })
                    .with_base(base),
            );
        }
        // One operator switches the failure domain and leaves it out of service for several changes.
        if self.switches_domain && operator == 1 && self.last_id.is_multiple_of(4) {
            let out = self.domain_switch.is_none_or(|(_, out)| !out);
            let change = FleetChange::DomainSwitched { domain: failure_domain(), out };
            return Some(CommitProtocol::new(id, "operator".into(), change));
        }
        // Keys are given in turn, and a recent one is withdrawn.
        let change = if self.rng.random_ratio(1, 2) {
            let team = "t".parse().unwrap();
            FleetChange::KeyGiven { digest: digest((self.last_id % 256) as u8), team }
        } else {
            let recent_id = self.last_id.saturating_sub(self.rng.random_range(1..10));
            FleetChange::KeyWithdrawn { digest: digest((recent_id % 256) as u8) }
        };
        Some(CommitProtocol::new(id, "operator".into(), change))
    }
}
