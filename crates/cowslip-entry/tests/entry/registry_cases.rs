//! Load balancing among upstreams.

use cowslip_entry::{
    AdapterName, ArrivalLine, EXPIRY_HOLD_MS, ModelNeed, PickContext, PlaceLine, RequestNeed, ServiceRule,
    SlowStartLimit, StoreOutage, UpstreamPick, UpstreamRegistry, UpstreamUpdate, WaitCause,
};
use cowslip_units::{DomainId, UpstreamId};
use rstest::rstest;
use smol_str::SmolStr;

use crate::fixtures::{at, domain, engine_rule, entry, model, need, service, upstream};

const COLD: SlowStartLimit = SlowStartLimit { overrun: 1.5, tolerance: 5.0 };

struct PickFixture {
    registry: UpstreamRegistry,
    service: ServiceRule,
    evacuated: Vec<DomainId>,
    regions: Vec<(DomainId, SmolStr)>,
    tried: Vec<UpstreamId>,
    members: Vec<SmolStr>,
}

impl PickFixture {
    /// Two engines that hold the model `a`; the second holds `b` too.
    fn new() -> Self {
        let mut registry = UpstreamRegistry::new();
        registry.put(entry("e1", "s", &["a"]), at(0));
        registry.put(entry("e2", "s", &["a", "b"]), at(0));
        Self {
            registry,
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
            own_name: "g1",
            members: &self.members,
            slow_start_limit: Some(COLD),
        };
        self.registry.pick(need, &scope, at(millis))
    }

    fn change(&mut self, id: &str, change: impl Fn(&mut cowslip_entry::UpstreamEntry), millis: u64) {
        let known = self.registry.get(&upstream(id)).expect("known upstream");
        let mut entry = known.entry.clone();
        change(&mut entry);
        self.registry.put(entry, at(millis));
    }
}

fn send(id: &str) -> UpstreamPick {
    UpstreamPick::Send(upstream(id))
}

/// Guards against a request that is sent to an engine without its model.
#[rstest]
#[case("b", send("e2"))]
#[case("c", UpstreamPick::Wait(WaitCause::NoModel))]
fn only_holders_are_chosen(#[case] name: &str, #[case] expected: UpstreamPick) {
    assert_eq!(PickFixture::new().pick(&need("s", Some(name)), 0), expected);
}

/// Guards against new work for an upstream that is leaving, or whose failure domain is evacuated.
#[test]
fn leaving_and_evacuated_upstreams_get_no_requests() {
    let mut fixture = PickFixture::new();
    fixture.change("e2", |entry| entry.draining = true, 1);
    assert_eq!(fixture.pick(&need("s", Some("b")), 1), UpstreamPick::Wait(WaitCause::NoModel));
    assert_eq!(fixture.pick(&need("s", Some("a")), 1), send("e1"));
    fixture.evacuated = vec![domain("d1")];
    assert_eq!(fixture.pick(&need("s", Some("a")), 1), UpstreamPick::Wait(WaitCause::NoUpstream));
}

/// Guards against a request that is sent outside the regions of its route.
#[test]
fn requests_stay_in_the_regions_of_their_route() {
    let mut fixture = PickFixture::new();
    fixture.regions = vec![(domain("d1"), "west".into())];
    let mut request = need("s", Some("a"));
    request.regions = vec!["east".into()];
    assert_eq!(fixture.pick(&request, 0), UpstreamPick::Wait(WaitCause::NoUpstream));
    request.regions = vec!["west".into()];
    assert!(matches!(fixture.pick(&request, 0), UpstreamPick::Send(_)));
}

/// Guards against a retry at the upstream that just failed, and against more calls for a full engine.
#[test]
fn tried_and_full_upstreams_are_avoided() {
    let mut fixture = PickFixture::new();
    fixture.tried = vec![upstream("e1")];
    assert_eq!(fixture.pick(&need("s", Some("a")), 0), send("e2"));
    fixture.registry.get_mut(&upstream("e2")).expect("known").running = 8;
    assert_eq!(
        fixture.pick(&need("s", Some("a")), 0),
        send("e1"),
        "a failed upstream is used rather than none"
    );
    fixture.registry.get_mut(&upstream("e1")).expect("known").running = 8;
    assert_eq!(fixture.pick(&need("s", Some("a")), 0), UpstreamPick::Wait(WaitCause::Full));
}

/// Guards against the requests of a session being spread over engines, each of which processes its prompt
/// again, and against a session that stays on an engine with much more load than others.
#[test]
fn a_session_stays_on_its_engine_while_loads_are_similar() {
    let fixture = PickFixture::new();
    let request = need("s", Some("a"));
    let UpstreamPick::Send(first) = fixture.pick(&request, 0) else { panic!("no upstream") };
    let mut fixture = fixture;
    fixture.registry.get_mut(&first).expect("known").running = 1;
    assert_eq!(fixture.pick(&request, 0), UpstreamPick::Send(first.clone()));
    fixture.registry.get_mut(&first).expect("known").running = 6;
    assert_ne!(fixture.pick(&request, 0), UpstreamPick::Send(first));
}

