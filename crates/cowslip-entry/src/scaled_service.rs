//! Decides the number of servers of one service in each of its failure domains.

use cowslip_units::{ClockTime, DomainId, ServiceId};

use crate::scaled_domain::ScaledDomain;
use crate::scaling_history::{MeasuredLoad, ScalingHistory};
use crate::{ScalingBasis, ScalingOrder, ScalingReason, ServiceLoad};

/// Share of its slots, and of its memory for models, that a server uses when a failure domain is lost. Waits grow fast
/// beyond it, and models and requests do not divide evenly.
const FILL: f64 = 0.85;

/// Hold time as a multiple of the time until a server that is ordered is useful.
const HOLD_FACTOR: u64 = 3;

/// Shortest and longest hold time in ms.
const HOLD_MS: (u64, u64) = (30_000, 600_000);

/// Shortest time in ms between two changes of a number upwards.
const UP_PAUSE_MS: u64 = 1_000;

/// Shortest time in ms between two steps of a service downwards.
const DOWN_PAUSE_MS: u64 = 3_000;

/// Time in ms for which requests must wait for models that fit nowhere. When demand moves to other models, the old ones
/// count as in demand for up to 12 s.
const MODELS_SUSTAIN_MS: u64 = 15_000;

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ScaledService {
    pub(crate) name: ServiceId,
    /// Sorted by failure domain.
    pub(crate) domains: Vec<ScaledDomain>,
    history: ScalingHistory,
    /// Since when requests have waited for models that fit nowhere.
    models_since: Option<ClockTime>,
}

/// Servers needed in all failure domains together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ServerNeed {
    /// Number from which none is added.
    wanted: u32,
    reason: ScalingReason,
    /// Number below which none is taken away.
    needed: u32,
}

impl ScaledService {
    pub(crate) fn new(name: ServiceId) -> Self {
        Self { name, domains: Vec::new(), history: ScalingHistory::default(), models_since: None }
    }

    /// The failure domain, created on first use.
    pub(crate) fn domain(&mut self, domain: &DomainId) -> &mut ScaledDomain {
        let at = self.domains.binary_search_by(|known| known.domain.cmp(domain)).unwrap_or_else(|at| {
            self.domains.insert(at, ScaledDomain::new(domain.clone()));
            at
        });
        &mut self.domains[at]
    }

    /// Applies the servers seen and changes the numbers; returns whether one has changed.
    pub(crate) fn decide(&mut self, load: &ServiceLoad, age_ms: u64, revision: u64, now: ClockTime) -> bool {
        self.observe(load, now);
        if load.slots == 0 {
            return false;
        }
        let hold_ms = load.horizon_ms().saturating_mul(HOLD_FACTOR).clamp(HOLD_MS.0, HOLD_MS.1);
        let need = self.need(load, hold_ms, now);
        let hold_needed = self.history.hold_needed(hold_ms, now);
        let basis = ScalingBasis {
            calls: load.calls,
            waiting: load.waiting_for_slot + load.waiting_for_model,
            needed: need.needed,
            hold_needed: hold_needed.unwrap_or(0),
            serving: 0,
            age_ms,
        };
        let mut is_adopted = false;
        for domain in &mut self.domains {
            is_adopted |= domain.adopt(hold_ms, now);
        }
        let order = |domain: &ScaledDomain, desired: u32, reason: ScalingReason| ScalingOrder {
            service: load.service.clone(),
            domain: domain.domain.clone(),
            desired,
            previous: domain.desired(),
            reason,
            basis: ScalingBasis { serving: domain.serving, ..basis },
            is_repeat: false,
            revision,
        };
        let target = self.per_domain(need.wanted, load, now);
        // A call that takes servers away is repeated only as long as they are not needed.
        let may_repeat_falls = self.has_spare(hold_needed.unwrap_or(need.needed), load, now);
        let mut is_raised = false;
        for domain in &mut self.domains {
            let withdrawn = domain.number_before_fall().filter(|_| !may_repeat_falls);
            let withdrawn = withdrawn.map(|number| (number.min(load.rule.max), ScalingReason::Shortage));
            let raised = withdrawn.or_else(|| raised(domain, load, target, need.reason, now));
            if let Some((desired, reason)) = raised {
                let order = order(domain, desired, reason);
                domain.set(order, now);
                is_raised = true;
            }
        }
        if is_raised {
            return true;
        }
        let lowered = hold_needed.and_then(|needed| self.lowered(load, needed, now));
        if let Some((at, desired)) = lowered {
            let order = order(&self.domains[at], desired, ScalingReason::Surplus);
            self.domains[at].set(order, now);
        }
        is_adopted || lowered.is_some()
    }

    fn observe(&mut self, load: &ServiceLoad, now: ClockTime) {
        for servers in &load.domains {
            self.domain(&servers.domain);
        }
        for domain in &mut self.domains {
            let at = load.domains.binary_search_by(|servers| servers.domain.cmp(&domain.domain));
            domain.observe(at.ok().and_then(|at| load.domains.get(at)), now);
        }
    }

