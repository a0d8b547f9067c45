//! Builds a gateway's report to the leader.

use cowslip_adapter::GatewaySettings;
use cowslip_entry::{DemandLine, GatewayReport, ModelNeed, QuotaRequest};
use cowslip_units::ClockTime;

use crate::gateway_state::GatewayState;
use crate::lease_task::SMALL_FLEET;

impl GatewayState {
    /// Builds the report and resets the counters that it includes.
    pub(crate) fn build_report(
        &mut self,
        settings: &GatewaySettings,
        brief: bool,
        now: ClockTime,
        crash_time: ClockTime,
    ) -> GatewayReport {
        let mut demand: Vec<DemandLine> = Vec::new();
        for arrived in std::mem::take(&mut self.arrived) {
            demand_line(&mut demand, &arrived.need).arrived += arrived.count;
        }
        for waiting in self.waiting.all().iter().filter(|waiting| waiting.unplaced) {
            let line = demand_line(&mut demand, &waiting.need);
            line.waiting += 1;
            line.oldest_ms = line.oldest_ms.max(now.since_ms(waiting.since));
            line.priority = line.priority.min(waiting.priority);
        }
        let requests = self.tokens.iter_mut().map(|tokens| QuotaRequest {
            team: tokens.team.clone(),
            short: tokens.short.saturating_sub(tokens.quota.remaining(now)),
            ahead: tokens.quota.ahead(now),
            returned: tokens.quota.take_returned(),
            spent_alone: tokens.quota.spent_alone(),
        });
        let tokens: Vec<QuotaRequest> = requests
            .filter(|request| request.short + request.ahead + request.returned + request.spent_alone > 0)
            .collect();
        GatewayReport {
            gateway: settings.name.clone(),
            address: Some(settings.peers),
            view: self.freshness(now),
            term: self.term,
            marks: self.cursors,
            demand,
            running: if brief { Vec::new() } else { self.running.lines().to_vec() },
            tokens,
            may_lead: !settings.weak || self.member_count() <= SMALL_FLEET,
            reaches_store: self.can_reach_store(now),
            leaving: self.upstreams.notices().leaving().cloned().collect(),
            crashes: self.quarantine.log.unshared(crash_time),
            crash_cursor: self.crash_cursor,
            brief,
            usage: None,
            work: if brief { Vec::new() } else { self.take_work() },
            pace_cursor: self.pace_cursor,
            reads_models: true,
        }
    }
}

fn demand_line<'a>(lines: &'a mut Vec<DemandLine>, need: &ModelNeed) -> &'a mut DemandLine {
    let found = lines.iter().position(|line| line.model == need.model && line.adapter == need.adapter);
    let at = found.unwrap_or_else(|| {
        lines.push(DemandLine {
            model: need.model.clone(),
            adapter: need.adapter.clone(),
            arrived: 0,
            waiting: 0,
            oldest_ms: 0,
            priority: u8::MAX,
        });
        lines.len() - 1
    });
    &mut lines[at]
}
