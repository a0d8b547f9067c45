//! The services of the platform that a controller uses.

use cowslip_platform::{ObjectStore, TableService, VmList};

/// The platform's table service, object store and VM list behind one client.
pub trait PlatformServices: TableService + ObjectStore + VmList {}

impl<T: TableService + ObjectStore + VmList> PlatformServices for T {}
