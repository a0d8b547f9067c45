//! Sizes of messages and rows that do not grow with the fleet.

use cowslip_fleet::{ClaimRow, ClaimState, LeaseHolder, LeaseRow, ReportRow, ReportState, VersionRow};
use cowslip_messages::{
    ConfirmReply, DemandReport, FleetChange, PermitGrant, PermitRequest, PermitReturn, PushReply,
    TableVersion, TokenGrant, TokenRequest, TokenSettlement,
};
use cowslip_units::{AttemptId, FencingToken, TokenCount, ViewVersion};
use smol_str::SmolStr;

use crate::view_slopes::record;
use crate::{CountRow, FleetGenerator, PlannerFixture, RunPlan, json_bytes};

/// Sizes of single messages and rows as JSON, without RPC framing.
pub(crate) fn message_counts(plan: &RunPlan) -> Vec<CountRow> {
    let mut generator = plan.generator();
    let member = generator.member(17);
    let own = member.incarnation.clone();
    let (team, upstream) = (FleetGenerator::team(3), FleetGenerator::upstream(4_711));
    let version = ViewVersion::new(20_000);
    let digest = generator.digest();
    let attempt = AttemptId::new(&digest.as_str()[..32]).unwrap_or_default();
    let key = FleetChange::KeyGiven { digest: digest.clone(), team: team.clone() };
    let lease = LeaseRow {
        holder: Some(LeaseHolder { vm: member.vm.clone(), incarnation: own.clone() }),
        epoch: FencingToken::new(7),
        renewals: 100_000,
        members: 0,
        earlier_ms: 0,
    };
    let claim = ClaimRow {
        attempt: attempt.clone(),
        owner: own.clone(),
        request_digest: SmolStr::new(digest.as_str()),
        state: ClaimState::Dispatching,
    };
    let report = ReportRow {
        team: team.clone(),
        model: FleetGenerator::model(7),
        body: SmolStr::new(format!("report/{}", digest.as_str())),
        owner: Some(own.clone()),
        attempt,
        state: ReportState::Accepted,
        ended_upstreams: Vec::new(),
    };
    let tokens = TokenRequest {
        borrower: own.clone(),
        team,
        sequence: 100_000,
        amount: TokenCount::new(700),
        settled: vec![TokenSettlement { sequence: 99_999 }],
        version,
    };
    let permit =
        PermitRequest { borrower: own.clone(), upstream: upstream.clone(), sequence: 100_000, version };
    let back = PermitReturn { borrower: own.clone(), upstream, sequence: 100_000 };
    let burst = DemandReport {
        incarnation: own.clone(),
        sequence: 100_000,
        table: TableVersion { epoch: FencingToken::new(7), count: 100_000 },
        models: vec![PlannerFixture::waiting(FleetGenerator::model(7), 100)],
    };
    let size = |name, bytes| CountRow::new(name, bytes, "bytes", "serialised as JSON by serde_json");
    vec![
        size("bytes.key_change", json_bytes(&record(20_000, key))),
        size("bytes.head_row", json_bytes(&VersionRow { version })),
        size("bytes.lease_row", json_bytes(&lease)),
        size("bytes.claim_row", json_bytes(&claim)),
        size("bytes.report_row", json_bytes(&report)),
        size(
            "bytes.confirm_reply",
            json_bytes(&ConfirmReply { incarnation: own.clone(), version, age_ms: Some(812) }),
        ),
        size("bytes.push_reply", json_bytes(&PushReply { incarnation: own, version })),
        size("bytes.token_request", json_bytes(&tokens)),
        size(
            "bytes.token_grant",
            json_bytes(&TokenGrant { granted: TokenCount::new(700), left: TokenCount::new(3_800) }),
        ),
        size("bytes.permit_request", json_bytes(&permit)),
        size("bytes.permit_grant", json_bytes(&PermitGrant { granted: true, left: 3 })),
        size("bytes.permit_return", json_bytes(&back)),
        size("bytes.demand_of_one", json_bytes(&burst)),
    ]
}
