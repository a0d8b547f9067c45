//! Fencing numbers.

use crate::whole_number::whole_number;

whole_number!(
    /// The leader epoch that an order carries; an upstream may refuse lower ones.
    FencingToken,
    "fencing number"
);
