//! Aggregates call outcomes and prints the report.

use std::collections::BTreeMap;
use std::fmt::Write;

use cowslip_config::FleetSheet;
use cowslip_units::{ClockTime, ModelId, TeamId};
use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::{CallKind, CallOutcome, CallResult, RateAccount};

/// Upper bound of recorded times in ms.
const MAX_MS: u64 = 600_000;
/// Error kind of a rejection because of a team's rate.
const RATE_LIMITED: &str = "rate_limited";

/// Counters and latencies of one team.
#[derive(Clone, Debug)]
pub struct TeamStats {
    /// Calls sent.
    pub sent: u64,
    /// Complete responses.
    pub served: u64,
    /// Calls whose caller disconnected as planned.
    pub left: u64,
    /// Rejected calls.
    pub rejected: u64,
    /// Calls rejected because of the rate although the team was within it.
    pub wrongful_rejections: u64,
    /// Time to the first token in ms.
    pub first: Histogram<u64>,
}

impl TeamStats {
    fn new() -> Self {
        Self { sent: 0, served: 0, left: 0, rejected: 0, wrongful_rejections: 0, first: histogram() }
    }

    /// Share of calls that were served, without those whose caller disconnected as planned.
    pub fn served_share(&self) -> f64 {
        let stayed = self.sent - self.left;
        if stayed == 0 { 1.0 } else { self.served as f64 / stayed as f64 }
    }
}

/// Aggregated outcomes of a run.
#[derive(Clone, Debug)]
pub struct LoadReport {
    teams: BTreeMap<TeamId, TeamStats>,
    accounts: BTreeMap<TeamId, RateAccount>,
    kinds: BTreeMap<CallKind, (u64, u64)>,
    rejections: BTreeMap<(String, String), u64>,
    truncated: BTreeMap<String, u64>,
    faults: Vec<String>,
    /// Failed connections by router.
    connection_failures: BTreeMap<String, u64>,
    timed_out: u64,
    warm: Histogram<u64>,
    cold: Histogram<u64>,
    /// Time to the first token of cold starts, in thousandths of the nominal load time.
    cold_ratio: Histogram<u64>,
    /// Nominal load time in ms by model and adapter, sorted by name.
    load_ms: Vec<(ModelId, u64)>,
    gaps: Histogram<u64>,
    /// Served, rejected and failed calls by second of the planned send time.
    seconds: BTreeMap<u64, (u64, u64, u64)>,
}

/// Nominal load time of each model, and of each adapter including its base model.
fn nominal_load_times(sheet: &FleetSheet) -> Vec<(ModelId, u64)> {
    let models = sheet.models.iter().map(|row| (row.model.clone(), row.load_ms));
    let with_base = |row: &cowslip_config::AdapterRow| {
        let base = sheet.model(&row.model).map_or(0, |model| model.load_ms);
        (row.adapter.clone(), base + row.load_ms)
    };
    let mut loads: Vec<(ModelId, u64)> = models.chain(sheet.adapters.iter().map(with_base)).collect();
    loads.sort();
    loads
}

fn histogram() -> Histogram<u64> {
    // The fallback is never used: 3 significant digits up to 10 minutes is a valid configuration.
    Histogram::new_with_bounds(1, MAX_MS, 3)
        .unwrap_or_else(|_| Histogram::new(3).expect("3 significant digits are valid"))
}

impl LoadReport {
    /// Creates an empty report with a rate account for each team of `sheet`.
    pub fn new(sheet: &FleetSheet) -> Self {
        let account = |row: &cowslip_config::TeamRow| {
            (row.team.clone(), RateAccount::new(row.rate, row.burst, ClockTime::ZERO))
        };
        Self {
            teams: BTreeMap::new(),
            accounts: sheet.teams.iter().map(account).collect(),
            kinds: BTreeMap::new(),
            rejections: BTreeMap::new(),
            truncated: BTreeMap::new(),
            faults: Vec::new(),
            connection_failures: BTreeMap::new(),
            timed_out: 0,
            warm: histogram(),
            cold: histogram(),
            cold_ratio: histogram(),
            load_ms: nominal_load_times(sheet),
            gaps: histogram(),
            seconds: BTreeMap::new(),
        }
    }

