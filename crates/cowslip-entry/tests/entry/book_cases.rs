//! The choice of an upstream.

use cowslip_entry::{
    AdapterName, ArrivalLine, LAPSE_HOLD_MS, ModelNeed, PickContext, PlaceLine, RequestNeed, ServiceRule,
    SlowStartLimit, StoreOutage, UpstreamPick, UpstreamRegistry, UpstreamUpdate, WaitCause,
};
use cowslip_units::{DomainId, UpstreamId};
use rstest::rstest;
use smol_str::SmolStr;

use crate::names::{at, domain, engine_rule, entry, model, need, service, upstream};

const COLD: SlowStartLimit = SlowStartLimit { overrun: 1.5, tolerance: 5.0 };

struct Scene {
    book: UpstreamRegistry,
    service: ServiceRule,
    evacuated: Vec<DomainId>,
    regions: Vec<(DomainId, SmolStr)>,
    tried: Vec<UpstreamId>,
    members: Vec<SmolStr>,
}

impl Scene {
    /// Two engines that hold the model `a`; the second holds `b` too.
    fn new() -> Self {
        let mut book = UpstreamRegistry::new();
        book.put(entry("e1", "s", &["a"]), at(0));
        book.put(entry("e2", "s", &["a", "b"]), at(0));
        Self {
            book,
            service: service("s", Some(engine_rule(&["a", "b", "c"]))),
            evacuated: Vec::new(),
            regions: Vec::new(),
            tried: Vec::new(),
            members: vec!["g1".into()],
        }
    }

    fn pick(&self, need: &RequestNeed, millis: u64) -> UpstreamPick {
        let own = domain("d1");
        let scope = PickContext {
            service: &self.service,
            domain: &own,
            evacuated: &self.evacuated,
            regions: &self.regions,
            tried: &self.tried,
            own: "g1",
            members: &self.members,
            cold: COLD,
        };
        self.book.pick(need, &scope, at(millis))
    }

    fn change(&mut self, id: &str, change: impl Fn(&mut cowslip_entry::UpstreamEntry), millis: u64) {
        let known = self.book.get(&upstream(id)).expect("known upstream");
        let mut entry = known.entry.clone();
        change(&mut entry);
        self.book.put(entry, at(millis));
    }
}

fn send(id: &str) -> UpstreamPick {
    UpstreamPick::Send(upstream(id))
}

/// Guards against a request that reaches an engine without its model.
#[rstest]
#[case("b", send("e2"))]
#[case("c", UpstreamPick::Wait(WaitCause::NoModel))]
fn only_holders_are_chosen(#[case] name: &str, #[case] expected: UpstreamPick) {
    assert_eq!(Scene::new().pick(&need("s", Some(name)), 0), expected);
}

/// Guards against new work for an upstream that leaves, or whose failure domain is evacuated.
#[test]
fn leaving_and_evacuated_upstreams_get_nothing() {
    let mut scene = Scene::new();
    scene.change("e2", |entry| entry.draining = true, 1);
    assert_eq!(scene.pick(&need("s", Some("b")), 1), UpstreamPick::Wait(WaitCause::NoModel));
    assert_eq!(scene.pick(&need("s", Some("a")), 1), send("e1"));
    scene.evacuated = vec![domain("d1")];
    assert_eq!(scene.pick(&need("s", Some("a")), 1), UpstreamPick::Wait(WaitCause::NoUpstream));
}

/// Guards against a request that leaves the regions of its route.
#[test]
fn regions_of_the_route_are_kept() {
    let mut scene = Scene::new();
    scene.regions = vec![(domain("d1"), "west".into())];
    let mut request = need("s", Some("a"));
    request.regions = vec!["east".into()];
    assert_eq!(scene.pick(&request, 0), UpstreamPick::Wait(WaitCause::NoUpstream));
    request.regions = vec!["west".into()];
    assert!(matches!(scene.pick(&request, 0), UpstreamPick::Send(_)));
}

/// Guards against a second send to the upstream that just failed, and against a full engine that gets more.
#[test]
fn tried_and_full_upstreams_are_passed_over() {
    let mut scene = Scene::new();
    scene.tried = vec![upstream("e1")];
    assert_eq!(scene.pick(&need("s", Some("a")), 0), send("e2"));
    scene.book.get_mut(&upstream("e2")).expect("known").running = 8;
    assert_eq!(scene.pick(&need("s", Some("a")), 0), send("e1"), "better the one that failed than none");
    scene.book.get_mut(&upstream("e1")).expect("known").running = 8;
    assert_eq!(scene.pick(&need("s", Some("a")), 0), UpstreamPick::Wait(WaitCause::Full));
}

