//! The number of descriptors that the system allows this process.

use rustix::process::{Resource, getrlimit};

/// The soft limit on descriptors; `None` without one.
pub fn descriptor_limit() -> Option<usize> {
    getrlimit(Resource::Nofile).current.and_then(|limit| usize::try_from(limit).ok())
}
