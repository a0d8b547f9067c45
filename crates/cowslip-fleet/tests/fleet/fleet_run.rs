//! Simulation of routers, two operators and a store with virtual time: everything that distributes and
//! confirms the view.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use cowslip_config::{TeamRow, UpstreamRow};
use cowslip_fleet::{
    ApplyOutcome, CONFIRM_PERIOD_MS, CommitProtocol, CommitStep, ConfirmOutcome, ConfirmTicket, FleetView,
    HEAD_KEY, HandoffGate, SHARE_HANDOFF_DELAY_MS, VersionRow, VersionTracker, ViewConfirmation, applied_key,
    change_key, next_member_change, with_drift,
};
use cowslip_messages::{
    ChangeRecord, ConfirmReply, FetchReply, FleetChange, KeyState, MemberEntry, ViewSnapshot,
};
use cowslip_platform::{PlatformError, TableTransaction, TransactionOutcome};
use cowslip_units::{ClockTime, DomainId, IncarnationId, KeyDigest, ViewVersion};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::fake_table::FakeTable;
use crate::fixtures::{change_id, digest, drifting, member, node};

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

#[derive(Clone)]
enum Message<M> {
    Push(Vec<ChangeRecord>),
    ConfirmCall(ConfirmTicket),
    ConfirmAnswer(ConfirmTicket, ConfirmReply),
    FetchCall(ViewVersion),
    FetchAnswer(FetchReply),
    StoreHead(ConfirmTicket, ViewVersion),
    Exchange(ViewVersion),
    Work(M),
}

enum Event<M> {
    Confirm(IncarnationId),
    WorkTick(IncarnationId),
    Load,
    Check,
    Fault,
    Operator(usize),
    Boot(usize),
    Died(IncarnationId),
    Joined(IncarnationId),
    StoreRead(IncarnationId, ConfirmTicket),
    StoreFetch(IncarnationId, ViewVersion),
    StoreWrite(TableTransaction),
    Pushed(usize, IncarnationId, ViewVersion),
    Deliver { to: IncarnationId, from: IncarnationId, message: Message<M> },
}

struct Entry<M> {
    due: u64,
    order: u64,
    event: Event<M>,
}