/// Guards against one session whose requests are spread over engines, each of which reads its prompt anew; and
/// against an engine that is kept although it has much more to do.
#[test]
fn a_session_keeps_its_engine_while_loads_are_alike() {
    let scene = Scene::new();
    let request = need("s", Some("a"));
    let UpstreamPick::Send(first) = scene.pick(&request, 0) else { panic!("no upstream") };
    let mut scene = scene;
    scene.book.get_mut(&first).expect("known").running = 1;
    assert_eq!(scene.pick(&request, 0), UpstreamPick::Send(first.clone()));
    scene.book.get_mut(&first).expect("known").running = 6;
    assert_ne!(scene.pick(&request, 0), UpstreamPick::Send(first));
}

/// Guards against entries that lapsed together with the store and take all capacity away.
#[test]
fn entries_that_lapse_with_the_store_are_held() {
    let mut scene = Scene::new();
    scene.book.remove(&upstream("e1"), true, at(1_000));
    scene.book.remove(&upstream("e2"), false, at(1_000));
    assert_eq!(scene.pick(&need("s", Some("a")), 1_000), send("e1"));
    assert!(
        scene.book.expire(Some(at(5_000)), at(5_000 + LAPSE_HOLD_MS - 1)).is_empty(),
        "the store was still away"
    );
    assert_eq!(scene.book.expire(Some(at(5_000)), at(5_000 + LAPSE_HOLD_MS)), vec![upstream("e1")]);
}

/// Guards against an upstream that has left and is in use again at a gateway that starts with another one's copy: what
/// vanished there is held here as long as there, unless this gateway knows better.
#[test]
fn what_vanished_is_not_sound_in_a_copy() {
    let mut telling = Scene::new().book;
    telling.remove(&upstream("e1"), true, at(1_000));
    telling.remove(&upstream("e2"), true, at(1_000));
    let entries: Vec<_> =
        telling.all().iter().map(|known| (known.entry.id.clone(), Some(known.entry.clone()))).collect();
    let mut started = UpstreamRegistry::new();
    let mut newer = entry("e2", "s", &["a"]);
    newer.version = 9;
    started.put(newer, at(1_900));
    started.take_news(UpstreamUpdate { entries, version: 5, fresh: true }, 0, at(2_000));
    started.apply_held(&telling.held(at(2_000)), 5, at(2_000));
    assert!(started.expire(None, at(1_000 + LAPSE_HOLD_MS - 1)).is_empty());
    assert_eq!(started.expire(None, at(1_000 + LAPSE_HOLD_MS)), vec![upstream("e1")]);
    assert!(started.get(&upstream("e2")).is_some(), "it came back in the meantime");
}

/// Guards against requests to an upstream that left after the store's trouble: only what lapsed is held.
#[test]
fn an_entry_that_goes_after_the_trouble_is_not_held_longer() {
    let mut scene = Scene::new();
    scene.book.remove(&upstream("e1"), true, at(7_000));
    let until = at(5_000);
    assert_eq!(scene.book.expire(Some(until), until.plus_ms(LAPSE_HOLD_MS)), vec![upstream("e1")]);
}

/// Guards against an upstream that left and is held because one call of a busy gateway timed out, and against lapsed
/// entries that are dropped while the store is away. The calls are pairs of send time and end.
#[rstest]
#[case::one_call(&[(0, 1_850)], false)]
#[case::two_at_once(&[(0, 20), (60, 90)], false)]
#[case::silent_store(&[(0, 1_850), (1_910, 3_760)], true)]
#[case::refusing_store(&[(0, 5), (400, 405), (1_200, 1_205), (1_700, 1_705)], true)]
fn only_trouble_that_lasts_explains_a_lapse(#[case] failed: &[(u64, u64)], #[case] lapses: bool) {
    let mut trouble = StoreOutage::default();
    for (sent, end) in failed {
        trouble.failed(at(*sent), at(*end));
    }
    let end = failed.last().expect("a call").1;
    assert_eq!(trouble.has_recent_outage(at(end + 100)), lapses);
    trouble.answered(at(end + 100));
    assert_eq!(
        trouble.has_recent_outage(at(end + 100)),
        lapses,
        "entries come back some time after the store"
    );
    assert!(!trouble.has_recent_outage(at(end + LAPSE_HOLD_MS)));
    trouble.failed(at(end + 200), at(end + 2_050));
    assert!(!trouble.has_recent_outage(at(end + 2_060)), "a new row of failures begins after an answer");
}

/// Guards against an engine that is asked again at once for what it said not to hold, and against one that is never
/// asked again.
#[test]
fn a_misplaced_model_is_missing_for_a_while() {
    let mut scene = Scene::new();
    let need_b = ModelNeed { model: model("b"), adapter: None };
    scene.book.get_mut(&upstream("e2")).expect("known").refused_model(&need_b, at(0));
    assert_eq!(scene.pick(&need("s", Some("b")), 10), UpstreamPick::Wait(WaitCause::NoModel));
    assert_eq!(scene.pick(&need("s", Some("b")), 1_000), send("e2"));
}