    /// Adds one outcome. Must be called in the order in which the calls ended.
    pub fn add(&mut self, outcome: &CallOutcome) {
        let Some(team) = &outcome.team else {
            return;
        };
        let ended = ClockTime::new(outcome.at_ms + outcome.total_ms);
        let is_wrongful = self.update_account(team, outcome, ended);
        let stats = self.teams.entry(team.clone()).or_insert_with(TeamStats::new);
        stats.sent += 1;
        let kind = self.kinds.entry(outcome.kind).or_default();
        kind.0 += 1;
        let second = self.seconds.entry(outcome.at_ms / 1_000).or_default();
        match &outcome.result {
            CallResult::Served => {
                stats.served += 1;
                kind.1 += 1;
                second.0 += 1;
            }
            CallResult::Disconnected => stats.left += 1,
            CallResult::Rejected { kind, ran, .. } => {
                stats.rejected += 1;
                stats.wrongful_rejections += u64::from(is_wrongful);
                second.1 += 1;
                *self.rejections.entry((kind.clone(), ran.clone())).or_default() += 1;
            }
            CallResult::Truncated(reason) => {
                second.2 += 1;
                *self.truncated.entry(reason.clone()).or_default() += 1;
            }
            CallResult::Invalid(what) => {
                second.2 += 1;
                self.faults.push(what.clone());
            }
            CallResult::ConnectionFailed { router, .. } => {
                second.2 += 1;
                *self.connection_failures.entry(router.clone()).or_default() += 1;
            }
            CallResult::TimedOut => {
                second.2 += 1;
                self.timed_out += 1;
            }
        }
        if let Some(first) = outcome.first_ms {
            stats.first.saturating_record(first.max(1));
            let times = if outcome.cold { &mut self.cold } else { &mut self.warm };
            times.saturating_record(first.max(1));
            self.add_cold_ratio(outcome, first);
        }
        if let Some(gap) = outcome.gap_ms {
            self.gaps.saturating_record(gap.max(1));
        }
    }

    fn add_cold_ratio(&mut self, outcome: &CallOutcome, first_ms: u64) {
        let Some(model) = outcome.model.as_ref().filter(|_| outcome.cold) else {
            return;
        };
        if let Ok(at) = self.load_ms.binary_search_by(|(name, _)| name.cmp(model)) {
            self.cold_ratio.saturating_record(first_ms * 1_000 / self.load_ms[at].1.max(1));
        }
    }

    fn update_account(&mut self, team: &TeamId, outcome: &CallOutcome, ended: ClockTime) -> bool {
        let Some(account) = self.accounts.get_mut(team) else {
            return false;
        };
        match &outcome.result {
            CallResult::Rejected { kind, .. } => {
                kind == RATE_LIMITED && account.has_tokens(outcome.reserved, ended)
            }
            CallResult::Served | CallResult::Truncated(_) => {
                account.take(outcome.tokens, ended);
                false
            }
            // The tokens actually used by such a call are unknown, so the whole reservation counts.
            CallResult::Disconnected
            | CallResult::ConnectionFailed { .. }
            | CallResult::TimedOut
            | CallResult::Invalid(_) => {
                account.take(outcome.reserved, ended);
                false
            }
        }
    }

    /// Counters by team.
    pub fn teams(&self) -> &BTreeMap<TeamId, TeamStats> {
        &self.teams
    }

    /// Descriptions of responses that looked complete but were wrong.
    pub fn faults(&self) -> &[String] {
        &self.faults
    }

