//! Errors of parsing ids, sizes and rates.

use thiserror::Error;

/// A string that cannot be parsed as an id, size or rate.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum UnitError {
    /// The string is empty.
    #[error("{what} is empty")]
    Empty {
        /// Kind of value, for the message.
        what: &'static str,
    },
    /// The string is longer than `limit` bytes.
    #[error("{what} is longer than {limit} bytes")]
    TooLong {
        /// Kind of value, for the message.
        what: &'static str,
        /// Longest accepted string in bytes.
        limit: usize,
    },
    /// A character outside the accepted set.
    #[error("{what} {text:?} contains {character:?}; letters, digits and . _ - : / are accepted")]
    BadCharacter {
        /// Kind of value, for the message.
        what: &'static str,
        /// The string that was refused.
        text: String,
        /// The first character that is not accepted.
        character: char,
    },
    /// Not a number in the accepted range.
    #[error("{what} {text:?} is not {expected}")]
    BadNumber {
        /// Kind of value, for the message.
        what: &'static str,
        /// The string that was refused.
        text: String,
        /// Description of the accepted values.
        expected: &'static str,
    },
}
