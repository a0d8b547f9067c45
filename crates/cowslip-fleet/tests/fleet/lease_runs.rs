//! Many controllers and one lease row, with paused holders, lost answers, late writes and outages.

use std::collections::BTreeMap;

use cowslip_fleet::{LEASE_KEY, LeaderLease, LeaseHolder, LeaseRow, LeaseStep};
use cowslip_platform::{PlatformError, TableTransaction};
use cowslip_units::{ClockTime, FencingToken, StoreEra};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::fake_table::FakeTable;
use crate::fixtures::{drifting, node};
use crate::seeded_runs::{assert_caught, assert_holds};

const RUN_MS: u64 = 90_000;
const CONTROLLERS: usize = 4;

#[derive(Clone, Copy, PartialEq)]
enum Policy {
    Shipped,
    /// The lease uses the wall clock, which is set forward and back.
    WallClock,
    /// Ledger writes do not carry the fence.
    NoFence,
}

struct Controller {
    lease: LeaderLease,
    starts: u64,
    offset: u64,
    drift: u64,
    wall_error: u64,
    paused_until: u64,
    /// The call in flight: when it reaches the store, when it returns, and its step.
    call: Option<(u64, u64, LeaseStep)>,
    next_at: u64,
}

struct LateWrite {
    due: u64,
    transaction: TableTransaction,
    /// Epoch and writer of a ledger write; `None` for a write of the lease row itself.
    ledger: Option<(FencingToken, usize)>,
}

struct LeaseRun {
    rng: ChaCha8Rng,
    policy: Policy,
    now: u64,
    table: FakeTable,
    controllers: Vec<Controller>,
    late: Vec<LateWrite>,
    store_down_until: u64,
    writers: BTreeMap<FencingToken, usize>,
    acted: u64,
}

impl LeaseRun {
    fn new(mut rng: ChaCha8Rng, policy: Policy) -> Self {
        let controllers = (0..CONTROLLERS)
            .map(|at| Controller {
                lease: lease(at, 0),
                starts: 0,
                offset: rng.random_range(0..1_000_000),
                drift: rng.random_range(9_900..=10_100),
                wall_error: 0,
                paused_until: 0,
                call: None,
                next_at: rng.random_range(0..1_000),
            })
            .collect();
        Self {
            rng,
            policy,
            now: 0,
            table: FakeTable::default(),
            controllers,
            late: Vec::new(),
            store_down_until: 0,
            writers: BTreeMap::new(),
            acted: 0,
        }
    }

    fn clock(&self, at: usize) -> ClockTime {
        let controller = &self.controllers[at];
        let error = if self.policy == Policy::WallClock { controller.wall_error } else { 0 };
        drifting(self.now, controller.offset + error, controller.drift)
    }

    fn run(mut self) -> Result<(), String> {
        while self.now < RUN_MS {
            self.now += 10;
            self.faults();
            self.late_writes()?;
            for at in 0..CONTROLLERS {
                if self.controllers[at].paused_until <= self.now {
                    self.step(at);
                    self.act(at)?;
                }
            }
        }
        if self.acted < 100 { Err(format!("only {} actions in a run", self.acted)) } else { Ok(()) }
    }

    fn faults(&mut self) {
        for at in 0..CONTROLLERS {
            if self.rng.random_ratio(1, 2_000) {
                self.controllers[at].paused_until = self.now + self.rng.random_range(100..8_000);
            }
            if self.rng.random_ratio(1, 3_000) {
                self.controllers[at].starts += 1;
                self.controllers[at].lease = lease(at, self.controllers[at].starts);
                self.controllers[at].call = None;
            }
            if self.rng.random_ratio(1, 500) {
                self.controllers[at].wall_error = self.rng.random_range(0..10_000);
            }
            let now = self.clock(at);
            if self.rng.random_ratio(1, 8_000) {
                self.controllers[at].lease.release(now);
            }
            if self.controllers[at].lease.is_released() && self.rng.random_ratio(1, 100) {
                self.controllers[at].starts += 1;
                self.controllers[at].lease = lease(at, self.controllers[at].starts);
            }
        }
        if self.rng.random_ratio(1, 2_000) {
            self.store_down_until = self.now + self.rng.random_range(500..6_000);
        }
    }

