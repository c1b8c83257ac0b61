//! One call from its arrival to the head of its answer.

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

use super::admit::{Admitted, admit};
use super::home::fresh_prefix;
use super::problem::Problem;
use super::stream::{self, Delivery};
use super::{addresses, body, keyed, record, retries};
use crate::fleet::{Fleet, SlotGuard, Ticket};
use crate::upstream::{Outbound, SendError, passed_on};

/// Answer header with which a server says that it is about to go.
const LEAVING: &str = "hawthornmill-leaving";

/// Counts a call as in flight until it is dropped.
#[derive(Debug)]
pub struct Flying(Arc<Fleet>);

impl Flying {
    /// Counts one more call.
    pub fn new(fleet: &Arc<Fleet>) -> Self {
        fleet.flying.fetch_add(1, Ordering::SeqCst);
        Self(Arc::clone(fleet))
    }

    /// The process in which the call is in flight.
    pub fn fleet(&self) -> &Arc<Fleet> {
        &self.0
    }
}

impl Drop for Flying {
    fn drop(&mut self) {
        self.0.flying.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A call that was let in, with what it sends.
#[derive(Debug, Clone)]
pub struct Call {
    /// What was let in.
    pub admitted: Admitted,
    /// What goes to the server.
    pub out: Outbound,
    /// Span of the call.
    pub span: Context,
    /// The caller's `Authorization`, for the home of a key; no server sees it.
    pub bearer: Box<str>,
}

/// Answers one call.
pub async fn run(fleet: &Arc<Fleet>, request: &Request, body: Body) -> Response {
    let flying = Flying::new(fleet);
    let id = fleet.request_id();
    let turn_away = |code, words| {
        let problem = refusal(fleet, code, words, &id);
        refuse(fleet, &of_key(fleet, request, problem))
    };
    let admitted = match admit(fleet, request) {
        Ok(admitted) => admitted,
        Err((code, words)) => return turn_away(code, words),
    };
    if let Err(code) = room(fleet, request, &admitted) {
        let problem = Problem::not_run(code, &id).retry(come_back(fleet, &admitted));
        return refuse(fleet, &of_key(fleet, request, problem));
    }
    let body = match body::read(body, fleet.settings.limits.body).await {
        Ok(body) => body,
        Err(code) => {
            let problem = of_key(fleet, request, Problem::not_run(code, &id));
            let call = prepare(fleet, request, admitted, Bytes::new(), id);
            record::record_refusal(fleet, &call, &problem, call.admitted.arrived);
            return refuse(fleet, &problem);
        }
    };
    let call = prepare(fleet, request, admitted, body, id);
    if call.admitted.repeat == RetryPolicy::Never {
        return keyed::run(fleet, request, call, flying).await;
    }
    match retries::run(fleet, &call).await {
        Ok((slot, answer)) => {
            let cutter = fleet.connections.cutter(request);
            stream::answer(call, slot, answer, Delivery { flying, cutter })
        }
        Err(problem) => refuse(fleet, &problem),
    }
}

/// Looks for room in the account's queue before the body is read, so that what is refused for want
/// of room takes no memory for its body.
fn room(fleet: &Fleet, request: &Request, admitted: &Admitted) -> Result<(), Code> {
    let length = request.header("content-length");
    let arrival = entry::Arrival {
        service: admitted.service,
        account: admitted.account,
        bytes: length.and_then(|l| l.parse().ok()).unwrap_or(0),
        deadline: admitted.deadline,
    };
    fleet.view(|board| entry::check_account_limits(board, &arrival))
}

fn prepare(
    fleet: &Arc<Fleet>,
    request: &Request,
    admitted: Admitted,
    body: Bytes,
    id: Box<str>,
) -> Call {
    let span = fleet.telemetry.spans.call(request.headers(), &id);
    let out = Outbound {
        method: request.method().clone(),
        path: admitted.path.clone(),
        headers: passed_on(request.headers()),
        body,
        id,
    };
    let bearer = request.header("authorization").unwrap_or_default().into();
    Call {
        admitted,
        out,
        span,
        bearer,
    }
}

/// Writes a refusal and counts it.
pub fn refuse(fleet: &Fleet, problem: &Problem) -> Response {
    count(fleet, problem.code.number());
    problem.answer()
}

/// Counts a call by its result.
pub fn count(fleet: &Fleet, code: u16) {
    let attribute = opentelemetry::KeyValue::new("code", i64::from(code));
    fleet.telemetry.meters.calls.add(1, &[attribute]);
}

fn refusal(fleet: &Fleet, code: Code, words: Option<Box<str>>, id: &str) -> Problem {
    let mut problem = Problem::not_run(code, id);
    problem.detail = words;
    if code == Code::NotReady {
        problem.addresses = addresses::others(fleet);
        problem.retry = Some(Duration::from_millis(200));
    }
    problem
}

/// A refusal on arrival, before anything was sent or passed on.
///
/// A call with a key may be the second copy of one that ran: only the key's home knows, and it was
/// not asked. So no more than this copy is said not to have run.
fn of_key(fleet: &Fleet, request: &Request, mut problem: Problem) -> Problem {
    if request.headers().contains_key(keyed::KEY) {
        problem.outcome = Outcome::Unknown;
        problem.prefix = Some(fresh_prefix(fleet));
    }
    problem
}

/// Waits for a slot.
///
/// # Errors
/// The refusal, with when to come back; the request was not run.
pub async fn slot(fleet: &Arc<Fleet>, call: &Call) -> Result<SlotGuard, Problem> {
    wait(fleet, call, fleet.enqueue(arrival(call))).await
}

pub(super) fn arrival(call: &Call) -> entry::Arrival {
    entry::Arrival {
        service: call.admitted.service,
        account: call.admitted.account,
        bytes: call.out.body.len(),
        deadline: call.admitted.deadline,
    }
}

pub(super) async fn wait(
    fleet: &Arc<Fleet>,
    call: &Call,
    ticket: Result<Ticket, Code>,
) -> Result<SlotGuard, Problem> {
    let span = fleet.telemetry.spans.child(&call.span, "wait");
    let since = fleet.clock.now();
    let result = match ticket {
        Ok(ticket) => ticket.wait().await,
        Err(code) => Err(code),
    };
    drop(span);
    if result.is_ok() {
        record::begin(fleet, call);
    }
    result.map_err(|code| {
        let problem = Problem::not_run(code, &call.out.id).retry(come_back(fleet, &call.admitted));
        record::record_refusal(fleet, call, &problem, since);
        problem
    })
}

/// When a caller that was refused may come back.
pub(super) fn come_back(fleet: &Fleet, admitted: &Admitted) -> Duration {
    let (draw, now) = (rand::random::<f64>(), fleet.clock.now());
    fleet.view(|board| entry::retry_after(board, admitted.service, admitted.account, draw, now))
}

/// Sends the call once and waits for the head of the answer.
///
/// # Errors
/// The refusal. It says `not_run` only where no connection was made, so that no byte has left.
pub async fn attempt(
    fleet: &Arc<Fleet>,
    call: &Call,
    slot: &mut SlotGuard,
    once: bool,
) -> Result<reqwest::Response, Problem> {
    let address = fleet.view(|board| {
        let server = board.config.servers.get(&slot.dispatch.server)?;
        Some(server.address.clone())
    });
    let Some(address) = address else {
        // The server left the configuration between grant and send; there is nothing to connect to.
        slot.set_failed();
        return Err(Problem::not_run(Code::UpstreamUnreachable, &call.out.id));
    };
    let left = call
        .admitted
        .deadline
        .saturating_duration_since(fleet.clock.now());
    if left.is_zero() {
        // The process was stopped between the grant and here, and the caller has given up. The
        // connection is made below, so no byte has left.
        return Err(Problem::not_run(Code::DeadlinePassed, &call.out.id));
    }
    let span = fleet.telemetry.spans.child(&call.span, "server");
    let mut out = call.out.clone();
    fleet.telemetry.spans.carry(&span, &mut out.headers);
    let sent = tokio::time::timeout(left, fleet.upstream.send(&address, &out, once)).await;
    match sent {
        Ok(Ok(answer)) => {
            note_leaving(fleet, slot.dispatch.server, &answer);
            Ok(answer)
        }
        Ok(Err(SendError::Unreachable)) => {
            slot.set_failed();
            Err(Problem::not_run(Code::UpstreamUnreachable, &call.out.id))
        }
        Ok(Err(SendError::Broken(code))) => Err(Problem::new(code, Outcome::Unknown, &call.out.id)),
        Err(_elapsed) => Err(Problem::new(
            Code::DeadlineWhileRunning,
            Outcome::Unknown,
            &call.out.id,
        )),
    }
}

/// Takes a server's own word, with an answer, that it is leaving.
///
/// A pool's owner learns it from the load report as well, but one that can't reach the server, or
/// is itself silent, would keep sending work there.
fn note_leaving(fleet: &Fleet, server: ServerId, answer: &reqwest::Response) {
    if answer.headers().get(LEAVING).is_some_and(|v| v == "yes") {
        fleet.feed(|board, now| entry::on_server_leaving(board, server, now));
    }
}

/// What a call that held `slot` until now costs.
pub fn cost_of(fleet: &Fleet, call: &Call, slot: &SlotGuard, reported: Option<f64>) -> f64 {
    let held = fleet.clock.now().duration_since(slot.taken);
    match (call.admitted.cost, reported) {
        (CostKind::Reported, Some(cost)) => cost,
        (CostKind::Time, _) => held.as_secs_f64() * 1000.0,
        // A server that broke off reported nothing; the account's average stands in.
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
