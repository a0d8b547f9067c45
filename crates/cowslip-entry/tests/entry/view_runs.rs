//! Randomised simulations of the operators' view: feeds, full reads, confirmations by a leader and copies of
//! other gateways, all delayed and out of order, in virtual time. The check has the store's history: a view
//! must equal the store's content at the view's version, and a view with a confirmed freshness must include
//! all changes made before that time.

use cowslip_entry::{FleetConfig, OperatorChange, OperatorRow, OperatorView};
use cowslip_units::{ClockTime, DomainId};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

use crate::fixtures::{at, domain};
use crate::grant_runs::seeds;

const DOMAINS: [&str; 3] = ["a", "b", "c"];
const GATEWAYS: usize = 4;
const LENGTH_MS: u64 = 20_000;
const STEP_MS: u64 = 10;

/// Fault that a run injects.
#[derive(Clone, Copy, Debug, PartialEq)]
enum InjectedFault {
    None,
    /// Freshness counts from the arrival of an answer.
    ArrivalTime,
    /// A leader's confirmation is applied whatever change it names.
    UncheckedConfirmation,
    /// A copy is forwarded with the version of the gateway that receives it.
    RelabelledCopy,
}

/// One change of the store, with the time of its acknowledgement.
#[derive(Clone, Debug)]
struct StoreChange {
    at_ms: u64,
    change: OperatorChange,
}

/// The store's table: configurations, and evacuations of failure domains.
#[derive(Default)]
struct Store {
    changes: Vec<StoreChange>,
    version: u64,
}

impl Store {
    fn change(&mut self, row: OperatorRow, at_ms: u64, random: &mut ChaCha8Rng) {
        // Other tables share the version counter.
        self.version += random.random_range(1..4);
        self.changes.push(StoreChange { at_ms, change: OperatorChange { version: self.version, row } });
    }

    fn after(&self, version: u64) -> Vec<OperatorChange> {
        let newer = self.changes.iter().filter(|known| known.change.version > version);
        newer.map(|known| known.change.clone()).collect()
    }

    /// The rows of the table as of a version.
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

/// An answer in transit to a gateway.
#[derive(Clone)]
enum Answer {
    Feed { changes: Vec<OperatorChange>, version: u64, sent: ClockTime },
    Full { rows: Vec<OperatorChange>, version: u64, sent: ClockTime },
    Confirmation { changed: u64, confirmed_at: ClockTime },
}

/// Content of a view: its configuration version and the evacuated failure domains.
fn content(view: &OperatorView) -> (Option<u64>, Vec<DomainId>) {
    let out = DOMAINS.iter().map(|name| domain(name)).filter(|name| view.is_evacuated(name)).collect();
    (view.config().map(|config| config.version()), out)
}

fn stored(store: &Store, version: u64) -> (Option<u64>, Vec<DomainId>) {
    let mut view = OperatorView::new();
    view.replace(store.rows(version), version, at(0));
    content(&view)
}

/// Simulates a run and returns its faults.
fn simulate(seed: u64, injected: InjectedFault) -> Vec<String> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut store = Store::default();
    store.change(OperatorRow::Config(FleetConfig::new(1)), 0, &mut random);
    let mut views: Vec<OperatorView> = (0..GATEWAYS).map(|_| OperatorView::new()).collect();
    let mut in_transit: Vec<(u64, usize, Answer)> = Vec::new();
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
                    in_transit.push((
                        due,
                        gateway,
                        Answer::Feed { changes, version: store.version, sent: now },
                    ));
                }
                1 => {
                    let rows = store.rows(store.version);
                    in_transit.push((due, gateway, Answer::Full { rows, version: store.version, sent: now }));
                }
                2 => {
                    let from = &views[random.random_range(0..GATEWAYS)];
                    if let Some(age_ms) = from.age_ms(now) {
                        let confirmed_at = now.minus_ms(age_ms);
                        in_transit.push((
                            due,
                            gateway,
                            Answer::Confirmation { changed: from.changed(), confirmed_at },
                        ));
                    }
                }
                3 => {
                    let from = &views[random.random_range(0..GATEWAYS)];
                    if let Some(age_ms) = from.age_ms(now) {
                        let relabel = injected == InjectedFault::RelabelledCopy;
                        let version =
                            if relabel { view.version().max(from.version()) } else { from.version() };
                        let rows = store.rows(from.version());
                        let sent = now.minus_ms(age_ms);
                        in_transit.push((due, gateway, Answer::Full { rows, version, sent }));
                    }
                }
                _ => {}
            }
        }
        for (_, gateway, answer) in in_transit.extract_if(.., |(due, ..)| *due <= millis) {
            let view = &mut views[gateway];
            let date = |sent| if injected == InjectedFault::ArrivalTime { now } else { sent };
            match answer {
                Answer::Feed { changes, version, sent } => {
                    view.apply(changes, version, date(sent));
                }
                Answer::Full { rows, version, sent } => {
                    view.replace(rows, version, date(sent));
                }
                Answer::Confirmation { changed, confirmed_at } => {
                    let changed = if injected == InjectedFault::UncheckedConfirmation { 0 } else { changed };
                    view.confirm(changed, confirmed_at);
                }
            }
        }
        for (gateway, view) in views.iter().enumerate() {
            if view.version() > 0 && content(view) != stored(&store, view.version()) {
                faults
                    .push(format!("at {millis}: gateway {gateway} differs from version {}", view.version()));
            }
            let confirmed_at = view.age_ms(now).map(|age_ms| now.minus_ms(age_ms));
            if confirmed_at.is_some_and(|confirmed_at| store.newest_before(confirmed_at) > view.version()) {
                faults.push(format!(
                    "at {millis}: gateway {gateway} lacks changes before its confirmed freshness"
                ));
            }
        }
    }
    faults
}

/// Guards against a view that seems to include a withdrawn key or an evacuation but does not, and against a
/// configuration that is reverted, whichever answers are late or come through other gateways.
#[test]
fn a_view_includes_all_changes_before_its_freshness() {
    for seed in 0..seeds(60) {
        let faults = simulate(seed, InjectedFault::None);
        assert!(faults.is_empty(), "seed {seed}: {} faults, first {:?}", faults.len(), faults.first());
    }
}

/// The check must catch each injected fault.
#[rstest]
#[case(InjectedFault::ArrivalTime, "lacks")]
#[case(InjectedFault::UncheckedConfirmation, "lacks")]
#[case(InjectedFault::RelabelledCopy, "differs")]
fn view_faults_are_caught(#[case] injected: InjectedFault, #[case] expected: &str) {
    let caught = (0..20).any(|seed| simulate(seed, injected).iter().any(|fault| fault.contains(expected)));
    assert!(caught, "{injected:?} was not caught");
}
