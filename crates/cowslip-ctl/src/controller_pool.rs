//! Calls to the controllers, with failover and redirects to the leader.

use std::collections::VecDeque;
use std::error::Error;
use std::io;
use std::net::SocketAddr;

use cowslip_messages::OperatorFault;
use cowslip_rpc::{connect, fault_from_error};
use cowslip_units::ErrorKind;
use jsonrpsee::core::ClientError;
use jsonrpsee::http_client::HttpClient;

use crate::command_failure::CommandFailure;

/// Limit of redirects in one call. During a change of leader, controllers may redirect to each other in turn.
const MAX_REDIRECTS: u32 = 4;

/// The configured controllers, in the order in which they are tried.
#[derive(Clone, Debug)]
pub(crate) struct ControllerPool {
    controllers: Vec<SocketAddr>,
    timeout_ms: u64,
}

/// Classification of a failed attempt.
enum AttemptFailure {
    /// Rejected; any other controller would reject the call too.
    Rejected(OperatorFault),
    /// Rejected by this controller; another one may accept the call.
    TryNext(OperatorFault),
    /// The call was not sent.
    NotSent(String),
    /// The call may have been executed.
    InDoubt(String),
}

impl ControllerPool {
    /// Creates a pool of `controllers`; a call without an answer is in doubt after `timeout_ms`.
    pub(crate) fn new(controllers: Vec<SocketAddr>, timeout_ms: u64) -> Self {
        Self { controllers, timeout_ms }
    }

    /// Sends a call to one controller after the other until one answers it.
    ///
    /// `send` must send the same call, with the same change id, each time: a call in doubt is repeated at the
    /// next controller, and once more at every controller after all have been tried. `change_id` is included
    /// in the error if the call remains in doubt; it is `None` for calls that change nothing.
    pub(crate) async fn call<T, F>(&self, change_id: Option<&str>, send: F) -> Result<T, CommandFailure>
    where
        F: AsyncFn(&HttpClient) -> Result<T, ClientError>,
    {
        let mut pending_addrs: VecDeque<SocketAddr> = self.controllers.iter().copied().collect();
        let mut attempts = Vec::new();
        let (mut rejection, mut in_doubt, mut is_repeated, mut redirects) = (None, false, false, 0);
        loop {
            let Some(addr) = pending_addrs.pop_front() else {
                if in_doubt && !is_repeated {
                    is_repeated = true;
                    pending_addrs.extend(&self.controllers);
                    continue;
                }
                break;
            };
            let client = match connect(addr, self.timeout_ms) {
                Ok(client) => client,
                Err(error) => {
                    attempts.push((addr.to_string(), error.to_string()));
                    continue;
                }
            };
            let error = match send(&client).await {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            match classify(&error) {
                AttemptFailure::Rejected(fault) => return Err(CommandFailure::Rejected(fault)),
                AttemptFailure::TryNext(fault) => {
                    attempts.push((addr.to_string(), fault.kind.to_string()));
                    let leader = fault.leader.as_ref().and_then(|leader| leader.parse().ok());
                    if let Some(leader) = leader.filter(|_| redirects < MAX_REDIRECTS) {
                        redirects += 1;
                        pending_addrs.retain(|addr| *addr != leader);
                        pending_addrs.push_front(leader);
                    }
                    rejection = Some(fault);
                }
                AttemptFailure::NotSent(reason) => attempts.push((addr.to_string(), reason)),
                AttemptFailure::InDoubt(reason) => {
                    attempts.push((addr.to_string(), reason));
                    in_doubt = true;
                }
            }
        }
        match rejection {
            Some(fault) if !in_doubt => Err(CommandFailure::Rejected(fault)),
            _ => {
                let in_doubt = change_id.filter(|_| in_doubt).map(str::to_owned);
                Err(CommandFailure::Unreachable { attempts, in_doubt })
            }
        }
    }
}

fn classify(error: &ClientError) -> AttemptFailure {
    if let Some(fault) = fault_from_error(error) {
        return match fault.kind {
            ErrorKind::NotLeader
            | ErrorKind::StoreUnavailable
            | ErrorKind::ViewStale
            | ErrorKind::Draining => AttemptFailure::TryNext(fault),
            ErrorKind::OutcomeUnknown | ErrorKind::Internal => {
                AttemptFailure::InDoubt(format!("{}: {}", fault.kind, fault.messages.join("; ")))
            }
            _ => AttemptFailure::Rejected(fault),
        };
    }
    match error {
        ClientError::Transport(source) if is_refused(source.as_ref()) => {
            AttemptFailure::NotSent("connection refused".to_owned())
        }
        other => AttemptFailure::InDoubt(other.to_string()),
    }
}

/// True if the connection was refused, so that nothing was sent.
fn is_refused(error: &(dyn Error + 'static)) -> bool {
    let mut next = Some(error);
    while let Some(error) = next {
        if let Some(error) = error.downcast_ref::<io::Error>()
            && error.kind() == io::ErrorKind::ConnectionRefused
        {
            return true;
        }
        next = error.source();
    }
    false
}