    /// Number of calls without a response: failed connections and timeouts.
    pub fn unanswered(&self) -> u64 {
        self.failed_connections() + self.timed_out
    }

    fn failed_connections(&self) -> u64 {
        self.connection_failures.values().sum()
    }

    /// The report as JSON; scripts parse it.
    pub fn to_json(&self) -> Value {
        let teams: BTreeMap<String, Value> = self
            .teams
            .iter()
            .map(|(team, stats)| {
                let value = json!({
                    "sent": stats.sent, "served": stats.served, "left": stats.left, "refused": stats.rejected,
                    "wrongful_rate_refusals": stats.wrongful_rejections, "served_share": stats.served_share(),
                    "first_token_p50_ms": stats.first.value_at_quantile(0.5),
                    "first_token_p99_ms": stats.first.value_at_quantile(0.99),
                });
                (team.to_string(), value)
            })
            .collect();
        let rejections: BTreeMap<String, u64> =
            self.rejections.iter().map(|((kind, ran), count)| (format!("{kind}/{ran}"), *count)).collect();
        let seconds: Vec<Value> = self
            .seconds
            .iter()
            .map(|(at, (served, refused, failed))| json!({"s": at, "served": served, "refused": refused, "failed": failed}))
            .collect();
        json!({
            "teams": teams, "refusals": rejections, "cut_short": self.truncated, "wrong": self.faults,
            "lost": self.failed_connections(), "lost_by_router": self.connection_failures, "late": self.timed_out,
            "warm_first_token_ms": quantiles(&self.warm), "cold_first_token_ms": quantiles(&self.cold),
            "cold_to_bare_load_permille": quantiles(&self.cold_ratio),
            "largest_token_gap_ms": quantiles(&self.gaps), "seconds": seconds,
        })
    }

    /// The report as plain-text tables, with times in ms.
    pub fn to_table(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "{:<24}{:>8}{:>8}{:>8}{:>9}{:>10}{:>9}{:>9}",
            "team", "sent", "served", "left", "refused", "wrongful", "p50 ms", "p99 ms"
        );
        for (team, stats) in &self.teams {
            let _ = writeln!(
                text,
                "{:<24}{:>8}{:>8}{:>8}{:>9}{:>10}{:>9}{:>9}",
                team.as_str(),
                stats.sent,
                stats.served,
                stats.left,
                stats.rejected,
                stats.wrongful_rejections,
                stats.first.value_at_quantile(0.5),
                stats.first.value_at_quantile(0.99)
            );
        }
        for (kind, (sent, served)) in &self.kinds {
            let _ = writeln!(text, "{:<10} sent {sent:>7}  served {served:>7}", kind.as_str());
        }
        for (name, times) in [("warm", &self.warm), ("cold", &self.cold)] {
            let _ = writeln!(
                text,
                "first token, {name}: n {:>6}  p50 {:>6} ms  p99 {:>6} ms  p99.9 {:>6} ms",
                times.len(),
                times.value_at_quantile(0.5),
                times.value_at_quantile(0.99),
                times.value_at_quantile(0.999)
            );
        }
        for ((kind, ran), count) in &self.rejections {
            let _ = writeln!(text, "refused {kind} ({ran}): {count}");
        }
        for (reason, count) in &self.truncated {
            let _ = writeln!(text, "cut short, {reason}: {count}");
        }
        let _ = writeln!(
            text,
            "lost {}  late {}  wrong {}",
            self.failed_connections(),
            self.timed_out,
            self.faults.len()
        );
        for fault in self.faults.iter().take(10) {
            let _ = writeln!(text, "WRONG: {fault}");
        }
        text
    }
}

fn quantiles(times: &Histogram<u64>) -> Value {
    json!({
        "n": times.len(), "p50": times.value_at_quantile(0.5), "p95": times.value_at_quantile(0.95),
        "p99": times.value_at_quantile(0.99), "p999": times.value_at_quantile(0.999), "max": times.max(),
    })
}
