//! A call from its arrival to the headers of its response.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use hawthornmill::codes::{Code, Outcome};
use hawthornmill::config::{CostKind, RetryPolicy};
use hawthornmill::ident::ServerId;
use hawthornmill::pools::entry;
use opentelemetry::Context;
use poem::{Body, Request, Response};

use super::admission::{Admitted, admit};
use super::key_store::issue_key_prefix;
use super::problem::Problem;
use super::stream::{self, CallerConnection};
use super::{accounting, addresses, body, idempotency, retries};
use crate::fleet::{Fleet, QueuedRequest, SlotGuard};
use crate::quarantine::{self, Progress};
use crate::upstream::{OutboundRequest, SendError, forwarded_headers};

/// Response header with which a server announces that it is shutting down.
const LEAVING_HEADER: &str = "hawthornmill-leaving";

/// Counts a call as in flight until this is dropped.
#[derive(Debug)]
pub struct InFlightGuard(Arc<Fleet>);

impl InFlightGuard {
    /// Counts one more call as in flight.
    pub fn new(fleet: &Arc<Fleet>) -> Self {
        fleet.in_flight.fetch_add(1, Ordering::SeqCst);
        Self(Arc::clone(fleet))
    }

    /// The instance in which the call is in flight.
    pub fn fleet(&self) -> &Arc<Fleet> {
        &self.0
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

/// An admitted call and the request that it sends.
#[derive(Debug, Clone)]
pub struct Call {
    /// The admitted request.
    pub admitted: Admitted,
    /// The request to the server.
    pub outbound: OutboundRequest,
    /// The body that the caller sent; a resumed call sends another one.
    pub asked: Bytes,
    /// Tracing span of the call.
    pub span: Context,
    /// The caller's `Authorization` header, sent to the home of a key but never to a server.
    pub authorization: Box<str>,
}

/// Handles one call, until the end of a graceful shutdown at most.
pub async fn handle(fleet: &Arc<Fleet>, request: &Request, body: Body) -> Response {
    let id = fleet.request_id();
    tokio::select! {
        biased;
        response = run(fleet, request, body, id.clone()) => response,
        () = fleet.must_end() => {
            let problem = Problem::new(Code::InstanceStopped, Outcome::Unknown, &id);
            reject(fleet, &with_key_outcome(fleet, request, problem))
        }
    }
}

async fn run(fleet: &Arc<Fleet>, request: &Request, body: Body, id: Box<str>) -> Response {
    let in_flight = InFlightGuard::new(fleet);
    let reject_early = |code, detail| {
        let problem = rejection(fleet, code, detail, &id);
        reject(fleet, &with_key_outcome(fleet, request, problem))
    };
    let admitted = match admit(fleet, request) {
        Ok(admitted) => admitted,
        Err((code, detail)) => return reject_early(code, detail),
    };
    if let Err(code) = check_queue_limits(fleet, request, &admitted) {
        let problem = Problem::not_run(code, &id).with_retry_after(retry_delay(fleet, &admitted));
        return reject(fleet, &with_key_outcome(fleet, request, problem));
    }
    let mut memory = fleet.body_budget.begin(fleet.settings.tuning.max_bytes);
    let limit = fleet.settings.limits.body_bytes;
    let read = body::read(body, limit, content_length(request), &mut memory).await;
    // From now on the queue accounts it.
    drop(memory);
    let body = match read {
        Ok(body) => body,
        Err(code) => {
            let mut problem = Problem::not_run(code, &id);
            if code == Code::InstanceFull {
                log::warn!(target: "limits", "code {}: no memory for the body of call {id}", code.number());
                problem = problem.with_retry_after(retry_delay(fleet, &admitted));
            }
            let problem = with_key_outcome(fleet, request, problem);
            let call = build_call(fleet, request, admitted, Bytes::new(), id);
            accounting::record_rejection(fleet, &call, &problem, call.admitted.arrived);
            return reject(fleet, &problem);
        }
    };
    let call = build_call(fleet, request, admitted, body, id);
    if call.admitted.retry == RetryPolicy::Never {
        return idempotency::handle(fleet, request, call, in_flight).await;
    }
    match retries::run(fleet, &call).await {
        Ok((slot, response)) => {
            let abort_handle = fleet.connections.abort_handle(request);
            stream::respond(
                call,
                slot,
                response,
                CallerConnection {
                    in_flight,
                    abort_handle,
                },
            )
        }
        Err(problem) => reject(fleet, &problem),
    }
}

/// Returns the length that the caller gave for the body.
fn content_length(request: &Request) -> Option<usize> {
    request.header("content-length")?.parse().ok()
}

/// Checks the limits of the account's queue before the body is read.
///
/// A call for which the queue has no room then uses no memory for its body.
fn check_queue_limits(fleet: &Fleet, request: &Request, admitted: &Admitted) -> Result<(), Code> {
    let arrival = entry::Arrival {
        service: admitted.service,
        account: admitted.account,
        bytes: content_length(request).unwrap_or(0),
        deadline: admitted.deadline,
    };
    fleet.view(|board| entry::check_account_limits(board, &arrival))
}

fn build_call(
    fleet: &Arc<Fleet>,
    request: &Request,
    admitted: Admitted,
    body: Bytes,
    id: Box<str>,
) -> Call {
    let span = fleet.telemetry.spans.start_call(request.headers(), &id);
    let asked = body.clone();
    let outbound = OutboundRequest {
        method: request.method().clone(),
        path: admitted.path.clone(),
        headers: forwarded_headers(request.headers()),
        body,
        id,
    };
    let authorization = request.header("authorization").unwrap_or_default().into();
    Call {
        admitted,
        outbound,
        asked,
        span,
        authorization,
    }
}

/// Counts a rejected call and builds its response.
pub fn reject(fleet: &Fleet, problem: &Problem) -> Response {
    count_call(fleet, problem.code.number());
    problem.to_response()
}

/// Counts a call by its code.
pub fn count_call(fleet: &Fleet, code: u16) {
    let attribute = opentelemetry::KeyValue::new("code", i64::from(code));
    fleet.telemetry.instruments.calls.add(1, &[attribute]);
}

fn rejection(fleet: &Fleet, code: Code, detail: Option<Box<str>>, id: &str) -> Problem {
    let mut problem = Problem::not_run(code, id);
    problem.detail = detail;
    if code == Code::NotReady {
        problem.addresses = addresses::other_instances(fleet);
        problem.retry_after = Some(Duration::from_millis(200));
    }
    problem
}

/// Sets the outcome of a call with a key that is rejected before anything was sent or forwarded.
///
/// The call may be a duplicate of one that ran. Only the home of the key knows, and it was not
/// asked, so the response reports only this copy as not run and the outcome of the key as unknown.
fn with_key_outcome(fleet: &Fleet, request: &Request, mut problem: Problem) -> Problem {
    if request.headers().contains_key(idempotency::KEY_HEADER) {
        problem.outcome = Outcome::Unknown;
        problem.key_prefix = Some(issue_key_prefix(fleet));
    }
    problem
}

/// Queues the call and waits for a slot.
///
/// # Errors
/// The rejection, with the delay before a retry; the request was not run.
pub async fn acquire_slot(fleet: &Arc<Fleet>, call: &Call) -> Result<SlotGuard, Problem> {
    let started = fleet.clock.now();
    if let Err(problem) = quarantine::wait_until_clear(fleet, call).await {
        accounting::record_rejection(fleet, call, &problem, started);
        return Err(problem);
    }
    wait_for_slot(fleet, call, fleet.enqueue(arrival(call))).await
}

pub(super) fn arrival(call: &Call) -> entry::Arrival {
    entry::Arrival {
        service: call.admitted.service,
        account: call.admitted.account,
        bytes: call.outbound.body.len(),
        deadline: call.admitted.deadline,
    }
}

pub(super) async fn wait_for_slot(
    fleet: &Arc<Fleet>,
    call: &Call,
    queued: Result<QueuedRequest, Code>,
) -> Result<SlotGuard, Problem> {
    let span = fleet.telemetry.spans.start_child(&call.span, "wait");
    let started = fleet.clock.now();
    let result = match queued {
        Ok(queued) => queued.wait().await,
        Err(code) => Err(code),
    };
    drop(span);
    if result.is_ok() {
        accounting::start(fleet, call);
    }
    result.map_err(|code| {
        let problem = Problem::not_run(code, &call.outbound.id)
            .with_retry_after(retry_delay(fleet, &call.admitted));
        accounting::record_rejection(fleet, call, &problem, started);
        problem
    })
}

/// Delay after which a rejected caller may retry.
pub(super) fn retry_delay(fleet: &Fleet, admitted: &Admitted) -> Duration {
    let (draw, now) = (rand::random::<f64>(), fleet.clock.now());
    fleet.view(|board| entry::retry_after(board, admitted.service, admitted.account, draw, now))
}

/// Sends the call once and waits for the headers of the response.
///
/// # Errors
/// The error. Its outcome is `not_run` only if no connection was made, so that no byte was sent.
pub async fn attempt(
    fleet: &Arc<Fleet>,
    call: &Call,
    slot: &mut SlotGuard,
    at_most_once: bool,
) -> Result<reqwest::Response, Problem> {
    let address = fleet.view(|board| {
        let server = board.config.servers.get(&slot.dispatch.server)?;
        Some(server.address.clone())
    });
    let Some(address) = address else {
        // The server was removed from the configuration after the slot was granted.
        slot.set_failed();
        return Err(Problem::not_run(
            Code::UpstreamUnreachable,
            &call.outbound.id,
        ));
    };
    let remaining = call
        .admitted
        .deadline
        .saturating_duration_since(fleet.clock.now());
    if remaining.is_zero() {
        // The process was paused after the slot was granted, and the caller stopped waiting. The
        // connection is made below, so no byte was sent.
        return Err(Problem::not_run(Code::DeadlinePassed, &call.outbound.id));
    }
    // Servers may have ended under the call while it waited for its slot.
    quarantine::wait_until_clear(fleet, call).await?;
    let sent_at = fleet.clock.now();
    let span = fleet.telemetry.spans.start_child(&call.span, "server");
    let mut outbound = call.outbound.clone();
    fleet
        .telemetry
        .spans
        .inject_context(&span, &mut outbound.headers);
    let result = tokio::time::timeout(
        remaining,
        fleet.upstream.send(&address, &outbound, at_most_once),
    )
    .await;
    match result {
        Ok(Ok(response)) => {
            check_leaving(fleet, slot.dispatch.server, &response);
            Ok(response)
        }
        Ok(Err(SendError::Unreachable)) => {
            slot.set_failed();
            Err(Problem::not_run(
                Code::UpstreamUnreachable,
                &call.outbound.id,
            ))
        }
        Ok(Err(SendError::Failed(code))) => {
            if code == Code::UpstreamFailed {
                let progress = Progress { sent_at, pieces: 0 };
                quarantine::record_break(fleet, call, slot.dispatch.server, progress);
            }
            Err(Problem::new(code, Outcome::Unknown, &call.outbound.id))
        }
        Err(_elapsed) => Err(Problem::new(
            Code::DeadlineWhileRunning,
            Outcome::Unknown,
            &call.outbound.id,
        )),
    }
}

/// Stops using a server whose response announces that it is shutting down.
///
/// The owner of the pool also learns this from the server's load report, but an owner that can't
/// reach the server, or is itself unresponsive, would keep sending work there.
fn check_leaving(fleet: &Fleet, server: ServerId, response: &reqwest::Response) {
    if response
        .headers()
        .get(LEAVING_HEADER)
        .is_some_and(|v| v == "yes")
    {
        fleet.apply(|board, now| entry::on_server_leaving(board, server, now));
    }
}

/// Cost of a call that held `slot` until now.
pub fn call_cost(fleet: &Fleet, call: &Call, slot: &SlotGuard, reported: Option<f64>) -> f64 {
    let held = fleet.clock.now().duration_since(slot.acquired_at);
    match (call.admitted.cost, reported) {
        (CostKind::Reported, Some(cost)) => cost,
        (CostKind::Time, _) => held.as_secs_f64() * 1000.0,
        // An interrupted response reports no cost, so the account's average is charged.
        (CostKind::Reported, None) => fleet.view(|board| {
            let key = hawthornmill::fairness::CostKey {
                service: call.admitted.service,
                account: call.admitted.account,
            };
            let default = board
                .config
                .services
                .get(&key.service)
                .map_or(0.0, |s| s.estimate);
            board.ledger.estimated_cost(key, default)
        }),
    }
}
