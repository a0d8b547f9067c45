//! How long requests wait, and when the callers of rejected ones retry.

use cowslip_entry::{RouteKind, TokenWait, WaitLimit, leader_due_ms};
use rstest::rstest;

use crate::fixtures::{at, route};

/// Guards against a stream that is held after its caller has disconnected, or rejected before that.
#[rstest]
#[case::long_objective(3_000, 300, 25_000, 12_000)]
#[case::medium_objective(600, 300, 12_000, 2_400)]
#[case::short_objective(100, 100, 12_000, 2_000)]
#[case::long_pause(100, 1_000, 12_000, 8_000)]
#[case::deadline_first(3_000, 300, 5_000, 5_000)]
fn a_stream_waits_as_long_as_its_caller(
    #[case] objective_ms: u64,
    #[case] pause_ms: u64,
    #[case] deadline_ms: u64,
    #[case] first_event_ms: u64,
) {
    let mut route = route("a", "/", "s");
    route.objective_ms = objective_ms;
    route.pause_ms = pause_ms;
    let limit = WaitLimit::new(&route, Some(deadline_ms), at(1_000));
    assert_eq!(limit.begin_by, at(1_000 + first_event_ms));
    assert!(!limit.is_too_late(first_event_ms - 200, at(1_000)));
    assert!(
        limit.is_too_late(first_event_ms - 100, at(1_000)),
        "a request that can't begin in time is rejected at once"
    );
}

/// Guards against a request that is held past the operators' timeout when its caller would wait longer.
#[test]
fn the_earlier_of_deadline_and_timeout_ends_a_call() {
    let mut route = route("a", "/", "s");
    route.kind = RouteKind::NonIdempotent;
    route.timeout_ms = 800;
    let limit = WaitLimit::new(&route, Some(1_500), at(0));
    assert_eq!((limit.end_by, limit.deadline), (at(800), at(1_500)));
    assert!(limit.reject_at() < at(800));
}

/// Guards against a retry time that is later than callers wait.
#[rstest]
#[case(6_000, 9_000, 3_000)]
#[case(1_000, 25_000, 1_000)]
#[case(10, 25_000, 100)]
#[case(60_000, 60_000, 5_000)]
fn callers_retry_when_it_helps(#[case] wait_ms: u64, #[case] deadline_ms: u64, #[case] expected_ms: u64) {
    let limit = WaitLimit::new(&route("a", "/", "s"), Some(deadline_ms), at(0));
    assert_eq!(limit.retry_after_ms(wait_ms, at(0)), expected_ms);
}

/// A fleet has no leader for 3.6 s while a request arrives every 10 ms, is rejected half a second later, and
/// is retried once, at the stated time. Guards against retries before a leader can grant tokens: with a fixed
/// half second, seven of ten were in vain.
#[test]
fn callers_retry_when_there_is_a_leader() {
    let (lease_ms, led_again_ms) = (3_000, 3_600);
    let route = route("a", "/", "s");
    let (mut requested, mut in_vain) = (0, 0);
    for arrived in (700..led_again_ms - 500).step_by(10) {
        let limit = WaitLimit::new(&route, Some(12_000), at(arrived));
        let rejected = arrived + 500;
        let retry_ms = limit.retry_after_ms(leader_due_ms(rejected, lease_ms), at(rejected));
        requested += 1;
        in_vain += u32::from(rejected + retry_ms < led_again_ms);
        assert!(retry_ms <= 4_000, "a caller is asked to retry after {retry_ms} ms, longer than needed");
    }
    assert!(in_vain * 10 <= requested, "{in_vain} of {requested} retries were in vain");
}

/// Guards against a retry time of zero, or of a whole lease, when a leader is long overdue.
#[test]
fn an_overdue_leader_is_expected_soon() {
    assert_eq!(leader_due_ms(10_000, 3_000), 500);
}

/// Guards against rejections before a leader has refused tokens: the one that was asked has lost its lease,
/// and the next one is due. Guards also against waiting for tokens that will be available too late according
/// to the leader.
#[rstest]
#[case::asked_just_now(10, 0, false, false, false)]
#[case::leader_is_lost(470, 0, false, false, false)]
#[case::no_leader_for_long(1_500, 0, false, false, true)]
#[case::answered_without_grant(460, 0, true, false, true)]
#[case::comes_in_time(100, 200, true, false, false)]
#[case::comes_too_late(100, 900, true, true, false)]
fn a_request_waits_for_tokens_while_they_may_be_granted(
    #[case] waited_ms: u64,
    #[case] refused_ms: u64,
    #[case] answered: bool,
    #[case] refused: bool,
    #[case] over: bool,
) {
    let wait = TokenWait { waited_ms, refused_ms, answered, silent_ms: Some(600) };
    assert_eq!((wait.is_refused(), wait.has_timed_out()), (refused, over));
}

/// Guards against callers that retry once, and in vain, because there is no new leader yet.
#[rstest]
#[case::lost_just_now(false, Some(1_500), 0, 2_300)]
#[case::overdue(false, Some(9_000), 0, 500)]
#[case::refused_for_long(true, Some(100), 900, 900)]
#[case::no_contact(false, None, 0, 450)]
fn callers_retry_when_the_next_leader_is_due(
    #[case] answered: bool,
    #[case] silent_ms: Option<u64>,
    #[case] refused_ms: u64,
    #[case] expected: u64,
) {
    let wait = TokenWait { waited_ms: 1_500, refused_ms, answered, silent_ms };
    assert_eq!(wait.retry_ms(3_000), expected);
}
