//! Priority classes of waiting requests.

/// Priority class of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestClass {
    /// A caller waits for the answer.
    Urgent,
    /// A report: it may be served late but must not be lost.
    Batch,
}

impl RequestClass {
    /// Number of classes.
    pub(crate) const COUNT: usize = 2;

    /// Level of urgency in a queue.
    pub(crate) const fn level(self) -> usize {
        match self {
            Self::Urgent => 0,
            Self::Batch => 1,
        }
    }

    /// Value of the `x-priority` header sent upstream.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Batch => "batch",
        }
    }
}
