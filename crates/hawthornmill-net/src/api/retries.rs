//! Attempts of a call that may be retried, until a response begins.

use std::sync::Arc;
use std::time::Duration;

use hawthornmill::codes::{Code, Outcome};
use hawthornmill::ident::ServerId;
use hawthornmill::limits::retry::{FailedAttempt, Failure};
use poem::http::StatusCode;
use smallvec::SmallVec;

use super::accounting::AttemptGuard;
use super::call::{Call, acquire_slot, arrival, attempt, retry_delay, wait_for_slot};
use super::call_result::{self, CallResult};
use super::problem::Problem;
use crate::fleet::{Fleet, SlotGuard};
use crate::quarantine;

/// Result of one attempt.
type AttemptResult = Result<reqwest::Response, Problem>;

/// Attempts `call` until a response begins that is forwarded to the caller.
///
/// # Errors
/// The error of the last attempt, once no retry is left or the deadline has passed.
pub async fn run(
    fleet: &Arc<Fleet>,
    call: &Call,
) -> Result<(SlotGuard, reqwest::Response), Problem> {
    let mut sent = false;
    let result = run_attempts(fleet, call, &mut sent).await;
    result.map_err(|problem| correct_outcome(problem, sent))
}

/// Corrects the outcome of the last attempt where an earlier one may have reached a server.
///
/// The last attempt is `not_run` if it got no slot or no connection. If an earlier attempt sent any
/// bytes, a server may have run that one, so the outcome of the call is unknown.
fn correct_outcome(mut problem: Problem, sent: bool) -> Problem {
    if sent && problem.outcome == Outcome::NotRun {
        problem.outcome = Outcome::Unknown;
        problem.attempt = Outcome::Unknown;
        if problem.code == Code::DeadlinePassed {
            problem.code = Code::DeadlineWhileRunning;
        }
    }
    problem
}

/// Attempts the call; sets `sent` once a byte of an attempt may have reached a server.
async fn run_attempts(
    fleet: &Arc<Fleet>,
    call: &Call,
    sent: &mut bool,
) -> Result<(SlotGuard, reqwest::Response), Problem> {
    let mut guard = AttemptGuard::new(fleet, call, acquire_slot(fleet, call).await?);
    let mut avoided: SmallVec<[ServerId; 2]> = SmallVec::new();
    for attempt_number in 1.. {
        let result = attempt(fleet, call, guard.slot(), false).await;
        let server = guard.slot().dispatch.server;
        let Some(failure) = classify_failure(&result) else {
            if result.is_ok() {
                let mut retries = fleet.retries();
                retries.record_success(call.admitted.service, server, &avoided);
            }
            return return_result(fleet, call, guard.into_slot(), result);
        };
        let Some(pause) = retry_pause(fleet, call, guard.slot(), failure, attempt_number) else {
            return return_result(fleet, call, guard.into_slot(), result);
        };
        *sent |= !matches!(&result, Err(problem) if problem.outcome == Outcome::NotRun);
        release_slot(fleet, call, guard.into_slot(), &result);
        drop(result);
        if !avoided.contains(&server) {
            avoided.push(server);
        }
        tokio::time::sleep(pause).await;
        let queued = fleet.requeue(arrival(call), call.admitted.arrived, avoided.clone());
        guard = AttemptGuard::new(fleet, call, wait_for_slot(fleet, call, queued).await?);
    }
    unreachable!("the retry policy limits the number of attempts")
}

/// Returns how an attempt failed, or `None` if its result is final.
///
/// The statuses 502, 503 and 504 mean that the server, or one behind it, can't handle the call now;
/// another server may. Any other status, 500 and 429 included, is the service's response to this
/// caller: the call itself may be the cause, so the response is forwarded.
fn classify_failure(result: &AttemptResult) -> Option<Failure> {
    match result {
        Ok(response) => matches!(
            response.status(),
            StatusCode::BAD_GATEWAY | StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT
        )
        .then_some(Failure::Unavailable),
        Err(problem) => match problem.code {
            Code::UpstreamUnreachable => Some(Failure::Unreachable),
            Code::UpstreamFailed | Code::ResponseMismatch => Some(Failure::Broken),
            _ => None,
        },
    }
}

fn retry_pause(
    fleet: &Fleet,
    call: &Call,
    slot: &mut SlotGuard,
    failure: Failure,
    attempt_number: u32,
) -> Option<Duration> {
    let failed_attempt = FailedAttempt {
        service: call.admitted.service,
        account: call.admitted.account,
        server: slot.dispatch.server,
        failure,
        attempt: attempt_number,
        deadline: call.admitted.deadline,
    };
    let draw = rand::random();
    let now = fleet.clock.now();
    let mut retries = fleet.retries();
    if retries.record_failure(&failed_attempt) {
        slot.set_failed();
    }
    if failure == Failure::Broken && !quarantine::allows_retry(fleet, call) {
        return None;
    }
    retries.retry_delay(&failed_attempt, draw, now)
}

/// Returns the last result to the caller; a server's response is forwarded unchanged.
fn return_result(
    fleet: &Arc<Fleet>,
    call: &Call,
    slot: SlotGuard,
    result: AttemptResult,
) -> Result<(SlotGuard, reqwest::Response), Problem> {
    match result {
        Ok(response) => Ok((slot, response)),
        Err(problem) => {
            let result = CallResult {
                code: problem.code.number(),
                outcome: problem.outcome,
            };
            call_result::finish(fleet, call, slot, None, result);
            Err(problem.with_retry_after(retry_delay(fleet, &call.admitted)))
        }
    }
}

/// Releases the slot of an attempt that will be retried.
fn release_slot(fleet: &Arc<Fleet>, call: &Call, slot: SlotGuard, result: &AttemptResult) {
    let (reported, call_result) = match result {
        // A server that could not handle the call is assumed to have done no work for it.
        Ok(response) => (
            Some(call_result::reported_cost(response).unwrap_or(0.0)),
            CallResult {
                code: Code::UpstreamFailed.number(),
                outcome: Outcome::Unknown,
            },
        ),
        Err(problem) => (
            None,
            CallResult {
                code: problem.code.number(),
                outcome: problem.outcome,
            },
        ),
    };
    call_result::finish(fleet, call, slot, reported, call_result);
}
