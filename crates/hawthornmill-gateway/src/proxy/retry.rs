//! Decides whether a request that failed at one server is sent to another.
//!
//! A request of which no byte was sent is retried without a charge. One that a server rejected, or that
//! may have been executed, takes from the fleet's retry budget; one that may have been executed must
//! also belong to a route that allows repetition. Once the client has a part of the response, only a
//! stream can go on, from the last event that it has.

use hawthornmill::ident::ServerId;
use hawthornmill::routing::catalog::RetryPolicy;
use hawthornmill::routing::loads::ServerOutcome;
use serde_json::json;

use super::admission::Admitted;
use super::progress::RequestProgress;
use super::read::ClientRequest;
use super::send::{SendOutcome, ServerResponse};
use super::{RequestContext, quarantine};
use crate::event_log;
use crate::gateway::Gateway;
use crate::server_runs;

/// Maximum number of unreachable servers after which a request is retried; each can cost a connect timeout.
const MAX_UNREACHABLE: u32 = 3;

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Send the request to another server.
    Retry,
    /// Reject the request, which has not been executed.
    Reject,
    /// Fail the request, which may have been executed.
    Fail,
}

/// Returns whether the response has status 5xx, so that another server might succeed.
pub fn is_server_error(response: &ServerResponse) -> bool {
    response.head.status >= 500
}

/// Records how a request to `server` ended, for later choices of a server.
pub fn record_outcome(gateway: &Gateway, server: ServerId, outcome: ServerOutcome) {
    let now = gateway.now();
    gateway
        .scheduler
        .borrow_mut()
        .loads
        .record_outcome(server, outcome, now);
}

/// Takes a retry from the budget for a request that may have been executed.
pub fn try_retry(gateway: &Gateway, admitted: &Admitted, progress: &mut RequestProgress) -> bool {
    allows_retry(admitted, progress) && take_budget(gateway, admitted, progress)
}

/// Returns whether the request could be sent to another server after one that may have executed it.
pub fn can_retry(admitted: &Admitted, progress: &RequestProgress) -> bool {
    allows_retry(admitted, progress) && progress.all_sends() < admitted.max_attempts
}

fn allows_retry(admitted: &Admitted, progress: &RequestProgress) -> bool {
    if !progress.response_started() {
        return admitted.retry_policy.allows_retry();
    }
    admitted.retry_policy == RetryPolicy::Resumable && progress.last_event_id.is_some()
}

/// Takes one retry from the budget of the service, unless the request has used all its attempts.
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

/// Returns the decision for a request without further attempts.
///
/// A rejection promises that no server executed the request.
fn final_decision(progress: &RequestProgress) -> RetryDecision {
    if progress.may_have_executed() {
        RetryDecision::Fail
    } else {
        RetryDecision::Reject
    }
}

/// Records what a failure to have a request executed tells of `server`; other outcomes are recorded when they are known.
pub fn record_failed_send(
    context: RequestContext<'_>,
    progress: &mut RequestProgress,
    server: ServerId,
    outcome: &SendOutcome,
) {
    let RequestContext {
        gateway, request, ..
    } = context;
    match outcome {
        SendOutcome::Unreachable(reason) => {
            record_unreachable(gateway, &request.attempt_id, server, reason);
        }
        SendOutcome::Withheld => log_withheld(gateway, request, server),
        SendOutcome::NotExecuted { misdirected } => {
            record_not_executed(gateway, server, *misdirected);
            progress.record_not_executed();
        }
        SendOutcome::Interrupted(_) | SendOutcome::Response(_) => {}
    }
}

/// Handles a server that could not be reached.
pub fn on_unreachable(progress: &mut RequestProgress) -> RetryDecision {
    progress.unreachable += 1;
    if progress.unreachable <= MAX_UNREACHABLE {
        RetryDecision::Retry
    } else {
        final_decision(progress)
    }
}

/// Logs and records that a server could not be reached.
pub fn record_unreachable(gateway: &Gateway, attempt_id: &str, server: ServerId, reason: &str) {
    let fields = json!({"server": gateway.server_name(server), "why": reason});
    event_log::request_problem("server_unreached", attempt_id, fields);
    gateway.pool.discard_idle(server);
    record_outcome(gateway, server, ServerOutcome::Unreachable);
    server_runs::record_unreachable(gateway, server);
}

/// Records that a server did not execute a request.
fn record_not_executed(gateway: &Gateway, server: ServerId, misdirected: bool) {
    if misdirected {
        gateway.pool.discard_idle(server);
        record_outcome(gateway, server, ServerOutcome::Unreachable);
        server_runs::record_unreachable(gateway, server);
    } else {
        record_outcome(gateway, server, ServerOutcome::Full);
    }
}

/// Handles a server that reports that it did not execute the request.
pub fn on_not_executed(
    gateway: &Gateway,
    admitted: &Admitted,
    progress: &mut RequestProgress,
) -> RetryDecision {
    if take_budget(gateway, admitted, progress) {
        RetryDecision::Retry
    } else {
        final_decision(progress)
    }
}

/// Logs that a server takes no requests by now.
fn log_withheld(gateway: &Gateway, request: &ClientRequest, server: ServerId) {
    let fields = json!({"server": gateway.server_name(server)});
    event_log::request_problem("send_withheld", &request.attempt_id, fields);
}

/// Handles a connection that broke before the end of the response; the request may have been executed.
///
/// A request under which servers have ended before isn't sent again: it might end another one.
pub fn on_interrupted(
    context: RequestContext<'_>,
    admitted: &Admitted,
    progress: &mut RequestProgress,
    server: ServerId,
) -> RetryDecision {
    let gateway = context.gateway;
    record_outcome(gateway, server, ServerOutcome::Failed);
    if quarantine::allows_retry(context, admitted) && try_retry(gateway, admitted, progress) {
        RetryDecision::Retry
    } else {
        RetryDecision::Fail
    }
}
