//! Checks that involve more than one row: duplicates, dangling references, memory sizes and ambiguous routes.

use cowslip_units::{MemorySize, ModelId};
use smol_str::SmolStr;

use crate::sheet_draft::{DeclaredName, NameReference, SheetDraft};
use crate::{EngineKind, FleetSheet, RouteTarget, SheetColumn, SheetFault, SheetKind};

/// Sorts the rows of `draft` and returns the sheet, or all faults in order of row.
pub(crate) fn finish_draft(mut draft: SheetDraft) -> Result<FleetSheet, Vec<SheetFault>> {
    let sheet = &mut draft.sheet;
    sheet.domains.sort_by(|first, second| first.domain.cmp(&second.domain));
    sheet.upstreams.sort_by(|first, second| first.upstream.cmp(&second.upstream));
    sheet.models.sort_by(|first, second| first.model.cmp(&second.model));
    sheet.adapters.sort_by(|first, second| first.adapter.cmp(&second.adapter));
    sheet.teams.sort_by(|first, second| first.team.cmp(&second.team));
    sheet.routes.sort_by(|first, second| first.route.cmp(&second.route));
    draft.names.sort_by(|first, second| {
        (namespace(first.kind), &first.name, first.row).cmp(&(
            namespace(second.kind),
            &second.name,
            second.row,
        ))
    });
    let mut faults = std::mem::take(&mut draft.faults);
    check_duplicates(&draft, &mut faults);
    check_references(&draft, &mut faults);
    check_addresses(&draft, &mut faults);
    check_memory(&draft, &mut faults);
    check_charges(&draft, &mut faults);
    check_model_routes(&draft, &mut faults);
    check_service_routes(&draft, &mut faults);
    if faults.is_empty() {
        return Ok(draft.sheet);
    }
    faults.sort();
    Err(faults)
}

/// The kind that shares a namespace with `kind`: adapters are requested by name like models.
fn namespace(kind: SheetKind) -> SheetKind {
    if kind == SheetKind::Adapter { SheetKind::Model } else { kind }
}

/// The first row that declares `name`, in the namespace of `kind`.
fn find_name<'a>(draft: &'a SheetDraft, kind: SheetKind, name: &str) -> Option<&'a DeclaredName> {
    let target = (namespace(kind), name);
    let at = draft.names.partition_point(|entry| (namespace(entry.kind), entry.name.as_str()) < target);
    draft.names.get(at).filter(|entry| (namespace(entry.kind), entry.name.as_str()) == target)
}

/// Line of the row that declares `name`; 0 if there is none.
fn row_of(draft: &SheetDraft, kind: SheetKind, name: &str) -> usize {
    find_name(draft, kind, name).map_or(0, |entry| entry.row)
}

fn check_duplicates(draft: &SheetDraft, faults: &mut Vec<SheetFault>) {
    for entry in &draft.names {
        let Some(first) = find_name(draft, entry.kind, &entry.name) else { continue };
        if first.row == entry.row {
            continue;
        }
        let (kind, name, row) = (first.kind, &first.name, first.row);
        let message = format!("{kind} \"{name}\" is already declared in row {row}");
        faults.push(SheetFault::new(entry.row, SheetColumn::Name.as_str(), message));
    }
}

fn check_references(draft: &SheetDraft, faults: &mut Vec<SheetFault>) {
    for reference in &draft.references {
        if let Some(message) = reference_fault(draft, reference) {
            faults.push(SheetFault::new(reference.row, reference.column.as_str(), message));
        }
    }
}

fn reference_fault(draft: &SheetDraft, reference: &NameReference) -> Option<String> {
    let name = &reference.name;
    let Some(found) = find_name(draft, reference.kind, name) else {
        return Some(format!("no {} \"{name}\" is declared", reference.kind));
    };
    if reference.column == SheetColumn::Model && found.kind == SheetKind::Adapter {
        return Some(format!("\"{name}\" is an adapter; an adapter needs a model"));
    }
    let is_model_server = |name: &SmolStr| {
        let upstreams = &draft.sheet.upstreams;
        let at = upstreams.binary_search_by(|row| row.upstream.as_str().cmp(name));
        at.ok().and_then(|at| upstreams.get(at)).is_some_and(|row| row.engine != EngineKind::Service)
    };
    if reference.column == SheetColumn::Services && is_model_server(name) {
        return Some(format!("\"{name}\" is a model server, not a service server"));
    }
    None
}

