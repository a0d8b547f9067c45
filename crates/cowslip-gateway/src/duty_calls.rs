//! Singleton calls to the cloud API.
//!
//! A call needs a [`DutyPermit`], which keeps the gap to the calls of other leaders and the pace. Whether the lease still
//! allows the call is checked again when it is written. A call that is abandoned, also because the lead has ended,
//! resets its connection.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cowslip_adapter::{cloud_answer, cloud_request, keep_alive_s};
use cowslip_entry::{DutyAnswer, DutyCall, DutySubject};
use cowslip_units::{ClockTime, FencingToken};
use http::Request;
use http_body_util::Full;
use slog::{info, warn};
use tokio::time::timeout;

use crate::gateway::Gateway;
use crate::gateway_metrics::OutcomeLabels;
use crate::plan_task::order_deadline;
use crate::upstream_pool::SendFault;

/// Timeout in ms of a call.
const CALL_TIMEOUT_MS: u64 = 1_200;

/// Interval in ms between two checks whether the lead has ended.
const LEAD_CHECK_MS: u64 = 20;

/// Longest answer in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024;

/// Permission for one call of a subject, taken until dropped.
#[derive(Debug)]
pub(crate) struct DutyPermit {
    gateway: Arc<Gateway>,
    fence: FencingToken,
    subject: DutySubject,
    begun_at: ClockTime,
}

impl DutyPermit {
    /// Takes the permission, if this gateway leads with that fencing token and may call the subject now.
    pub(crate) fn take(gateway: &Arc<Gateway>, fence: FencingToken, subject: DutySubject) -> Option<Self> {
        order_deadline(gateway, fence)?;
        let begun_at = gateway.now();
        let mut state = gateway.lock();
        let lead = state.lead.as_mut().filter(|lead| lead.fence == fence)?;
        let has_begun = lead.duties.as_mut()?.begin(&subject, begun_at);
        drop(state);
        has_begun.then(|| Self { gateway: Arc::clone(gateway), fence, subject, begun_at })
    }

    /// Sends the call, logs and counts how it ended.
    pub(crate) async fn send(self, call: &DutyCall) -> DutyAnswer {
        let answer = tokio::select! {
            answer = timeout(Duration::from_millis(CALL_TIMEOUT_MS), self.transmit(call)) => {
                answer.unwrap_or(DutyAnswer::InDoubt)
            }
            () = self.lead_ended() => DutyAnswer::InDoubt,
        };
        let labels = OutcomeLabels { kind: self.subject.duty(), outcome: answer.as_str() };
        self.gateway.metrics.duty_calls.get_or_create(&labels).inc();
        self.log(call, answer);
        answer
    }

    async fn transmit(&self, call: &DutyCall) -> DutyAnswer {
        let gateway = &self.gateway;
        let Some((address, request)) = self.request(call) else { return DutyAnswer::Refused };
        let valid_until = || order_deadline(gateway, self.fence);
        match gateway.pool.send_order(address, request, valid_until).await {
            Ok((response, connection)) => {
                let status = response.status().as_u16();
                let keep_alive_s = keep_alive_s(response.headers());
                match gateway.answer_memory.read(response.into_body(), MAX_ANSWER_BYTES).await {
                    Ok(_) => {
                        gateway.pool.return_connection(connection, keep_alive_s);
                        self.log_unknown(status);
                        cloud_answer(status)
                    }
                    Err(fault) => {
                        warn!(gateway.logger, "duty_answer_unreadable"; "subject" => %self.subject,
                            "status" => status, "fault" => %fault);
                        DutyAnswer::InDoubt
                    }
                }
            }
            Err(fault) => {
                warn!(gateway.logger, "duty_answer_missing"; "subject" => %self.subject, "fault" => %fault);
                match fault {
                    SendFault::NotSent(_) | SendFault::Withheld => DutyAnswer::NotSent,
                    SendFault::Broken(_) => DutyAnswer::InDoubt,
                }
            }
        }
    }

    fn request(&self, call: &DutyCall) -> Option<(std::net::SocketAddr, Request<Full<Bytes>>)> {
        let settings = &self.gateway.settings;
        let address = settings.cloud.as_ref()?.address;
        match cloud_request(address, &settings.name, self.fence, call) {
            Ok(request) => Some((address, request.map(Full::new))),
            Err(error) => {
                warn!(self.gateway.logger, "duty_call_unwritable"; "subject" => %self.subject, "error" => %error);
                None
            }
        }
    }

    /// Returns when this gateway no longer leads with the call's fencing token, or when the time of the call is over on
    /// the clock that counts suspension.
    async fn lead_ended(&self) {
        let end_at = self.begun_at.plus_ms(CALL_TIMEOUT_MS);
        loop {
            self.gateway.clock.sleep_ms(LEAD_CHECK_MS).await;
            let leads = self.gateway.lock().lead.as_ref().is_some_and(|lead| lead.fence == self.fence);
            if !leads || self.gateway.now() >= end_at {
                return;
            }
        }
    }

    fn log_unknown(&self, status: u16) {
        if cloud_answer(status) == DutyAnswer::InDoubt {
            warn!(self.gateway.logger, "duty_answer_unreadable"; "subject" => %self.subject, "status" => status);
        }
    }

    fn log(&self, call: &DutyCall, answer: DutyAnswer) {
        let gateway = &self.gateway;
        let took_ms = gateway.now().since_ms(self.begun_at);
        let fence = self.fence.get();
        match (answer, call) {
            (DutyAnswer::Accepted, DutyCall::Usage { window, counts }) => {
                info!(gateway.logger, "usage_sent"; "window" => window.get(), "teams" => counts.len(),
                    "fence" => fence, "took_ms" => took_ms);
            }
            (DutyAnswer::Accepted, DutyCall::Scaling { service, domain, desired }) => {
                info!(gateway.logger, "scaling_sent"; "service" => %service, "domain" => %domain,
                    "desired" => desired, "fence" => fence, "took_ms" => took_ms);
            }
            (answer, _) => {
                warn!(gateway.logger, "duty_call_failed"; "subject" => %self.subject,
                    "answer" => answer.as_str(), "fence" => fence, "took_ms" => took_ms);
            }
        }
    }
}

impl Drop for DutyPermit {
    fn drop(&mut self) {
        let now = self.gateway.now();
        let mut state = self.gateway.lock();
        let lead = state.lead.as_mut().filter(|lead| lead.fence == self.fence);
        if let Some(gate) = lead.and_then(|lead| lead.duties.as_mut()) {
            gate.end(&self.subject, now);
        }
    }
}
