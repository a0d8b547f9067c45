//! How often gateways report, and when one that is not answered acts alone.

/// Pause in ms between two reports of a small fleet.
const REPORT_MS: u64 = 250;

/// Pause in ms that each gateway of a large fleet adds, so that the leader's work a second stays bounded.
const REPORT_MS_PER_MEMBER: u64 = 4;

/// Longest pause in ms between two reports of a gateway that may lead next.
const CANDIDATE_MS: u64 = 250;

/// Pause in ms between reports while requests wait for the leader.
const URGENT_MS: u64 = 30;

/// Gateways of a large fleet that add a millisecond to it.
const MEMBERS_PER_URGENT_MS: u64 = 3;

/// Time in ms from the end of a lease to the next leader's first grants.
const TAKEOVER_MS: u64 = 800;

/// Time in ms in which a leader that is overdue is still hoped for.
const SEARCH_MS: u64 = 500;

/// Pause in ms between two reports of a gateway.
pub const fn report_interval_ms(members: usize) -> u64 {
    let pause_ms = members as u64 * REPORT_MS_PER_MEMBER;
    if pause_ms > REPORT_MS { pause_ms } else { REPORT_MS }
}

/// Pause in ms between two reports of a gateway that may lead next. It hears of each renewal of the lease, which takes place
/// some times as seldom: one that finds the row renewed since it was told must wait for a whole lease before it takes over.
pub const fn candidate_interval_ms(members: usize) -> u64 {
    let pause_ms = report_interval_ms(members);
    if pause_ms < CANDIDATE_MS { pause_ms } else { CANDIDATE_MS }
}

/// Pause in ms between two reports while requests wait for what takes the leader milliseconds. Few gateways have such
/// requests at a time, and the answers are brief.
pub const fn urgent_interval_ms(members: usize) -> u64 {
    URGENT_MS + members as u64 / MEMBERS_PER_URGENT_MS
}

/// Time in ms after which a request that was refused for want of a leader should come back, when the last one was heard
/// `silent_ms` ago: most callers come back only once, and do so in vain before a new leader can grant tokens.
pub const fn leader_due_ms(silent_ms: u64, lease_ms: u64) -> u64 {
    let due_ms = (lease_ms + TAKEOVER_MS).saturating_sub(silent_ms);
    if due_ms > SEARCH_MS { due_ms } else { SEARCH_MS }
}

/// Time in ms after the last report from which the leader counts a gateway as acting alone.
pub const fn heard_ms(members: usize) -> u64 {
    report_interval_ms(members) * 2
}

/// Time in ms without an answer after which a gateway acts alone; more than [`heard_ms`], so that the leader has
/// stopped to grant the gateway's part to others.
pub const fn standalone_after_ms(members: usize) -> u64 {
    report_interval_ms(members) * 5 / 2
}
