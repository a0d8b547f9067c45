//! One entry of the decision log.

use cowslip_units::{ClockTime, ModelId};

/// A placement decision and its reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecisionLine {
    /// The model or adapter.
    pub model: ModelId,
    /// When the decision was made.
    pub at: ClockTime,
    /// The decision and its reason.
    pub text: String,
}
