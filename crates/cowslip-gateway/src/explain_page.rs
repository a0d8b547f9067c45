//! Where a request would be sent now, and why: a read-only page on the address of readiness and metrics.
//!
//! The page takes the decisions of the request path with the same functions, on a copy of what they change. It sends
//! nothing, reserves nothing, counts nothing, and neither takes nor shows a key: a team is given by its name. Prompt
//! parts are not given, so that whether the request is quarantined is not decided; the page says how many parts are.

use std::borrow::Cow;
use std::sync::Arc;

use cowslip_adapter::CallerHeaders;
use cowslip_entry::{
    FleetConfig, ModelNeed, PickContext, PickLine, ReserveOutcome, TeamRule, TokenNeed, TokenQuota,
    UpstreamPick, WaitLimit, standalone_after_ms, text_hash,
};
use cowslip_units::{ClockTime, ModelId, ServiceId, TeamId};
use http::header::{CONTENT_TYPE, HeaderMap};
use http::{HeaderValue, Method, Response, StatusCode};
use serde_json::{Value, json};
use smol_str::SmolStr;

use crate::dispatch::request_need;
use crate::gateway::Gateway;
use crate::request_context::{AdmittedRequest, CallerTeam, RequestContext, admit_caller};
use crate::request_flow::{is_bulk, route_kind_name};
use crate::request_rejection::RequestRejection;
use crate::response_body::ResponseBody;
use crate::upstream_choice::is_unknown_model;

/// Path of the page.
pub(crate) const EXPLAIN_PATH: &str = "/explain";

/// Longest query in bytes.
const MAX_QUERY_BYTES: usize = 4_096;

/// A request to be explained.
#[derive(Clone, Debug, Default)]
struct ExplainQuery {
    host: SmolStr,
    path: SmolStr,
    model: Option<ModelId>,
    adapter: Option<SmolStr>,
    tokens: Option<u64>,
    team: Option<TeamId>,
    session: SmolStr,
    attempt: SmolStr,
}

impl ExplainQuery {
    fn parse(query: &str) -> Result<Self, String> {
        if query.len() > MAX_QUERY_BYTES {
            return Err(format!("the query is longer than {MAX_QUERY_BYTES} bytes"));
        }
        let mut parsed = Self::default();
        for (name, value) in form_urlencoded::parse(query.as_bytes()) {
            parsed.set(&name, value)?;
        }
        if parsed.host.is_empty() || !parsed.path.starts_with('/') {
            return Err("host and a path that begins with / are required".to_owned());
        }
        if parsed.adapter.is_some() && parsed.model.is_none() {
            return Err("an adapter needs its model".to_owned());
        }
        Ok(parsed)
    }

    fn set(&mut self, name: &str, value: Cow<'_, str>) -> Result<(), String> {
        let text = SmolStr::new(&value);
        match name {
            "host" => self.host = SmolStr::new(text.split(':').next().unwrap_or_default().to_lowercase()),
            "path" => self.path = SmolStr::new(text.split('?').next().unwrap_or_default()),
            "model" => self.model = Some(ModelId::new(&text).map_err(|error| error.to_string())?),
            "adapter" => self.adapter = Some(text),
            "tokens" => self.tokens = Some(text.parse().map_err(|_| "tokens is not a number".to_owned())?),
            "team" => self.team = Some(TeamId::new(&text).map_err(|error| error.to_string())?),
            "session" => self.session = text,
            "attempt" => self.attempt = text,
            // The value is not repeated: it may be a key.
            _ => {
                return Err("unknown parameter; known: host path model adapter tokens team session attempt"
                    .to_owned());
            }
        }
        Ok(())
    }

    /// The request as the request path knows it, without body and headers.
    fn context(&self, now: ClockTime) -> RequestContext {
        let model = self.model.clone().map(|model| ModelNeed { model, adapter: self.adapter.clone() });
        RequestContext {
            method: Method::POST,
            path: self.path.clone(),
            target: self.path.clone(),
            host: self.host.clone(),
            headers: HeaderMap::new(),
            body: bytes::Bytes::new(),
            caller: CallerHeaders {
                attempt: self.attempt.clone(),
                model,
                tokens: self.tokens,
                session: self.session.clone(),
                ..CallerHeaders::default()
            },
            crash_parts: Vec::new(),
            arrived_at: now,
            is_counted: Arc::default(),
        }
    }
}

