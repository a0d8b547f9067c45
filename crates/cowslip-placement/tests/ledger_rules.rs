//! The evidence that the ledger requires before it changes a row, one fault at a time.

#![allow(clippy::unwrap_used, reason = "a failed set-up fails the test")]

use cowslip_messages::ReplicaState;
use cowslip_placement::{
    LedgerRefusal, LedgerRow, LoadDecision, OrderAnswer, OrderIssuer, ReplicaLedger, RowKey, RowKind,
    UpstreamReport,
};
use cowslip_units::{
    ClockTime, FencingToken, IncarnationId, MemorySize, ModelId, OrderId, UpstreamId, VmId, drain_violations,
};
use rstest::rstest;

fn issuer(epoch: u64) -> OrderIssuer {
    let vm = VmId::new(&format!("vm{epoch}")).unwrap();
    let incarnation = IncarnationId::new(&format!("{vm}:1")).unwrap();
    OrderIssuer { vm, incarnation, epoch: FencingToken::new(epoch) }
}

fn name(text: &str) -> ModelId {
    ModelId::new(text).unwrap()
}

fn upstream() -> UpstreamId {
    UpstreamId::new("u").unwrap()
}

fn key(model: &str) -> RowKey {
    RowKey::replica(upstream(), name(model))
}

fn decision(model: &str, memory: u64) -> LoadDecision {
    LoadDecision { key: key(model), base: name(model), memory: MemorySize::new(memory), load_ms: 100 }
}

fn report(boot: &str, sequence: u64, loaded: &[&str]) -> UpstreamReport {
    let loaded = loaded.iter().map(|model| (name(model), MemorySize::new(10))).collect();
    UpstreamReport { boot: boot.into(), sequence, loaded, ..UpstreamReport::default() }
}

fn at(millis: u64) -> ClockTime {
    ClockTime::new(millis)
}

struct Ledger(ReplicaLedger);

impl Ledger {
    /// The ledger of epoch 2 with an engine of 100 MiB in boot `b1`.
    fn new(checks_fencing: bool, rows: Vec<LedgerRow>) -> Self {
        let mut ledger = Self(ReplicaLedger::new(issuer(2)));
        ledger.0.set_upstream(&upstream(), MemorySize::new(100), checks_fencing);
        ledger.0.adopt(rows, at(5));
        ledger.report(10, report("b1", 1, &[]));
        ledger
    }

    fn report(&mut self, requested_at: u64, report: UpstreamReport) {
        self.0.report(&upstream(), &report, at(requested_at), |name| (RowKind::Replica, name.clone()));
    }

    fn commit(&mut self) {
        while let Some(batch) = self.0.next_batch() {
            self.0.batch_committed(batch.number);
        }
    }

    /// Commits, then sends the one order that is due and answers it.
    fn answer(&mut self, now: u64, answer: &OrderAnswer) -> OrderId {
        self.commit();
        let orders = self.0.orders(at(now), |_| true);
        assert_eq!(orders.len(), 1, "{orders:?}");
        self.0.order_answered(&orders[0].key, &orders[0].order, answer, at(now));
        self.commit();
        orders[0].order.clone()
    }

    fn state(&self, model: &str) -> Option<ReplicaState> {
        self.0.state(&key(model))
    }
}

const DONE: OrderAnswer = OrderAnswer::Done { sequence: 5 };

fn refused() -> OrderAnswer {
    OrderAnswer::Refused { reason: "no weights".to_owned() }
}

/// A row that an earlier leader ordered.
fn in_doubt_row() -> LedgerRow {
    let mut earlier = ReplicaLedger::new(issuer(1));
    earlier.set_upstream(&upstream(), MemorySize::new(100), true);
    earlier.report(&upstream(), &report("b1", 1, &[]), at(1), |name| (RowKind::Replica, name.clone()));
    earlier.decide(decision("m", 60), at(2)).unwrap();
    earlier.row(&key("m")).unwrap().clone()
}

