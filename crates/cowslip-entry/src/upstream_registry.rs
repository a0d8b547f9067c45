//! The upstreams that a gateway knows, and the choice among them.
//!
//! Load this answers: many gateways choose at the same time from knowledge that is up to a report old. Ties are broken
//! by a hash of the request's session and the upstream, so that they do not all follow one stale figure, and requests
//! of one session meet at the engine that has their prompt cached.

use cowslip_units::{ClockTime, DomainId, ModelId, UpstreamId};
use smol_str::SmolStr;

use crate::{
    AdapterName, AnswerNotice, ArrivalLine, KnownUpstream, ModelNeed, NoticeBook, PlaceLine, RequestNeed,
    ServiceRule, SlowStartLimit, UpstreamEntry, UpstreamStart, pair_weight, rank_of,
};

/// Time in ms for which entries that vanished with the store's trouble stay in use.
pub const LAPSE_HOLD_MS: u64 = 2_500;

/// Time in ms for which upstreams that have gone are remembered: longer than a copy of the store is old.
const GONE_MS: u64 = 60_000;

/// Time in ms beyond the expected end of a load from which requests are sent there: one that comes before it is refused.
const ARRIVAL_MARGIN_MS: u64 = 40;

/// Calls that being in another failure domain weighs as much as; bytes between domains cost money.
const DOMAIN_WEIGHT: f64 = 1.5;

/// Calls that not being the session's preferred engine weighs as much as.
const SESSION_WEIGHT: f64 = 2.0;

/// Calls that a constant share of failures weighs as much as.
const FAILURE_WEIGHT: f64 = 24.0;

/// Calls that a failed attempt of the same request weighs as much as: another upstream goes first, whatever its load.
const TRIED_WEIGHT: f64 = 10_000.0;

/// Latency in ms assumed for a plain upstream that has not answered yet.
const FIRST_LATENCY_MS: f64 = 20.0;

/// Tokens of a typical request; bounds how many run at once in an engine's memory.
const TYPICAL_TOKENS: u64 = 1_700;

/// Requests beyond its slots that a plain upstream may queue.
const QUEUE_SLACK: u32 = 2;

/// Why no upstream can be chosen now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitCause {
    /// The service has no upstream that may get work.
    NoUpstream,
    /// No upstream holds the model.
    NoModel,
    /// Upstreams hold the model but not the adapter.
    NoAdapter,
    /// Those that hold it are unreachable or failing.
    Unsound,
    /// Those that could take it are cold; one may be sent to after so many ms.
    Cold(u64),
    /// Those that could take it want nothing from this gateway for so many ms.
    Away(u64),
    /// All have as many calls as they run at once.
    Full,
    /// What is known of upstreams is too old to send by.
    Unproven,
}

/// The outcome of a choice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamPick {
    /// Send there.
    Send(UpstreamId),
    /// Wait.
    Wait(WaitCause),
}

/// What a choice takes into account beside the request.
#[derive(Clone, Debug)]
pub struct PickContext<'a> {
    /// The service's rule.
    pub service: &'a ServiceRule,
    /// The gateway's own domain.
    pub domain: &'a DomainId,
    /// Tells whether a domain is evacuated.
    pub evacuated: &'a [DomainId],
    /// Domains with their regions, sorted.
    pub regions: &'a [(DomainId, SmolStr)],
    /// Upstreams that the request was sent to before.
    pub tried: &'a [UpstreamId],
    /// The gateway's name.
    pub own: &'a str,
    /// Names of all gateways.
    pub members: &'a [SmolStr],
    /// The limit on cold upstreams.
    pub cold: SlowStartLimit,
}

/// What another gateway tells of upstreams.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpstreamUpdate {
    /// Upstreams that came, changed or went.
    pub entries: Vec<(UpstreamId, Option<UpstreamEntry>)>,
    /// Store version of the telling gateway's knowledge.
    pub version: u64,
    /// True when the entries are all that there are.
    pub fresh: bool,
}

/// All known upstreams, sorted by id.
#[derive(Clone, Debug, Default)]
pub struct UpstreamRegistry {
    upstreams: Vec<KnownUpstream>,
    notices: NoticeBook,
    /// Starts whose entries went lately, and when.
    gone: Vec<(UpstreamStart, ClockTime)>,
}

