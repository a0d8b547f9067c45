//! Records the notices in response heads: that an upstream is leaving, or asks for a pause.

use cowslip_adapter::response_notice;
use cowslip_entry::{AnswerNotice, UpstreamStart, jittered_ms, pair_weight, text_hash};
use http::{HeaderMap, StatusCode};
use slog::info;

use crate::gateway::Gateway;
use crate::gateway_metrics::NoticeLabels;

/// Records the notice in a response head. `start` identifies the instance start that the request was sent to,
/// so that a slow response is not applied to a later start of the same upstream. `call` is the value for the
/// log's `request` field: the attempt id, or the kind of a control call.
pub(crate) fn record_notice(
    gateway: &Gateway,
    start: Option<&UpstreamStart>,
    status: StatusCode,
    headers: &HeaderMap,
    call: &str,
) {
    let received = response_notice(status, headers);
    let Some(start) = start.filter(|_| !received.is_empty()) else { return };
    let own = text_hash(&gateway.settings.name);
    let jitter_hash = pair_weight(own, text_hash(start.id.as_str()));
    // Each gateway resumes at a different time, so that they do not all return at once.
    let notice = AnswerNotice {
        paused_ms: received.paused_ms.map(|paused_ms| jittered_ms(paused_ms, jitter_hash)),
        ..received
    };
    gateway.lock().upstreams.record_notice(start, notice, gateway.now());
    if notice.leaving {
        gateway.metrics.notices.get_or_create(&NoticeLabels { kind: "leaving" }).inc();
    }
    if notice.paused_ms.is_some() {
        gateway.metrics.notices.get_or_create(&NoticeLabels { kind: "away" }).inc();
    }
    if gateway.may_log() {
        info!(gateway.logger, "upstream_notice"; "request" => call, "upstream" => %start.id, "born" => start.born,
            "status" => status.as_u16(), "leaving" => notice.leaving, "paused_ms" => notice.paused_ms);
    }
}
