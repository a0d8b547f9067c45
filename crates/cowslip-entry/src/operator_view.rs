//! A gateway's view of the operators' table, with its confirmed freshness.
//!
//! Versions come from the store's single counter. A change with a lower version than the one in force is
//! dropped, so that a late full read never undoes changes from the feed. Freshness counts from the time at
//! which a store call was sent, because its answer may have been in transit for long.

use std::sync::Arc;

use cowslip_units::{ClockTime, DomainId};

use crate::FleetConfig;

/// Content of one row of the operators' table.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorRow {
    /// The configuration.
    Config(FleetConfig),
    /// A failure domain must get no work.
    Evacuated(DomainId),
    /// A failure domain may get work again.
    Reinstated(DomainId),
    /// A row that does not concern gateways, or that cannot be read.
    Ignored,
}

/// A row of the operators' table with its store version.
#[derive(Clone, Debug, PartialEq)]
pub struct OperatorChange {
    /// Store version of the row.
    pub version: u64,
    /// Content of the row.
    pub row: OperatorRow,
}

/// The effect of a set of changes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ViewOutcome {
    /// Version of the new configuration; `None` when it did not change.
    pub config: Option<u64>,
    /// Failure domains that were evacuated.
    pub evacuated: Vec<DomainId>,
    /// Failure domains that may get work again.
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
    /// A view at version 0, without a configuration.
    pub fn new() -> Self {
        Self::default()
    }

    /// Store version up to which the table has been read.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Store version of the newest known change of the table, or a later one.
    pub fn changed(&self) -> u64 {
        self.changed
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<&Arc<FleetConfig>> {
        self.config.as_ref()
    }

    /// True when the failure domain must get no work.
    pub fn is_evacuated(&self, domain: &DomainId) -> bool {
        self.evacuated.binary_search(domain).is_ok()
    }

    /// Time in ms since the call that last confirmed the view; `None` when no call has.
    pub fn age_ms(&self, now: ClockTime) -> Option<u64> {
        self.confirmed_at.map(|at| now.since_ms(at))
    }

    /// Confirms the view by a statement of the store or a peer, valid at `at`, that the table's newest change
    /// has version `changed`. False when this view does not include that change.
    pub fn confirm(&mut self, changed: u64, at: ClockTime) -> bool {
        let known = changed <= self.version;
        if known && self.config.is_some() {
            self.confirmed_at = self.confirmed_at.max(Some(at));
        }
        known
    }

    /// Applies the changes of a feed that was queried at `sent_at` and is complete up to `version`.
    pub fn apply(&mut self, changes: Vec<OperatorChange>, version: u64, sent_at: ClockTime) -> ViewOutcome {
        let applies = version >= self.version;
        let outcome = self.apply_part(changes, version);
        if applies {
            self.confirm(self.changed, sent_at);
        }
        outcome
    }

    /// Applies the first changes of a feed, up to `version`. More may follow, so they do not confirm the
    /// view.
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
        // A removed row is missing in a full read, so the newest change may be as late as the read itself.
        self.changed = version;
        self.confirm(self.changed, sent_at);
        outcome
    }

    fn is_older(&self, config: &FleetConfig) -> bool {
        self.config.as_ref().is_some_and(|known| config.version() < known.version())
    }

    /// Changes that keep the evacuations over a full read, until the operator's row on each domain is read.
    pub fn evacuation_changes(&self, version: u64) -> Vec<OperatorChange> {
        let kept =
            |domain: &DomainId| OperatorChange { version, row: OperatorRow::Evacuated(domain.clone()) };
        self.evacuated.iter().map(kept).collect()
    }

    fn apply_change(&mut self, change: OperatorChange, outcome: &mut ViewOutcome) {
        self.changed = self.changed.max(change.version);
        match change.row {
            // A store restored from an older backup returns an older configuration until the operator's next
            // write.
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
