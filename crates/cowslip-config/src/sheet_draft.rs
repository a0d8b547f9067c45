//! A sheet while it is parsed: its rows, the names that they declare, and the names that they refer to.
//!
//! Names, references and memory are recorded even if another field of the row has a fault, so that one fault
//! neither hides others nor makes references to the row look dangling.

use std::net::SocketAddr;

use cowslip_units::{
    DomainId, MemorySize, ModelId, RouteId, TeamId, TokenCount, TokenRate, UnitError, UpstreamId,
};
use smol_str::SmolStr;

use crate::row_fields::RowFields;
use crate::sheet_text::TextRow;
use crate::{
    AdapterRow, DomainRow, EngineKind, FleetSheet, ModelRow, RouteRow, RouteTarget, SheetColumn, SheetFault,
    SheetKind, TeamRow, UpstreamRow,
};

/// Largest number of concurrent requests of an upstream; each of them is a permit that routers place
/// individually.
const MAX_SLOTS: u32 = 4_096;
/// Largest number of replicas of a model: one on each server of the target fleet in two years.
const MAX_REPLICAS: u32 = 6_300;
/// Longest slow start and longest load time: one hour.
const MAX_DURATION_MS: u64 = 3_600_000;
/// Longest deadline: one day.
const MAX_DEADLINE_MS: u64 = 86_400_000;
/// Largest rate, burst and charge in tokens: 500 times the target rate of the whole fleet, and small enough
/// that a product with 1,000 fits into 64 bits.
const MAX_TOKENS: u64 = 1_000_000_000;
/// Largest memory in MiB (64 TiB).
const MAX_MEMORY_MIB: u64 = 67_108_864;
/// Largest value of a limit.
const MAX_LIMIT: u32 = 1_000_000;
/// The path prefix of every model route.
const MODEL_PATH: &str = "/v1/";
/// Methods that a service route may accept.
const METHODS: &[&str] = &["DELETE", "GET", "HEAD", "OPTIONS", "PATCH", "POST", "PUT"];

/// A name that a row declares.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct DeclaredName {
    pub(crate) kind: SheetKind,
    pub(crate) name: SmolStr,
    /// Line on which the row starts.
    pub(crate) row: usize,
}

/// A name that a field refers to, and that a row must declare.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct NameReference {
    /// Line on which the row with the field starts.
    pub(crate) row: usize,
    pub(crate) column: SheetColumn,
    /// Kind of the row that must declare the name; `Model` stands for models and adapters.
    pub(crate) kind: SheetKind,
    pub(crate) name: SmolStr,
}

/// Memory needed on one upstream by a model, or by an adapter in addition to its model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct MemoryNeed {
    /// Line on which the row starts.
    pub(crate) row: usize,
    /// The model or adapter.
    pub(crate) name: ModelId,
    /// The model of an adapter; `None` for a model.
    pub(crate) base: Option<ModelId>,
    /// Memory without that of `base`.
    pub(crate) memory: MemorySize,
}

/// The rows parsed so far.
#[derive(Debug, Default)]
pub(crate) struct SheetDraft {
    /// The rows without faults.
    pub(crate) sheet: FleetSheet,
    /// All declared names.
    pub(crate) names: Vec<DeclaredName>,
    /// All references to names.
    pub(crate) references: Vec<NameReference>,
    /// Memory needs of all models and adapters.
    pub(crate) memory_needs: Vec<MemoryNeed>,
    /// Largest memory of a model server; incomplete if `has_unknown_memory` is true.
    pub(crate) largest_memory: Option<MemorySize>,
    /// True if the memory of any model server could not be parsed.
    pub(crate) has_unknown_memory: bool,
    /// The faults found so far.
    pub(crate) faults: Vec<SheetFault>,
}