    fn late_writes(&mut self) -> Result<(), String> {
        let now = self.now;
        let due: Vec<LateWrite> = self.late.extract_if(.., |write| write.due <= now).collect();
        for write in due {
            let committed = self.table.commit(&write.transaction).committed;
            if let (true, Some((epoch, writer))) = (committed, write.ledger) {
                self.check_write(epoch, writer)?;
            }
        }
        Ok(())
    }

    fn check_write(&mut self, epoch: FencingToken, writer: usize) -> Result<(), String> {
        let row: LeaseRow = self.table.parsed(LEASE_KEY).ok_or("no lease row")?;
        if row.epoch != epoch {
            return Err(format!("ledger write of epoch {epoch} committed in epoch {}", row.epoch));
        }
        let first = *self.writers.entry(epoch).or_insert(writer);
        if first != writer {
            return Err(format!("controllers {first} and {writer} both wrote in epoch {epoch}"));
        }
        Ok(())
    }

    fn step(&mut self, at: usize) {
        let now = self.clock(at);
        let Some((reaches, returns, step)) = self.controllers[at].call.take() else {
            if self.controllers[at].next_at > self.now {
                return;
            }
            let step = self.controllers[at].lease.next(now);
            if matches!(step, LeaseStep::Idle(_)) {
                self.controllers[at].next_at = self.now + 10;
            } else {
                let reaches = self.now + self.rng.random_range(0..40);
                self.controllers[at].call = Some((reaches, reaches + self.rng.random_range(0..40), step));
            }
            return;
        };
        if returns > self.now {
            self.controllers[at].call = Some((reaches, returns, step));
            return;
        }
        let fails = self.store_down_until > self.now || self.rng.random_ratio(1, 20);
        let lost = PlatformError::InDoubt("lost".into());
        match step {
            LeaseStep::Idle(_) => {}
            LeaseStep::Read if fails => {
                self.controllers[at].lease.read_answered(&Err(lost), StoreEra::ZERO, now)
            }
            LeaseStep::Read => {
                let row = self.table.read(LEASE_KEY);
                self.controllers[at].lease.read_answered(&Ok(row), StoreEra::ZERO, now);
            }
            LeaseStep::Commit(transaction) if fails => {
                if self.rng.random_ratio(2, 3) {
                    let due = self.now + self.rng.random_range(0..3_000);
                    self.late.push(LateWrite { due, transaction, ledger: None });
                }
                self.controllers[at].lease.commit_answered(&Err(lost), StoreEra::ZERO, now);
            }
            LeaseStep::Commit(transaction) => {
                let outcome = self.table.commit(&transaction);
                self.controllers[at].lease.commit_answered(&Ok(outcome), StoreEra::ZERO, now);
            }
        }
    }

    fn act(&mut self, at: usize) -> Result<(), String> {
        let now = self.clock(at);
        let lease = &self.controllers[at].lease;
        let Some(epoch) = lease.epoch(now) else {
            return Ok(());
        };
        self.acted += 1;
        // By its own clock, a holder stops before any other controller can take over.
        let row: LeaseRow = self.table.parsed(LEASE_KEY).ok_or("no lease row")?;
        if row.epoch != epoch {
            return Err(format!("controller {at} acts in epoch {epoch} after the takeover of {}", row.epoch));
        }
        let write = TableTransaction::new().with_put("ledger", at.to_string());
        let fenced = if self.policy == Policy::NoFence { Some(write) } else { lease.fence(write, now) };
        if let Some(transaction) = fenced.filter(|_| self.rng.random_ratio(1, 10)) {
            let due = self.now + self.rng.random_range(0..9_000);
            self.late.push(LateWrite { due, transaction, ledger: Some((epoch, at)) });
        }
        Ok(())
    }
}

fn lease(at: usize, starts: u64) -> LeaderLease {
    let incarnation = node(&format!("vm{at}:{starts}"));
    LeaderLease::new(LeaseHolder { vm: format!("vm{at}").parse().unwrap(), incarnation })
}

/// Guards against two leaders whose writes both take effect.
#[test]
fn one_leader_writes_in_an_epoch() {
    assert_holds("one_leader_writes_in_an_epoch", 12, |rng| LeaseRun::new(rng, Policy::Shipped).run());
}

#[test]
fn a_lease_by_wall_clock_is_caught() {
    assert_caught(0..100, "after the takeover", |rng| LeaseRun::new(rng, Policy::WallClock).run());
}

#[test]
fn writes_without_fence_are_caught() {
    assert_caught(0..100, "committed in epoch", |rng| LeaseRun::new(rng, Policy::NoFence).run());
}
