//! Applies changes to the view and propagates their effects.

use std::sync::Arc;

use cowslip_config::FleetSheet;
use cowslip_fleet::{ApplyOutcome, FleetView, sheet_key};
use cowslip_messages::{ChangeRecord, FetchReply, FleetChange, ViewSnapshot};
use cowslip_platform::ObjectStore;
use cowslip_routing::{ErrorResponse, QueueTicket};
use cowslip_runtime::sha256_hex;
use cowslip_units::{ClockTime, ErrorKind, InvariantName, KeyDigest, assert_invariant};
use smol_str::SmolStr;

use crate::{RouterCore, RouterState, WaitingCall};

/// Text and parsed content of a sheet.
#[derive(Clone, Debug)]
pub(crate) struct SheetText {
    digest: SmolStr,
    text: Arc<str>,
    sheet: Arc<FleetSheet>,
}

impl SheetText {
    /// Parses `text` if its digest matches; `None` if it does not or the sheet is invalid.
    pub(crate) fn read(digest: &SmolStr, text: &str) -> Option<Self> {
        if sha256_hex(text.as_bytes()) != digest.as_str() {
            return None;
        }
        let sheet = FleetSheet::from_csv(text).ok()?;
        Some(Self { digest: digest.clone(), text: Arc::from(text), sheet: Arc::new(sheet) })
    }
}

/// Reason why changes were not applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SyncFault {
    /// Earlier changes are missing.
    Gap,
    /// The text of the sheet could not be read.
    SheetUnavailable,
}

/// Applies changes in order. The text of a sheet is fetched before its change is applied, so that a confirmed
/// view always includes the sheet in force.
pub(crate) async fn apply_changes(
    core: &Arc<RouterCore>,
    changes: &[ChangeRecord],
    peer_text: Option<&str>,
) -> Result<(), SyncFault> {
    for record in changes {
        if record.version <= core.state().view.version() {
            continue;
        }
        let sheet = match &record.change {
            FleetChange::SheetApplied { digest } => Some(find_sheet(core, digest, peer_text).await?),
            _ => None,
        };
        let now = core.now();
        let mut state = core.state();
        match state.view.apply(record) {
            ApplyOutcome::Applied => apply_effects(&mut state, Some(&record.change), sheet, now),
            ApplyOutcome::AlreadyApplied => {}
            ApplyOutcome::Gap => return Err(SyncFault::Gap),
        }
        drop(state);
        slog::info!(core.logger, "change applied"; "version" => record.version.get(),
            "author" => record.author.as_str());
        core.signals.dispatch.notify_one();
    }
    Ok(())
}

/// Replaces the view with a snapshot if the snapshot is newer.
pub(crate) async fn apply_snapshot(
    core: &Arc<RouterCore>,
    snapshot: ViewSnapshot,
    peer_text: Option<&str>,
) -> Result<(), SyncFault> {
    if snapshot.version <= core.state().view.version() {
        return Ok(());
    }
    let sheet = match &snapshot.sheet {
        Some(sheet) => Some(find_sheet(core, &sheet.digest, peer_text).await?),
        None => None,
    };
    let now = core.now();
    let mut state = core.state();
    if state.view.adopt(snapshot) == ApplyOutcome::Applied {
        apply_effects(&mut state, None, sheet, now);
    }
    drop(state);
    core.signals.dispatch.notify_one();
    Ok(())
}

/// Applies a peer's reply to `view_fetch`.
pub(crate) async fn apply_fetched(core: &Arc<RouterCore>, reply: FetchReply) -> Result<(), SyncFault> {
    let peer_text = reply.sheet_text.as_deref();
    if let Some(snapshot) = reply.snapshot {
        apply_snapshot(core, snapshot, peer_text).await?;
    }
    apply_changes(core, &reply.changes, peer_text).await
}

