//! How long requests wait, and when refused callers come back.

use cowslip_entry::{RouteKind, WaitLimit};
use rstest::rstest;

use crate::names::{at, route};

/// Guards against a stream that is held beyond the time at which its caller is gone, or given up before it.
#[rstest]
#[case::council(3_000, 300, 25_000, 12_000)]
#[case::draft(600, 300, 12_000, 2_400)]
#[case::short_objective(100, 100, 12_000, 2_000)]
#[case::long_pause(100, 1_000, 12_000, 8_000)]
#[case::deadline_first(3_000, 300, 5_000, 5_000)]
fn a_stream_waits_as_long_as_its_caller(
    #[case] objective_ms: u64,
    #[case] pause_ms: u64,
    #[case] deadline_ms: u64,
    #[case] patience_ms: u64,
) {
    let mut route = route("a", "/", "s");
    route.objective_ms = objective_ms;
    route.pause_ms = pause_ms;
    let limit = WaitLimit::new(&route, Some(deadline_ms), at(1_000));
    assert_eq!(limit.begin_by, at(1_000 + patience_ms));
    assert!(!limit.hopeless(patience_ms - 200, at(1_000)));
    assert!(limit.hopeless(patience_ms - 100, at(1_000)), "what can't begin in time is refused at once");
}

/// Guards against a request that is held past the operators' timeout when its caller would wait longer.
#[test]
fn the_earlier_of_deadline_and_timeout_ends_a_call() {
    let mut route = route("a", "/", "s");
    route.kind = RouteKind::NonIdempotent;
    route.timeout_ms = 800;
    let limit = WaitLimit::new(&route, Some(1_500), at(0));
    assert_eq!((limit.end_by, limit.deadline), (at(800), at(1_500)));
    assert!(limit.give_up_at() < at(800));
}

/// Guards against a time to come back that lies beyond what callers wait.
#[rstest]
#[case(6_000, 9_000, 3_000)]
#[case(1_000, 25_000, 1_000)]
#[case(10, 25_000, 100)]
#[case(60_000, 60_000, 5_000)]
fn callers_come_back_when_it_helps(#[case] wait_ms: u64, #[case] deadline_ms: u64, #[case] expected_ms: u64) {
    let limit = WaitLimit::new(&route("a", "/", "s"), Some(deadline_ms), at(0));
    assert_eq!(limit.retry_after_ms(wait_ms, at(0)), expected_ms);
}