impl<M> PartialEq for Entry<M> {
    fn eq(&self, other: &Self) -> bool {
        (self.due, self.order) == (other.due, other.order)
    }
}
impl<M> Eq for Entry<M> {}
impl<M> PartialOrd for Entry<M> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl<M> Ord for Entry<M> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.due, self.order).cmp(&(other.due, other.order))
    }
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

    /// Sends a message over a network that loses, repeats, delays and thereby reorders messages.
    fn send(&mut self, from: &IncarnationId, to: &IncarnationId, message: Message<W::Message>) {
        let sides = [from, to].map(|own| self.alive(own));
        let [Some(sender), Some(receiver)] = sides else { return };
        let partitioned = self.partitioned_until > self.now
            && self.nodes[sender].in_second_group != self.nodes[receiver].in_second_group;
        if partitioned || (self.faults && self.rng.random_ratio(1, 12)) {
            return;
        }
        let copies = if self.faults && self.rng.random_ratio(1, 20) { 2 } else { 1 };
        for _ in 0..copies {
            let slow = [sender, receiver].iter().any(|at| self.nodes[*at].slow_until > self.now);
            let longest = if slow { 4_000 } else { 15 };
            let delay = self.rng.random_range(1..=longest);
            let (to, from, message) = (to.clone(), from.clone(), message.clone());
            self.after(delay, Event::Deliver { to, from, message });
        }
    }

    fn send_peers(&mut self, at: usize, message: &Message<W::Message>) {
        let own = self.nodes[at].own.clone();
        let peers: Vec<_> =
            self.nodes.iter().map(|peer| peer.own.clone()).filter(|peer| *peer != own).collect();
        for peer in peers {
            self.send(&own, &peer, message.clone());
        }
    }

    fn confirm(&mut self, at: usize) {
        let now = self.local(at);
        let node = &mut self.nodes[at];
        let ticket = node.confirmation.ticket(&node.view, now);
        let (own, version, slow) = (node.own.clone(), node.view.version(), node.slow_until > self.now);
        let delay = self.rng.random_range(1..if slow { 2_000 } else { 20 });
        self.after(delay, Event::StoreRead(own.clone(), ticket));
        self.send_peers(at, &Message::ConfirmCall(ticket));
        self.send_peers(at, &Message::Exchange(version));
        self.after(CONFIRM_PERIOD_MS, Event::Confirm(own));
    }

    fn with_work(&mut self, at: usize, act: impl FnOnce(&mut W, &mut WorkEnv<'_, W>)) {
        let now = self.local(at);
        let node = &mut self.nodes[at];
        let mut out = Vec::new();
        let mut env = WorkEnv {
            real_ms: self.now,
            now,
            tracker: &node.tracker,
            view: &node.view,
            can_admit: node.confirmation.can_admit(now),
            rng: &mut self.rng,
            out: &mut out,
            record: &mut self.record,
        };
        act(&mut node.work, &mut env);
        let own = node.own.clone();
        for (to, message) in out {
            self.send(&own, &to, Message::Work(message));
        }
    }

    fn work_tick(&mut self, at: usize) {
        self.observe_gates(at);
        self.with_work(at, |work, env| work.tick(env));
        let own = self.nodes[at].own.clone();
        self.after(100, Event::WorkTick(own));
    }

    fn observe_gates(&mut self, at: usize) {
        let now = self.local(at);
        let node = &mut self.nodes[at];
        let gains_at_once = self.policy == Policy::NoHandoffDelay;
        let shares_at_once = self.policy == Policy::NoShareDelay;
        let lists = [
            (&mut node.gates, &mut self.opened, gains_at_once),
            (&mut node.share_gates, &mut self.shares_moved, shares_at_once),
        ];
        for (gates, opened, at_once) in lists {
            gates.iter_mut().for_each(|gate| gate.observe(&node.tracker, now));
            for gate in gates.extract_if(.., |gate| at_once || gate.is_open(now)) {
                opened.entry(gate.version()).or_insert(self.now);
            }
        }
    }

    fn deliver(
        &mut self,
        at: usize,
        from: &IncarnationId,
        message: Message<W::Message>,
    ) -> Result<(), String> {
        let now = self.local(at);
        let policy = self.policy;
        let fix = |mut ticket: ConfirmTicket| {
            if policy == Policy::AnswerTime {
                ticket.sent_at = now;
            }
            ticket
        };
        let node = &mut self.nodes[at];
        match message {
            Message::Push(changes) => {
                self.apply(at, None, &changes)?;
                let (own, version) = (self.nodes[at].own.clone(), self.nodes[at].view.version());
                let operator = usize::from(from.as_str().ends_with(":op1"));
                self.after(5, Event::Pushed(operator, own, version));
            }
            Message::ConfirmCall(ticket) => {
                let reply = node.confirmation.reply(&node.view, now);
                let own = node.own.clone();
                self.send(&own, from, Message::ConfirmAnswer(ticket, reply));
            }
            Message::ConfirmAnswer(ticket, mut reply) => {
                node.tracker.on_report(&reply.incarnation, reply.version);
                if policy == Policy::StoreOnly {
                    return Ok(());
                }
                if policy == Policy::AnyPeer && reply.version <= node.view.version() {
                    reply.age_ms = Some(0);
                }
                let outcome = node.confirmation.peer_answered(fix(ticket), &reply, &node.view, now);
                if let ConfirmOutcome::Fetch(_) = outcome {
                    let (own, since) = (node.own.clone(), node.view.version());
                    self.send(&own, from, Message::FetchCall(since));
                }
            }
            Message::StoreHead(ticket, head) => {
                let outcome = node.confirmation.store_answered(fix(ticket), head, &node.view);
                if let ConfirmOutcome::Fetch(_) = outcome {
                    let (own, since) = (node.own.clone(), node.view.version());
                    self.after(10, Event::StoreFetch(own, since));
                }
            }
            Message::FetchCall(since) => {
                let own = node.own.clone();
                let changes = node.view.changes_since(since).filter(|_| self.rng.random_ratio(1, 2));
                let snapshot = changes.is_none().then(|| node.view.to_snapshot());
                let reply = FetchReply { snapshot, changes: changes.unwrap_or_default(), sheet_text: None };
                self.send(&own, from, Message::FetchAnswer(reply));
            }
            Message::FetchAnswer(reply) => self.apply(at, reply.snapshot, &reply.changes)?,
            Message::Exchange(version) => node.tracker.on_report(from, version),
            Message::Work(message) => {
                self.with_work(at, |work, env| work.message(from, message, env));
            }
        }
        Ok(())
    }

    fn apply(
        &mut self,
        at: usize,
        snapshot: Option<ViewSnapshot>,
        changes: &[ChangeRecord],
    ) -> Result<(), String> {
        if let Some(snapshot) = snapshot {
            if self.policy == Policy::AnySnapshot && snapshot.version < self.nodes[at].view.version() {
                self.nodes[at].view = FleetView::from_snapshot(snapshot);
                self.applied(at, true)?;
            } else if self.nodes[at].view.adopt(snapshot) == ApplyOutcome::Applied {
                self.applied(at, true)?;
            }
        }
        for record in changes {
            if self.nodes[at].view.apply(record) == ApplyOutcome::Applied {
                let is_share_change = matches!(
                    record.change,
                    FleetChange::SheetApplied { .. } | FleetChange::MembersSet { .. }
                );
                self.applied(at, is_share_change)?;
            }
        }
        Ok(())
    }

    fn applied(&mut self, at: usize, is_share_change: bool) -> Result<(), String> {
        let now = self.local(at);
        let node = &mut self.nodes[at];
        let version = node.view.version();
        if version <= node.highest {
            return Err(format!("view of {} went from {} to {version}", node.own, node.highest));
        }
        node.highest = version;
        node.tracker.view_changed(&node.view);
        node.confirmation.view_changed(&node.view, now);
        node.gates.push(HandoffGate::new(version, now));
        node.share_gates.push(HandoffGate::new(version, now).with_wait_ms(SHARE_HANDOFF_DELAY_MS));
        let state = node.view.to_snapshot();
        let known = self.views.entry(version).or_insert_with(|| state.clone());
        if *known != state {
            return Err(format!("view of {} differs at version {version}", node.own));
        }
        if is_share_change {
            let digest = node.view.sheet_ref().map(|sheet| sheet.digest.to_string());
            let sheet = digest
                .and_then(|digest| digest.parse::<usize>().ok())
                .map(|sheet| self.sheets[sheet].clone());
            self.with_work(at, |work, env| work.configure(&sheet.unwrap_or_default(), env));
        }
        Ok(())
    }

    fn check(&mut self, at: usize) -> Result<(), String> {
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
    fn check_log(&self) -> Result<(), String> {
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

    fn fault(&mut self) {
        let at = self.rng.random_range(0..self.nodes.len());
        let until = self.now + self.rng.random_range(300..9_000);
        match self.rng.random_range(0..8) {
            0 => self.nodes[at].paused_until = until,
            1 | 6 if self.nodes[at].alive => {
                self.nodes[at].alive = false;
                let down = self.rng.random_range(100..4_000);
                self.after(down, Event::Boot(at));
            }
            2 => self.store_down = (self.now, until),
            3 => self.nodes[at].store_cut_until = until,
            4 => {
                let without_store = self.rng.random_ratio(2, 3);
                self.partition(until, without_store);
            }
            5 => self.nodes[at].slow_until = until,
            _ => {}
        }
    }

    /// Partitions the nodes into two groups; the operators are in the first one.
    fn partition(&mut self, until: u64, without_store: bool) {
        self.partitioned_until = until;
        for node in &mut self.nodes {
            node.in_second_group = self.rng.random();
            if node.in_second_group && without_store {
                node.store_cut_until = until;
            }
        }
    }

    fn operate(&mut self, operator: usize) -> Result<(), String> {
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

    fn commit_with_faults(
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

    fn catch_up(&mut self, operator: usize) {
        for record in self.log(self.operators[operator].view.version()) {
            self.operators[operator].view.apply(&record);
        }
        let operator = &mut self.operators[operator];
        let tracker = operator.tracker.get_or_insert_with(|| VersionTracker::new(node("op"), &operator.view));
        tracker.view_changed(&operator.view);
        operator.ended.iter().for_each(|own| tracker.ended(own));
    }

    fn push(&mut self, operator: usize) {
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

    fn pushed(&mut self, operator: usize, own: &IncarnationId, version: ViewVersion) {
        if let Some(tracker) = self.operators[operator].tracker.as_mut() {
            tracker.on_report(own, version);
            self.note_accepted(operator);
        }
    }

    fn note_accepted(&mut self, operator: usize) {
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

    fn draw_change(&mut self, operator: usize) -> Option<CommitProtocol> {
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
