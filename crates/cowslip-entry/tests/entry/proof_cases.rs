//! How old the knowledge of upstreams may be when a request is sent by it.

use cowslip_entry::UpstreamFreshness;
use rstest::rstest;

use crate::names::at;

const LIMIT_MS: u64 = 4_000;

fn proven(millis: u64) -> UpstreamFreshness {
    let mut proof = UpstreamFreshness::default();
    proof.confirm(at(millis));
    proof
}

/// Guards against a send to an upstream that left more than the limit ago, unknown to a gateway that nobody has told
/// anything since; and against a call of its own that comes too late to be answered before.
#[rstest]
#[case::young(1_000, false, true)]
#[case::old(3_200, true, true)]
#[case::too_old(3_950, true, false)]
#[case::much_too_old(60_000, true, false)]
fn old_knowledge_is_asked_for_and_then_not_sent_by(
    #[case] age_ms: u64,
    #[case] due: bool,
    #[case] allowed: bool,
) {
    let proof = proven(10_000);
    let now = at(10_000 + age_ms);
    assert_eq!((proof.is_due(LIMIT_MS, now), proof.allows(LIMIT_MS, now)), (due, allowed));
}

/// Guards against a service that stops because the store is down, and against a single failed call that is taken for
/// that.
#[rstest]
#[case::one_failure(&[14_000], 14_100, false)]
#[case::one_slow_failure(&[14_000], 15_900, false)]
#[case::failures_for_long(&[14_000, 14_400], 14_700, true)]
#[case::answered_between(&[13_000, 13_400], 14_000, true)]
fn without_the_store_old_knowledge_is_good_enough(
    #[case] failed_ms: &[u64],
    #[case] now_ms: u64,
    #[case] allowed: bool,
) {
    let mut proof = proven(10_000);
    for millis in failed_ms {
        proof.failed(at(*millis));
    }
    assert_eq!(proof.allows(LIMIT_MS, at(now_ms)), allowed);
}

/// Guards against a failure of long ago that excuses old knowledge now: the store was heard since, by this gateway or by
/// the leader that told it.
#[test]
fn a_proof_ends_what_failed_before_it() {
    let mut proof = proven(10_000);
    proof.failed(at(11_000));
    proof.confirm(at(12_000));
    proof.failed(at(11_900));
    assert!(!proof.allows(LIMIT_MS, at(16_100)), "failures before the proof");
    proof.failed(at(16_100));
    proof.failed(at(16_500));
    assert!(proof.allows(LIMIT_MS, at(16_900)), "failures since");
    proof.answered(at(16_800));
    assert!(!proof.allows(LIMIT_MS, at(16_900)), "the store answered, and did not yet tell everything");
}

/// Guards against knowledge that nothing has proven.
#[test]
fn what_was_never_proven_is_not_sent_by() {
    let mut proof = UpstreamFreshness::default();
    assert!(proof.is_due(LIMIT_MS, at(0)) && !proof.allows(LIMIT_MS, at(0)));
    proof.failed(at(100));
    proof.failed(at(500));
    assert!(proof.allows(LIMIT_MS, at(900)));
}
