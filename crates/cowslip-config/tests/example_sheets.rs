//! The example sheets are valid and have the sizes given in the design document.

use std::collections::BTreeMap;
use std::path::Path;

use cowslip_config::{EngineKind, FleetSheet, LimitRow, RouteTarget};
use cowslip_units::MemorySize;
use rstest::rstest;

/// Guards against examples that are no longer accepted, change in size, or have so much memory that no model
/// waits for it.
#[rstest]
#[case("kusweg", [3, 9, 3, 50, 40, 5], 25)]
#[case("jalarekha", [4, 12, 4, 65, 75, 5], 30)]
fn example_is_valid(#[case] name: &str, #[case] sizes: [usize; 6], #[case] loads_per_10s: u32) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name).join("sheet.csv");
    let sheet = FleetSheet::from_csv(&std::fs::read_to_string(path).unwrap()).unwrap();
    let servers = sheet.upstreams.iter().filter(|row| row.engine != EngineKind::Service).count();
    let services = sheet.upstreams.len() - servers;
    let found =
        [sheet.domains.len(), servers, services, sheet.models.len(), sheet.adapters.len(), sheet.teams.len()];
    assert_eq!(found, sizes);
    assert_eq!(sheet.limits, LimitRow { loads_per_10s, loads_at_once: 4, adapters_in_transit: 32 });

    let installed: MemorySize = sheet.upstreams.iter().map(|row| row.memory).sum();
    let needed: MemorySize =
        sheet.models.iter().map(|row| row.weights.plus(row.kv_per_slot.times(u64::from(row.kv_slots)))).sum();
    assert!(installed.times(2) < needed, "{installed} for {needed}");

    let mut reached: BTreeMap<&str, usize> = BTreeMap::new();
    for route in &sheet.routes {
        if let RouteTarget::Models(models) = &route.target {
            models.iter().for_each(|model| *reached.entry(model.as_str()).or_default() += 1);
        }
    }
    assert_eq!(reached.len(), sheet.models.len() + sheet.adapters.len());
    assert_eq!(sheet.routes.iter().filter(|row| row.open).count(), 1);
    assert!(sheet.routes.iter().any(|row| !row.idempotent));
}
