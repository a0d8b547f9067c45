//! The leader lease when the platform's store comes back from an older backup: single cases, and randomised runs
//! in virtual time.

mod cases;
mod runs;
mod store;
