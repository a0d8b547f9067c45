//! Effect of a fault on a single platform call.

/// How one call is to be handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FaultAction {
    /// Normally.
    None,
    /// Answer 503 without effect.
    Down,
    /// Execute it after a delay in ms.
    Slow(u64),
    /// Execute it, then close the connection without a response.
    LoseAnswer,
    /// Answer from the state this many ms ago.
    Stale(u64),
    /// Execute it a second time after this many ms.
    Duplicate(u64),
    /// Close the connection without executing it.
    DropConnection,
}