impl UpstreamRegistry {
    /// An empty book.
    pub fn new() -> Self {
        Self::default()
    }

    fn find(&self, id: &UpstreamId) -> Result<usize, usize> {
        self.upstreams.binary_search_by(|upstream| upstream.entry.id.cmp(id))
    }

    /// All upstreams.
    pub fn all(&self) -> &[KnownUpstream] {
        &self.upstreams
    }

    /// The upstream of that id.
    pub fn get(&self, id: &UpstreamId) -> Option<&KnownUpstream> {
        self.upstreams.get(self.find(id).ok()?)
    }

    /// The upstream of that id, to take note of a call.
    pub fn get_mut(&mut self, id: &UpstreamId) -> Option<&mut KnownUpstream> {
        let at = self.find(id).ok()?;
        self.upstreams.get_mut(at)
    }

    /// The start of an upstream that a request sent now should reach.
    pub fn start_of(&self, id: &UpstreamId) -> Option<UpstreamStart> {
        let entry = &self.get(id)?.entry;
        Some(UpstreamStart { id: entry.id.clone(), born: entry.born })
    }

    /// What upstreams have said of themselves to this gateway.
    pub fn notices(&self) -> &NoticeBook {
        &self.notices
    }

    /// Takes what an answer of an upstream said of it. Of a known upstream only the start in its entry counts: which of two
    /// starts is the later one is for the store to say, whose entries are in order, and not for the upstream's clock.
    pub fn note(&mut self, start: &UpstreamStart, notice: AnswerNotice, now: ClockTime) {
        if let Some(known) = self.get(&start.id) {
            if known.entry.born != start.born {
                return;
            }
            self.notices.forget_others(start);
        }
        self.notices.note(start, notice, now);
    }

    /// True when the upstream is known and may get something new at this moment, be it a request or an order.
    pub fn accepts(&self, id: &UpstreamId, evacuated: &[DomainId], now: ClockTime) -> bool {
        let entry = self.get(id).map(|known| &known.entry);
        entry.is_some_and(|entry| !self.is_closed(entry, evacuated) && self.notices.away_ms(entry, now) == 0)
    }

    /// True when an upstream leaves or its domain is evacuated.
    pub fn is_closed(&self, entry: &UpstreamEntry, evacuated: &[DomainId]) -> bool {
        entry.draining || self.notices.leaves(entry) || evacuated.contains(&entry.domain)
    }

    /// The entries as other gateways are to see them.
    pub fn published_entries(&self) -> impl Iterator<Item = UpstreamEntry> {
        self.upstreams.iter().map(|known| {
            let entry = known.entry.without_copies();
            let draining = entry.draining || self.notices.leaves(&entry);
            UpstreamEntry { draining, ..entry }
        })
    }

    /// Takes a new or newer entry; true when the upstream was not known.
    pub fn put(&mut self, entry: UpstreamEntry, now: ClockTime) -> bool {
        match self.find(&entry.id) {
            Ok(at) => {
                if let Some(known) = self.upstreams.get_mut(at) {
                    known.update(entry, now);
                }
                false
            }
            Err(at) => {
                self.upstreams.insert(at, KnownUpstream::new(entry, now));
                true
            }
        }
    }

    /// An entry is gone. With `hold`, it may have lapsed with the store and stays in use for a while.
    pub fn remove(&mut self, id: &UpstreamId, hold: bool, now: ClockTime) {
        let Ok(at) = self.find(id) else { return };
        if hold {
            if let Some(known) = self.upstreams.get_mut(at) {
                known.removed_at = known.removed_at.or(Some(now));
            }
        } else {
            let entry = self.upstreams.remove(at).entry;
            self.went(UpstreamStart { id: entry.id, born: entry.born }, now);
        }
    }

    fn went(&mut self, start: UpstreamStart, now: ClockTime) {
        self.gone.retain(|(_, at)| now.since_ms(*at) < GONE_MS);
        self.gone.push((start, now));
    }

