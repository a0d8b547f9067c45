//! What the nodes of a run send to each other, and what they do with it.

use cowslip_fleet::{
    ApplyOutcome, CONFIRM_PERIOD_MS, ConfirmOutcome, ConfirmTicket, FleetView, HandoffGate,
    SHARE_HANDOFF_DELAY_MS,
};
use cowslip_messages::{ChangeRecord, FetchReply, FleetChange, ViewSnapshot};
use cowslip_units::IncarnationId;
use rand::Rng;

use super::run_event::{Event, Message};
use super::{FleetRun, NodeWork, Policy, WorkEnv};

impl<W: NodeWork> FleetRun<W> {
    /// Sends a message over a network that loses, repeats, delays and thereby reorders messages.
    pub(super) fn send(&mut self, from: &IncarnationId, to: &IncarnationId, message: Message<W::Message>) {
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

    pub(super) fn send_peers(&mut self, at: usize, message: &Message<W::Message>) {
        let own = self.nodes[at].own.clone();
        let peers: Vec<_> =
            self.nodes.iter().map(|peer| peer.own.clone()).filter(|peer| *peer != own).collect();
        for peer in peers {
            self.send(&own, &peer, message.clone());
        }
    }

    pub(super) fn confirm(&mut self, at: usize) {
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

    pub(super) fn with_work(&mut self, at: usize, act: impl FnOnce(&mut W, &mut WorkEnv<'_, W>)) {
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

    pub(super) fn work_tick(&mut self, at: usize) {
        self.observe_gates(at);
        self.with_work(at, |work, env| work.tick(env));
        let own = self.nodes[at].own.clone();
        self.after(100, Event::WorkTick(own));
    }

    pub(super) fn observe_gates(&mut self, at: usize) {
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

    pub(super) fn deliver(
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

    pub(super) fn apply(
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

    pub(super) fn applied(&mut self, at: usize, is_share_change: bool) -> Result<(), String> {
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
}
