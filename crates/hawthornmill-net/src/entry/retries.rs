//! Tries of a call that may be repeated, until an answer begins.

use std::sync::Arc;
use std::time::Duration;

use hawthornmill::codes::{Code, Outcome};
use hawthornmill::ident::ServerId;
use hawthornmill::limits::retry::{FailedAttempt, Failure};
use poem::http::StatusCode;
use smallvec::SmallVec;

use super::call::{Call, arrival, attempt, come_back, slot, wait};
use super::problem::Problem;
use super::record::Tried;
use super::relay::{self, Finished};
use crate::fleet::{Fleet, SlotGuard};

/// What one try came to.
type TryResult = Result<reqwest::Response, Problem>;

/// Runs `call` until an answer begins that is passed on.
///
/// # Errors
/// The refusal, when no try is left or the deadline has passed.
pub async fn run(
    fleet: &Arc<Fleet>,
    call: &Call,
) -> Result<(SlotGuard, reqwest::Response), Problem> {
    let mut sent = false;
    let result = tries(fleet, call, &mut sent).await;
    result.map_err(|problem| honest(problem, sent))
}

/// The last try may say `not_run` of itself: no slot, no connection. If the bytes of an earlier try
/// left, a server may have run that one, and the call as a whole is not known to have been left.
fn honest(mut problem: Problem, sent: bool) -> Problem {
    if sent && problem.outcome == Outcome::NotRun {
        problem.outcome = Outcome::Unknown;
        problem.attempt = Outcome::Unknown;
        if problem.code == Code::DeadlinePassed {
            problem.code = Code::DeadlineWhileRunning;
        }
    }
    problem
}

/// Sets `sent` once a byte of some try may have reached a server.
async fn tries(
    fleet: &Arc<Fleet>,
    call: &Call,
    sent: &mut bool,
) -> Result<(SlotGuard, reqwest::Response), Problem> {
    let mut held = Tried::new(fleet, call, slot(fleet, call).await?);
    let mut avoid: SmallVec<[ServerId; 2]> = SmallVec::new();
    for number in 1.. {
        let tried = attempt(fleet, call, held.slot(), false).await;
        let server = held.slot().dispatch.server;
        let Some(failure) = failure(&tried) else {
            if tried.is_ok() {
                let mut retries = fleet.retries();
                retries.record_success(call.admitted.service, server, &avoid);
            }
            return give(fleet, call, held.into_slot(), tried);
        };
        let Some(pause) = decide(fleet, call, held.slot(), failure, number) else {
            return give(fleet, call, held.into_slot(), tried);
        };
        *sent |= !matches!(&tried, Err(problem) if problem.outcome == Outcome::NotRun);
        settle(fleet, call, held.into_slot(), &tried);
        drop(tried);
        if !avoid.contains(&server) {
            avoid.push(server);
        }
        tokio::time::sleep(pause).await;
        let ticket = fleet.requeue(arrival(call), call.admitted.arrived, avoid.clone());
        held = Tried::new(fleet, call, wait(fleet, call, ticket).await?);
    }
    unreachable!("the number of tries is bounded by the decision")
}

/// How a try failed; none when its result goes to the caller.
///
/// A server that answers 502, 503 or 504 says that it, or what stands behind it, can't serve the
/// call now, and another may. Any other answer, 500 and 429 among them, is the service's own word
/// to its caller: the call itself may be at fault, so it is passed on.
fn failure(tried: &TryResult) -> Option<Failure> {
    match tried {
        Ok(answer) => matches!(
            answer.status(),
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

fn decide(
    fleet: &Fleet,
    call: &Call,
    slot: &mut SlotGuard,
    failure: Failure,
    number: u32,
) -> Option<Duration> {
    let failed = FailedAttempt {
        service: call.admitted.service,
        account: call.admitted.account,
        server: slot.dispatch.server,
        failure,
        attempt: number,
        deadline: call.admitted.deadline,
    };
    let draw = rand::random();
    let now = fleet.clock.now();
    let mut retries = fleet.retries();
    if retries.record_failure(&failed) {
        slot.set_failed();
    }
    retries.retry_delay(&failed, draw, now)
}

/// Hands the last result to the caller; a server's own answer as it is.
fn give(
    fleet: &Arc<Fleet>,
    call: &Call,
    slot: SlotGuard,
    tried: TryResult,
) -> Result<(SlotGuard, reqwest::Response), Problem> {
    match tried {
        Ok(answer) => Ok((slot, answer)),
        Err(problem) => {
            let finished = Finished {
                code: problem.code.number(),
                outcome: problem.outcome,
            };
            relay::finish(fleet, call, slot, None, finished);
            Err(problem.retry(come_back(fleet, &call.admitted)))
        }
    }
}

/// Gives the slot of a try back that will be repeated.
fn settle(fleet: &Arc<Fleet>, call: &Call, slot: SlotGuard, tried: &TryResult) {
    let (reported, finished) = match tried {
        // A server that could not serve the call is believed to have done nothing for it.
        Ok(answer) => (
            Some(relay::reported(answer).unwrap_or(0.0)),
            Finished {
                code: Code::UpstreamFailed.number(),
                outcome: Outcome::Unknown,
            },
        ),
        Err(problem) => (
            None,
            Finished {
                code: problem.code.number(),
                outcome: problem.outcome,
            },
        ),
    };
    relay::finish(fleet, call, slot, reported, finished);
}
