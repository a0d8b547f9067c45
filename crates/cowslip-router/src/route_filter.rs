//! Determines the action of a request, and checks that its team may use the route.

use std::sync::Arc;

use cowslip_config::{FleetSheet, RouteRow, RouteTarget};
use cowslip_routing::ErrorResponse;
use cowslip_units::{ErrorKind, ModelId, ReportId, RouteId, TeamId};
use http::Method;

use crate::model_request::ModelEndpoint;
use crate::team_filter::key_missing;
use crate::{
    ModelRequest, RequestAction, RequestContext, RequestFilter, RouteMatch, RouterCore, RouterState,
};

/// Resolves path and method to an action and a route.
#[derive(Clone, Copy, Debug, Default)]
pub struct RouteFilter;

impl RequestFilter for RouteFilter {
    async fn apply(&self, core: &Arc<RouterCore>, context: &mut RequestContext) -> Result<(), ErrorResponse> {
        let path = context.uri.path().to_owned();
        let action = match path.as_str() {
            "/v1/chat/completions" => {
                require_method(&context.method, &Method::POST)?;
                RequestAction::Model(ModelRequest::from_body(ModelEndpoint::Chat, &context.body)?)
            }
            "/v1/completions" => {
                require_method(&context.method, &Method::POST)?;
                RequestAction::Model(ModelRequest::from_body(ModelEndpoint::Completion, &context.body)?)
            }
            "/v1/models" => {
                require_method(&context.method, &Method::GET)?;
                RequestAction::ListModels
            }
            "/v1/reports" => {
                require_method(&context.method, &Method::POST)?;
                require_team(context)?;
                RequestAction::NewReport(ModelRequest::from_report(&context.body)?)
            }
            _ => match path.strip_prefix("/v1/reports/") {
                Some(id) => report_action(context, id)?,
                None => RequestAction::Service,
            },
        };
        let state = core.state();
        let team = context.team.as_ref();
        context.matched = Some(match action {
            RequestAction::Model(model_request) => {
                match_model(&state, team, model_request.model.clone(), RequestAction::Model(model_request))?
            }
            RequestAction::NewReport(model_request) => match_model(
                &state,
                team,
                model_request.model.clone(),
                RequestAction::NewReport(model_request),
            )?,
            RequestAction::Service => match_service(&state, team, &context.method, &path)?,
            other => RouteMatch {
                route: RouteId::default(),
                action: other,
                idempotent: true,
                deadline_ms: 10_000,
                cost: 0,
            },
        });
        Ok(())
    }
}

fn require_method(method: &Method, accepted: &Method) -> Result<(), ErrorResponse> {
    if method == accepted {
        return Ok(());
    }
    let message = format!("the path accepts {accepted} only");
    Err(ErrorResponse::new(ErrorKind::MethodNotAllowed, &message))
}

fn require_team(context: &RequestContext) -> Result<(), ErrorResponse> {
    if context.team.is_some() { Ok(()) } else { Err(key_missing()) }
}

fn report_action(context: &RequestContext, id: &str) -> Result<RequestAction, ErrorResponse> {
    require_team(context)?;
    let unknown =
        |_| ErrorResponse::new(ErrorKind::ReportNotFound, "no report of that id belongs to the team");
    // Report ids may contain a slash, but here it would let the path address other rows.
    let id = if id.contains('/') { "" } else { id };
    let report = ReportId::new(id).map_err(unknown)?;
    match context.method {
        Method::GET => Ok(RequestAction::FetchReport(report)),
        Method::DELETE => Ok(RequestAction::CancelReport(report)),
        _ => Err(ErrorResponse::new(ErrorKind::MethodNotAllowed, "the path accepts GET and DELETE only")),
    }
}

fn match_model(
    state: &RouterState,
    team: Option<&TeamId>,
    model: ModelId,
    action: RequestAction,
) -> Result<RouteMatch, ErrorResponse> {
    let sheet = &state.sheet;
    let declared = sheet.model(&model).is_some() || sheet.adapter(&model).is_some();
    let Some(row) = state.allowed_route(team, &model).and_then(|route| state.route(&route)) else {
        if team.is_none() {
            return Err(key_missing());
        }
        if !declared {
            let message = format!("no model or adapter is named {model}");
            return Err(ErrorResponse::new(ErrorKind::ModelNotFound, &message));
        }
        let message = format!("no route of the team reaches {model}");
        return Err(ErrorResponse::new(ErrorKind::RouteForbidden, &message));
    };
    let cost = match &action {
        RequestAction::Model(model_request) | RequestAction::NewReport(model_request) if !row.open => {
            model_request.cost()
        }
        _ => 0,
    };
    Ok(RouteMatch { route: row.route.clone(), action, idempotent: true, deadline_ms: row.deadline_ms, cost })
}

fn match_service(
    state: &RouterState,
    team: Option<&TeamId>,
    method: &Method,
    path: &str,
) -> Result<RouteMatch, ErrorResponse> {
    if !is_plain_path(path) {
        let message = "the path has a segment . or .. or an encoded slash";
        return Err(ErrorResponse::new(ErrorKind::BadRequest, message));
    }
    let Some(row) = service_route(&state.sheet, path) else {
        return Err(ErrorResponse::new(ErrorKind::RouteNotFound, "no route has that path"));
    };
    if !row.open {
        let team = team.ok_or_else(key_missing)?;
        if row.teams.binary_search(team).is_err() {
            return Err(ErrorResponse::new(ErrorKind::RouteForbidden, "the team does not reach that path"));
        }
    }
    if !row.methods.iter().any(|accepted| accepted == method.as_str()) {
        let accepted: Vec<&str> = row.methods.iter().map(smol_str::SmolStr::as_str).collect();
        let message = format!("the path accepts {} only", accepted.join(", "));
        return Err(ErrorResponse::new(ErrorKind::MethodNotAllowed, &message));
    }
    Ok(RouteMatch {
        route: row.route.clone(),
        action: RequestAction::Service,
        idempotent: row.idempotent,
        deadline_ms: row.deadline_ms,
        cost: if row.open { 0 } else { row.call_tokens.get() },
    })
}

/// Finds the service route with the longest path prefix that matches `path`.
pub(crate) fn service_route<'a>(sheet: &'a FleetSheet, path: &str) -> Option<&'a RouteRow> {
    let matches_path = |row: &&RouteRow| {
        let prefix = row.path.trim_end_matches('/');
        let rest = path.strip_prefix(prefix);
        matches!(row.target, RouteTarget::Services(_))
            && rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    };
    sheet.routes.iter().filter(matches_path).max_by_key(|row| row.path.len())
}

/// False for a path that a service might normalise to a different path, and thus to a different route.
fn is_plain_path(path: &str) -> bool {
    path.split('/').all(|segment| {
        let lower = segment.to_ascii_lowercase();
        let encoded_slash = lower.contains("%2f") || lower.contains("%5c") || lower.contains('\\');
        let decoded_dots = lower.replace("%2e", ".");
        !encoded_slash && decoded_dots != "." && decoded_dots != ".."
    })
}
