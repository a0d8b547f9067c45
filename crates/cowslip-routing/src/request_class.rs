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
    /// Value of the `x-priority` header sent upstream.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Batch => "batch",
        }
    }
}
