//! Cost of the sheet: size of its text and time to parse it.

use cowslip_config::{FleetSheet, SheetColumn};

use crate::{FleetGenerator, RunPlan, SlopePoint, SlopeRow, SlopeUnit};

/// Formats a sheet as CSV, as an export does.
pub(crate) fn sheet_text(sheet: &FleetSheet) -> String {
    let names: Vec<&str> = SheetColumn::ALL.iter().map(|column| column.as_str()).collect();
    let mut text = names.join(",");
    for record in sheet.records() {
        let field = |column: &SheetColumn| match column {
            SheetColumn::Kind => record.kind.to_string(),
            SheetColumn::Name => record.name.to_string(),
            other => record.field(*other).unwrap_or_default().to_owned(),
        };
        let fields: Vec<String> = SheetColumn::ALL.iter().map(field).collect();
        text.push('\n');
        text.push_str(&fields.join(","));
    }
    text.push('\n');
    text
}

/// Measures the sheet by number of adapters.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn sheet_slopes(plan: &RunPlan) -> Vec<SlopeRow> {
    let meter = plan.meter();
    let (mut bytes, mut read) = (Vec::new(), Vec::new());
    for size in plan.sizes(&[40, 2_000, 5_000, 9_000]) {
        let sheet = FleetGenerator::sheet(plan.size(250), size, plan.size(6_300), plan.size(500));
        let text = sheet_text(&sheet);
        bytes.push(SlopePoint::new(size, text.len() as f64));
        let micros = meter.micros_on(|| (), |()| FleetSheet::from_csv(&text).map_err(|faults| faults.len()));
        read.push(SlopePoint::new(size, micros));
    }
    let by = "adapters declared (250 models, 6,300 upstreams, 500 teams, one model route)";
    vec![
        SlopeRow::new("sheet.bytes", by, SlopeUnit::WrittenBytes, "object sheet/<digest>", 9_000, bytes),
        SlopeRow::new(
            "sheet.read",
            by,
            SlopeUnit::Micros,
            "cowslip_config::FleetSheet::from_csv",
            9_000,
            read,
        ),
    ]
}
