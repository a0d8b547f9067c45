//! The operators' table as a gateway knows it, and how fresh that knowledge is.
//!
//! Versions come from the store's single counter. A change with a lower version than the one in force is dropped, so
//! a late full read never undoes what a feed has brought. Freshness is dated by the time at which a store call was
//! sent, because an answer may have been on its way for long.

use std::sync::Arc;

use cowslip_units::{ClockTime, DomainId};

use crate::FleetConfig;

/// What one row of the operators' table says.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRow {
    /// The configuration.
    Config(FleetConfig),
    /// A failure domain is to get no work.
    Evacuated(DomainId),
    /// A failure domain is taken back.
    Reinstated(DomainId),
    /// Nothing that concerns a gateway, or nothing that can be read.
    Ignored,
}

/// A row of the operators' table with its store version.
#[derive(Clone, Debug, PartialEq)]
pub struct OperatorChange {
    /// Store version of the row.
    pub version: u64,
    /// What it says.
    pub row: OperatorRow,
}

/// What came of a set of changes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ViewOutcome {
    /// Version of the configuration that is now in force, when it changed.
    pub config: Option<u64>,
    /// Domains that are evacuated from now on.
    pub evacuated: Vec<DomainId>,
    /// Domains that were taken back.
    pub reinstated: Vec<DomainId>,
}

/// One gateway's view of the operators' table.
#[derive(Clone, Debug, Default)]
pub struct OperatorView {
    version: u64,
    changed: u64,
    config: Option<Arc<FleetConfig>>,
    config_at: u64,
    evacuated: Vec<DomainId>,
    confirmed_at: Option<ClockTime>,
}

impl OperatorView {
    /// A view that knows nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Store version up to which the table is known.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Store version of the newest change of the table, as far as is known; it is not later than this.
    pub fn changed(&self) -> u64 {
        self.changed
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<&Arc<FleetConfig>> {
        self.config.as_ref()
    }

    /// True when the domain is to get no work.
    pub fn is_evacuated(&self, domain: &DomainId) -> bool {
        self.evacuated.binary_search(domain).is_ok()
    }

    /// Age in ms of the call that proved the view; `None` when nothing has.
    pub fn age_ms(&self, now: ClockTime) -> Option<u64> {
        self.confirmed_at.map(|at| now.since_ms(at))
    }

    /// The store or a peer said that at `at` the newest change of the table had the version `changed`. False when that
    /// change is not known here.
    pub fn confirm(&mut self, changed: u64, at: ClockTime) -> bool {
        let known = changed <= self.version;
        if known && self.config.is_some() {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
        known
    }

    /// Applies the changes of a feed that was asked at `sent_at` and knows the table up to `version`.
    pub fn apply(&mut self, changes: Vec<OperatorChange>, version: u64, sent_at: ClockTime) -> ViewOutcome {
        let applies = version >= self.version;
        let outcome = self.apply_part(changes, version);
        if applies {
            self.confirm(self.changed, sent_at);
        }
        outcome
    }

    /// Applies the first changes of a feed, up to `version`. More may follow, so that they prove nothing.
    pub fn apply_part(&mut self, changes: Vec<OperatorChange>, version: u64) -> ViewOutcome {
        let mut outcome = ViewOutcome::default();
        if version < self.version {
            return outcome;
        }
        for change in changes {
            self.apply_change(change, &mut outcome);
        }
        self.version = version;
        outcome
    }

    /// Replaces the table by a full read that was sent at `sent_at` and is as of `version`.
    pub fn replace(&mut self, changes: Vec<OperatorChange>, version: u64, sent_at: ClockTime) -> ViewOutcome {
        let mut outcome = ViewOutcome::default();
        if version < self.version {
            return outcome;
        }
        let kept: Vec<&DomainId> = changes.iter().filter_map(evacuated_domain).collect();
        let gone = |domain: &&DomainId| !kept.contains(domain);
        let reinstated: Vec<DomainId> = self.evacuated.iter().filter(gone).cloned().collect();
        for domain in reinstated {
            self.apply_change(OperatorChange { version, row: OperatorRow::Reinstated(domain) }, &mut outcome);
        }
        for change in changes {
            self.apply_change(change, &mut outcome);
        }
        self.version = version;
        // A row that was removed before this read is not in it: the newest change may be as late as the read itself.
        self.changed = version;
        self.confirm(self.changed, sent_at);
        outcome
    }

    fn is_older(&self, config: &FleetConfig) -> bool {
        self.config.as_ref().is_some_and(|known| config.version() < known.version())
    }

    /// Changes that keep what is evacuated over a full read, until the operator's own word on each domain is read.
    pub fn evacuation_changes(&self, version: u64) -> Vec<OperatorChange> {
        let kept =
            |domain: &DomainId| OperatorChange { version, row: OperatorRow::Evacuated(domain.clone()) };
        self.evacuated.iter().map(kept).collect()
    }

    fn apply_change(&mut self, change: OperatorChange, outcome: &mut ViewOutcome) {
        self.changed = self.changed.max(change.version);
        match change.row {
            // A store that has come back from an older copy tells an older configuration until the operator writes again.
            OperatorRow::Config(config) if change.version > self.config_at && !self.is_older(&config) => {
                outcome.config = Some(config.version());
                self.config = Some(Arc::new(config));
                self.config_at = change.version;
            }
            OperatorRow::Evacuated(domain) => {
                if let Err(at) = self.evacuated.binary_search(&domain) {
                    self.evacuated.insert(at, domain.clone());
                    outcome.evacuated.push(domain);
                }
            }
            OperatorRow::Reinstated(domain) => {
                if let Ok(at) = self.evacuated.binary_search(&domain) {
                    self.evacuated.remove(at);
                    outcome.reinstated.push(domain);
                }
            }
            OperatorRow::Config(_) | OperatorRow::Ignored => {}
        }
    }
}

fn evacuated_domain(change: &OperatorChange) -> Option<&DomainId> {
    match &change.row {
        OperatorRow::Evacuated(domain) => Some(domain),
        _ => None,
    }
}
