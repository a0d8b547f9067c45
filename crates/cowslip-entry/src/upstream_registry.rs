//! Registry of the upstreams of one gateway. `upstream_pick` chooses among them.

use cowslip_units::{ClockTime, DomainId, ModelId, ServiceId, UpstreamId};

use crate::{
    AdapterName, AnswerNotice, ArrivalLine, FirstEventModel, KnownUpstream, ModelNames, ModelNeed,
    ModelsLine, NoticeTable, PaceLine, PlaceLine, PlaceSenders, RequestNeed, ServiceRule, UpstreamEntry,
    UpstreamStart, WorkLine,
};

/// Time in ms after a store outage for which entries that expired in it stay in use.
pub const EXPIRY_HOLD_MS: u64 = 2_500;

/// Time in ms for which departed upstreams are remembered: longer than the age of any copy of the store.
const DEPARTED_RETENTION_MS: u64 = 60_000;

/// Time in ms added to the expected end of a load before requests are sent there: the engine refuses a
/// request that arrives before the end.
const ARRIVAL_MARGIN_MS: u64 = 40;

/// An update about upstreams from another gateway.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpstreamUpdate {
    /// Upstreams that were added, changed or removed (`None`).
    pub entries: Vec<(UpstreamId, Option<UpstreamEntry>)>,
    /// Upstreams of which only the models changed.
    pub models: Vec<ModelsLine>,
    /// Store version of the sending gateway's view.
    pub version: u64,
    /// True for a full snapshot, false for a delta.
    pub fresh: bool,
}

/// All known upstreams, sorted by id.
#[derive(Clone, Debug, Default)]
pub struct UpstreamRegistry {
    upstreams: Vec<KnownUpstream>,
    notices: NoticeTable,
    /// Incarnations whose entries were removed recently, with the time of removal.
    departed: Vec<(UpstreamStart, ClockTime)>,
    /// Date of the leader's newest figures of the other gateways' calls.
    leader_load_at: ClockTime,
    place_senders: PlaceSenders,
    /// Time to the first event by self-paced service, sorted.
    first_events: Vec<(ServiceId, FirstEventModel)>,
}

impl UpstreamRegistry {
    /// An empty registry.
    pub fn new() -> Self {
        Self::default()
    }

    fn find(&self, id: &UpstreamId) -> Result<usize, usize> {
        self.upstreams.binary_search_by(|upstream| upstream.entry.id.cmp(id))
    }

    /// All upstreams, sorted by id.
    pub fn all(&self) -> &[KnownUpstream] {
        &self.upstreams
    }

    /// Finds an upstream by its id.
    pub fn get(&self, id: &UpstreamId) -> Option<&KnownUpstream> {
        self.upstreams.get(self.find(id).ok()?)
    }

    /// Finds an upstream by its id, to record calls.
    pub fn get_mut(&mut self, id: &UpstreamId) -> Option<&mut KnownUpstream> {
        let at = self.find(id).ok()?;
        self.upstreams.get_mut(at)
    }

    /// The incarnation that a request sent now should reach.
    pub fn start_of(&self, id: &UpstreamId) -> Option<UpstreamStart> {
        let entry = &self.get(id)?.entry;
        Some(UpstreamStart { id: entry.id.clone(), born: entry.born })
    }

    /// Notices of upstreams to this gateway.
    pub fn notices(&self) -> &NoticeTable {
        &self.notices
    }

    /// Records the notice in an answer of an upstream. For a known upstream, only the incarnation in its
    /// entry counts: which of two incarnations is the later one follows from the order of entries in the
    /// store, not from the upstream's clock.
    pub fn record_notice(&mut self, start: &UpstreamStart, notice: AnswerNotice, now: ClockTime) {
        if let Some(known) = self.get(&start.id) {
            if known.entry.born != start.born {
                return;
            }
            self.notices.drop_others(start);
        }
        self.notices.record_notice(start, notice, now);
    }

    /// True when the upstream is known and may get a new request or order at this moment.
    pub fn can_accept(&self, id: &UpstreamId, evacuated: &[DomainId], now: ClockTime) -> bool {
        let entry = self.get(id).map(|known| &known.entry);
        entry
            .is_some_and(|entry| !self.is_closed(entry, evacuated) && self.notices.paused_ms(entry, now) == 0)
    }

