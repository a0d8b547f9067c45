//! Rows of a sheet as text, as they are written to a file.

use cowslip_units::MemorySize;
use smol_str::SmolStr;

use crate::{EngineKind, FleetSheet, RouteTarget, SheetColumn, SheetKind};

/// One row of a sheet as text fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SheetRecord {
    /// Kind of the row.
    pub kind: SheetKind,
    /// Name of the row, unique within its kind.
    pub name: SmolStr,
    /// The filled columns besides `kind` and `name`, in order of column.
    pub fields: Vec<(SheetColumn, String)>,
}

impl SheetRecord {
    fn new(kind: SheetKind, name: &str, mut fields: Vec<(SheetColumn, String)>) -> Self {
        fields.sort();
        Self { kind, name: SmolStr::new(name), fields }
    }

    /// The text in `column`, if it is filled.
    pub fn field(&self, column: SheetColumn) -> Option<&str> {
        let at = self.fields.binary_search_by(|field| field.0.cmp(&column)).ok()?;
        self.fields.get(at).map(|field| field.1.as_str())
    }
}

impl FleetSheet {
    /// All rows as text, sorted by kind and name; limits are always included.
    pub fn records(&self) -> Vec<SheetRecord> {
        let mut records = Vec::new();
        for row in &self.domains {
            records.push(SheetRecord::new(SheetKind::Domain, row.domain.as_str(), Vec::new()));
        }
        for row in &self.upstreams {
            let mut fields = vec![
                (SheetColumn::Domain, row.domain.to_string()),
                (SheetColumn::Address, row.address.to_string()),
                (SheetColumn::Slots, row.slots.to_string()),
                (SheetColumn::FreshSlots, row.fresh_slots.to_string()),
                (SheetColumn::RampMs, row.ramp_ms.to_string()),
            ];
            match row.engine {
                EngineKind::Model { checks_fencing } => {
                    let fencing = if checks_fencing { "checks" } else { "ignores" };
                    fields.push((SheetColumn::Engine, "model".to_owned()));
                    fields.push((SheetColumn::Fencing, fencing.to_owned()));
                    fields.push((SheetColumn::MemoryMib, mebibytes(row.memory)));
                }
                EngineKind::Service => fields.push((SheetColumn::Engine, "service".to_owned())),
            }
            records.push(SheetRecord::new(SheetKind::Upstream, row.upstream.as_str(), fields));
        }
        for row in &self.models {
            let fields = vec![
                (SheetColumn::MemoryMib, mebibytes(row.weights)),
                (SheetColumn::KvMibPerSlot, mebibytes(row.kv_per_slot)),
                (SheetColumn::KvSlots, row.kv_slots.to_string()),
                (SheetColumn::MaxReplicas, row.max_replicas.to_string()),
                (SheetColumn::LoadMs, row.load_ms.to_string()),
            ];
            records.push(SheetRecord::new(SheetKind::Model, row.model.as_str(), fields));
        }
        for row in &self.adapters {
            let fields = vec![
                (SheetColumn::Model, row.model.to_string()),
                (SheetColumn::MemoryMib, mebibytes(row.memory)),
                (SheetColumn::LoadMs, row.load_ms.to_string()),
            ];
            records.push(SheetRecord::new(SheetKind::Adapter, row.adapter.as_str(), fields));
        }
        for row in &self.teams {
            let fields = vec![
                (SheetColumn::Rate, row.rate.per_second().to_string()),
                (SheetColumn::Burst, row.burst.get().to_string()),
            ];
            records.push(SheetRecord::new(SheetKind::Team, row.team.as_str(), fields));
        }
        records.extend(self.route_records());
        let limits = &self.limits;
        for (name, value) in [
            ("adapters_in_transit", limits.adapters_in_transit),
            ("loads_at_once", limits.loads_at_once),
            ("loads_per_10s", limits.loads_per_10s),
        ] {
            let fields = vec![(SheetColumn::Value, value.to_string())];
            records.push(SheetRecord::new(SheetKind::Limit, name, fields));
        }
        records
    }

    fn route_records(&self) -> impl Iterator<Item = SheetRecord> {
        self.routes.iter().map(|row| {
            let mut fields = vec![
                (SheetColumn::Path, row.path.to_string()),
                (SheetColumn::Open, yes_or_no(row.open)),
                (SheetColumn::Idempotent, yes_or_no(row.idempotent)),
                (SheetColumn::DeadlineMs, row.deadline_ms.to_string()),
            ];
            if !row.teams.is_empty() {
                fields.push((SheetColumn::Teams, list(&row.teams)));
            }
            match &row.target {
                RouteTarget::Models(models) => fields.push((SheetColumn::Models, list(models))),
                RouteTarget::Services(services) => {
                    fields.push((SheetColumn::Services, list(services)));
                    fields.push((SheetColumn::Methods, list(&row.methods)));
                    if !row.open {
                        fields.push((SheetColumn::CallTokens, row.call_tokens.get().to_string()));
                    }
                }
            }
            SheetRecord::new(SheetKind::Route, row.route.as_str(), fields)
        })
    }
}

fn mebibytes(memory: MemorySize) -> String {
    memory.mebibytes().to_string()
}

fn yes_or_no(flag: bool) -> String {
    if flag { "yes".to_owned() } else { "no".to_owned() }
}

fn list<T: ToString>(entries: &[T]) -> String {
    entries.iter().map(T::to_string).collect::<Vec<String>>().join(";")
}
