//! Amounts of accelerator memory.

use std::fmt;
use std::iter::Sum;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::UnitError;

/// An amount of accelerator memory, in mebibytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct MemorySize(u64);

impl MemorySize {
    /// No memory.
    pub const ZERO: Self = Self(0);

    /// An amount in mebibytes.
    pub const fn new(mebibytes: u64) -> Self {
        Self(mebibytes)
    }

    /// The amount in mebibytes.
    pub const fn mebibytes(self) -> u64 {
        self.0
    }

    /// The sum of both amounts; saturates.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// The difference; zero if `other` is larger.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// The amount multiplied by `count`; saturates.
    #[must_use]
    pub const fn times(self, count: u64) -> Self {
        Self(self.0.saturating_mul(count))
    }
}

impl Sum for MemorySize {
    fn sum<I: Iterator<Item = Self>>(sizes: I) -> Self {
        sizes.fold(Self::ZERO, Self::plus)
    }
}

impl fmt::Display for MemorySize {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} MiB", self.0)
    }
}

impl FromStr for MemorySize {
    type Err = UnitError;

    /// Parses `"16384"` or `"16384 MiB"`.
    fn from_str(text: &str) -> Result<Self, UnitError> {
        let digits = text.strip_suffix("MiB").unwrap_or(text).trim();
        match digits.parse() {
            Ok(mebibytes) => Ok(Self(mebibytes)),
            Err(_) => Err(UnitError::BadNumber {
                what: "memory size",
                text: text.to_owned(),
                expected: "a whole number of MiB",
            }),
        }
    }
}
