//! Time to replace a frozen leader of a large fleet, in virtual time. Its lease must expire first, and
//! candidates learn of its last renewal only from the answers to their reports.

use cowslip_entry::{candidate_interval_ms, report_interval_ms, silent_after_ms};
use cowslip_fleet::{LEASE_KEY, LeaderLease, LeaseHolder, LeaseStep, LeaseTimes};
use cowslip_platform::{RowValue, TableTransaction, TransactionOutcome};
use cowslip_units::{ClockTime, StoreEra};

const MEMBERS: usize = 295;
/// VMs of the fleet that may lead.
const CANDIDATES: u64 = 15;
const LEASE_MS: u64 = 3_000;
const RENEW_INTERVAL_MS: u64 = 700;
const MARGIN_MS: u64 = 150;
/// Time in ms after the end of the lease in which a successor must lead.
const SUCCESSION_MS: u64 = 600;
const STEP_MS: u64 = 10;

/// The lease row in a fault-free table.
#[derive(Default)]
struct LeaseTable {
    row: Option<RowValue>,
}

impl LeaseTable {
    fn commit(&mut self, transaction: &TableTransaction) -> TransactionOutcome {
        let version = self.row.as_ref().map(|row| row.version);
        let conditions = transaction.conditions.iter().filter(|condition| condition.key == LEASE_KEY);
        if conditions.into_iter().any(|condition| condition.version != version) {
            return TransactionOutcome {
                committed: false,
                versions: Vec::new(),
                rows: self.row.clone().into_iter().collect(),
            };
        }
        let next = version.unwrap_or_default() + 1;
        for (key, value) in transaction.puts.iter().filter(|(key, _)| *key == LEASE_KEY) {
            self.row = Some(RowValue { key: key.clone(), version: next, value: value.clone() });
        }
        let versions = transaction.puts.iter().map(|_| next).collect();
        TransactionOutcome { committed: true, versions, rows: Vec::new() }
    }
}

fn lease(name: &str) -> LeaderLease {
    let own = LeaseHolder { vm: name.parse().expect("VM"), incarnation: name.parse().expect("incarnation") };
    LeaderLease::new(own).with_times(LeaseTimes::new(LEASE_MS, RENEW_INTERVAL_MS, MARGIN_MS))
}

fn drive(lease: &mut LeaderLease, table: &mut LeaseTable, now: ClockTime) {
    for _ in 0..4 {
        match lease.next(now) {
            LeaseStep::Idle(_) => return,
            LeaseStep::Read => lease.read_answered(&Ok(table.row.clone()), StoreEra::ZERO, now),
            LeaseStep::Commit(transaction) => {
                let outcome = table.commit(&transaction);
                lease.commit_answered(&Ok(outcome), StoreEra::ZERO, now);
            }
        }
    }
}

/// Time in ms from the leader's freeze to its successor, when candidates report every `pause_ms`.
fn succession_ms(pause_ms: u64, freeze_at: u64) -> u64 {
    let mut table = LeaseTable::default();
    let mut holder = lease("holder");
    let mut candidates: Vec<(LeaderLease, u64)> = (0..CANDIDATES)
        .map(|number| (lease(&format!("c{number}")), number * pause_ms / CANDIDATES))
        .collect();
    for millis in (0..freeze_at + 4 * LEASE_MS).step_by(STEP_MS as usize) {
        let now = ClockTime::new(millis);
        if millis < freeze_at {
            drive(&mut holder, &mut table, now);
        }
        for (candidate, phase) in &mut candidates {
            let reports = millis % pause_ms / STEP_MS == *phase / STEP_MS;
            if millis < freeze_at
                && reports
                && let Some((version, at)) = holder.renewal(now)
            {
                candidate.observe_renewal(version, at);
            }
            // A candidate reads the row once the leader counts as silent.
            if millis >= freeze_at + silent_after_ms(MEMBERS) {
                drive(candidate, &mut table, now);
                if candidate.is_leader(now) {
                    return millis - freeze_at;
                }
            }
        }
    }
    panic!("no candidate took over");
}

/// Longest of the succession times in ms over different times of the freeze.
fn slowest_succession_ms(pause_ms: u64) -> u64 {
    (0..20).map(|phase| succession_ms(pause_ms, 10_000 + phase * 41)).max().expect("a run")
}

/// Guards against a large fleet that is without a leader for two lease periods, because no candidate had
/// received the last renewal before the freeze.
#[test]
fn a_frozen_leader_is_replaced_when_its_lease_ends() {
    let slowest_ms = slowest_succession_ms(candidate_interval_ms(MEMBERS));
    assert!(slowest_ms <= LEASE_MS + SUCCESSION_MS, "{slowest_ms} ms");
}

/// The test above must fail for candidates that report as rarely as all other gateways.
#[test]
fn candidates_that_report_rarely_take_over_late() {
    let slowest_ms = slowest_succession_ms(report_interval_ms(MEMBERS));
    assert!(slowest_ms > LEASE_MS + SUCCESSION_MS, "{slowest_ms} ms");
}
