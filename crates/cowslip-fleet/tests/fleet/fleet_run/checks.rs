//! What must hold during a run, and what its record shows.

use cowslip_fleet::{VersionRow, applied_key, with_drift};
use cowslip_messages::{FleetChange, KeyState};
use cowslip_units::ViewVersion;

use super::{FleetRun, NodeWork, Sheet, failure_domain};

impl<W: NodeWork> FleetRun<W> {
    pub(super) fn check(&mut self, at: usize) -> Result<(), String> {
        if !self.nodes[at].alive || self.nodes[at].paused_until > self.now {
            return Ok(());
        }
        self.observe_gates(at);
        let now = self.local(at);
        let node = &mut self.nodes[at];
        node.checked += 1;
        if !node.confirmation.can_admit(now) {
            return Ok(());
        }
        node.admitted += 1;
        // The documented limit is 5 s; the mechanism guarantees one view window on the slowest clock.
        for (digest, version) in self.withdrawn.iter().rev().take(20) {
            let late =
                self.accepted.get(version).is_some_and(|since| self.now > since + with_drift(3_000) + 1);
            if late && node.view.key(digest).is_some_and(|key| key.state == KeyState::Given) {
                return Err(format!("{} admits a key withdrawn at version {version}", node.own));
            }
        }
        if let Some((version, true)) = self.domain_switch {
            let late =
                self.accepted.get(&version).is_some_and(|since| self.now > since + with_drift(3_000) + 1);
            if late && !node.view.is_domain_out(&failure_domain()) {
                return Err(format!("{} sends work to a domain taken out at version {version}", node.own));
            }
        }
        if let Some((opened, _)) = self.opened.last_key_value()
            && *opened > node.view.version()
        {
            let version = node.view.version();
            return Err(format!(
                "{} is confirmed at {version} while another uses its gain of {opened}",
                node.own
            ));
        }
        Ok(())
    }

    /// Checks that each change id is in the log once, at the version that was returned to its author.
    pub(super) fn check_log(&self) -> Result<(), String> {
        let log = &self.log;
        for record in log {
            let applied: VersionRow =
                self.table.parsed(&applied_key(&record.change_id)).ok_or("a change has no applied row")?;
            if applied.version != record.version {
                return Err(format!(
                    "{} is in the log at {} and {}",
                    record.change_id, applied.version, record.version
                ));
            }
        }
        if log.len() < 3 { Err(format!("only {} changes in a run", log.len())) } else { Ok(()) }
    }

    /// When each sheet was committed, and when all nodes are certain to have replaced it.
    pub(crate) fn sheet_times(&self) -> Vec<(u64, u64, &Sheet)> {
        let applied: Vec<(ViewVersion, usize)> = self
            .log
            .iter()
            .filter_map(|record| match &record.change {
                FleetChange::SheetApplied { digest } => Some((record.version, digest.parse().ok()?)),
                _ => None,
            })
            .collect();
        let until = |at: usize| applied.get(at + 1).and_then(|(version, _)| self.accepted.get(version));
        let times = applied.iter().enumerate().map(|(at, (version, sheet))| {
            (
                self.committed[version],
                until(at).map_or(u64::MAX, |accepted| accepted + 5_000),
                &self.sheets[*sheet],
            )
        });
        times.collect()
    }

    /// When permits moved: the first use by a gaining node after each change of members.
    pub(crate) fn member_moves(&self) -> Vec<u64> {
        let members =
            self.log.iter().filter(|record| matches!(record.change, FleetChange::MembersSet { .. }));
        members.filter_map(|record| self.shares_moved.get(&record.version).copied()).collect()
    }

    /// Fraction of the checks at which each node admitted requests.
    pub(crate) fn admitted_fractions(&self) -> Vec<f64> {
        self.nodes.iter().map(|node| node.admitted as f64 / node.checked.max(1) as f64).collect()
    }
}
