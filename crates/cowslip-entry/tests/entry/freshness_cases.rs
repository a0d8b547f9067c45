//! Freshness that a view of the upstreams needs to be used for sending requests.

use cowslip_entry::UpstreamFreshness;
use rstest::rstest;

use crate::fixtures::at;

const LIMIT_MS: u64 = 4_000;

fn confirmed(millis: u64) -> UpstreamFreshness {
    let mut freshness = UpstreamFreshness::default();
    freshness.confirm(at(millis));
    freshness
}

/// Guards against a request to an upstream that left longer ago than the limit, by a gateway that has
/// received no update since, and against a query of the store that is too late to be answered within the
/// limit.
#[rstest]
#[case::young(1_000, false, true)]
#[case::old(3_200, true, true)]
#[case::too_old(3_950, true, false)]
#[case::much_too_old(60_000, true, false)]
fn an_old_view_is_queried_and_then_not_used(#[case] age_ms: u64, #[case] due: bool, #[case] allowed: bool) {
    let freshness = confirmed(10_000);
    let now = at(10_000 + age_ms);
    assert_eq!((freshness.is_query_due(LIMIT_MS, now), freshness.is_usable(LIMIT_MS, now)), (due, allowed));
}

/// Guards against a service that stops because the store is down, and against treating a single failed call
/// as an outage.
#[rstest]
#[case::one_failure(&[14_000], 14_100, false)]
#[case::one_slow_failure(&[14_000], 15_900, false)]
#[case::failures_for_long(&[14_000, 14_400], 14_700, true)]
#[case::answered_between(&[13_000, 13_400], 14_000, true)]
fn an_old_view_is_used_without_the_store(
    #[case] failed_ms: &[u64],
    #[case] now_ms: u64,
    #[case] allowed: bool,
) {
    let mut freshness = confirmed(10_000);
    for millis in failed_ms {
        freshness.failed(at(*millis));
    }
    assert_eq!(freshness.is_usable(LIMIT_MS, at(now_ms)), allowed);
}

/// Guards against an earlier outage that still permits an old view: the store has answered since, to this
/// gateway or to the leader that sent its update.
#[test]
fn a_confirmation_ends_earlier_failures() {
    let mut freshness = confirmed(10_000);
    freshness.failed(at(11_000));
    freshness.confirm(at(12_000));
    freshness.failed(at(11_900));
    assert!(!freshness.is_usable(LIMIT_MS, at(16_100)), "failures before the confirmation");
    freshness.failed(at(16_100));
    freshness.failed(at(16_500));
    assert!(freshness.is_usable(LIMIT_MS, at(16_900)), "failures since the confirmation");
    freshness.answered(at(16_800));
    assert!(
        !freshness.is_usable(LIMIT_MS, at(16_900)),
        "the store answered, without confirming the whole view"
    );
}

/// Guards against using a view that was never confirmed.
#[test]
fn an_unconfirmed_view_is_not_used() {
    let mut freshness = UpstreamFreshness::default();
    assert!(freshness.is_query_due(LIMIT_MS, at(0)) && !freshness.is_usable(LIMIT_MS, at(0)));
    freshness.failed(at(100));
    freshness.failed(at(500));
    assert!(freshness.is_usable(LIMIT_MS, at(900)));
}
