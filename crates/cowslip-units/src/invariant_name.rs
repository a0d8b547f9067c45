//! The closed list of invariants that assertions check.

use std::fmt;

/// An invariant that the system guarantees; `docs/promises.md` describes each one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum InvariantName {
    /// No replica is loaded without a decision of the leader.
    ReplicasDecided,
    /// The memory of an upstream is never overcommitted.
    MemoryBounded,
    /// A waiting request is served or rejected in time.
    AnsweredInTime,
    /// A request runs only for the team that its API key belongs to.
    TeamIsolated,
    /// No API key is passed on to an upstream.
    KeyHidden,
    /// A withdrawn API key stops working within seconds.
    KeyWithdrawn,
    /// No team exceeds its rate and burst across all VMs.
    RateBounded,
    /// An upstream in slow start receives no more requests than its current limit.
    FreshProtected,
    /// A failure domain that is out of service receives no new work.
    DomainOut,
    /// A caller receives the complete answer to its own request.
    OwnAnswer,
    /// A rejection that reports `not_run` is accurate.
    NotRunTrue,
    /// A request that is not idempotent runs at most once.
    RunsOnce,
    /// An upstream that is leaving receives no new work.
    UpstreamLeaving,
    /// A planned stop interrupts no request.
    GracefulStop,
    /// An accepted configuration never reverts.
    ConfigOrdered,
    /// Nothing that was accepted is lost.
    AcceptedKept,
}

impl InvariantName {
    /// The name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::ReplicasDecided => "replicas_decided",
            Self::MemoryBounded => "memory_bounded",
            Self::AnsweredInTime => "answered_in_time",
            Self::TeamIsolated => "team_isolated",
            Self::KeyHidden => "key_hidden",
            Self::KeyWithdrawn => "key_withdrawn",
            Self::RateBounded => "rate_bounded",
            Self::FreshProtected => "fresh_protected",
            Self::DomainOut => "domain_out",
            Self::OwnAnswer => "own_answer",
            Self::NotRunTrue => "not_run_true",
            Self::RunsOnce => "runs_once",
            Self::UpstreamLeaving => "upstream_leaving",
            Self::GracefulStop => "graceful_stop",
            Self::ConfigOrdered => "config_ordered",
            Self::AcceptedKept => "accepted_kept",
        }
    }
}

impl fmt::Display for InvariantName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
