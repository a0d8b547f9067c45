//! Upstream selection, circuit breaker and retry budget.

use cowslip_routing::{
    BreakerState, CallOutcome, ChoiceCandidate, CircuitBreaker, PromptPrefix, RetryBudget, UpstreamSelector,
};
use cowslip_units::{ClockTime, UpstreamId};
use rstest::rstest;

const ANY: Option<ChoiceCandidate> = Some(ChoiceCandidate { slots: 4, has_own_permit: true });
const NOW: ClockTime = ClockTime::new(10_000);

fn upstreams(count: usize) -> Vec<UpstreamId> {
    (0..count).map(|at| format!("u{at:05}").parse().expect("an id")).collect()
}

/// Guards against sending everything to the upstream that a late report shows as idle.
#[test]
fn own_requests_correct_a_late_report() {
    let ids = upstreams(2);
    let mut selector = UpstreamSelector::new(1);
    selector.reported(&ids[0], NOW.minus_ms(500), 0);
    selector.reported(&ids[1], NOW.minus_ms(500), 4);
    let mut sent = [0, 0];
    for _ in 0..8 {
        let chosen = selector.choose(NOW, &ids, None, |_| ANY).expect("two candidates");
        selector.sent(NOW, &chosen, None);
        sent[usize::from(chosen == ids[1])] += 1;
    }
    assert_eq!(sent, [6, 2], "six bring the idle one up to the other's load");
}

/// Guards against a cost that grows with the fleet, and against missing the only upstream that can take a
/// request.
#[rstest]
#[case::all_accept(6_300, None, 16)]
#[case::one_accepts(6_300, Some(4_321), 6_316)]
fn few_upstreams_are_examined(#[case] count: usize, #[case] only: Option<usize>, #[case] most: usize) {
    let ids = upstreams(count);
    let mut examined = 0;
    let chosen = UpstreamSelector::new(3).choose(NOW, &ids, None, |id| {
        examined += 1;
        if only.is_none_or(|only| ids[only] == *id) { ANY } else { None }
    });
    assert!(chosen.is_some());
    assert!(examined <= most, "{examined} upstreams examined, at most {most} expected");
}

/// Guards against losing a cached prefix without need, and against queueing behind it for longer than it
/// saves.
#[rstest]
#[case::pays(0, 2_000, true)]
#[case::too_long_a_wait(12, 2_000, false)]
#[case::short_prompt(2, 8, false)]
fn a_prefix_is_followed_when_it_pays(#[case] queued: u32, #[case] tokens: u64, #[case] followed: bool) {
    let ids = upstreams(4);
    let mut selector = UpstreamSelector::new(1);
    let prefix = PromptPrefix { digest: "team/model/prefix".into(), tokens };
    selector.sent(NOW, &ids[2], Some(&prefix));
    let outcome = CallOutcome::Answered { first_byte_ms: 20, service_ms: 400 };
    selector.ended(NOW, &ids[2], outcome, &ids);
    selector.reported(&ids[2], NOW, queued);
    let chosen = selector.choose(NOW, &ids, Some(&prefix), |_| ANY);
    assert_eq!(chosen.as_ref() == Some(&ids[2]), followed);
}

/// Guards against an upstream that fails or is far slower than its peers and still gets requests.
#[rstest]
#[case::failures(CallOutcome::Failed, 5)]
#[case::slow(CallOutcome::Answered { first_byte_ms: 2_000, service_ms: 2_000 }, 8)]
fn the_breaker_opens_and_probes_once(#[case] outcome: CallOutcome, #[case] count: usize) {
    let ids = upstreams(2);
    let mut selector = UpstreamSelector::new(1);
    let good = CallOutcome::Answered { first_byte_ms: 50, service_ms: 60 };
    selector.sent(NOW, &ids[1], None);
    selector.ended(NOW, &ids[1], good, &ids);
    for _ in 0..count {
        selector.sent(NOW, &ids[0], None);
        selector.ended(NOW, &ids[0], outcome, &ids);
    }
    let only = [ids[0].clone()];
    assert_eq!(selector.choose(NOW, &only, None, |_| ANY), None, "open");
    let later = NOW.plus_ms(1_000);
    assert!(selector.choose(later, &only, None, |_| ANY).is_some(), "a probe may go");
    selector.sent(later, &ids[0], None);
    assert_eq!(selector.choose(later, &only, None, |_| ANY), None, "only one probe");
    selector.ended(later, &ids[0], good, &ids);
    assert!(selector.choose(later, &only, None, |_| ANY).is_some(), "closed after a good probe");
}

/// Guards against a breaker that stays half-open when its probe is refused or cancelled.
#[test]
fn an_undecided_probe_is_repeated() {
    let mut breaker = CircuitBreaker::new();
    (0..5).for_each(|_| breaker.failed(NOW));
    assert!(matches!(breaker.state(), BreakerState::Open { .. }));
    breaker.sent(NOW.plus_ms(1_000));
    breaker.undecided(NOW.plus_ms(1_010));
    assert!(breaker.can_send(NOW.plus_ms(1_010)));
}

/// Guards against retries that amplify an overload: at most 10% of the requests after the initial allowance.
#[test]
fn retries_stay_within_a_tenth() {
    let mut budget = RetryBudget::new(NOW);
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.request();
        retries += u32::from(budget.take(NOW));
    }
    assert_eq!(retries, 103);
    assert!(!budget.take(NOW.plus_ms(5_000)));
    assert!(budget.take(NOW.plus_ms(15_000)), "one in ten seconds without requests");
}
