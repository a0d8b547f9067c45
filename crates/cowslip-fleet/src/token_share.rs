//! One member's share of a team's rate and burst.

/// A rate and burst in thousandths of a token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenShare {
    /// Thousandths of a token per second.
    pub rate_milli: u64,
    /// Capacity in thousandths of a token.
    pub cap_milli: u64,
}

impl TokenShare {
    /// The lower rate and the lower burst of the two.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self {
            rate_milli: self.rate_milli.min(other.rate_milli),
            cap_milli: self.cap_milli.min(other.cap_milli),
        }
    }
}
