//! Inputs of the choice of an upstream, for the log.

/// What the choice of an upstream relied on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ChoiceInputs {
    /// Calls of the whole fleet at the upstream, as far as known.
    pub upstream_calls: Option<u32>,
    /// Age in ms of its own newest load report.
    pub load_age_ms: Option<u64>,
    /// Expected time in ms to the first event, where upstreams are chosen by it.
    pub expected_ms: Option<u64>,
}
