//! Simulation of routers, two operators and a store with virtual time: everything that distributes and
//! confirms the view.

mod checks;
mod deliveries;
mod faults;
mod operators;
mod run_event;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use cowslip_config::{TeamRow, UpstreamRow};
use cowslip_fleet::{
    CONFIRM_PERIOD_MS, CommitProtocol, FleetView, HEAD_KEY, HandoffGate, VersionRow, VersionTracker,
    ViewConfirmation, change_key,
};
use cowslip_messages::{ChangeRecord, FetchReply, FleetChange, MemberEntry, ViewSnapshot};
use cowslip_platform::{TableTransaction, TransactionOutcome};
use cowslip_units::{ClockTime, DomainId, IncarnationId, KeyDigest, ViewVersion};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use run_event::{Entry, Event, Message};

use crate::fake_table::FakeTable;
use crate::fixtures::{drifting, member, node};

const CHECK_MS: u64 = 25;

/// The failure domain that operators take out of service and return.
fn failure_domain() -> DomainId {
    "d1".parse().unwrap()
}

/// Deviation from the shipped behaviour.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Policy {
    Shipped,
    /// A confirmation counts from the arrival of the answer.
    AnswerTime,
    /// Any peer's answer counts as current, even if the peer's view is not confirmed.
    AnyPeer,
    /// Answers of peers are ignored.
    StoreOnly,
    /// Gains are used as soon as the change is received.
    NoHandoffDelay,
    /// Shares that grow are used as soon as the change is received.
    NoShareDelay,
    /// The lender continues as if it had not lent.
    LendAndKeep,
    /// A snapshot from a peer replaces the own view, whatever its version.
    AnySnapshot,
}

/// Rates and limits of a sheet.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Sheet {
    pub(crate) teams: Vec<TeamRow>,
    pub(crate) upstreams: Vec<UpstreamRow>,
}

/// Environment of a node's work.
pub(crate) struct WorkEnv<'a, W: NodeWork> {
    /// Simulated time in ms, without the drift of the nodes' clocks.
    pub(crate) real_ms: u64,
    /// Reading of the node's own clock.
    pub(crate) now: ClockTime,
    pub(crate) tracker: &'a VersionTracker,
    pub(crate) view: &'a FleetView,
    pub(crate) can_admit: bool,
    pub(crate) rng: &'a mut ChaCha8Rng,
    pub(crate) out: &'a mut Vec<(IncarnationId, W::Message)>,
    pub(crate) record: &'a mut W::Record,
}

