//! Randomised runs of the operators' view: feeds, full reads, proofs by a leader and copies of other gateways, all late
//! and out of order, in virtual time. The checker knows the store's history: what a view says must be what the store
//! said at the view's version, and a view that is said to be of some moment must know all changes made before it.

use cowslip_entry::{FleetConfig, OperatorChange, OperatorRow, OperatorView};
use cowslip_units::{ClockTime, DomainId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::grant_runs::seeds;
use crate::names::{at, domain};

const DOMAINS: [&str; 3] = ["a", "b", "c"];
const GATEWAYS: usize = 4;
const LENGTH_MS: u64 = 20_000;
const STEP_MS: u64 = 10;

/// How a run is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Sabotage {
    None,
    /// Answers are dated by their arrival.
    ArrivalDate,
    /// A leader's proof is taken whatever change it names.
    BlindProof,
    /// A copy is passed on with the version of the gateway that takes it.
    RelabelledCopy,
}

/// One change of the store, with the time at which it was acknowledged.
#[derive(Clone, Debug)]
struct StoreChange {
    at_ms: u64,
    change: OperatorChange,
}

/// The store's table: configurations, and domains taken out and back.
#[derive(Default)]
struct Store {
    changes: Vec<StoreChange>,
    version: u64,
}

impl Store {
    fn change(&mut self, row: OperatorRow, at_ms: u64, random: &mut ChaCha8Rng) {
        // Other tables share the counter.
        self.version += random.random_range(1..4);
        self.changes.push(StoreChange { at_ms, change: OperatorChange { version: self.version, row } });
    }

    fn after(&self, version: u64) -> Vec<OperatorChange> {
        let newer = self.changes.iter().filter(|known| known.change.version > version);
        newer.map(|known| known.change.clone()).collect()
    }

    /// The rows that stand in the table up to a version.
    fn rows(&self, version: u64) -> Vec<OperatorChange> {
        let known: Vec<&OperatorChange> = self
            .changes
            .iter()
            .map(|known| &known.change)
            .filter(|change| change.version <= version)
            .collect();
        let newest =
            |same: &dyn Fn(&OperatorRow) -> bool| known.iter().rev().find(|change| same(&change.row));
        let config = newest(&|row| matches!(row, OperatorRow::Config(_)));
        let of_domain = |name: &&str| {
            newest(&|row| match row {
                OperatorRow::Evacuated(known) | OperatorRow::Reinstated(known) => *known == domain(name),
                _ => false,
            })
        };
        let out = DOMAINS.iter().filter_map(of_domain);
        let out = out.filter(|change| matches!(change.row, OperatorRow::Evacuated(_)));
        config.into_iter().chain(out).map(|change| (*change).clone()).collect()
    }

    fn newest_before(&self, time: ClockTime) -> u64 {
        let before = self.changes.iter().filter(|known| at(known.at_ms) < time);
        before.map(|known| known.change.version).max().unwrap_or(0)
    }
}

/// What is on its way to a gateway.
#[derive(Clone)]
enum Answer {
    Feed { changes: Vec<OperatorChange>, version: u64, sent: ClockTime },
    Full { rows: Vec<OperatorChange>, version: u64, sent: ClockTime },
    Proof { changed: u64, proven: ClockTime },
}

/// What a view says: its configuration and the domains taken out.
fn content(view: &OperatorView) -> (Option<u64>, Vec<DomainId>) {
    let out = DOMAINS.iter().map(|name| domain(name)).filter(|name| view.is_evacuated(name)).collect();
    (view.config().map(|config| config.version()), out)
}

fn stored(store: &Store, version: u64) -> (Option<u64>, Vec<DomainId>) {
    let mut view = OperatorView::new();
    view.replace(store.rows(version), version, at(0));
    content(&view)
}