    /// True when an upstream is leaving or its failure domain is evacuated.
    pub fn is_closed(&self, entry: &UpstreamEntry, evacuated: &[DomainId]) -> bool {
        self.is_leaving(entry) || evacuated.contains(&entry.domain)
    }

    /// True when an upstream is leaving, by its entry or by its own word to this gateway.
    pub(crate) fn is_leaving(&self, entry: &UpstreamEntry) -> bool {
        entry.draining || self.notices.is_leaving(entry)
    }

    /// The entries as they are sent to other gateways.
    pub fn published_entries(&self) -> impl Iterator<Item = UpstreamEntry> {
        self.upstreams.iter().map(|known| {
            let draining = self.is_leaving(&known.entry);
            UpstreamEntry { draining, ..known.entry.without_copies() }
        })
    }

    /// Adds or updates an entry; true when the upstream was not known.
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

    /// Removes an entry. With `hold`, the entry may have expired in a store outage and stays in use for some
    /// time.
    pub fn remove(&mut self, id: &UpstreamId, hold: bool, now: ClockTime) {
        let Ok(at) = self.find(id) else { return };
        if hold {
            if let Some(known) = self.upstreams.get_mut(at) {
                known.removed_at = known.removed_at.or(Some(now));
            }
        } else {
            let entry = self.upstreams.remove(at).entry;
            self.record_departure(UpstreamStart { id: entry.id, born: entry.born }, now);
        }
    }

    fn record_departure(&mut self, start: UpstreamStart, now: ClockTime) {
        self.departed.retain(|(_, at)| now.since_ms(*at) < DEPARTED_RETENTION_MS);
        self.departed.push((start, now));
    }

    /// Marks upstreams that are leaving or have departed as leaving, because the store was restored from an
    /// older backup in which they may be ready.
    pub fn exclude_departed(&mut self, now: ClockTime) {
        let leaving = self.upstreams.iter().filter(|known| known.entry.draining);
        let leaving =
            leaving.map(|known| UpstreamStart { id: known.entry.id.clone(), born: known.entry.born });
        let recent = self.departed.iter().filter(|(_, at)| now.since_ms(*at) < DEPARTED_RETENTION_MS);
        let departed = recent.map(|(start, _)| start.clone());
        // An entry that expired may have come back.
        let departed = departed.filter(|start| self.start_of(&start.id).as_ref() != Some(start));
        let excluded: Vec<UpstreamStart> = leaving.chain(departed).collect();
        for start in excluded {
            self.notices.record_notice(&start, AnswerNotice { leaving: true, paused_ms: None }, now);
        }
    }

    /// Applies an update of another gateway. Entries read here at a later store version are kept;
    /// `own_version` is the one up to which this registry is complete.
    pub fn apply_update(&mut self, update: UpstreamUpdate, own_version: u64, now: ClockTime) {
        let UpstreamUpdate { entries, models, version, fresh } = update;
        let newer = |known: &KnownUpstream| known.seen_version > version;
        let mut removed: Vec<UpstreamId> = Vec::new();
        if fresh {
            let is_listed = |known: &&KnownUpstream| entries.iter().any(|(id, _)| *id == known.entry.id);
            let unlisted = self.upstreams.iter().filter(|known| !newer(known) && !is_listed(known));
            removed.extend(unlisted.map(|known| known.entry.id.clone()));
        }
        for (id, entry) in entries {
            match entry {
                // An upstream that is missing in a registry of a later version has been removed.
                Some(_) if version < own_version && self.get(&id).is_none() => {}
                Some(entry) => {
                    self.put(entry, now);
                }
                None => removed.extend(self.get(&id).is_some_and(|known| !newer(known)).then_some(id)),
            }
        }
        for id in removed {
            self.remove(&id, false, now);
        }
        for line in models {
            if let Some(known) = self.get_mut(&line.upstream) {
                let models = line.models.into_iter().map(|ModelNames(held)| held).collect();
                known.update_models(models, line.version);
            }
        }
    }

    /// Upstreams whose entries disappeared during a store outage, with the time in ms since.
    pub fn held(&self, now: ClockTime) -> Vec<(UpstreamId, u64)> {
        let held = |known: &KnownUpstream| Some((known.entry.id.clone(), now.since_ms(known.removed_at?)));
        self.upstreams.iter().filter_map(held).collect()
    }