    fn need(&mut self, load: &ServiceLoad, hold_ms: u64, now: ClockTime) -> ServerNeed {
        // Requests that wait for a load are not helped by a server without models.
        let useful = load.calls + load.waiting_for_slot;
        let total = useful + load.waiting_for_model;
        let measured = MeasuredLoad { useful: f64::from(useful), total: f64::from(total) };
        self.history.record(measured, hold_ms, now);
        let sustained = servers_for(self.history.sustained(now), load);
        let forecast = servers_for(self.history.forecast(load.horizon_ms(), now), load);
        let for_models =
            if load.memory_mb > 0.0 { servers(load.model_mb / (load.memory_mb * FILL)) } else { 0 };
        let serving: u32 = self.domains.iter().map(|domain| domain.serving).sum();
        let is_crowded = load.waiting_for_model > 0 && for_models > serving;
        self.models_since = is_crowded.then(|| self.models_since.unwrap_or(now));
        let lasts = self.models_since.is_some_and(|since| now.since_ms(since) >= MODELS_SUSTAIN_MS);
        let models = if lasts { for_models } else { 0 };
        let wanted = sustained.max(forecast).max(models);
        let reason = if wanted == sustained {
            ScalingReason::Shortage
        } else if wanted == forecast {
            ScalingReason::Forecast
        } else {
            ScalingReason::Models
        };
        let present = servers_for(f64::from(total), load);
        let needed = wanted.max(present).max(for_models);
        self.history.record_needed(needed);
        ServerNeed { wanted, reason, needed }
    }

    /// Servers in each sound failure domain that carry the load of `needed` servers, also when one of these domains
    /// is lost. While one is lost already, the others need no further spare capacity.
    fn per_domain(&self, needed: u32, load: &ServiceLoad, now: ClockTime) -> u32 {
        let is_lost = self.domains.iter().any(ScaledDomain::is_lost);
        let in_use = || self.domains.iter().filter(|domain| !domain.is_lost());
        let short = || in_use().filter(|domain| domain.is_short(load.rule, now));
        let fixed: u32 = short().map(|domain| domain.serving).sum();
        let sound = in_use().count() - short().count();
        let spare = usize::from(!is_lost && self.domains.len() > 1);
        let carriers = u32::try_from(sound.saturating_sub(spare).max(1)).unwrap_or(u32::MAX);
        let number = needed.saturating_sub(fixed).div_ceil(carriers);
        number.max(load.rule.min).min(load.rule.max)
    }

    /// The failure domain that gives up a server, and its new number: the others and it must still have `needed` servers
    /// when one of them is lost.
    fn lowered(&self, load: &ServiceLoad, needed: u32, now: ClockTime) -> Option<(usize, u32)> {
        let is_steady = |domain: &ScaledDomain| {
            let is_impaired = domain.is_lost() || domain.is_short(load.rule, now);
            !is_impaired && domain.is_in_effect(now) && domain.unchanged_ms(now) >= DOWN_PAUSE_MS
        };
        if !self.domains.iter().all(is_steady) {
            return None;
        }
        let mut numbers = self.numbers(load, now)?;
        let (at, largest) = largest_of(&numbers)?;
        // A number below that would be raised again.
        let floor = self.per_domain(needed, load, now);
        let lower = largest.checked_sub(1).filter(|lower| *lower >= floor)?;
        numbers[at] = lower;
        (left_of(&numbers) >= needed).then_some((at, lower))
    }

    /// True when the numbers carry the load of `needed` servers, also when a failure domain is lost.
    fn has_spare(&self, needed: u32, load: &ServiceLoad, now: ClockTime) -> bool {
        self.numbers(load, now).is_some_and(|numbers| left_of(&numbers) >= needed)
    }

    /// Numbers of all failure domains; `None` while one is not known.
    fn numbers(&self, load: &ServiceLoad, now: ClockTime) -> Option<Vec<u32>> {
        self.domains.iter().map(|domain| domain.number(load.rule, now)).collect()
    }
}

/// Servers that are left when the failure domain with the largest number is lost, if there is another one.
fn left_of(numbers: &[u32]) -> u32 {
    let lost = if numbers.len() > 1 { largest_of(numbers).map_or(0, |(_, number)| number) } else { 0 };
    numbers.iter().sum::<u32>().saturating_sub(lost)
}

/// The first of the largest numbers, with its place.
fn largest_of(numbers: &[u32]) -> Option<(usize, u32)> {
    let places = numbers.iter().copied().enumerate();
    places.max_by_key(|(at, number)| (*number, std::cmp::Reverse(*at)))
}

/// New number of a failure domain that must rise, or is outside the limits.
fn raised(
    domain: &ScaledDomain,
    load: &ServiceLoad,
    target: u32,
    reason: ScalingReason,
    now: ClockTime,
) -> Option<(u32, ScalingReason)> {
    let (rule, number) = (load.rule, domain.number(load.rule, now)?);
    if number > rule.max {
        return Some((rule.max, ScalingReason::Limits));
    }
    if domain.desired().is_some_and(|desired| desired < rule.min) {
        return Some((rule.min, ScalingReason::Limits));
    }
    // More servers are of no use where the present ones do not come.
    let is_impaired = domain.is_lost() || domain.is_short(rule, now);
    if is_impaired || target <= number || domain.unchanged_ms(now) < UP_PAUSE_MS {
        return None;
    }
    // More servers may be in effect than the last number known; a rise must not remove them.
    Some((target.max(domain.serving).min(rule.max), reason))
}

fn servers_for(calls: f64, load: &ServiceLoad) -> u32 {
    servers(calls / (f64::from(load.slots) * FILL))
}

fn servers(number: f64) -> u32 {
    number.ceil().clamp(0.0, f64::from(u32::MAX)) as u32
}
