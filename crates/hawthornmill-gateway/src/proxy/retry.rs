//! Whether a request that failed at one server goes to another.
//!
//! A request that reached no server may go on freely. One that a server refused, or that may have
//! run, takes from the fleet's budget of second sends; one that may have run must besides be allowed
//! to run again.

use hawthornmill::ident::ServerId;
use hawthornmill::routing::loads::ServerOutcome;
use serde_json::json;

use super::admission::Admitted;
use super::progress::RequestProgress;
use super::read::ClientRequest;
use super::send::ServerResponse;
use crate::event_log;
use crate::gateway::Gateway;

/// Servers that one request may fail to reach; each costs up to a connection's time.
const MAX_UNREACHABLE: u32 = 3;

/// What follows a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Another server gets the request.
    Retry,
    /// It has not run and is refused.
    Reject,
    /// It may have run and fails.
    Fail,
}

/// Tells whether a server's answer is a failure that another server might not give.
pub fn is_server_error(response: &ServerResponse) -> bool {
    response.head.status >= 500
}

/// Notes how a request to `server` ended.
pub fn record_verdict(gateway: &Gateway, server: ServerId, verdict: ServerOutcome) {
    let now = gateway.now();
    gateway
        .scheduler
        .borrow_mut()
        .loads
        .record_outcome(server, verdict, now);
}

/// Takes a second send for a request that may have run.
pub fn try_retry(gateway: &Gateway, admitted: &Admitted, progress: &mut RequestProgress) -> bool {
    admitted.repeat.allows_retry() && take_budget(gateway, admitted, progress)
}

/// Tells whether the request may go to another server after one that may have run it.
pub fn can_retry(admitted: &Admitted, progress: &RequestProgress) -> bool {
    admitted.repeat.allows_retry() && progress.sends < admitted.max_attempts
}

fn take_budget(gateway: &Gateway, admitted: &Admitted, progress: &mut RequestProgress) -> bool {
    if progress.sends >= admitted.max_attempts {
        return false;
    }
    let service = admitted.request.service;
    let taken = gateway
        .scheduler
        .borrow_mut()
        .retry_budget
        .try_acquire(service, gateway.now());
    if taken {
        gateway.metrics.request_resent(&admitted.service_name);
    }
    taken
}

/// What ends a request that no other server gets: only one that has not run may be called refused.
const fn final_decision(progress: &RequestProgress) -> RetryDecision {
    if progress.may_have_executed() {
        RetryDecision::Fail
    } else {
        RetryDecision::Reject
    }
}

/// The server could not be reached.
pub fn on_unreachable(
    gateway: &Gateway,
    request: &ClientRequest,
    progress: &mut RequestProgress,
    server: ServerId,
    why: &str,
) -> RetryDecision {
    let fields = json!({"server": gateway.server_name(server), "why": why});
    event_log::request_problem("server_unreached", &request.attempt_id, fields);
    gateway.pool.discard_idle(server);
    record_verdict(gateway, server, ServerOutcome::Unreachable);
    progress.unreachable += 1;
    if progress.unreachable <= MAX_UNREACHABLE {
        RetryDecision::Retry
    } else {
        final_decision(progress)
    }
}

/// The server says that it did not run the request.
pub fn on_not_executed(
    gateway: &Gateway,
    admitted: &Admitted,
    progress: &mut RequestProgress,
    server: ServerId,
    misdirected: bool,
) -> RetryDecision {
    if misdirected {
        gateway.pool.discard_idle(server);
        record_verdict(gateway, server, ServerOutcome::Unreachable);
    } else {
        record_verdict(gateway, server, ServerOutcome::Full);
    }
    progress.record_not_executed();
    if take_budget(gateway, admitted, progress) {
        RetryDecision::Retry
    } else {
        final_decision(progress)
    }
}

/// The server broke off, and may have run the request.
pub fn on_interrupted(
    gateway: &Gateway,
    admitted: &Admitted,
    progress: &mut RequestProgress,
    server: ServerId,
) -> RetryDecision {
    record_verdict(gateway, server, ServerOutcome::Failed);
    if try_retry(gateway, admitted, progress) {
        RetryDecision::Retry
    } else {
        RetryDecision::Fail
    }
}