async fn find_sheet(
    core: &Arc<RouterCore>,
    digest: &SmolStr,
    peer_text: Option<&str>,
) -> Result<SheetText, SyncFault> {
    {
        let state = core.state();
        if state.sheet_digest() == *digest {
            let (text, sheet) = (Arc::clone(&state.sheet_text), Arc::clone(&state.sheet));
            return Ok(SheetText { digest: digest.clone(), text, sheet });
        }
    }
    if let Some(sheet) = peer_text.and_then(|text| SheetText::read(digest, text)) {
        return Ok(sheet);
    }
    let text = core.platform.get(&sheet_key(digest)).await.ok().flatten();
    let read = text.and_then(|text| SheetText::read(digest, std::str::from_utf8(&text).ok()?));
    read.ok_or_else(|| {
        slog::warn!(core.logger, "the sheet in force cannot be read"; "digest" => digest.as_str());
        SyncFault::SheetUnavailable
    })
}

/// Applies all effects of a change under the same lock as the change itself.
fn apply_effects(
    state: &mut RouterState,
    change: Option<&FleetChange>,
    sheet: Option<SheetText>,
    now: ClockTime,
) {
    if let Some(sheet) = sheet
        && state.sheet_digest() == sheet.digest
    {
        state.sheet = sheet.sheet;
        state.sheet_text = sheet.text;
    }
    let affects_shares = change.is_none_or(|change| {
        matches!(change, FleetChange::SheetApplied { .. } | FleetChange::MembersSet { .. })
    });
    if affects_shares {
        let rows = Arc::clone(&state.sheet);
        state.shares.configure(&state.view, &rows.teams, now);
        state.permits.configure(&state.view, &rows.upstreams, now);
        let declared = |upstream: &cowslip_units::UpstreamId| rows.upstream(upstream).is_some();
        state.selector.retain(declared);
    }
    match change {
        Some(FleetChange::KeyWithdrawn { digest }) => cancel_key_requests(state, digest),
        Some(FleetChange::DomainSwitched { domain, out: false }) => {
            let rows = Arc::clone(&state.sheet);
            for row in rows.upstreams.iter().filter(|row| row.domain == *domain) {
                state.permits.mark_fresh(&row.upstream, now);
            }
        }
        Some(FleetChange::UpstreamSwitched { upstream, out: false }) => {
            state.permits.mark_fresh(upstream, now);
        }
        None => {
            // The snapshot may include withdrawals whose individual changes were skipped.
            let keys: Vec<_> = withdrawn_keys(&state.view);
            for digest in keys {
                cancel_key_requests(state, &digest);
            }
        }
        Some(_) => {}
    }
    if matches!(change, Some(FleetChange::KeyWithdrawn { .. }) | None) {
        assert_keys_given(state);
    }
    state.version_tracker.view_changed(&state.view);
    state.confirmation.view_changed(&state.view, now);
}

/// Asserts that no running or queued request has a key that is not valid in the view.
fn assert_keys_given(state: &RouterState) {
    let waiting = state.waiting.values().filter_map(|call| call.key.as_ref());
    let invalid_key = state.running.keys().chain(waiting).find(|digest| state.team_of(digest).is_err());
    assert_invariant(invalid_key.is_none(), InvariantName::KeyWithdrawn, || {
        format!("a request continues with a key that is not valid in version {}", state.view.version())
    });
}

/// Cancels running requests of a withdrawn key and rejects queued ones.
fn cancel_key_requests(state: &mut RouterState, digest: &KeyDigest) {
    state.running.cancel_key_requests(digest);
    let has_key = |call: &WaitingCall| call.key.as_ref() == Some(digest);
    let waiting = state.waiting.iter().filter(|(_, call)| has_key(call));
    let tickets: Vec<QueueTicket> = waiting.map(|(ticket, _)| *ticket).collect();
    for ticket in tickets {
        state.queue.leave(ticket);
        if let Some(call) = state.waiting.remove(&ticket) {
            // A closed receiver means that the request has already left the queue.
            let _ = call
                .permit_sender
                .send(Err(ErrorResponse::new(ErrorKind::KeyWithdrawn, "the key was withdrawn")));
        }
    }
}

fn withdrawn_keys(view: &FleetView) -> Vec<cowslip_units::KeyDigest> {
    let keys = view.to_snapshot().keys.into_iter();
    keys.filter(|key| key.state == cowslip_messages::KeyState::Withdrawn).map(|key| key.digest).collect()
}
