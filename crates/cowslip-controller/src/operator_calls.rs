//! Changes by operators: authorise, validate, commit, propagate.

use bytes::Bytes;
use cowslip_config::{FleetSheet, sheet_digest};
use cowslip_fleet::{CommitProtocol, sheet_key};
use cowslip_messages::{ApplyRequest, ChangeOutcome, FleetChange, KeyRequest, OperatorFault, SwitchRequest};
use cowslip_platform::EngineOrders;
use cowslip_units::{ChangeId, ClockTime, DomainId, ErrorKind, KeyDigest, TeamId, UpstreamId, ViewVersion};
use sha2::{Digest, Sha256};
use smol_str::SmolStr;

use crate::change_commit::{CommitOutcome, CommitRight};
use crate::change_propagation::PropagationGoal;
use crate::controller_state::LoadedSheet;
use crate::operator_fault::{fault, refused_change};
use crate::{ControllerCore, PlatformServices};

/// Attempts to store the object of a sheet.
const PUT_ATTEMPTS: u32 = 3;
/// Delay in ms between two attempts.
const PUT_RETRY_MS: u64 = 100;

impl<P: PlatformServices, E: EngineOrders> ControllerCore<P, E> {
    /// Verifies the operators' token.
    fn check_token(&self, token: &str) -> Result<(), OperatorFault> {
        // Compares digests, so that the duration of the comparison reveals nothing about the token.
        if Sha256::digest(token) == Sha256::digest(self.settings.operator_token.as_str()) {
            return Ok(());
        }
        self.metrics.count("operators_refused", 1);
        Err(fault(ErrorKind::OperatorUnknown, "the operators' token is wrong"))
    }

    /// Validates a sheet, stores it and puts it in force.
    pub(crate) async fn apply_sheet(&self, request: ApplyRequest) -> Result<ChangeOutcome, OperatorFault> {
        self.check_token(&request.token)?;
        let change_id = change_id(&request.change_id)?;
        let sheet = FleetSheet::from_csv(&request.text).map_err(|faults| OperatorFault {
            kind: ErrorKind::SheetInvalid,
            messages: faults.iter().map(ToString::to_string).collect(),
            leader: None,
        })?;
        let digest = sheet_digest(&request.text);
        self.put_sheet(&digest, &request.text).await?;
        let change = FleetChange::SheetApplied { digest: digest.clone() };
        let protocol = CommitProtocol::new(change_id, request.author.clone(), change).with_base(request.base);
        let outcome = self.make_change(protocol, &request.author).await;
        let now = self.now();
        let mut state = self.lock();
        let in_force = state.view.sheet_ref().map(|sheet| sheet.digest.clone());
        let loaded = state.sheet.as_ref().map(|loaded| loaded.digest.clone());
        if in_force.as_ref() == Some(&digest) && loaded != in_force {
            state.set_sheet(LoadedSheet { digest, text: request.text, sheet }, now);
            drop(state);
            self.planner_wake.notify_one();
        }
        outcome
    }

    /// Stores the object of a sheet, before any change refers to it.
    async fn put_sheet(&self, digest: &str, text: &str) -> Result<(), OperatorFault> {
        let mut last = String::new();
        for _ in 0..PUT_ATTEMPTS {
            match self.platform.put(&sheet_key(digest), Bytes::from(text.to_owned())).await {
                Ok(()) => return Ok(()),
                Err(error) => last = error.to_string(),
            }
            self.clock.sleep_ms(PUT_RETRY_MS).await;
        }
        Err(fault(
            ErrorKind::StoreUnavailable,
            format!("the sheet was not stored and nothing was applied: {last}"),
        ))
    }

    /// Gives a key to a team, or withdraws it if `give` is false.
    pub(crate) async fn change_key(
        &self,
        request: KeyRequest,
        give: bool,
    ) -> Result<ChangeOutcome, OperatorFault> {
        self.check_token(&request.token)?;
        let change_id = change_id(&request.change_id)?;
        let digest: KeyDigest =
            request.digest.parse().map_err(|error| fault(ErrorKind::BadRequest, format!("{error}")))?;
        let change = match (give, request.team) {
            (true, Some(team)) => {
                // Another controller may have just applied the sheet that declares the team.
                self.refresh_view().await;
                self.check_team(&team)?;
                FleetChange::KeyGiven { digest, team }
            }
            (true, None) => return Err(fault(ErrorKind::BadRequest, "no team is named")),
            (false, _) => FleetChange::KeyWithdrawn { digest },
        };
        self.make_change(CommitProtocol::new(change_id, request.author.clone(), change), &request.author)
            .await
    }