impl SheetDraft {
    /// Parses one row.
    pub(crate) fn add_row(&mut self, row: &TextRow) {
        let mut faults = std::mem::take(&mut self.faults);
        let mut fields = RowFields::new(row, &mut faults);
        if let Some(kind) = fields.required::<SheetKind>(SheetColumn::Kind) {
            if let Some(name) = row.field(SheetColumn::Name) {
                self.names.push(DeclaredName { kind, name: SmolStr::new(name), row: row.row });
            }
            if row.is_complete {
                check_columns(kind, row, &mut fields);
                self.add_kind(kind, &mut fields);
            } else if kind == SheetKind::Upstream {
                self.has_unknown_memory = true;
            }
        }
        self.faults = faults;
    }

    fn add_kind(&mut self, kind: SheetKind, fields: &mut RowFields<'_>) {
        match kind {
            SheetKind::Domain => {
                if let Some(domain) = read_name(fields, DomainId::new) {
                    self.sheet.domains.push(DomainRow { domain });
                }
            }
            SheetKind::Upstream => {
                if let Some(upstream) = self.read_upstream(fields) {
                    self.sheet.upstreams.push(upstream);
                }
            }
            SheetKind::Model => {
                if let Some(model) = self.read_model(fields) {
                    self.sheet.models.push(model);
                }
            }
            SheetKind::Adapter => {
                if let Some(adapter) = self.read_adapter(fields) {
                    self.sheet.adapters.push(adapter);
                }
            }
            SheetKind::Team => {
                if let Some(team) = read_team(fields) {
                    self.sheet.teams.push(team);
                }
            }
            SheetKind::Route => {
                if let Some(route) = self.read_route(fields) {
                    self.sheet.routes.push(route);
                }
            }
            SheetKind::Limit => self.read_limit(fields),
        }
    }

    fn read_upstream(&mut self, fields: &mut RowFields<'_>) -> Option<UpstreamRow> {
        let upstream = read_name(fields, UpstreamId::new);
        let domain = fields.required::<DomainId>(SheetColumn::Domain);
        if let Some(domain) = &domain {
            self.add_reference(fields, SheetColumn::Domain, SheetKind::Domain, domain.as_str());
        }
        let address = read_address(fields);
        let slots = fields.small_number(SheetColumn::Slots, 1..=MAX_SLOTS);
        let fresh_slots = fields.small_number(SheetColumn::FreshSlots, 1..=MAX_SLOTS);
        let ramp_ms = fields.number(SheetColumn::RampMs, 0..=MAX_DURATION_MS);
        if let (Some(slots), Some(fresh_slots)) = (slots, fresh_slots) {
            if fresh_slots > slots {
                fields.fault(
                    SheetColumn::FreshSlots,
                    format!("{fresh_slots} fresh slots are more than {slots} slots"),
                );
            } else if fresh_slots < slots && ramp_ms == Some(0) {
                let message =
                    "a ramp of 0 ms leaves a fresh upstream unprotected although fresh_slots < slots";
                fields.fault(SheetColumn::RampMs, message);
            }
        }
        let (engine, memory) = self.read_engine(fields);
        Some(UpstreamRow {
            upstream: upstream?,
            domain: domain?,
            address: address?,
            engine: engine?,
            memory: memory?,
            slots: slots?,
            fresh_slots: fresh_slots?,
            ramp_ms: ramp_ms?,
        })
    }

    fn read_engine(&mut self, fields: &mut RowFields<'_>) -> (Option<EngineKind>, Option<MemorySize>) {
        match fields.text(SheetColumn::Engine) {
            Some("model") => {
                let memory = read_memory(fields, SheetColumn::MemoryMib, 1);
                self.has_unknown_memory |= memory.is_none();
                self.largest_memory = self.largest_memory.max(memory);
                let checks_fencing = match fields.text(SheetColumn::Fencing) {
                    Some("checks") => Some(true),
                    Some("ignores") => Some(false),
                    Some(other) => {
                        let message = format!("{other:?} is neither \"checks\" nor \"ignores\"");
                        fields.fault(SheetColumn::Fencing, message);
                        None
                    }
                    None => None,
                };
                (checks_fencing.map(|checks_fencing| EngineKind::Model { checks_fencing }), memory)
            }
            Some("service") => {
                fields.reject_columns(
                    &[SheetColumn::Fencing, SheetColumn::MemoryMib],
                    "a service server does not use this column",
                );
                (Some(EngineKind::Service), Some(MemorySize::ZERO))
            }
            other => {
                self.has_unknown_memory = true;
                if let Some(other) = other {
                    let message = format!("{other:?} is neither \"model\" nor \"service\"");
                    fields.fault(SheetColumn::Engine, message);
                }
                (None, None)
            }
        }
    }

