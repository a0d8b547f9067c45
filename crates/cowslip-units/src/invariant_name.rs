//! The closed list of promises that assertions check.

use std::fmt;

/// A promise of `docs/promises.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum InvariantName {
    /// No more replicas are loaded than were decided.
    ReplicasDecided,
    /// Memory is never overcommitted.
    MemoryBounded,
    /// A waiting request is served or refused in time.
    AnsweredInTime,
    /// A request runs only for the team whose key came with it.
    TeamIsolated,
    /// No upstream sees a key.
    KeyHidden,
    /// A withdrawn key stops working within seconds.
    KeyWithdrawn,
    /// No team exceeds its rate and burst across all VMs.
    RateBounded,
    /// A fresh upstream gets no more than it bears.
    FreshProtected,
    /// A failure domain taken out gets no new work.
    DomainOut,
    /// A caller gets the whole answer to its own request.
    OwnAnswer,
    /// A refusal that says "not run" is true.
    NotRunTrue,
    /// A request that is not idempotent runs at most once.
    RunsOnce,
    /// A leaving upstream gets no new work.
    UpstreamLeaving,
    /// A planned stop cuts no request.
    GracefulStop,
    /// An accepted configuration never reverts.
    ConfigOrdered,
    /// Nothing accepted is lost.
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