    /// The store has come back from an older copy, in which upstreams that leave or have gone may be ready: these starts
    /// stay out of use.
    pub fn exclude_departed(&mut self, now: ClockTime) {
        let leaving = self.upstreams.iter().filter(|known| known.entry.draining);
        let leaving =
            leaving.map(|known| UpstreamStart { id: known.entry.id.clone(), born: known.entry.born });
        let lately = self.gone.iter().filter(|(_, at)| now.since_ms(*at) < GONE_MS);
        let gone = lately.map(|(start, _)| start.clone());
        // An entry that lapsed may have come back.
        let gone = gone.filter(|start| self.start_of(&start.id).as_ref() != Some(start));
        let left: Vec<UpstreamStart> = leaving.chain(gone).collect();
        for start in left {
            self.notices.note(&start, AnswerNotice { leaving: true, away_ms: None }, now);
        }
    }

    /// Takes another gateway's word on upstreams. What is known here from a later store version stays; `own_version` is
    /// the one up to which this book knows all upstreams.
    pub fn take_news(&mut self, news: UpstreamUpdate, own_version: u64, now: ClockTime) {
        let UpstreamUpdate { entries, version, fresh } = news;
        let newer = |known: &KnownUpstream| known.seen_version > version;
        let mut gone: Vec<UpstreamId> = Vec::new();
        if fresh {
            let named = |known: &&KnownUpstream| entries.iter().any(|(id, _)| *id == known.entry.id);
            let unnamed = self.upstreams.iter().filter(|known| !newer(known) && !named(known));
            gone.extend(unnamed.map(|known| known.entry.id.clone()));
        }
        for (id, entry) in entries {
            match entry {
                // One that is not in a book of a later version has been removed.
                Some(_) if version < own_version && self.get(&id).is_none() => {}
                Some(entry) => {
                    self.put(entry, now);
                }
                None => gone.extend(self.get(&id).is_some_and(|known| !newer(known)).then_some(id)),
            }
        }
        for id in gone {
            self.remove(&id, false, now);
        }
    }

    /// Upstreams whose entries vanished with the store's trouble, with the time in ms since.
    pub fn held(&self, now: ClockTime) -> Vec<(UpstreamId, u64)> {
        let held = |known: &KnownUpstream| Some((known.entry.id.clone(), now.since_ms(known.removed_at?)));
        self.upstreams.iter().filter_map(held).collect()
    }

    /// Takes another gateway's word, given at `version`, on which entries have vanished. Without it a process that starts
    /// with that gateway's copy would go on using upstreams that have left.
    pub fn apply_held(&mut self, held: &[(UpstreamId, u64)], version: u64, now: ClockTime) {
        for (id, since_ms) in held {
            if let Some(known) = self.get_mut(id).filter(|known| known.seen_version <= version) {
                known.removed_at = known.removed_at.or(Some(now.minus_ms(*since_ms)));
            }
        }
    }

    /// Forgets entries whose hold is over: it ends some time after the store's trouble, when entries that lapsed with it
    /// are back. An entry that goes later than that has not lapsed.
    pub fn expire(&mut self, trouble_until: Option<ClockTime>, now: ClockTime) -> Vec<UpstreamId> {
        let over = |known: &KnownUpstream| {
            let since = known.removed_at.map(|at| trouble_until.unwrap_or(at));
            since.is_some_and(|at| now.since_ms(at) >= LAPSE_HOLD_MS)
        };
        let gone =
            self.upstreams.iter().filter(|known| over(known)).map(|known| known.entry.id.clone()).collect();
        self.upstreams.retain(|known| !over(known));
        gone
    }

    /// The upstreams of a domain may have become cold.
    pub fn mark_warming_up(&mut self, domain: &DomainId, services: &[ServiceRule], now: ClockTime) {
        for known in self.upstreams.iter_mut().filter(|known| known.entry.domain == *domain) {
            let rule = services.iter().find(|rule| rule.name == known.entry.service);
            let cold_ms = rule.map_or(0, |rule| rule.cold_ms);
            known.cold_until = known.cold_until.max(now.plus_ms(cold_ms));
        }
    }

