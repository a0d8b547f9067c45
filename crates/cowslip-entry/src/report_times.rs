//! Intervals between reports, and the silence after which a gateway spends its standalone share.

/// Time in ms between two reports of a gateway in a small fleet.
const REPORT_INTERVAL_MS: u64 = 250;

/// Time in ms that each gateway adds to the interval in a large fleet, which bounds the leader's load.
const INTERVAL_MS_PER_MEMBER: u64 = 4;

/// Longest time in ms between two reports of a candidate for the next leadership.
const MAX_CANDIDATE_INTERVAL_MS: u64 = 250;

/// Time in ms between two reports while requests wait for the leader.
const URGENT_INTERVAL_MS: u64 = 30;

/// Gateways that add one millisecond to that interval.
const MEMBERS_PER_URGENT_MS: u64 = 3;

/// Time in ms from the end of a lease to the first grants of the next leader.
const TAKEOVER_MS: u64 = 800;

/// Shortest time in ms after which a caller should retry when the next leader is already overdue.
const MIN_RETRY_MS: u64 = 500;

/// Shortest time in ms without an answer of a leader after which a gateway reads from the store what the leader
/// would send it.
const MIN_LEADERLESS_MS: u64 = 2_000;

/// Shortest interval in ms between two such reads of a gateway.
const MIN_LEADERLESS_READ_MS: u64 = 1_000;

/// Time in ms that each gateway adds to that interval in a large fleet, which bounds the reads of all together.
const READ_MS_PER_MEMBER: u64 = 20;

/// Time in ms between two reports of a gateway.
pub const fn report_interval_ms(members: usize) -> u64 {
    let pause_ms = members as u64 * INTERVAL_MS_PER_MEMBER;
    if pause_ms > REPORT_INTERVAL_MS { pause_ms } else { REPORT_INTERVAL_MS }
}

/// Time in ms between two reports of a candidate for the next leadership. Reports are several times as
/// frequent as renewals of the lease, so that the answers carry each renewal: a candidate that finds a
/// renewal in the lease row that no answer carried must wait for a whole lease before its takeover.
pub const fn candidate_interval_ms(members: usize) -> u64 {
    let pause_ms = report_interval_ms(members);
    if pause_ms < MAX_CANDIDATE_INTERVAL_MS { pause_ms } else { MAX_CANDIDATE_INTERVAL_MS }
}

/// Time in ms between two reports while requests wait for something that takes the leader milliseconds. Only
/// few gateways have such requests at any time, and the answers are brief.
pub const fn urgent_interval_ms(members: usize) -> u64 {
    URGENT_INTERVAL_MS + members as u64 / MEMBERS_PER_URGENT_MS
}

/// Time in ms after which a request that was rejected without a leader should be retried, when the last
/// answer of a leader came `silent_ms` ago. Most callers retry only once, which is in vain before a new
/// leader can grant tokens.
pub const fn leader_due_ms(silent_ms: u64, lease_ms: u64) -> u64 {
    let due_ms = (lease_ms + TAKEOVER_MS).saturating_sub(silent_ms);
    if due_ms > MIN_RETRY_MS { due_ms } else { MIN_RETRY_MS }
}

/// Time in ms after its last report from which the leader treats a gateway as silent and charges its
/// standalone share.
pub const fn silent_after_ms(members: usize) -> u64 {
    report_interval_ms(members) * 2
}

/// Time in ms without an answer of a leader after which a gateway reads from the store what the leader would send
/// it. One lost report, or a slow answer, is not enough.
pub const fn leaderless_after_ms(members: usize) -> u64 {
    let silent_ms = report_interval_ms(members) * 3;
    if silent_ms > MIN_LEADERLESS_MS { silent_ms } else { MIN_LEADERLESS_MS }
}

/// Time in ms between two reads of a gateway that no leader answers.
pub const fn leaderless_read_ms(members: usize) -> u64 {
    let pause_ms = members as u64 * READ_MS_PER_MEMBER;
    if pause_ms > MIN_LEADERLESS_READ_MS { pause_ms } else { MIN_LEADERLESS_READ_MS }
}

/// Time in ms without an answer after which a gateway spends its standalone share. It is longer than
/// [`silent_after_ms`], so that the leader no longer grants that share to others.
pub const fn standalone_after_ms(members: usize) -> u64 {
    report_interval_ms(members) * 5 / 2
}
