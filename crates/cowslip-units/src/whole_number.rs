//! The macro behind the counters of versions and epochs, such as [`crate::ViewVersion`] and
//! [`crate::FencingToken`].

/// Defines a newtype over `u64` with `Display` and `FromStr`.
macro_rules! whole_number {
    ($(#[$doc:meta])* $name:ident, $what:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// Lower than every number in use.
            pub const ZERO: Self = Self(0);

            /// Wraps a number.
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// Unwraps the number.
            pub const fn get(self) -> u64 {
                self.0
            }

            /// The next higher number.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                std::fmt::Display::fmt(&self.0, formatter)
            }
        }

        impl std::str::FromStr for $name {
            type Err = crate::UnitError;

            fn from_str(text: &str) -> Result<Self, crate::UnitError> {
                let wrong = |_| crate::UnitError::BadNumber {
                    what: $what,
                    text: text.to_owned(),
                    expected: "a whole number",
                };
                text.parse().map(Self).map_err(wrong)
            }
        }
    };
}

pub(crate) use whole_number;
