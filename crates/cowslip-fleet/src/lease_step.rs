//! Steps of the leader lease, which its owner carries out.

use cowslip_platform::TableTransaction;
use cowslip_units::ClockTime;

/// Next step of a controller for the lease.
#[derive(Clone, Debug, PartialEq)]
pub enum LeaseStep {
    /// Do nothing until this time.
    Idle(ClockTime),
    /// Read the row [`LEASE_KEY`](crate::LEASE_KEY) and pass the result to [`LeaderLease::read_answered`](crate::LeaderLease::read_answered).
    Read,
    /// Commit this and pass the result to [`LeaderLease::commit_answered`](crate::LeaderLease::commit_answered).
    Commit(TableTransaction),
}
