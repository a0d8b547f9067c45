//! Why a request has to wait for an upstream.

/// Reason why no upstream can be chosen now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitCause {
    /// The service has no upstream that may get new work.
    NoUpstream,
    /// No upstream holds the model.
    NoModel,
    /// Upstreams hold the model but not the adapter.
    NoAdapter,
    /// The holders are unreachable or failing.
    Unsound,
    /// The holders are warming up; one accepts a request in this many ms.
    Cold(u64),
    /// The holders are paused for this gateway; the first pause ends in this many ms.
    Away(u64),
    /// All holders run as many calls as they can run at once.
    Full,
    /// A prompt part of the request is suspected, and another request tries it; look again in this many ms.
    Suspected(u64),
    /// The view of the upstreams is too old to be used for sending requests.
    Unproven,
}

impl WaitCause {
    /// The cause that is closer to being resolved.
    pub(crate) fn closest(left: Self, right: Self) -> Self {
        let rank = |cause: &Self| match cause {
            Self::NoUpstream => 0,
            Self::NoModel => 1,
            Self::NoAdapter => 2,
            Self::Unsound => 3,
            Self::Away(_) => 4,
            Self::Cold(_) => 5,
            Self::Full => 6,
            Self::Suspected(_) => 7,
            Self::Unproven => 8,
        };
        match (left, right) {
            (Self::Cold(left), Self::Cold(right)) => Self::Cold(left.min(right)),
            (Self::Away(left), Self::Away(right)) => Self::Away(left.min(right)),
            (left, right) if rank(&right) > rank(&left) => right,
            (left, _) => left,
        }
    }
}