    fn read_model(&mut self, fields: &mut RowFields<'_>) -> Option<ModelRow> {
        let model = fields.required::<ModelId>(SheetColumn::Name);
        let weights = read_memory(fields, SheetColumn::MemoryMib, 1);
        let kv_per_slot = read_memory(fields, SheetColumn::KvMibPerSlot, 0);
        let kv_slots = fields.small_number(SheetColumn::KvSlots, 1..=MAX_SLOTS);
        let max_replicas = fields.small_number(SheetColumn::MaxReplicas, 1..=MAX_REPLICAS);
        let load_ms = fields.number(SheetColumn::LoadMs, 1..=MAX_DURATION_MS);
        if let (Some(model), Some(weights), Some(kv_per_slot), Some(kv_slots)) =
            (&model, weights, kv_per_slot, kv_slots)
        {
            let memory = weights.plus(kv_per_slot.times(u64::from(kv_slots)));
            self.memory_needs.push(MemoryNeed { row: fields.row(), name: model.clone(), base: None, memory });
        }
        Some(ModelRow {
            model: model?,
            weights: weights?,
            kv_per_slot: kv_per_slot?,
            kv_slots: kv_slots?,
            max_replicas: max_replicas?,
            load_ms: load_ms?,
        })
    }

    fn read_adapter(&mut self, fields: &mut RowFields<'_>) -> Option<AdapterRow> {
        let adapter = fields.required::<ModelId>(SheetColumn::Name);
        let model = fields.required::<ModelId>(SheetColumn::Model);
        let memory = read_memory(fields, SheetColumn::MemoryMib, 1);
        let load_ms = fields.number(SheetColumn::LoadMs, 1..=MAX_DURATION_MS);
        if let Some(model) = &model {
            self.add_reference(fields, SheetColumn::Model, SheetKind::Model, model.as_str());
        }
        if let (Some(adapter), Some(model), Some(memory)) = (&adapter, &model, memory) {
            let base = Some(model.clone());
            self.memory_needs.push(MemoryNeed { row: fields.row(), name: adapter.clone(), base, memory });
        }
        Some(AdapterRow { adapter: adapter?, model: model?, memory: memory?, load_ms: load_ms? })
    }

    fn read_route(&mut self, fields: &mut RowFields<'_>) -> Option<RouteRow> {
        let route = read_name(fields, RouteId::new);
        let open =
            if fields.is_filled(SheetColumn::Open) { fields.flag(SheetColumn::Open) } else { Some(false) };
        let teams = fields.list::<TeamId>(SheetColumn::Teams);
        for team in &teams {
            self.add_reference(fields, SheetColumn::Teams, SheetKind::Team, team.as_str());
        }
        match (open, fields.is_filled(SheetColumn::Teams)) {
            (Some(true), true) => fields.fault(SheetColumn::Teams, "an open route has no teams"),
            (Some(false), false) => {
                fields.fault(SheetColumn::Teams, "a route that is not open needs at least one team");
            }
            _ => {}
        }
        let target = self.read_target(fields);
        let path = match &target {
            Some(target) => read_path(fields, target),
            None => None,
        };
        let (methods, call_tokens) = match &target {
            Some(RouteTarget::Models(_)) => {
                fields.reject_columns(
                    &[SheetColumn::Methods, SheetColumn::CallTokens],
                    "a model route does not use this column",
                );
                if open == Some(true) {
                    let message = "a model route cannot be open: no team could be charged for its tokens";
                    fields.fault(SheetColumn::Open, message);
                }
                (Some(Vec::new()), Some(0))
            }
            Some(RouteTarget::Services(_)) => (read_methods(fields), read_call_tokens(fields, open)),
            None => (None, None),
        };
        let idempotent = fields.flag(SheetColumn::Idempotent);
        let deadline_ms = fields.number(SheetColumn::DeadlineMs, 1..=MAX_DEADLINE_MS);
        Some(RouteRow {
            route: route?,
            path: path?,
            methods: methods?,
            teams,
            open: open?,
            target: target?,
            idempotent: idempotent?,
            deadline_ms: deadline_ms?,
            call_tokens: TokenCount::new(call_tokens?),
        })
    }