/// Guards against an order that is sent before its row is committed.
#[test]
fn order_follows_commit() {
    let mut ledger = Ledger::new(true, Vec::new());
    ledger.0.decide(decision("m", 60), at(20)).unwrap();
    assert!(ledger.0.orders(at(21), |_| true).is_empty());
    let batch = ledger.0.next_batch().unwrap();
    ledger.0.batch_failed(batch.number);
    assert!(ledger.0.orders(at(22), |_| true).is_empty());
    assert_eq!(ledger.0.next_batch(), Some(batch.clone()), "a batch in doubt is returned again unchanged");
    ledger.0.batch_committed(batch.number);
    assert_eq!(ledger.0.orders(at(23), |_| true).len(), 1);
    assert!(drain_violations().is_empty());
}

/// Guards against memory that is reserved twice, in each state of the row that holds it.
#[rstest]
#[case::ordered(|_: &mut Ledger| ())]
#[case::in_doubt(|ledger: &mut Ledger| { ledger.answer(30, &OrderAnswer::InDoubt); })]
#[case::loaded(|ledger: &mut Ledger| { ledger.answer(30, &DONE); })]
#[case::unload_in_doubt(|ledger: &mut Ledger| {
    ledger.answer(30, &DONE);
    ledger.0.drain(&key("m")).unwrap();
    ledger.0.unload(&key("m")).unwrap();
    ledger.answer(40, &OrderAnswer::InDoubt);
})]
fn memory_stays_reserved(#[case] steps: fn(&mut Ledger)) {
    let mut ledger = Ledger::new(true, Vec::new());
    ledger.0.decide(decision("m", 60), at(20)).unwrap();
    steps(&mut ledger);
    let refusal = ledger.0.decide(decision("n", 41), at(50)).unwrap_err();
    assert_eq!(
        refusal,
        LedgerRefusal::InsufficientMemory { needed: MemorySize::new(41), free: MemorySize::new(40) }
    );
    assert_eq!(ledger.0.decide(decision("m", 10), at(50)), Err(LedgerRefusal::RowExists));
}

/// Guards against a confirmed load that is freed by an older report, or kept after a report that shows its
/// end.
#[rstest]
#[case::before_the_load(50, "b1", 4, &[], Some(ReplicaState::Loaded))]
#[case::requested_before_the_answer(25, "b1", 9, &[], Some(ReplicaState::Loaded))]
#[case::lists_it(50, "b1", 9, &["m"], Some(ReplicaState::Loaded))]
#[case::evicted(50, "b1", 9, &[], None)]
#[case::restarted(60, "b2", 0, &[], None)]
fn report_updates_loaded_row(
    #[case] requested_at: u64,
    #[case] boot: &str,
    #[case] sequence: u64,
    #[case] loaded: &[&str],
    #[case] expected: Option<ReplicaState>,
) {
    let mut ledger = Ledger::new(true, Vec::new());
    ledger.0.decide(decision("m", 60), at(20)).unwrap();
    ledger.answer(30, &DONE);
    if boot == "b2" {
        ledger.report(40, report("b1", 5, &["m"]));
    }
    ledger.report(requested_at, report(boot, sequence, loaded));
    assert_eq!(ledger.state("m"), expected);
    ledger.commit();
    let free = if expected.is_none() { 100 } else { 40 };
    assert_eq!(ledger.0.free_memory(&upstream()), MemorySize::new(free));
}

/// Guards against a load that counts as confirmed although the engine restarted around its answer: the order
/// must be sent again.
#[test]
fn restart_around_the_answer_is_in_doubt() {
    let mut ledger = Ledger::new(true, Vec::new());
    ledger.0.decide(decision("m", 60), at(20)).unwrap();
    let first = ledger.answer(30, &DONE);
    ledger.report(40, report("b2", 0, &[]));
    assert_eq!(ledger.state("m"), Some(ReplicaState::Ordered));
    assert_eq!(ledger.answer(50, &DONE), first, "the same order id");
    assert_eq!(ledger.state("m"), Some(ReplicaState::Loaded));
}

/// Guards against an adopted order in doubt that is dropped without evidence. From an engine that checks
/// fencing tokens, its answer is enough; otherwise the earlier leader must also have released the order, in
/// the boot that answered.
#[rstest]
#[case::checks_fencing(true, false, "b1", None)]
#[case::issuer_not_finished(false, false, "b1", Some(ReplicaState::Unloading))]
#[case::issuer_finished(false, true, "b1", None)]
#[case::restarted_meanwhile(false, true, "b2", Some(ReplicaState::Ordered))]
fn adopted_order_needs_evidence(
    #[case] checks_fencing: bool,
    #[case] finished: bool,
    #[case] boot: &str,
    #[case] expected: Option<ReplicaState>,
) {
    let mut ledger = Ledger::new(checks_fencing, vec![in_doubt_row()]);
    assert_eq!(ledger.state("m"), Some(ReplicaState::Ordered));
    let order = ledger.answer(30, &refused());
    assert_eq!(order, in_doubt_row().order, "adopted under its own id");
    ledger.0.release_issuers(at(40), |_| finished);
    ledger.report(50, report(boot, 6, &[]));
    assert_eq!(ledger.state("m"), expected);
}