/// Guards against a loss of all capacity when entries expire in a store outage.
#[test]
fn entries_that_expire_in_an_outage_are_held() {
    let mut fixture = PickFixture::new();
    fixture.registry.remove(&upstream("e1"), true, at(1_000));
    fixture.registry.remove(&upstream("e2"), false, at(1_000));
    assert_eq!(fixture.pick(&need("s", Some("a")), 1_000), send("e1"));
    assert!(
        fixture.registry.expire(Some(at(5_000)), at(5_000 + EXPIRY_HOLD_MS - 1)).is_empty(),
        "the store outage has just ended"
    );
    assert_eq!(fixture.registry.expire(Some(at(5_000)), at(5_000 + EXPIRY_HOLD_MS)), vec![upstream("e1")]);
}

/// Guards against a departed upstream that is used again by a gateway that starts with a copy of another
/// one's view: an entry that disappeared there is held here only as long as there, unless this gateway has
/// read a later version.
#[test]
fn held_entries_of_a_copy_expire() {
    let mut sender = PickFixture::new().registry;
    sender.remove(&upstream("e1"), true, at(1_000));
    sender.remove(&upstream("e2"), true, at(1_000));
    let entries: Vec<_> =
        sender.all().iter().map(|known| (known.entry.id.clone(), Some(known.entry.clone()))).collect();
    let mut started = UpstreamRegistry::new();
    let mut newer = entry("e2", "s", &["a"]);
    newer.version = 9;
    started.put(newer, at(1_900));
    started.apply_update(
        UpstreamUpdate { entries, models: Vec::new(), version: 5, fresh: true },
        0,
        at(2_000),
    );
    started.apply_held(&sender.held(at(2_000)), 5, at(2_000));
    assert!(started.expire(None, at(1_000 + EXPIRY_HOLD_MS - 1)).is_empty());
    assert_eq!(started.expire(None, at(1_000 + EXPIRY_HOLD_MS)), vec![upstream("e1")]);
    assert!(started.get(&upstream("e2")).is_some(), "its entry came back in the meantime");
}

/// Guards against requests to an upstream that left after a store outage: only expired entries are held.
#[test]
fn an_entry_removed_after_the_outage_is_not_held_longer() {
    let mut fixture = PickFixture::new();
    fixture.registry.remove(&upstream("e1"), true, at(7_000));
    let until = at(5_000);
    assert_eq!(fixture.registry.expire(Some(until), until.plus_ms(EXPIRY_HOLD_MS)), vec![upstream("e1")]);
}

/// Guards against holding a departed upstream because one call of a busy gateway timed out, and against
/// dropping expired entries during a store outage. The calls are pairs of send time and end.
#[rstest]
#[case::one_call(&[(0, 1_850)], false)]
#[case::two_at_once(&[(0, 20), (60, 90)], false)]
#[case::silent_store(&[(0, 1_850), (1_910, 3_760)], true)]
#[case::refusing_store(&[(0, 5), (400, 405), (1_200, 1_205), (1_700, 1_705)], true)]
fn only_a_lasting_outage_explains_an_expiry(#[case] failed: &[(u64, u64)], #[case] expires: bool) {
    let mut outage = StoreOutage::default();
    for (sent, end) in failed {
        outage.failed(at(*sent), at(*end));
    }
    let end = failed.last().expect("a call").1;
    assert_eq!(outage.has_recent_outage(at(end + 100)), expires);
    outage.answered(at(end + 100));
    assert_eq!(
        outage.has_recent_outage(at(end + 100)),
        expires,
        "entries come back some time after the outage"
    );
    assert!(!outage.has_recent_outage(at(end + EXPIRY_HOLD_MS)));
    outage.failed(at(end + 200), at(end + 2_050));
    assert!(!outage.has_recent_outage(at(end + 2_060)), "an answer begins a new run of failures");
}

/// Guards against asking an engine again at once for a model that it refused as not held, and against never
/// asking it again.
#[test]
fn a_refused_model_is_missing_for_some_time() {
    let mut fixture = PickFixture::new();
    let need_b = ModelNeed { model: model("b"), adapter: None };
    fixture.registry.get_mut(&upstream("e2")).expect("known").record_missing_model(&need_b, at(0));
    assert_eq!(fixture.pick(&need("s", Some("b")), 10), UpstreamPick::Wait(WaitCause::NoModel));
    assert_eq!(fixture.pick(&need("s", Some("b")), 1_000), send("e2"));
}

/// Guards against a request for an adapter that is sent to an engine with only the model.
#[test]
fn adapters_follow_the_leaders_list() {
    let mut fixture = PickFixture::new();
    let mut request = need("s", Some("a"));
    request.model = Some(ModelNeed { model: model("a"), adapter: Some("x".into()) });
    assert_eq!(fixture.pick(&request, 0), UpstreamPick::Wait(WaitCause::NoAdapter));
    let name = AdapterName { model: model("a"), adapter: "x".into() };
    fixture.registry.set_adapters(&upstream("e2"), vec![name]);
    assert_eq!(fixture.pick(&request, 0), send("e2"));
    fixture.registry.apply_load(&[], &[(upstream("e2"), model("a"))]);
    // The first engine still holds the model without the adapter.
    assert_eq!(
        fixture.pick(&request, 0),
        UpstreamPick::Wait(WaitCause::NoAdapter),
        "a model that is about to be unloaded gets no requests"
    );
}

