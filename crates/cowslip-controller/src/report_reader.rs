//! The task that reads the engines' load reports.

use cowslip_config::EngineKind;
use cowslip_placement::{UpstreamReport, WeightTier};
use cowslip_platform::{CheckpointTier, EngineOrders, EngineReport};
use cowslip_units::UpstreamId;

use crate::{ControllerCore, PlatformServices};

/// Period in which each engine's report is read, in ms.
const REPORT_PERIOD_MS: u64 = 250;

impl<P: PlatformServices, E: EngineOrders> ControllerCore<P, E> {
    /// Reads every engine's report every 250 ms, while this process is the leader. A slow engine delays only
    /// its own report.
    pub(crate) async fn read_reports(self) {
        loop {
            for upstream in self.upstreams_to_read() {
                let reader = self.clone();
                let mut state = self.lock();
                if let Some(leader) = &mut state.leader {
                    leader.tasks.spawn(async move { reader.read_report(upstream).await });
                }
            }
            self.clock.sleep_ms(REPORT_PERIOD_MS).await;
        }
    }

    /// Model engines without a read in progress, which are marked as being read.
    fn upstreams_to_read(&self) -> Vec<UpstreamId> {
        let mut state = self.lock();
        let Some(loaded) = &state.sheet else {
            return Vec::new();
        };
        let engines =
            loaded.sheet.upstreams.iter().filter(|row| matches!(row.engine, EngineKind::Model { .. }));
        let mut upstreams: Vec<UpstreamId> = engines.map(|row| row.upstream.clone()).collect();
        let Some(leader) = &mut state.leader else {
            return Vec::new();
        };
        upstreams.extend(leader.planner.ledger().upstreams().cloned());
        upstreams.sort();
        upstreams.dedup();
        upstreams.retain(|upstream| leader.reading.binary_search(upstream).is_err());
        leader.reading.extend(upstreams.iter().cloned());
        leader.reading.sort();
        upstreams
    }

    async fn read_report(&self, upstream: UpstreamId) {
        let addr = self.lock().upstream_addr(&upstream);
        let requested_at = self.now();
        let report = match addr {
            Some(addr) => self.engines.report(addr).await.ok(),
            None => None,
        };
        let now = self.now();
        let mut state = self.lock();
        let Some(leader) = &mut state.leader else {
            return;
        };
        if let Ok(at) = leader.reading.binary_search(&upstream) {
            leader.reading.remove(at);
        }
        match report {
            Some(report) => {
                leader.planner.upstream_report(&upstream, to_upstream_report(report), requested_at, now)
            }
            None => self.metrics.count("reports_failed", 1),
        }
    }
}

fn to_upstream_report(report: EngineReport) -> UpstreamReport {
    let tier = |tier: CheckpointTier| match tier {
        CheckpointTier::Memory => WeightTier::Memory,
        CheckpointTier::Disk => WeightTier::Disk,
        CheckpointTier::Remote => WeightTier::Remote,
    };
    let mut loaded: Vec<_> = report.loaded.into_iter().map(|entry| (entry.name, entry.memory)).collect();
    loaded.sort();
    let mut checkpoints: Vec<_> =
        report.checkpoints.into_iter().map(|(model, place)| (model, tier(place))).collect();
    checkpoints.sort();
    UpstreamReport {
        boot: report.boot.into(),
        sequence: report.sequence,
        age_ms: report.age_ms,
        loaded,
        running: report.running,
        queued: report.queued,
        memory: report.memory,
        checkpoints,
    }
}