    fn read_target(&mut self, fields: &mut RowFields<'_>) -> Option<RouteTarget> {
        let models = fields.list::<ModelId>(SheetColumn::Models);
        for model in &models {
            self.add_reference(fields, SheetColumn::Models, SheetKind::Model, model.as_str());
        }
        let services = fields.list::<UpstreamId>(SheetColumn::Services);
        for service in &services {
            self.add_reference(fields, SheetColumn::Services, SheetKind::Upstream, service.as_str());
        }
        match (fields.is_filled(SheetColumn::Models), fields.is_filled(SheetColumn::Services)) {
            (true, false) => Some(RouteTarget::Models(models)),
            (false, true) => Some(RouteTarget::Services(services)),
            (true, true) => {
                fields.fault(SheetColumn::Services, "a route reaches either models or services, not both");
                None
            }
            (false, false) => {
                fields.fault(SheetColumn::Models, "the route reaches neither models nor services");
                None
            }
        }
    }

    fn read_limit(&mut self, fields: &mut RowFields<'_>) {
        let value = fields.small_number(SheetColumn::Value, 1..=MAX_LIMIT);
        let limits = &mut self.sheet.limits;
        let place = match fields.text(SheetColumn::Name) {
            Some("loads_per_10s") => &mut limits.loads_per_10s,
            Some("loads_at_once") => &mut limits.loads_at_once,
            Some("adapters_in_transit") => &mut limits.adapters_in_transit,
            Some(other) => {
                let message = format!(
                    "unknown limit {other:?}; the limits are loads_per_10s, loads_at_once, adapters_in_transit"
                );
                fields.fault(SheetColumn::Name, message);
                return;
            }
            None => return,
        };
        if let Some(value) = value {
            *place = value;
        }
    }

    fn add_reference(&mut self, fields: &RowFields<'_>, column: SheetColumn, kind: SheetKind, name: &str) {
        self.references.push(NameReference { row: fields.row(), column, kind, name: SmolStr::new(name) });
    }
}

/// Records a fault for every filled column that the kind does not use.
fn check_columns(kind: SheetKind, row: &TextRow, fields: &mut RowFields<'_>) {
    for (column, _) in &row.fields {
        if *column != SheetColumn::Kind && !kind.columns().contains(column) {
            fields.fault(*column, format!("kind {kind} does not use this column"));
        }
    }
}

/// Parses the name of anything but a model or adapter. A `/` is not accepted: the name becomes a segment of a
/// row key such as `replica/<upstream>/<model>`, and two pairs of names could otherwise share one key.
fn read_name<T>(fields: &mut RowFields<'_>, new: impl Fn(&str) -> Result<T, UnitError>) -> Option<T> {
    let text = fields.text(SheetColumn::Name)?;
    if text.contains('/') {
        fields.fault(SheetColumn::Name, format!("{text:?} contains '/'; only models and adapters may"));
        return None;
    }
    match new(text) {
        Ok(name) => Some(name),
        Err(error) => {
            fields.fault(SheetColumn::Name, error.to_string());
            None
        }
    }
}