/// The page for a query.
pub(crate) fn explain_response(gateway: &Gateway, query: &str) -> Response<ResponseBody> {
    let (status, page) = match ExplainQuery::parse(query) {
        Ok(query) => (StatusCode::OK, explain(gateway, &query)),
        Err(error) => (StatusCode::BAD_REQUEST, json!({ "error": error })),
    };
    let mut response = Response::new(ResponseBody::buffered(page.to_string()));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn explain(gateway: &Gateway, query: &ExplainQuery) -> Value {
    let now = gateway.now();
    let context = query.context(now);
    let mut page = json!({ "gateway": gateway.settings.name.as_str(), "inputs": inputs(gateway, now) });
    let team = CallerTeam::Name(query.team.as_ref());
    let admitted = match admit_caller(gateway, &context.host, &context.path, team) {
        Ok(admitted) => admitted,
        Err(rejection) => {
            page["decision"] = rejected(&rejection);
            return page;
        }
    };
    page["route"] = route(&admitted);
    page["tokens"] = tokens(gateway, &context, &admitted, now);
    let attempt_hash = text_hash(&context.caller.attempt);
    let Some(service) = admitted.route.target(attempt_hash).cloned() else {
        page["decision"] = json!({ "kind": "reject", "reason": "the route has no service" });
        return page;
    };
    page["service"] = json!(service.as_str());
    let is_short = page["tokens"]["outcome"].as_str().is_some_and(|outcome| outcome != "enough");
    page["decision"] = pick(gateway, &context, &admitted, service, attempt_hash, &mut page, now);
    if is_short {
        page["decision"]["after"] = json!("the team's tokens");
    }
    page
}

/// Ages of what the decisions rely on.
fn inputs(gateway: &Gateway, now: ClockTime) -> Value {
    let state = gateway.lock();
    let freshness = state.freshness(now);
    json!({
        "config_version": state.config_version(),
        "view_age_ms": freshness.age_ms,
        "upstream_version": freshness.upstream_version,
        "upstream_age_ms": freshness.upstream_age_ms,
        "upstreams_usable": state.upstream_freshness.is_usable(gateway.settings.drain_ms, now),
        "leader_answer_age_ms": state.last_leader_contact.map(|at| now.since_ms(at)),
        "leads": state.lead.is_some(),
        "members": state.member_count(),
        "waiting": state.waiting.all().len(),
        "quarantined_parts": state.quarantined_parts.len(),
        "evacuated": state.evacuated.iter().map(|domain| domain.as_str()).collect::<Vec<_>>(),
    })
}

fn route(admitted: &AdmittedRequest) -> Value {
    let route = &admitted.route;
    let target = |target: &cowslip_entry::RouteTarget| json!({ "service": target.service.as_str(), "weight": target.weight });
    json!({
        "name": route.name.as_str(),
        "kind": route_kind_name(route.kind),
        "open": route.open,
        "objective_ms": route.objective_ms,
        "attempts": route.max_attempts,
        "priority": admitted.priority(),
        "targets": route.targets.iter().map(target).collect::<Vec<_>>(),
    })
}

fn rejected(rejection: &RequestRejection) -> Value {
    let answer = rejection.kind.answer();
    json!({
        "kind": "reject",
        "reason": rejection.kind.as_str(),
        "status": answer.status,
        "retry_after_ms": rejection.retry_after_ms,
    })
}

/// Whether the team's tokens here are enough; decided on a copy.
fn tokens(gateway: &Gateway, context: &RequestContext, admitted: &AdmittedRequest, now: ClockTime) -> Value {
    let Some(team) = &admitted.team else { return json!({ "team": null }) };
    let charge = team.charge(context.caller.tokens);
    if !team.is_limited() || gateway.settings.rate_bound.is_none() {
        return json!({ "team": team.name.as_str(), "charge": charge, "limited": false });
    }
    let (mut quota, tight_ms, rejected_ms, is_standalone) = known_quota(gateway, team, now);
    let bulk = is_bulk(&admitted.route, team, charge);
    let need = TokenNeed { charge, bulk, asked: false, is_standalone, tight: tight_ms > 0 };
    let left = quota.remaining(now);
    let (outcome, short) = match quota.take(&need, now) {
        ReserveOutcome::Taken => ("enough", 0),
        ReserveOutcome::HeldBack => ("held_back", 0),
        ReserveOutcome::Short(short) => ("short", short),
    };
    json!({
        "team": team.name.as_str(),
        "limited": true,
        "charge": charge,
        "left": left,
        "outcome": outcome,
        "short": short,
        "bulk": bulk,
        "tight_ms": tight_ms,
        "rejected_ms": rejected_ms,
        "standalone": is_standalone,
    })
}

/// A copy of the team's quota, and the times in ms for which it is low and for which the leader has refused it.
fn known_quota(gateway: &Gateway, team: &TeamRule, now: ClockTime) -> (TokenQuota, u64, u64, bool) {
    let state = gateway.lock();
    let standalone_ms = standalone_after_ms(state.member_count());
    let is_standalone = state.last_leader_contact.is_none_or(|at| now.since_ms(at) >= standalone_ms);
    let at = state.tokens.binary_search_by(|tokens| tokens.team.cmp(&team.name));
    match at.ok().and_then(|at| state.tokens.get(at)) {
        Some(tokens) => {
            let (tight_ms, rejected_ms) =
                (tokens.low_quota_until.since_ms(now), tokens.rejected_until.since_ms(now));
            (tokens.quota.clone(), tight_ms, rejected_ms, is_standalone)
        }
        None => (TokenQuota::new(now), 0, 0, is_standalone),
    }
}

/// The choice of an upstream, with what each upstream of the service contributes to it.
fn pick(
    gateway: &Gateway,
    context: &RequestContext,
    admitted: &AdmittedRequest,
    service: ServiceId,
    attempt_hash: u64,
    page: &mut Value,
    now: ClockTime,
) -> Value {
    let config: &FleetConfig = &admitted.config;
    let Some(rule) = config.service(&service) else {
        return json!({ "kind": "reject", "reason": "the service is not configured" });
    };
    let need = request_need(gateway, context, admitted, service, attempt_hash);
    if is_unknown_model(rule, &need) {
        return json!({ "kind": "reject", "reason": "the service does not have the model" });
    }
    let settings = &gateway.settings;
    let state = gateway.lock();
    let pick_context = PickContext {
        service: rule,
        domain: &settings.domain,
        evacuated: &state.evacuated,
        regions: &settings.regions,
        tried: &[],
        own_name: &settings.name,
        members: &state.members,
        slow_start_limit: settings.slow_start_limit,
    };
    let lines = state.upstreams.explain_pick(&need, &pick_context, now);
    page["upstreams"] = lines.iter().map(|line| upstream_line(line, now)).collect();
    match state.pick(settings, rule, &need, &[], now) {
        UpstreamPick::Send(upstream) => json!({ "kind": "send", "upstream": upstream.as_str() }),
        UpstreamPick::Wait(cause) => {
            let limit = WaitLimit::new(&admitted.route, None, now);
            let load_ms = need.model.as_ref().and_then(|need| state.loads.eta_ms(&need.model, false, now));
            json!({
                "kind": "wait",
                "cause": format!("{cause:?}"),
                "load_ms": load_ms,
                "rejected_after_ms": limit.reject_at().since_ms(now),
            })
        }
    }
}

fn upstream_line(line: &PickLine<'_>, now: ClockTime) -> Value {
    let known = line.upstream;
    json!({
        "upstream": known.entry.id.as_str(),
        "domain": known.entry.domain.as_str(),
        "cost": line.cost,
        "cause": line.cause.map(|cause| format!("{cause:?}")),
        "running_here": known.running,
        "running_elsewhere": known.other_calls,
        "slots": known.entry.slots,
        "draining": known.entry.draining,
        "warming_up_ms": known.warming_until.since_ms(now),
        "latency_ms": known.latency_ms,
        "failure_share": known.failure_share,
        "models": known.entry.models.iter().map(|held| held.name.as_str()).collect::<Vec<_>>(),
        "entry_version": known.entry.version,
    })
}