    /// Takes the leader's word on the adapters of an upstream.
    pub fn set_adapters(&mut self, id: &UpstreamId, names: Vec<AdapterName>) {
        if let Some(known) = self.get_mut(id) {
            known.adapters = names;
        }
    }

    /// Takes the leader's word on what holds, or is going to hold, what requests wait for.
    pub fn apply_places(&mut self, places: Vec<PlaceLine>, arrivals: &[ArrivalLine], now: ClockTime) {
        for PlaceLine { upstream, model, adapter, calls } in places {
            if let Some(known) = self.get_mut(&upstream) {
                known.others = calls;
                known.told_place(ModelNeed { model, adapter }, now, now);
            }
        }
        for line in arrivals.iter().filter(|line| line.begun) {
            if let Some(known) = self.get_mut(&line.upstream) {
                let need = ModelNeed { model: line.model.clone(), adapter: None };
                known.told_place(need, now.plus_ms(line.wait_ms + ARRIVAL_MARGIN_MS), now);
            }
        }
    }

    /// Time in ms until the next upstream should hold what a request needs, as the leader said.
    pub fn next_place_ms(&self, need: &RequestNeed, now: ClockTime) -> Option<u64> {
        let need = need.model.as_ref()?;
        self.upstreams.iter().filter_map(|known| known.place_due(need, now)).map(|at| at.since_ms(now)).min()
    }

    /// Takes the leader's word, given at a store version, on upstreams that leave or have left.
    pub fn mark_left(&mut self, ids: &[UpstreamId], version: u64) {
        for id in ids {
            if let Some(known) = self.get_mut(id).filter(|known| known.seen_version <= version) {
                known.entry.draining = true;
            }
        }
    }

    /// Takes the other gateways' calls, and the models that are about to be unloaded, from the leader's answer. Both are
    /// sorted by upstream.
    pub fn told(&mut self, running: &[(UpstreamId, u32)], leaving: &[(UpstreamId, ModelId)]) {
        for known in &mut self.upstreams {
            let id = &known.entry.id;
            let line = running.binary_search_by(|(upstream, _)| upstream.cmp(id)).ok();
            known.others = line.and_then(|at| running.get(at)).map_or(0, |(_, count)| *count);
            let first = leaving.partition_point(|(upstream, _)| upstream < id);
            let own = leaving.get(first..).unwrap_or_default().iter();
            let own = own.take_while(|(upstream, _)| upstream == id);
            known.leaving.clear();
            known.leaving.extend(own.map(|(_, model)| model.clone()));
        }
    }

    /// Chooses an upstream for a request.
    pub fn pick(&self, need: &RequestNeed, scope: &PickContext<'_>, now: ClockTime) -> UpstreamPick {
        let mut cause = WaitCause::NoUpstream;
        let mut best: Option<(f64, &KnownUpstream)> = None;
        let preferred = self.preferred(need, scope, now);
        for known in &self.upstreams {
            match self.barrier(known, need, scope, now) {
                Some(barrier) => cause = nearer(cause, barrier),
                None => {
                    let cost = cost(known, need, scope, preferred);
                    let cheaper = best.is_none_or(|(least, _)| cost < least);
                    if cheaper {
                        best = Some((cost, known));
                    }
                }
            }
        }
        match best {
            Some((_, known)) => UpstreamPick::Send(known.entry.id.clone()),
            None => UpstreamPick::Wait(cause),
        }
    }

    /// The engine that the session's requests prefer, among those that hold the model.
    fn preferred(&self, need: &RequestNeed, scope: &PickContext<'_>, now: ClockTime) -> u64 {
        let holders =
            self.upstreams.iter().filter(|known| self.usable(known, need, scope) && holds(known, need, now));
        let ranked = holders.max_by_key(|known| pair_weight(need.affinity, known.hash));
        ranked.map_or(0, |known| known.hash)
    }