/// Plays a run and returns its faults.
fn play(seed: u64, sabotage: Sabotage) -> Vec<String> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut store = Store::default();
    store.change(OperatorRow::Config(FleetConfig::new(1)), 0, &mut random);
    let mut views: Vec<OperatorView> = (0..GATEWAYS).map(|_| OperatorView::new()).collect();
    let mut mail: Vec<(u64, usize, Answer)> = Vec::new();
    let mut faults = Vec::new();
    let mut configs = 1;
    for millis in (STEP_MS..LENGTH_MS).step_by(STEP_MS as usize) {
        let now = at(millis);
        if random.random_bool(0.01) {
            configs += 1;
            store.change(OperatorRow::Config(FleetConfig::new(configs)), millis, &mut random);
        }
        if random.random_bool(0.01) {
            let name = domain(DOMAINS[random.random_range(0..DOMAINS.len())]);
            let row = if random.random_bool(0.5) {
                OperatorRow::Evacuated(name)
            } else {
                OperatorRow::Reinstated(name)
            };
            store.change(row, millis, &mut random);
        }
        for (gateway, view) in views.iter().enumerate() {
            let due = millis + random.random_range(1..3_000);
            match random.random_range(0..60) {
                0 if view.version() > 0 => {
                    let changes = store.after(view.version());
                    mail.push((due, gateway, Answer::Feed { changes, version: store.version, sent: now }));
                }
                1 => {
                    let rows = store.rows(store.version);
                    mail.push((due, gateway, Answer::Full { rows, version: store.version, sent: now }));
                }
                2 => {
                    let from = &views[random.random_range(0..GATEWAYS)];
                    if let Some(age_ms) = from.age_ms(now) {
                        let proven = now.minus_ms(age_ms);
                        mail.push((due, gateway, Answer::Proof { changed: from.changed(), proven }));
                    }
                }
                3 => {
                    let from = &views[random.random_range(0..GATEWAYS)];
                    if let Some(age_ms) = from.age_ms(now) {
                        let relabel = sabotage == Sabotage::RelabelledCopy;
                        let version =
                            if relabel { view.version().max(from.version()) } else { from.version() };
                        let rows = store.rows(from.version());
                        let sent = now.minus_ms(age_ms);
                        mail.push((due, gateway, Answer::Full { rows, version, sent }));
                    }
                }
                _ => {}
            }
        }
        for (_, gateway, answer) in mail.extract_if(.., |(due, ..)| *due <= millis) {
            let view = &mut views[gateway];
            let date = |sent| if sabotage == Sabotage::ArrivalDate { now } else { sent };
            match answer {
                Answer::Feed { changes, version, sent } => {
                    view.apply(changes, version, date(sent));
                }
                Answer::Full { rows, version, sent } => {
                    view.replace(rows, version, date(sent));
                }
                Answer::Proof { changed, proven } => {
                    let changed = if sabotage == Sabotage::BlindProof { 0 } else { changed };
                    view.confirm(changed, proven);
                }
            }
        }
        for (gateway, view) in views.iter().enumerate() {
            if view.version() > 0 && content(view) != stored(&store, view.version()) {
                faults.push(format!(
                    "at {millis}: gateway {gateway} says another thing than version {}",
                    view.version()
                ));
            }
            let proven = view.age_ms(now).map(|age_ms| now.minus_ms(age_ms));
            if proven.is_some_and(|proven| store.newest_before(proven) > view.version()) {
                faults.push(format!(
                    "at {millis}: gateway {gateway} says to be of a moment whose changes it lacks"
                ));
            }
        }
    }
    faults
}

/// Guards against a withdrawn key or an evacuation that is believed to be known, and against a configuration that goes
/// back, whatever answers are late or come by way of other gateways.
#[test]
fn a_view_knows_all_changes_before_its_date() {
    for seed in 0..seeds(60) {
        let faults = play(seed, Sabotage::None);
        assert!(faults.is_empty(), "seed {seed}: {} faults, first {:?}", faults.len(), faults.first());
    }
}

/// The checker must see each fault that is put in on purpose.
#[rstest]
#[case(Sabotage::ArrivalDate, "lacks")]
#[case(Sabotage::BlindProof, "lacks")]
#[case(Sabotage::RelabelledCopy, "another thing")]
fn broken_views_are_caught(#[case] sabotage: Sabotage, #[case] sign: &str) {
    let caught = (0..20).any(|seed| play(seed, sabotage).iter().any(|fault| fault.contains(sign)));
    assert!(caught, "{sabotage:?} was not caught");
}
