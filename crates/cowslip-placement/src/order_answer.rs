//! Outcomes of orders.

/// The outcome of one attempt to send an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The engine carried the order out.
    Done {
        /// The engine's state sequence after the order.
        sequence: u64,
    },
    /// The engine has seen a higher fencing token and did not carry the order out.
    OldFence,
    /// The engine refused the order and will not carry it out later.
    Refused {
        /// The engine's reason.
        reason: String,
    },
    /// No byte of the order was sent.
    NotSent,
    /// The order may have been carried out, or may still be.
    InDoubt,
}