/// Work that depends on a node's view.
pub(crate) trait NodeWork: Sized {
    type Message: Clone;
    type Record: Default;
    fn new(own: &IncarnationId, policy: Policy) -> Self;
    fn configure(&mut self, sheet: &Sheet, env: &mut WorkEnv<'_, Self>);
    fn tick(&mut self, env: &mut WorkEnv<'_, Self>);
    fn load(&mut self, env: &mut WorkEnv<'_, Self>);
    fn message(&mut self, from: &IncarnationId, message: Self::Message, env: &mut WorkEnv<'_, Self>);
}

struct RunNode<W> {
    own: IncarnationId,
    alive: bool,
    offset: u64,
    drift: u64,
    paused_until: u64,
    slow_until: u64,
    store_cut_until: u64,
    in_second_group: bool,
    view: FleetView,
    confirmation: ViewConfirmation,
    tracker: VersionTracker,
    gates: Vec<HandoffGate>,
    share_gates: Vec<HandoffGate>,
    highest: ViewVersion,
    admitted: u64,
    checked: u64,
    work: W,
}

#[derive(Default)]
struct RunOperator {
    view: FleetView,
    tracker: Option<VersionTracker>,
    protocol: Option<CommitProtocol>,
    wanted: Vec<MemberEntry>,
    ended: Vec<IncarnationId>,
    pushed_at: u64,
}

/// One simulation run.
pub(crate) struct FleetRun<W: NodeWork> {
    rng: ChaCha8Rng,
    policy: Policy,
    faults: bool,
    /// Longest time in ms between two faults.
    max_fault_gap_ms: u64,
    now: u64,
    order: u64,
    queue: BinaryHeap<Reverse<Entry<W::Message>>>,
    table: FakeTable,
    log: Vec<ChangeRecord>,
    store_down: (u64, u64),
    partitioned_until: u64,
    nodes: Vec<RunNode<W>>,
    starts: u64,
    operators: Vec<RunOperator>,
    last_id: u64,
    sheets: Vec<Sheet>,
    pub(crate) record: W::Record,
    /// When a majority had each version.
    accepted: BTreeMap<ViewVersion, u64>,
    /// When each version was committed.
    committed: BTreeMap<ViewVersion, u64>,
    /// When the first node could use what it gained by each version.
    opened: BTreeMap<ViewVersion, u64>,
    /// The same for shares.
    shares_moved: BTreeMap<ViewVersion, u64>,
    withdrawn: Vec<(KeyDigest, ViewVersion)>,
    /// The last switch of the failure domain, and whether it was taken out.
    domain_switch: Option<(ViewVersion, bool)>,
    switches_domain: bool,
    views: BTreeMap<ViewVersion, ViewSnapshot>,
}

impl<W: NodeWork> FleetRun<W> {
    pub(crate) fn new(mut rng: ChaCha8Rng, policy: Policy, sheets: Vec<Sheet>) -> Self {
        let count = rng.random_range(3..=7);
        let max_fault_gap_ms = [2_000, 5_000, 12_000][rng.random_range(0..3)];
        let mut run = Self {
            rng,
            policy,
            faults: true,
            max_fault_gap_ms,
            now: 0,
            order: 0,
            queue: BinaryHeap::new(),
            table: FakeTable::default(),
            log: Vec::new(),
            store_down: (0, 0),
            partitioned_until: 0,
            nodes: Vec::new(),
            starts: 0,
            operators: vec![RunOperator::default(), RunOperator::default()],
            last_id: 0,
            sheets,
            record: W::Record::default(),
            accepted: BTreeMap::new(),
            committed: BTreeMap::new(),
            opened: BTreeMap::new(),
            shares_moved: BTreeMap::new(),
            withdrawn: Vec::new(),
            domain_switch: None,
            switches_domain: false,
            views: BTreeMap::new(),
        };
        for at in 0..count {
            let fresh = run.fresh_node(at);
            run.nodes.push(fresh);
            run.booted(at);
            let own = run.nodes[at].own.clone();
            run.operators[0].wanted.push(member(own.as_str()));
        }
        run.operators[0].wanted.sort();
        for event in [Event::Load, Event::Check, Event::Fault, Event::Operator(0), Event::Operator(1)] {
            run.after(10, event);
        }
        run
    }

    /// No faults except an outage of the store between two times.
    pub(crate) fn with_outage_only(mut self, from: u64, until: u64) -> Self {
        self.faults = false;
        self.store_down = (from, until);
        self
    }

    /// One operator takes the failure domain out of service and returns it.
    pub(crate) fn with_domain_switches(mut self) -> Self {
        self.switches_domain = true;
        self
    }

    fn fresh_node(&mut self, at: usize) -> RunNode<W> {
        self.starts += 1;
        let own = node(&format!("vm{at}:{}", self.starts));
        let view = FleetView::new();
        RunNode {
            alive: true,
            offset: self.rng.random_range(10_000..1_000_000),
            drift: self.rng.random_range(9_900..=10_100),
            paused_until: 0,
            slow_until: 0,
            store_cut_until: 0,
            in_second_group: self.rng.random(),
            confirmation: ViewConfirmation::new(own.clone()),
            tracker: VersionTracker::new(own.clone(), &view),
            view,
            gates: Vec::new(),
            share_gates: Vec::new(),
            highest: ViewVersion::ZERO,
            admitted: 0,
            checked: 0,
            work: W::new(&own, self.policy),
            own,
        }
    }

    fn booted(&mut self, at: usize) {
        let own = self.nodes[at].own.clone();
        let start = self.rng.random_range(1..CONFIRM_PERIOD_MS);
        self.after(start, Event::Confirm(own.clone()));
        self.after(start, Event::WorkTick(own));
    }

    fn after(&mut self, delay: u64, event: Event<W::Message>) {
        self.order += 1;
        self.queue.push(Reverse(Entry { due: self.now + delay, order: self.order, event }));
    }

    /// Runs for `millis` and returns the first fault found.
    pub(crate) fn run(&mut self, millis: u64) -> Result<(), String> {
        while let Some(Reverse(entry)) = self.queue.pop() {
            if entry.due > millis {
                return self.check_log();
            }
            self.now = self.now.max(entry.due);
            self.handle(entry.event).map_err(|fault| format!("at {} ms: {fault}", self.now))?;
        }
        Ok(())
    }

    fn alive(&self, own: &IncarnationId) -> Option<usize> {
        self.nodes.iter().position(|other| other.alive && other.own == *own)
    }

    fn local(&self, at: usize) -> ClockTime {
        drifting(self.now, self.nodes[at].offset, self.nodes[at].drift)
    }

    fn store_is_up(&self) -> bool {
        !(self.store_down.0..self.store_down.1).contains(&self.now)
    }

    /// Handles an event of a node, or postpones it while the node is paused.
    fn at_node(&mut self, own: &IncarnationId, event: Event<W::Message>) -> Result<(), String> {
        let Some(at) = self.alive(own) else {
            return Ok(());
        };
        let paused_until = self.nodes[at].paused_until;
        if paused_until > self.now {
            self.after(paused_until - self.now, event);
            return Ok(());
        }
        match event {
            Event::Confirm(_) => self.confirm(at),
            Event::WorkTick(_) => self.work_tick(at),
            Event::Deliver { from, message, .. } => self.deliver(at, &from, message)?,
            _ => {}
        }
        Ok(())
    }

    fn handle(&mut self, event: Event<W::Message>) -> Result<(), String> {
        match event {
            Event::Confirm(ref own) | Event::WorkTick(ref own) => self.at_node(&own.clone(), event)?,
            Event::Deliver { ref to, .. } => self.at_node(&to.clone(), event)?,
            Event::Load => {
                self.after(5, Event::Load);
                let at = self.rng.random_range(0..self.nodes.len());
                if self.nodes[at].alive && self.nodes[at].paused_until <= self.now {
                    self.with_work(at, |work, env| {
                        if env.can_admit {
                            work.load(env)
                        }
                    });
                }
            }
            Event::Check => {
                self.after(CHECK_MS, Event::Check);
                (0..self.nodes.len()).try_for_each(|at| self.check(at))?;
            }
            Event::Fault => {
                let next = self.rng.random_range(300..self.max_fault_gap_ms);
                self.after(next, Event::Fault);
                if self.faults {
                    self.fault();
                }
            }
            Event::Operator(operator) => {
                let next = self.rng.random_range(5..40);
                self.after(next, Event::Operator(operator));
                self.operate(operator)?;
            }
            Event::Boot(at) => {
                let own = self.nodes[at].own.clone();
                let fresh = self.fresh_node(at);
                self.nodes[at] = fresh;
                self.booted(at);
                let lag = self.rng.random_range(200..3_000);
                let joined = self.nodes[at].own.clone();
                self.after(lag, Event::Died(own));
                self.after(lag + 100, Event::Joined(joined));
            }
            Event::Died(own) => {
                self.operators[0].wanted.retain(|entry| entry.incarnation != own);
                for operator in &mut self.operators {
                    operator.ended.push(own.clone());
                }
            }
            Event::Joined(own) if self.alive(&own).is_some() => {
                self.operators[0].wanted.push(member(own.as_str()));
                self.operators[0].wanted.sort();
            }
            Event::Joined(_) => {}
            Event::StoreRead(own, ticket) => {
                let reads = self.store_is_up()
                    && self.alive(&own).is_some_and(|at| self.nodes[at].store_cut_until <= self.now);
                if reads {
                    let head = self.head();
                    self.send(&own, &own.clone(), Message::StoreHead(ticket, head));
                }
            }
            Event::StoreFetch(own, since) => {
                if self.store_is_up() {
                    let reply = FetchReply { snapshot: None, changes: self.log(since), sheet_text: None };
                    self.send(&own, &own.clone(), Message::FetchAnswer(reply));
                }
            }
            Event::StoreWrite(transaction) => self.commit(&transaction).map(|_| ())?,
            Event::Pushed(operator, own, version) => self.pushed(operator, &own, version),
        }
        Ok(())
    }

    fn head(&self) -> ViewVersion {
        ViewVersion::new(self.log.len() as u64)
    }

    fn log(&self, since: ViewVersion) -> Vec<ChangeRecord> {
        self.log[since.get() as usize..].to_vec()
    }

    fn commit(&mut self, transaction: &TableTransaction) -> Result<TransactionOutcome, String> {
        let outcome = self.table.commit(transaction);
        if outcome.committed {
            let head: VersionRow = self.table.parsed(HEAD_KEY).ok_or("no head")?;
            if head.version != self.head().next() {
                return Err(format!("head went from {} to {}", self.head(), head.version));
            }
            let record: ChangeRecord = self.table.parsed(&change_key(head.version)).ok_or("no change row")?;
            if let FleetChange::KeyWithdrawn { digest } = &record.change {
                self.withdrawn.push((digest.clone(), head.version));
            }
            if let FleetChange::DomainSwitched { out, .. } = &record.change {
                self.domain_switch = Some((head.version, *out));
            }
            // A partition right after a change of members leaves members that use what they have just lost.
            let is_member_change = matches!(record.change, FleetChange::MembersSet { .. });
            if is_member_change && self.faults && self.rng.random_ratio(1, 2) {
                self.partition(self.now + 4_000, true);
            }
            self.log.push(record);
            self.committed.insert(head.version, self.now);
        }
        Ok(outcome)
    }
}