/// Guards against a restarted upstream that is still treated as holding the models of its previous
/// incarnation.
#[test]
fn a_restart_resets_the_state() {
    let mut fixture = PickFixture::new();
    fixture.registry.get_mut(&upstream("e2")).expect("known").failure_share = 0.9;
    fixture.change(
        "e2",
        |entry| {
            entry.born = 2;
            entry.models.clear();
            entry.cold_left_ms = 3_000;
        },
        10,
    );
    let known = fixture.registry.get(&upstream("e2")).expect("known");
    assert!(known.is_warming_up(at(3_009)) && !known.is_warming_up(at(3_010)));
    assert_eq!(known.failure_share, 0.0);
    assert_eq!(fixture.pick(&need("s", Some("b")), 20), UpstreamPick::Wait(WaitCause::NoModel));
}

/// Guards against full load on the upstreams of a reinstated domain although they may be warming up.
#[test]
fn a_reinstated_domain_starts_slowly() {
    let mut fixture = PickFixture::new();
    let rules = vec![fixture.service.clone()];
    fixture.registry.mark_warming_up(&domain("d1"), &rules, at(100));
    assert!(fixture.registry.get(&upstream("e1")).expect("known").is_warming_up(at(3_099)));
}

/// Guards against a request that keeps waiting although the leader has announced a place, that is sent before
/// a load has ended, or that is sent again to an engine that refused it.
#[test]
fn announced_places_precede_entries() {
    let mut fixture = PickFixture::new();
    let request = need("s", Some("c"));
    let missing = UpstreamPick::Wait(WaitCause::NoModel);
    assert_eq!(fixture.pick(&request, 0), missing);
    let line = |begun: bool| ArrivalLine { upstream: upstream("e1"), model: model("c"), wait_ms: 500, begun };
    fixture.registry.apply_places(Vec::new(), &[line(false)], at(0));
    assert_eq!(
        fixture.registry.next_place_ms(&request, at(0)),
        None,
        "a load that has not begun has no known end"
    );
    fixture.registry.apply_places(Vec::new(), &[line(true)], at(0));
    let due_ms = fixture.registry.next_place_ms(&request, at(0)).expect("an end");
    assert!((500..600).contains(&due_ms), "{due_ms} ms");
    assert_eq!(fixture.pick(&request, due_ms - 1), missing);
    assert_eq!(fixture.pick(&request, due_ms), send("e1"));
    let wanted = request.model.clone().expect("model");
    fixture.registry.get_mut(&upstream("e1")).expect("e1").record_missing_model(&wanted, at(due_ms));
    assert_eq!(fixture.pick(&request, due_ms + 1), missing);
    let place = PlaceLine { upstream: upstream("e2"), model: model("c"), adapter: None, calls: 0 };
    fixture.registry.apply_places(vec![place], &[], at(2_000));
    assert_eq!(fixture.pick(&request, 2_000), send("e2"));
    assert_eq!(fixture.pick(&request, 8_000), missing, "the entry should list the model by now");
}

/// Guards against treating an adapter as held because its model is.
#[test]
fn a_place_of_a_model_does_not_hold_its_adapters() {
    let mut fixture = PickFixture::new();
    let place = |adapter: Option<&str>| PlaceLine {
        upstream: upstream("e2"),
        model: model("b"),
        adapter: adapter.map(SmolStr::new),
        calls: 0,
    };
    let mut request = need("s", Some("b"));
    request.model = Some(ModelNeed { model: model("b"), adapter: Some("a1".into()) });
    fixture.registry.apply_places(vec![place(None)], &[], at(0));
    assert_eq!(fixture.pick(&request, 1), UpstreamPick::Wait(WaitCause::NoAdapter));
    fixture.registry.apply_places(vec![place(Some("a1"))], &[], at(0));
    assert_eq!(fixture.pick(&request, 1), send("e2"));
}

/// Guards against requests to an upstream that is leaving according to the leader, before the update about it
/// arrives, and against an older list that stops an upstream which is back.
#[test]
fn departed_upstreams_get_no_requests_before_the_update() {
    let mut fixture = PickFixture::new();
    fixture.registry.mark_left(&[upstream("e2")], 5);
    assert_eq!(fixture.pick(&need("s", Some("b")), 1), UpstreamPick::Wait(WaitCause::NoModel));
    fixture.change("e2", |entry| (entry.version, entry.draining) = (9, false), 2);
    fixture.registry.mark_left(&[upstream("e2")], 5);
    assert_eq!(fixture.pick(&need("s", Some("b")), 3), send("e2"));
}