/// Checks that no two upstreams share an address, since each would receive the other's requests and orders.
fn check_addresses(draft: &SheetDraft, faults: &mut Vec<SheetFault>) {
    let mut addresses: Vec<_> = draft
        .sheet
        .upstreams
        .iter()
        .map(|row| (row.address, row_of(draft, SheetKind::Upstream, row.upstream.as_str()), &row.upstream))
        .collect();
    addresses.sort();
    for pair in addresses.windows(2) {
        if let [(first, _, upstream), (second, row, other)] = pair
            && first == second
            && upstream != other
        {
            let message = format!("{second} is already the address of upstream \"{upstream}\"");
            faults.push(SheetFault::new(*row, SheetColumn::Address.as_str(), message));
        }
    }
}

/// Checks that every model, and every adapter together with its model, fits on the largest model server.
fn check_memory(draft: &SheetDraft, faults: &mut Vec<SheetFault>) {
    if draft.has_unknown_memory {
        return;
    }
    let largest_memory = draft.largest_memory.unwrap_or(MemorySize::ZERO);
    let mut models: Vec<(&ModelId, MemorySize)> = draft
        .memory_needs
        .iter()
        .filter(|need| need.base.is_none())
        .map(|need| (&need.name, need.memory))
        .collect();
    models.sort();
    for need in &draft.memory_needs {
        let base = match &need.base {
            Some(base) => match models.binary_search_by(|entry| entry.0.cmp(base)) {
                Ok(at) => models.get(at).map_or(MemorySize::ZERO, |entry| entry.1),
                Err(_) => MemorySize::ZERO,
            },
            None => MemorySize::ZERO,
        };
        let memory = need.memory.plus(base);
        // If the model itself is too large, its adapters need no fault of their own.
        if memory > largest_memory && base <= largest_memory {
            let what =
                if need.base.is_some() { "with its model it needs" } else { "with its KV cache it needs" };
            let message = format!("{what} {memory}, but the largest model server has {largest_memory}");
            faults.push(SheetFault::new(need.row, SheetColumn::MemoryMib.as_str(), message));
        }
    }
}

/// Checks that no call costs more than a team's burst, since it would be rejected every time.
fn check_charges(draft: &SheetDraft, faults: &mut Vec<SheetFault>) {
    for route in &draft.sheet.routes {
        for team in route.teams.iter().filter_map(|team| draft.sheet.team(team)) {
            if route.call_tokens > team.burst {
                let row = row_of(draft, SheetKind::Route, route.route.as_str());
                let message = format!(
                    "{} for each call are more than the burst of team \"{}\", {}",
                    route.call_tokens, team.team, team.burst
                );
                faults.push(SheetFault::new(row, SheetColumn::CallTokens.as_str(), message));
            }
        }
    }
}

/// Checks that no team reaches a model by two routes, since the deadline would be ambiguous.
fn check_model_routes(draft: &SheetDraft, faults: &mut Vec<SheetFault>) {
    let mut reached = Vec::new();
    for route in &draft.sheet.routes {
        let RouteTarget::Models(models) = &route.target else { continue };
        let row = row_of(draft, SheetKind::Route, route.route.as_str());
        for team in &route.teams {
            reached.extend(models.iter().map(|model| (team, model, row, &route.route)));
        }
    }
    reached.sort();
    for pair in reached.windows(2) {
        if let [(team, model, _, route), (other_team, other_model, row, other_route)] = pair
            && (team, model) == (other_team, other_model)
            && route != other_route
        {
            let message = format!("team \"{team}\" already reaches \"{model}\" by route \"{route}\"");
            faults.push(SheetFault::new(*row, SheetColumn::Models.as_str(), message));
        }
    }
}

/// Checks that service routes with the same path differ in method or team, and that neither of them is open.
fn check_service_routes(draft: &SheetDraft, faults: &mut Vec<SheetFault>) {
    let mut reached = Vec::new();
    for route in &draft.sheet.routes {
        let row = row_of(draft, SheetKind::Route, route.route.as_str());
        for method in &route.methods {
            reached.push((&route.path, method, row, route));
        }
    }
    reached.sort_by_key(|entry| (entry.0, entry.1, entry.2));
    for (at, (path, method, row, route)) in reached.iter().enumerate() {
        let same = reached.get(..at).unwrap_or_default().iter().rev();
        for (_, _, _, earlier) in same.take_while(|entry| (entry.0, entry.1) == (*path, *method)) {
            let shared = route.teams.iter().any(|team| earlier.teams.binary_search(team).is_ok());
            if (shared || route.open || earlier.open) && route.route != earlier.route {
                let message = format!("{method} {path} is already route \"{}\"", earlier.route);
                faults.push(SheetFault::new(*row, SheetColumn::Path.as_str(), message));
            }
        }
    }
}