    /// Applies another gateway's list, made at `version`, of entries that have disappeared. Without it, a
    /// process that starts with a copy of that gateway's view would keep sending to upstreams that have left.
    pub fn apply_held(&mut self, held: &[(UpstreamId, u64)], version: u64, now: ClockTime) {
        for (id, since_ms) in held {
            if let Some(known) = self.get_mut(id).filter(|known| known.seen_version <= version) {
                known.removed_at = known.removed_at.or(Some(now.minus_ms(*since_ms)));
            }
        }
    }

    /// Removes entries whose hold has ended, some time after the end of the outage, when entries that expired
    /// in it are back. An entry that disappears later than that has not expired in the outage.
    pub fn expire(&mut self, outage_until: Option<ClockTime>, now: ClockTime) -> Vec<UpstreamId> {
        let has_ended = |known: &KnownUpstream| {
            let since = known.removed_at.map(|at| outage_until.unwrap_or(at));
            since.is_some_and(|at| now.since_ms(at) >= EXPIRY_HOLD_MS)
        };
        let expired = self
            .upstreams
            .iter()
            .filter(|known| has_ended(known))
            .map(|known| known.entry.id.clone())
            .collect();
        self.upstreams.retain(|known| !has_ended(known));
        expired
    }

    /// Begins the slow start of all upstreams in a domain, because they may need to warm up again.
    pub fn mark_warming_up(&mut self, domain: &DomainId, services: &[ServiceRule], now: ClockTime) {
        for known in self.upstreams.iter_mut().filter(|known| known.entry.domain == *domain) {
            let rule = services.iter().find(|rule| rule.name == known.entry.service);
            let cold_ms = rule.map_or(0, |rule| rule.cold_ms);
            known.warming_until = known.warming_until.max(now.plus_ms(cold_ms));
        }
    }

    /// Applies the leader's list of the adapters that an upstream holds.
    pub fn set_adapters(&mut self, id: &UpstreamId, names: Vec<AdapterName>) {
        if let Some(known) = self.get_mut(id) {
            known.adapters = names;
        }
    }

    /// Applies the leader's answer on where the models that requests wait for are held or being loaded.
    pub fn apply_places(&mut self, places: Vec<PlaceLine>, arrivals: &[ArrivalLine], now: ClockTime) {
        for PlaceLine { upstream, model, adapter, calls } in places {
            if let Some(known) = self.get_mut(&upstream) {
                known.other_calls = calls;
                known.announce_place(ModelNeed { model, adapter }, now, now);
            }
        }
        for line in arrivals.iter().filter(|line| line.begun) {
            if let Some(known) = self.get_mut(&line.upstream) {
                let need = ModelNeed { model: line.model.clone(), adapter: None };
                known.announce_place(need, now.plus_ms(line.wait_ms + ARRIVAL_MARGIN_MS), now);
            }
        }
    }

    /// Time in ms until the next announced load of what a request needs should end; `None` when none is
    /// announced.
    pub fn next_place_ms(&self, need: &RequestNeed, now: ClockTime) -> Option<u64> {
        let need = need.model.as_ref()?;
        self.upstreams
            .iter()
            .filter_map(|known| known.place_due_at(need, now))
            .map(|at| at.since_ms(now))
            .min()
    }

    /// Marks upstreams as leaving that are leaving or have left according to the leader's view at `version`.
    pub fn mark_left(&mut self, ids: &[UpstreamId], version: u64) {
        for id in ids {
            if let Some(known) = self.get_mut(id).filter(|known| known.seen_version <= version) {
                known.entry.draining = true;
            }
        }
    }

    /// Calls of the whole fleet in flight at an upstream, by the newest figures.
    pub fn newest_total(&self, id: &UpstreamId) -> Option<u32> {
        Some(self.get(id)?.newest_total(self.leader_load_at))
    }

    /// Gateways that may use one free place of an engine at the same time.
    pub(crate) fn place_senders(&self) -> PlaceSenders {
        self.place_senders
    }

