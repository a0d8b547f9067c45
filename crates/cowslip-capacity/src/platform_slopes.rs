//! Cost of data read from the platform and from engines.

use std::hint::black_box;

use cowslip_platform::{CheckpointTier, EngineReport, LoadedModel, VmEntry, VmRole, VmState};
use cowslip_units::{MemorySize, VmId};

use crate::permit_slopes::UPSTREAM_SIZES;
use crate::{FleetGenerator, RunPlan, SlopePoint, SlopeRow, SlopeUnit, json_bytes};

/// Measures the VM list and the engine reports.
pub(crate) fn platform_slopes(plan: &RunPlan) -> Vec<SlopeRow> {
    let meter = plan.meter();
    let (mut list_bytes, mut list_read) = (Vec::new(), Vec::new());
    for size in plan.sizes(UPSTREAM_SIZES) {
        let list = vm_list(plan, size);
        list_bytes.push(SlopePoint::new(size, json_bytes(&list)));
        let text = serde_json::to_string(&list).unwrap_or_default();
        let micros = meter.micros(|| {
            black_box(serde_json::from_str::<Vec<VmEntry>>(&text).ok());
        });
        list_read.push(SlopePoint::new(size, micros));
    }
    let (mut report_bytes, mut report_read) = (Vec::new(), Vec::new());
    for size in plan.sizes(&[2, 8, 32, 128]) {
        let report = engine_report(size);
        report_bytes.push(SlopePoint::new(size, json_bytes(&report)));
        let text = serde_json::to_string(&report).unwrap_or_default();
        let micros = meter.micros(|| {
            black_box(serde_json::from_str::<EngineReport>(&text).ok());
        });
        report_read.push(SlopePoint::new(size, micros));
    }
    let (micros, written) = (SlopeUnit::Micros, SlopeUnit::WrittenBytes);
    let vms = "upstream VMs on the list (and 350 entry VMs)";
    let names = "names in the report: a fourth loaded, the others cached checkpoints";
    vec![
        SlopeRow::new("vms.bytes", vms, written, "cowslip_platform::VmList, GET /vms", 6_300, list_bytes),
        SlopeRow::new("vms.read", vms, micros, "cowslip_platform::VmList, GET /vms", 6_300, list_read),
        SlopeRow::new(
            "engine.report_bytes",
            names,
            written,
            "cowslip_platform::EngineReport, GET /report",
            8,
            report_bytes,
        ),
        SlopeRow::new(
            "engine.report_read",
            names,
            micros,
            "cowslip_platform::EngineReport, GET /report",
            8,
            report_read,
        ),
    ]
}

fn vm_list(plan: &RunPlan, upstreams: usize) -> Vec<VmEntry> {
    let mut list: Vec<VmEntry> = Vec::new();
    for member in plan.generator().members(plan.size(350)) {
        list.push(VmEntry {
            vm: member.vm,
            domain: member.domain,
            role: VmRole::Entry,
            state: VmState::Live,
            address: member.rpc_addr,
            controller: Some(member.rpc_addr),
        });
    }
    for row in FleetGenerator::upstreams(upstreams) {
        list.push(VmEntry {
            vm: VmId::new(row.upstream.as_str()).unwrap_or_default(),
            domain: row.domain,
            role: VmRole::Upstream,
            state: VmState::Live,
            address: row.address,
            controller: None,
        });
    }
    list
}

fn engine_report(names: usize) -> EngineReport {
    let loaded = names.div_ceil(4);
    let model = |at| LoadedModel { name: FleetGenerator::model(at), memory: MemorySize::new(38_192) };
    EngineReport {
        boot: "00c0ffee00c0ffee".to_owned(),
        sequence: 123_456,
        age_ms: 180,
        loaded: (0..loaded).map(model).collect(),
        loading: Vec::new(),
        running: 11,
        queued: 3,
        memory: MemorySize::new(81_920),
        memory_used: MemorySize::new(38_192),
        checkpoints: (loaded..names).map(|at| (FleetGenerator::model(at), CheckpointTier::Disk)).collect(),
    }
}