    /// Takes a failure domain out of service, or returns it to service.
    pub(crate) async fn switch_domain(&self, request: SwitchRequest) -> Result<ChangeOutcome, OperatorFault> {
        self.check_token(&request.token)?;
        let change_id = change_id(&request.change_id)?;
        let domain =
            DomainId::new(&request.name).map_err(|error| fault(ErrorKind::BadRequest, error.to_string()))?;
        self.refresh_view().await;
        let declared = {
            let state = self.lock();
            state.sheet.as_ref().is_some_and(|loaded| loaded.sheet.domain(&domain).is_some())
                || state.view.is_domain_out(&domain)
        };
        if !declared {
            let message = format!("no failure domain {domain} is declared in the sheet in force");
            return Err(fault(ErrorKind::BadRequest, message));
        }
        let change = FleetChange::DomainSwitched { domain, out: request.out };
        self.make_change(CommitProtocol::new(change_id, request.author.clone(), change), &request.author)
            .await
    }

    /// Takes an upstream out of service, or returns it to service.
    pub(crate) async fn switch_upstream(
        &self,
        request: SwitchRequest,
    ) -> Result<ChangeOutcome, OperatorFault> {
        self.check_token(&request.token)?;
        let change_id = change_id(&request.change_id)?;
        let upstream = UpstreamId::new(&request.name)
            .map_err(|error| fault(ErrorKind::BadRequest, error.to_string()))?;
        self.refresh_view().await;
        let declared = {
            let state = self.lock();
            state.sheet.as_ref().is_some_and(|loaded| loaded.sheet.upstream(&upstream).is_some())
                || state.view.is_upstream_out(&upstream)
        };
        if !declared {
            let message = format!("no upstream {upstream} is declared in the sheet in force");
            return Err(fault(ErrorKind::BadRequest, message));
        }
        let change = FleetChange::UpstreamSwitched { upstream, out: request.out };
        self.make_change(CommitProtocol::new(change_id, request.author.clone(), change), &request.author)
            .await
    }

    fn check_team(&self, team: &TeamId) -> Result<(), OperatorFault> {
        let state = self.lock();
        match &state.sheet {
            Some(loaded) if loaded.sheet.team(team).is_none() => {
                let message = format!("no team {team} is declared in the sheet in force");
                Err(fault(ErrorKind::BadRequest, message))
            }
            _ => Ok(()),
        }
    }

    /// Commits and propagates a change; the call succeeds only after a majority of the members has
    /// acknowledged it.
    async fn make_change(
        &self,
        protocol: CommitProtocol,
        author: &str,
    ) -> Result<ChangeOutcome, OperatorFault> {
        let started = self.now();
        let outcome = self.commit_change(protocol, CommitRight::Anyone).await;
        let (version, changed) = match outcome {
            CommitOutcome::Done(version) => (version, true),
            CommitOutcome::Unchanged(version) => (version, false),
            CommitOutcome::Lost(version) => return Err(sheet_conflict(version)),
            CommitOutcome::Refused(refusal) => return Err(refused_change(refusal)),
            CommitOutcome::Fenced => return Err(fault(ErrorKind::Internal, "the change was fenced")),
            CommitOutcome::Unavailable { in_doubt } => {
                let message = if in_doubt {
                    "the store did not answer; the change may have been made. Repeat it with the same change id"
                } else {
                    "the store did not answer; the change was not made"
                };
                return Err(fault(ErrorKind::StoreUnavailable, message));
            }
        };
        let committed_at: ClockTime = self.now();
        slog::info!(self.logger, "change committed"; "version" => version.get(), "author" => author, "changed" => changed);
        let propagation = self.propagate_change(version, committed_at, PropagationGoal::Everywhere).await;
        let took_ms = self.now().since_ms(committed_at);
        self.metrics.time_ms("change_spread", self.now().since_ms(started));
        slog::info!(self.logger, "change spread"; "version" => version.get(), "accepted" => propagation.accepted,
            "everywhere" => propagation.everywhere, "pending" => propagation.pending.len(), "took_ms" => took_ms);
        if !propagation.accepted {
            let silent: Vec<&str> = propagation.pending.iter().map(|vm| vm.as_str()).collect();
            let message = format!(
                "committed as version {version}, but not accepted: no majority of the members acknowledged it \
                 (missing: {}). Repeat it with the same change id",
                silent.join(", ")
            );
            return Err(fault(ErrorKind::ViewStale, message));
        }
        Ok(ChangeOutcome {
            version,
            changed,
            everywhere: propagation.everywhere,
            pending: propagation.pending,
            took_ms,
        })
    }
}

fn change_id(text: &SmolStr) -> Result<ChangeId, OperatorFault> {
    ChangeId::new(text).map_err(|error| fault(ErrorKind::BadRequest, error.to_string()))
}

fn sheet_conflict(version: ViewVersion) -> OperatorFault {
    let message = format!(
        "this sheet lost: another sheet was applied as version {version} since the one that it was based on"
    );
    fault(ErrorKind::ChangeConflict, message)
}
