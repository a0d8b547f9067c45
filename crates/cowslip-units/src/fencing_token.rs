//! Fencing tokens of orders to upstreams.

use crate::whole_number::whole_number;

whole_number!(
    /// The epoch of the leader that issued an order; an upstream may reject orders with a lower one.
    FencingToken,
    "fencing number"
);