    fn barrier(
        &self,
        known: &KnownUpstream,
        need: &RequestNeed,
        scope: &PickContext<'_>,
        now: ClockTime,
    ) -> Option<WaitCause> {
        if !self.usable(known, need, scope) {
            return Some(WaitCause::NoUpstream);
        }
        if !holds(known, need, now) {
            let base = need.model.as_ref().is_some_and(|model| known.holds(&base_of(model), now));
            return Some(if base { WaitCause::NoAdapter } else { WaitCause::NoModel });
        }
        if !known.is_sound(now) {
            return Some(WaitCause::Unsound);
        }
        let away_ms = self.notices.away_ms(&known.entry, now);
        if away_ms > 0 {
            return Some(WaitCause::Away(away_ms));
        }
        if known.is_warming_up(now) && scope.service.cold_per_s > 0.0 {
            let rank = rank_of(known.hash, scope.own, scope.members);
            let members = scope.members.len().max(1);
            match known.slow_start_gate.wait_ms(scope.cold, scope.service.cold_per_s, rank, members, now) {
                Some(0) => {}
                Some(wait_ms) => return Some(WaitCause::Cold(wait_ms)),
                None => return Some(WaitCause::Cold(known.cold_until.since_ms(now))),
            }
        }
        (known.total() >= most_calls(known, scope.service)).then_some(WaitCause::Full)
    }

    fn usable(&self, known: &KnownUpstream, need: &RequestNeed, scope: &PickContext<'_>) -> bool {
        let entry = &known.entry;
        if entry.service != need.service || self.is_closed(entry, scope.evacuated) {
            return false;
        }
        if need.regions.is_empty() {
            return true;
        }
        let region = scope.regions.iter().find(|(domain, _)| *domain == entry.domain);
        region.is_some_and(|(_, region)| need.regions.contains(region))
    }
}

/// The model of a need without its adapter.
fn base_of(need: &ModelNeed) -> ModelNeed {
    ModelNeed { model: need.model.clone(), adapter: None }
}

fn holds(known: &KnownUpstream, need: &RequestNeed, now: ClockTime) -> bool {
    need.model.as_ref().is_none_or(|model| known.holds(model, now))
}

/// Most calls of the fleet that an upstream gets.
fn most_calls(known: &KnownUpstream, service: &ServiceRule) -> u32 {
    match &service.engine {
        Some(engine) => {
            let by_memory = u32::try_from(engine.kv_tokens / TYPICAL_TOKENS).unwrap_or(u32::MAX);
            known.entry.slots.min(by_memory).max(1)
        }
        None => known.entry.slots + QUEUE_SLACK,
    }
}

fn cost(known: &KnownUpstream, need: &RequestNeed, scope: &PickContext<'_>, preferred: u64) -> f64 {
    let tried = if scope.tried.contains(&known.entry.id) { TRIED_WEIGHT } else { 0.0 };
    let domain = if known.entry.domain == *scope.domain { 0.0 } else { DOMAIN_WEIGHT };
    let failure = FAILURE_WEIGHT * known.failure_share;
    let spread = (pair_weight(need.affinity, known.hash) >> 40) as f64 / (1u64 << 24) as f64;
    let calls = f64::from(known.total());
    match &scope.service.engine {
        Some(_) => {
            let session = if known.hash == preferred { 0.0 } else { SESSION_WEIGHT };
            calls + domain + failure + session + spread + tried
        }
        None => {
            let latency = if known.latency_ms > 0.0 { known.latency_ms } else { FIRST_LATENCY_MS };
            (calls + 1.0 + failure + spread + tried) * latency
        }
    }
}

/// The cause that is nearer to being served.
fn nearer(left: WaitCause, right: WaitCause) -> WaitCause {
    let rank = |cause: &WaitCause| match cause {
        WaitCause::NoUpstream => 0,
        WaitCause::NoModel => 1,
        WaitCause::NoAdapter => 2,
        WaitCause::Unsound => 3,
        WaitCause::Away(_) => 4,
        WaitCause::Cold(_) => 5,
        WaitCause::Full => 6,
        WaitCause::Unproven => 7,
    };
    match (left, right) {
        (WaitCause::Cold(left), WaitCause::Cold(right)) => WaitCause::Cold(left.min(right)),
        (WaitCause::Away(left), WaitCause::Away(right)) => WaitCause::Away(left.min(right)),
        (left, right) if rank(&right) > rank(&left) => right,
        (left, _) => left,
    }
}
