//! Token rates of teams.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{TokenCount, UnitError};

/// A rate in tokens per second, which equals thousandths of a token per millisecond.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TokenRate(u64);

impl TokenRate {
    /// A rate in tokens per second.
    pub const fn new(per_second: u64) -> Self {
        Self(per_second)
    }

    /// The rate in tokens per second.
    pub const fn per_second(self) -> u64 {
        self.0
    }

    /// Milliseconds until `count` tokens have accrued, rounded up; `None` at rate zero.
    pub fn millis_for(self, count: TokenCount) -> Option<u64> {
        if count == TokenCount::ZERO {
            return Some(0);
        }
        if self.0 == 0 {
            return None;
        }
        Some(count.get().saturating_mul(1_000).div_ceil(self.0))
    }
}

impl fmt::Display for TokenRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} tokens/s", self.0)
    }
}

impl FromStr for TokenRate {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        match text.trim().parse() {
            Ok(per_second) => Ok(Self(per_second)),
            Err(_) => Err(UnitError::BadNumber {
                what: "token rate",
                text: text.to_owned(),
                expected: "a whole number of tokens a second",
            }),
        }
    }
}