fn read_memory(fields: &mut RowFields<'_>, column: SheetColumn, least: u64) -> Option<MemorySize> {
    fields.number(column, least..=MAX_MEMORY_MIB).map(MemorySize::new)
}

fn read_address(fields: &mut RowFields<'_>) -> Option<SocketAddr> {
    let text = fields.text(SheetColumn::Address)?;
    let address = text.parse::<SocketAddr>().ok();
    let usable = address.filter(|address| address.port() != 0 && !address.ip().is_unspecified());
    if usable.is_none() {
        fields.fault(SheetColumn::Address, format!("{text:?} is not an IP address with a port"));
    }
    usable
}

fn read_team(fields: &mut RowFields<'_>) -> Option<TeamRow> {
    let team = read_name(fields, TeamId::new);
    let rate = fields.number(SheetColumn::Rate, 1..=MAX_TOKENS);
    let burst = fields.number(SheetColumn::Burst, 1..=MAX_TOKENS);
    if let (Some(rate), Some(burst)) = (rate, burst)
        && burst < rate
    {
        // Borrowed tokens count against the burst for up to one second, so a smaller burst would limit the
        // rate itself.
        fields.fault(
            SheetColumn::Burst,
            format!("a burst of {burst} tokens is less than one second of {rate} tokens/s"),
        );
    }
    Some(TeamRow { team: team?, rate: TokenRate::new(rate?), burst: TokenCount::new(burst?) })
}

fn read_path(fields: &mut RowFields<'_>, target: &RouteTarget) -> Option<SmolStr> {
    let text = fields.text(SheetColumn::Path)?;
    let fault = match target {
        RouteTarget::Models(_) if text != MODEL_PATH => {
            Some(format!("the path of a model route is {MODEL_PATH}, not {text:?}"))
        }
        RouteTarget::Models(_) => None,
        RouteTarget::Services(_) => service_path_fault(text),
    };
    match fault {
        Some(message) => {
            fields.fault(SheetColumn::Path, message);
            None
        }
        None => Some(SmolStr::new(text)),
    }
}

/// The fault of the path prefix of a service route, if any. Prefixes are compared with request paths as text,
/// so only one spelling of each path is accepted.
fn service_path_fault(text: &str) -> Option<String> {
    let Some(rest) = text.strip_prefix('/') else {
        return Some(format!("{text:?} does not start with '/'"));
    };
    let accepted = |character: char| character.is_ascii_alphanumeric() || "/-._~".contains(character);
    if let Some(character) = text.chars().find(|&character| !accepted(character)) {
        return Some(format!("{text:?} contains {character:?}; letters, digits and / - . _ ~ are accepted"));
    }
    if rest.split('/').any(|segment| matches!(segment, "" | "." | "..")) {
        return Some(format!("{text:?} has an empty segment, \".\" or \"..\", or ends with '/'"));
    }
    let reserved = rest.split('/').next().is_some_and(|first| matches!(first, "v1" | "healthz"));
    reserved.then(|| format!("{text:?} belongs to the callers' interface itself"))
}

fn read_methods(fields: &mut RowFields<'_>) -> Option<Vec<SmolStr>> {
    fields.text(SheetColumn::Methods)?;
    let methods = fields.list::<SmolStr>(SheetColumn::Methods);
    for method in &methods {
        if !METHODS.contains(&method.as_str()) {
            let message = format!("{method:?} is not one of {}", METHODS.join(", "));
            fields.fault(SheetColumn::Methods, message);
        }
    }
    Some(methods)
}

fn read_call_tokens(fields: &mut RowFields<'_>, open: Option<bool>) -> Option<u64> {
    if open == Some(true) {
        fields.reject_columns(&[SheetColumn::CallTokens], "an open route has no team to charge");
        return Some(0);
    }
    fields.number(SheetColumn::CallTokens, 0..=MAX_TOKENS)
}
