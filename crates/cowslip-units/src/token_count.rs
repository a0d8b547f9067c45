//! Numbers of model tokens.

use std::fmt;
use std::iter::Sum;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::UnitError;

/// A number of model tokens, prompt and completion together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TokenCount(u64);

impl TokenCount {
    /// No tokens.
    pub const ZERO: Self = Self(0);

    /// A count of `tokens`.
    pub const fn new(tokens: u64) -> Self {
        Self(tokens)
    }

    /// The count as an integer.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The sum of both; saturates.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// The difference; zero if `other` is larger.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Sum for TokenCount {
    fn sum<I: Iterator<Item = Self>>(counts: I) -> Self {
        counts.fold(Self::ZERO, Self::plus)
    }
}

impl fmt::Display for TokenCount {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} tokens", self.0)
    }
}

impl FromStr for TokenCount {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        match text.trim().parse() {
            Ok(tokens) => Ok(Self(tokens)),
            Err(_) => Err(UnitError::BadNumber {
                what: "token count",
                text: text.to_owned(),
                expected: "a whole number of tokens",
            }),
        }
    }
}
