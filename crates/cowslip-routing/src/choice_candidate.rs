//! Candidates of the upstream selection.

/// An upstream that may take the request according to the checks at dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChoiceCandidate {
    /// Present limit on its requests in flight.
    pub slots: u32,
    /// True when this router holds a free permit; otherwise it must borrow one.
    pub has_own_permit: bool,
}