/// Guards against a request for an adapter that is sent where only its model is.
#[test]
fn adapters_are_where_the_leader_says() {
    let mut scene = Scene::new();
    let mut request = need("s", Some("a"));
    request.model = Some(ModelNeed { model: model("a"), adapter: Some("x".into()) });
    assert_eq!(scene.pick(&request, 0), UpstreamPick::Wait(WaitCause::NoAdapter));
    let name = AdapterName { model: model("a"), adapter: "x".into() };
    scene.book.set_adapters(&upstream("e2"), vec![name]);
    assert_eq!(scene.pick(&request, 0), send("e2"));
    scene.book.told(&[], &[(upstream("e2"), model("a"))]);
    // The first engine still holds the model without the adapter.
    assert_eq!(
        scene.pick(&request, 0),
        UpstreamPick::Wait(WaitCause::NoAdapter),
        "a model about to leave gets no work"
    );
}

/// Guards against an upstream that started anew under its old id and is still taken to hold what it held.
#[test]
fn a_new_start_forgets_the_old_one() {
    let mut scene = Scene::new();
    scene.book.get_mut(&upstream("e2")).expect("known").failure_share = 0.9;
    scene.change(
        "e2",
        |entry| {
            entry.born = 2;
            entry.models.clear();
            entry.cold_left_ms = 3_000;
        },
        10,
    );
    let known = scene.book.get(&upstream("e2")).expect("known");
    assert!(known.is_warming_up(at(3_009)) && !known.is_warming_up(at(3_010)));
    assert_eq!(known.failure_share, 0.0);
    assert_eq!(scene.pick(&need("s", Some("b")), 20), UpstreamPick::Wait(WaitCause::NoModel));
}

/// Guards against upstreams of a domain that is taken back and get full load although they may be cold.
#[test]
fn a_domain_that_is_taken_back_counts_as_cold() {
    let mut scene = Scene::new();
    let rules = vec![scene.service.clone()];
    scene.book.mark_warming_up(&domain("d1"), &rules, at(100));
    assert!(scene.book.get(&upstream("e1")).expect("known").is_warming_up(at(3_099)));
}

/// Guards against a request that waits on although the leader knows a place, that is sent before a load has ended, or again
/// to an engine that refused it.
#[test]
fn the_leader_names_places_before_entries_do() {
    let mut scene = Scene::new();
    let request = need("s", Some("c"));
    let missing = UpstreamPick::Wait(WaitCause::NoModel);
    assert_eq!(scene.pick(&request, 0), missing);
    let line = |begun: bool| ArrivalLine { upstream: upstream("e1"), model: model("c"), wait_ms: 500, begun };
    scene.book.apply_places(Vec::new(), &[line(false)], at(0));
    assert_eq!(scene.book.next_place_ms(&request, at(0)), None, "a load that has not begun has no end");
    scene.book.apply_places(Vec::new(), &[line(true)], at(0));
    let due_ms = scene.book.next_place_ms(&request, at(0)).expect("an end");
    assert!((500..600).contains(&due_ms), "{due_ms} ms");
    assert_eq!(scene.pick(&request, due_ms - 1), missing);
    assert_eq!(scene.pick(&request, due_ms), send("e1"));
    let wanted = request.model.clone().expect("model");
    scene.book.get_mut(&upstream("e1")).expect("e1").refused_model(&wanted, at(due_ms));
    assert_eq!(scene.pick(&request, due_ms + 1), missing);
    let place = PlaceLine { upstream: upstream("e2"), model: model("c"), adapter: None, calls: 0 };
    scene.book.apply_places(vec![place], &[], at(2_000));
    assert_eq!(scene.pick(&request, 2_000), send("e2"));
    assert_eq!(scene.pick(&request, 8_000), missing, "the entry should say so by now");
}

/// Guards against an adapter that is taken to be there because its model is.
#[test]
fn a_place_of_a_model_is_none_of_its_adapters() {
    let mut scene = Scene::new();
    let place = |adapter: Option<&str>| PlaceLine {
        upstream: upstream("e2"),
        model: model("b"),
        adapter: adapter.map(SmolStr::new),
        calls: 0,
    };
    let mut request = need("s", Some("b"));
    request.model = Some(ModelNeed { model: model("b"), adapter: Some("a1".into()) });
    scene.book.apply_places(vec![place(None)], &[], at(0));
    assert_eq!(scene.pick(&request, 1), UpstreamPick::Wait(WaitCause::NoAdapter));
    scene.book.apply_places(vec![place(Some("a1"))], &[], at(0));
    assert_eq!(scene.pick(&request, 1), send("e2"));
}

/// Guards against requests to an upstream that the leader knows to be leaving, until the news of it come, and against an
/// older word that stops one which is back.
#[test]
fn what_has_left_gets_nothing_before_the_news_come() {
    let mut scene = Scene::new();
    scene.book.mark_left(&[upstream("e2")], 5);
    assert_eq!(scene.pick(&need("s", Some("b")), 1), UpstreamPick::Wait(WaitCause::NoModel));
    scene.change("e2", |entry| (entry.version, entry.draining) = (9, false), 2);
    scene.book.mark_left(&[upstream("e2")], 5);
    assert_eq!(scene.pick(&need("s", Some("b")), 3), send("e2"));
}
