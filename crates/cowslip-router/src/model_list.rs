//! `GET /v1/models`: the models available to a team.

use cowslip_config::RouteTarget;
use cowslip_units::{ModelId, TeamId};
use gotham::helpers::http::Body;
use http::{Response, StatusCode};
use serde_json::{Value, json};

use crate::RouterCore;
use crate::response_body::json_response;

/// Lists the models and adapters that the team's routes and the open routes include.
pub(crate) fn model_list(core: &RouterCore, team: Option<&TeamId>) -> Response<Body> {
    let now = core.now();
    let state = core.state();
    let mut names: Vec<&ModelId> = Vec::new();
    for row in &state.sheet.routes {
        let allowed = row.open || team.is_some_and(|team| row.teams.binary_search(team).is_ok());
        if let (true, RouteTarget::Models(models)) = (allowed, &row.target) {
            names.extend(models);
        }
    }
    names.sort();
    names.dedup();
    let entry = |name: &ModelId| -> Value {
        let base_model = state.sheet.adapter(name).map(|row| row.model.as_str());
        let loaded = state.placement.loaded(name).iter().any(|at| state.placement.is_loaded(name, at, now));
        json!({ "id": name.as_str(), "object": "model", "root": base_model, "loaded": loaded })
    };
    let data: Vec<Value> = names.into_iter().map(entry).collect();
    json_response(StatusCode::OK, json!({ "object": "list", "data": data }).to_string())
}
