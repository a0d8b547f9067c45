//! Versions of the fleet view.

use crate::whole_number::whole_number;

whole_number!(
    /// The number of changes folded into a fleet view.
    ViewVersion,
    "view version"
);
