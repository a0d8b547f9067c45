//! The capacity that a request waits for.

use cowslip_units::{ModelId, RouteId};

/// A model (or adapter) or a plain service route.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum WaitTarget {
    /// A model or adapter.
    Model(ModelId),
    /// A plain service route; its upstreams need no model load.
    Service(RouteId),
}