/// Guards against rows of a permanently gone upstream that would count against a model's replicas for ever.
#[test]
fn gone_upstream_frees_all_rows() {
    let mut ledger = Ledger::new(false, vec![in_doubt_row()]);
    ledger.0.upstream_gone(&upstream());
    ledger.commit();
    assert_eq!(ledger.0.rows().count(), 0);
}

/// Guards against a decision that cannot be cancelled although its order was never sent, and against one that
/// is cancelled although it may have been.
#[rstest]
#[case::not_sent(OrderAnswer::NotSent, true)]
#[case::in_doubt(OrderAnswer::InDoubt, false)]
fn only_unsent_decisions_are_cancelled(#[case] answer: OrderAnswer, #[case] cancelled: bool) {
    let mut ledger = Ledger::new(true, Vec::new());
    ledger.0.decide(decision("m", 60), at(20)).unwrap();
    ledger.answer(30, &answer);
    let orders = ledger.0.orders(at(60_000), |_| false);
    assert_eq!(orders.is_empty(), cancelled, "{orders:?}");
    assert_eq!(ledger.state("m").is_none(), cancelled);
}

/// Guards against a leader that continues after an engine has seen a higher fencing token.
#[test]
fn old_fence_ends_orders() {
    let mut ledger = Ledger::new(true, Vec::new());
    ledger.0.decide(decision("m", 60), at(20)).unwrap();
    ledger.answer(30, &OrderAnswer::OldFence);
    assert!(ledger.0.is_superseded());
    assert!(ledger.0.orders(at(60_000), |_| true).is_empty() && ledger.0.next_batch().is_none());
    assert_eq!(ledger.state("m"), Some(ReplicaState::Ordered), "the row is left to the next leader");
}

/// Guards against a model without a row whose memory is not accounted for, and against a delayed report that
/// looks like it.
#[test]
fn unknown_model_gets_a_row() {
    let mut ledger = Ledger::new(true, Vec::new());
    ledger.report(100, report("b1", 2, &["x"]));
    assert_eq!(ledger.state("x"), None, "may have been unloaded a moment ago");
    ledger.report(2_200, report("b1", 2, &["x"]));
    assert_eq!(ledger.state("x"), Some(ReplicaState::Loaded));
    assert_eq!(ledger.0.free_memory(&upstream()), MemorySize::new(90));
}

/// Guards against an adapter row that stays for ever: its order was in doubt when the row was removed
/// together with its model (seed 1496 of the random runs).
#[test]
fn adapter_in_doubt_outlives_its_model() {
    let mut ledger = Ledger::new(true, Vec::new());
    ledger.0.decide(decision("m", 60), at(20)).unwrap();
    ledger.answer(30, &DONE);
    ledger.report(35, report("b1", 5, &["m"]));
    let adapter = RowKey::adapter(upstream(), name("a"));
    let load = LoadDecision { key: adapter.clone(), base: name("m"), memory: MemorySize::new(5), load_ms: 1 };
    ledger.0.decide(load, at(36)).unwrap();
    ledger.answer(40, &OrderAnswer::Done { sequence: 6 });
    ledger.0.drain(&key("m")).unwrap();
    ledger.0.unload(&key("m")).unwrap();
    ledger.commit();
    let unload = ledger.0.orders(at(50), |_| true).remove(0);
    ledger.report(55, report("b2", 0, &[]));
    assert_eq!(ledger.0.state(&adapter), Some(ReplicaState::Ordered), "loaded around the restart");
    ledger.0.order_answered(&unload.key, &unload.order, &DONE, at(60));
    ledger.commit();
    assert_eq!(ledger.0.state(&adapter), Some(ReplicaState::Ordered));
    ledger.answer(70, &refused());
    assert_eq!(ledger.0.rows().count(), 0);
}