    /// Time to the first event at the engines of a service.
    pub(crate) fn first_event_model(&self, service: &ServiceId) -> FirstEventModel {
        let found = self.first_events.binary_search_by(|(name, _)| name.cmp(service)).ok();
        found.and_then(|at| self.first_events.get(at)).map_or_else(Default::default, |(_, model)| *model)
    }

    /// Records an answer of an upstream that began after `observed_ms`, to a prompt of `tokens`.
    pub fn record_first_event(
        &mut self,
        id: &UpstreamId,
        service: &ServiceRule,
        tokens: u64,
        observed_ms: u64,
        now: ClockTime,
    ) {
        let leader_at = self.leader_load_at;
        let mut model = self.first_event_model(&service.name);
        let Some(known) = self.get_mut(id) else { return };
        let observed_ms = observed_ms as f64;
        if !service.is_self_paced() {
            let expected_ms = known.latency_ms * known.work.speed.current(now) / known.work.speed.lasting();
            known.work.record_first_event(observed_ms, expected_ms, known.entry.slots, now);
            return;
        }
        let (calls, slots) = (known.newest_total(leader_at), known.entry.slots);
        let speed = known.work.speed.current(now);
        let expected_ms = model.expected_ms(tokens as f64, speed, calls, slots);
        known.work.record_first_event(observed_ms, expected_ms, slots, now);
        model.record(observed_ms, tokens as f64, speed, calls, slots);
        match self.first_events.binary_search_by(|(name, _)| name.cmp(&service.name)) {
            Ok(at) => self.first_events[at].1 = model,
            Err(at) => self.first_events.insert(at, (service.name.clone(), model)),
        }
    }

    /// Applies the leader's windows and speeds. A line on an earlier start of an upstream is ignored.
    pub fn apply_paces(&mut self, lines: &[PaceLine]) {
        for line in lines {
            if let Some(known) = self.get_mut(&line.upstream).filter(|known| known.entry.born == line.born) {
                known.work.apply_pace(line);
            }
        }
    }

    /// Work at the upstreams that `is_paced` holds for, for a report; counts of answers begin anew.
    pub fn take_work(&mut self, is_paced: impl Fn(&KnownUpstream) -> bool) -> Vec<WorkLine> {
        let paced = self.upstreams.iter_mut().filter(|known| is_paced(known));
        paced.filter_map(|known| known.work.take_line(&known.entry.id, known.entry.born)).collect()
    }

    /// Date of the leader's newest figures of the other gateways' calls.
    pub(crate) fn leader_load_at(&self) -> ClockTime {
        self.leader_load_at
    }

    /// Applies the tokens of the other gateways' calls from a leader's answer, whose figures are dated `at`. The
    /// lines are sorted by upstream.
    pub fn apply_tokens(&mut self, tokens: &[(UpstreamId, u64)], at: ClockTime) {
        self.leader_load_at = at;
        for known in &mut self.upstreams {
            let line = tokens.binary_search_by(|(upstream, _)| upstream.cmp(&known.entry.id)).ok();
            known.work.other_tokens = line.and_then(|at| tokens.get(at)).map_or(0, |(_, count)| *count);
            // The leader may not have got the answers that this gateway has cut its window for.
            known.work.pace.probe(known.entry.slots, at);
        }
        let engines = self.upstreams.iter().filter(|known| known.entry.slots > 0);
        self.place_senders.adapt(engines.map(|known| (known.total(), known.entry.slots)));
    }

    /// Applies the calls of the other gateways, and the models that are about to be unloaded, from the
    /// leader's answer. Both lists are sorted by upstream.
    pub fn apply_load(&mut self, running: &[(UpstreamId, u32)], leaving: &[(UpstreamId, ModelId)]) {
        for known in &mut self.upstreams {
            let id = &known.entry.id;
            let line = running.binary_search_by(|(upstream, _)| upstream.cmp(id)).ok();
            known.other_calls = line.and_then(|at| running.get(at)).map_or(0, |(_, count)| *count);
            let first = leaving.partition_point(|(upstream, _)| upstream < id);
            let of_upstream = leaving.get(first..).unwrap_or_default().iter();
            let of_upstream = of_upstream.take_while(|(upstream, _)| upstream == id);
            known.leaving.clear();
            known.leaving.extend(of_upstream.map(|(_, model)| model.clone()));
        }
    }
}
