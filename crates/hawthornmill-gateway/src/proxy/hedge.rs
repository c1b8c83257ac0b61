//! Sends a second copy of a request that has had no answer for some time, and cancels the copy that is not needed.
//!
//! A copy is cancelled by dropping it, which closes its connection; servers stop work for a closed connection.

use std::cmp::Ordering;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::{Duration, Instant};

use hawthornmill::quarantine::table::QuarantineStatus;
use hawthornmill::routing::catalog::RetryPolicy;
use hawthornmill::routing::hedging::{Race, RaceStep, RequestCopy, Withheld};
use hawthornmill::routing::loads::ServerOutcome;
use hawthornmill::routing::request::Request;
use serde_json::{Value, json};

use super::admission::Admitted;
use super::forward::{self, Buffered};
use super::progress::{BodyEnd, HedgeState, RequestProgress};
use super::send::{SendOutcome, ServerResponse, send};
use super::{RequestContext, SlotGuard, log_interruption, quarantine, retry};
use crate::event_log;

/// Sends the request to the server of `slot`, and to a second one if that has not answered in time.
///
/// Returns the outcome that counts.
pub async fn send_hedged<'a>(
    context: RequestContext<'a>,
    request: &Request,
    progress: &mut RequestProgress,
    slot: SlotGuard<'a>,
) -> HedgedEnd<'a> {
    let admitted = slot.admitted;
    if !is_hedgeable(context, admitted) {
        let outcome = send(context, request, admitted, progress, &slot.placement).await;
        retry::record_failed_send(context, progress, slot.placement.server, &outcome);
        return HedgedEnd::of(outcome, slot);
    }
    // On the heap, so that requests that aren't hedged need no memory for two copies.
    Box::pin(send_copies(context, request, progress, slot)).await
}

async fn send_copies<'a>(
    context: RequestContext<'a>,
    request: &Request,
    progress: &mut RequestProgress,
    mut slot: SlotGuard<'a>,
) -> HedgedEnd<'a> {
    let admitted = slot.admitted;
    let state = progress.hedge_state();
    let mut hedge_progress = progress.for_hedge();
    let earlier = (slot.sent_at, hedge_progress.sends);
    let mut hedge = None;
    let end = {
        let mut first = pin!(send_copy(context, request, progress, &mut slot));
        match send_until_due(context, admitted, first.as_mut()).await {
            Some(outcome) => RaceEnd::without_hedge(outcome),
            None => match place_hedge(context, admitted, request, earlier, &state) {
                Ok(placed) => {
                    let placed = hedge.insert(placed);
                    let second = async {
                        let outcome =
                            send_copy(context, request, &mut hedge_progress, &mut placed.slot)
                                .await;
                        let may_have_executed = hedge_progress.bytes_sent();
                        state.may_have_executed.set(may_have_executed);
                        outcome
                    };
                    race(first.as_mut(), second).await
                }
                Err(withheld) => {
                    let metrics = &context.gateway.metrics;
                    metrics.hedge_withheld(&admitted.service_name, withheld);
                    state.fields.replace(json!({"withheld": withheld.name()}));
                    RaceEnd::without_hedge(first.await)
                }
            },
        }
    };
    record_response(context, &slot, &end);
    match hedge {
        Some(hedge) => settle(context, (progress, &mut hedge_progress), end, slot, hedge),
        None => HedgedEnd::of(end.outcome, slot),
    }
}

/// How sending a request ended.
#[derive(Debug)]
pub struct HedgedEnd<'a> {
    /// The outcome that counts.
    pub outcome: SendOutcome,
    /// The slot of its server.
    pub slot: SlotGuard<'a>,
    /// A complete response of the other copy that failed too, for a caller whose request isn't sent again.
    pub error_response: Option<ServerResponse>,
}

impl<'a> HedgedEnd<'a> {
    const fn of(outcome: SendOutcome, slot: SlotGuard<'a>) -> Self {
        Self {
            outcome,
            slot,
            error_response: None,
        }
    }
}

/// Returns whether the request may be sent to two servers at the same time.
pub fn is_hedgeable(context: RequestContext<'_>, admitted: &Admitted) -> bool {
    let scheduler = context.gateway.scheduler.borrow();
    scheduler.hedges_service(admitted.request.service)
        && admitted.retry_policy == RetryPolicy::Idempotent
        && !admitted.streaming
}

/// Sends one copy, and reads its answer as far as it is buffered.
///
/// A copy that failed occupies no slot while the other one runs, and what its failure tells of the server is recorded now.
async fn send_copy(
    context: RequestContext<'_>,
    request: &Request,
    progress: &mut RequestProgress,
    slot: &mut SlotGuard<'_>,
) -> SendOutcome {
    let (admitted, placement) = (slot.admitted, slot.placement);
    let mut outcome = send(context, request, admitted, progress, &placement).await;
    retry::record_failed_send(context, progress, placement.server, &outcome);
    if let SendOutcome::Response(response) = &mut outcome {
        let (is_error, status) = (retry::is_server_error(response), response.head.status);
        let on_data = || {
            if !is_error {
                slot.record_first_token(status);
            }
        };
        forward::read_ahead(context.gateway, response, on_data).await;
        if is_error && is_complete(response) {
            forward::record_server_outcome(context.gateway, response);
        }
    }
    // Recorded before the other copy ends: it may be about to crash a second server.
    if is_connection_lost(&outcome) {
        slot.record_break(context.request, progress);
    }
    if !is_good(&outcome) && has_ended(&outcome) {
        slot.end_early();
        slot.release();
    }
    outcome
}

/// Returns whether the server has ended its work on a copy.
fn has_ended(outcome: &SendOutcome) -> bool {
    match outcome {
        SendOutcome::Response(response) => is_complete(response) || broken_body(response).is_some(),
        _ => true,
    }
}

fn is_complete(response: &ServerResponse) -> bool {
    let end = response.read_ahead.as_ref().map(|r| r.end);
    matches!(end, Some(Buffered::Complete(_)))
}

fn is_connection_lost(outcome: &SendOutcome) -> bool {
    match outcome {
        SendOutcome::Interrupted(interruption) => interruption.connection_lost,
        SendOutcome::Response(response) => {
            broken_body(response).is_some_and(BodyEnd::is_connection_lost)
        }
        SendOutcome::Unreachable(_) | SendOutcome::Withheld | SendOutcome::NotExecuted { .. } => {
            false
        }
    }
}

/// Waits for the first copy; returns `None` when a hedge is due.
async fn send_until_due(
    context: RequestContext<'_>,
    admitted: &Admitted,
    first: Pin<&mut impl Future<Output = SendOutcome>>,
) -> Option<SendOutcome> {
    let gateway = context.gateway;
    let (service, now) = (admitted.request.service, gateway.now());
    let delay = gateway.scheduler.borrow_mut().hedging.delay(service, now);
    match delay {
        Some(delay) => tokio::time::timeout(delay, first).await.ok(),
        None => Some(first.await),
    }
}

/// A hedge that is about to be sent.
struct Hedge<'a> {
    slot: SlotGuard<'a>,
    log: HedgeLog<'a>,
    /// Sends of its request before it.
    earlier_sends: u32,
}

/// Chooses the server of a hedge, which counts as sent from then on.
///
/// # Errors
/// Why no hedge may be sent.
fn place_hedge<'a>(
    context: RequestContext<'a>,
    admitted: &'a Admitted,
    request: &Request,
    (first_sent, sends): (Instant, u32),
    state: &Rc<HedgeState>,
) -> Result<Hedge<'a>, Withheld> {
    let gateway = context.gateway;
    if sends >= admitted.max_attempts {
        return Err(Withheld::Attempts);
    }
    let is_clear = quarantine::status(context, admitted) == QuarantineStatus::Clear;
    if !is_clear || !quarantine::allows_retry(context, admitted) {
        return Err(Withheld::Quarantine);
    }
    if gateway.is_overloaded() {
        return Err(Withheld::InstanceLate);
    }
    let now = gateway.now();
    let placed = gateway.scheduler.borrow_mut().place_hedge(request, now);
    let placement = placed?;
    let mut slot = SlotGuard::new(gateway, admitted, placement);
    slot.is_hedge = true;
    gateway.announce_work();
    gateway.metrics.hedge_sent(&admitted.service_name);
    state.may_have_executed.set(true);
    let log = HedgeLog::begin(context, request, &slot, first_sent, state);
    Ok(Hedge {
        slot,
        log,
        earlier_sends: sends,
    })
}

/// How the copies of a request ended.
struct RaceEnd {
    race: Race,
    /// The copy whose outcome counts.
    counted: RequestCopy,
    /// The outcome that counts.
    outcome: SendOutcome,
    /// The outcome of the other copy if it ended before.
    other: Option<SendOutcome>,
}

impl RaceEnd {
    /// The end of a request that was sent once.
    fn without_hedge(outcome: SendOutcome) -> Self {
        let mut race = Race::default();
        race.record(RequestCopy::First, is_good(&outcome));
        Self {
            race,
            counted: RequestCopy::First,
            outcome,
            other: None,
        }
    }

    /// Returns whether the first copy answered, or was still running when the hedge won.
    const fn tells_response_time(&self) -> bool {
        match self.counted {
            RequestCopy::First => self.race.winner().is_some(),
            RequestCopy::Hedge => self.other.is_none(),
        }
    }
}

/// What a failed copy leaves possible, the least first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Severity {
    NotSent,
    NotExecuted,
    ErrorResponse,
    Interrupted,
}

fn severity(outcome: &SendOutcome) -> Severity {
    match outcome {
        SendOutcome::Unreachable(_) | SendOutcome::Withheld => Severity::NotSent,
        SendOutcome::NotExecuted { .. } => Severity::NotExecuted,
        SendOutcome::Response(response) if broken_body(response).is_none() => {
            Severity::ErrorResponse
        }
        SendOutcome::Response(_) | SendOutcome::Interrupted(_) => Severity::Interrupted,
    }
}

/// Returns whether an outcome is an answer for the caller: to this request, and complete or too long to wait for its end.
fn is_good(outcome: &SendOutcome) -> bool {
    let SendOutcome::Response(response) = outcome else {
        return false;
    };
    response.names_request && !retry::is_server_error(response) && broken_body(response).is_none()
}

/// Returns how the body of a response that was read ahead was cut off.
fn broken_body(response: &ServerResponse) -> Option<BodyEnd> {
    match response.read_ahead.as_ref()?.end {
        Buffered::Truncated(end) => Some(end),
        Buffered::Complete(_) | Buffered::TooLong | Buffered::Evicted => None,
    }
}

/// Waits for the first good answer of two copies; if both end at the same time, the first counts.
///
/// If both fail, the graver failure counts: the retry rules must know of a copy that may have crashed its server.
async fn race(
    mut first: Pin<&mut impl Future<Output = SendOutcome>>,
    hedge: impl Future<Output = SendOutcome>,
) -> RaceEnd {
    let (mut race, mut hedge) = (Race::default(), pin!(hedge));
    let (copy, outcome) = tokio::select! {
        biased;
        outcome = &mut first => (RequestCopy::First, outcome),
        outcome = &mut hedge => (RequestCopy::Hedge, outcome),
    };
    if race.record(copy, is_good(&outcome)) != RaceStep::Wait {
        return RaceEnd {
            race,
            counted: copy,
            outcome,
            other: None,
        };
    }
    let (later_copy, later) = match copy {
        RequestCopy::First => (RequestCopy::Hedge, hedge.await),
        RequestCopy::Hedge => (RequestCopy::First, first.await),
    };
    let step = race.record(later_copy, is_good(&later));
    let counts_later = match severity(&later).cmp(&severity(&outcome)) {
        _ if step == RaceStep::Deliver(later_copy) => true,
        Ordering::Greater => true,
        Ordering::Equal => later_copy == RequestCopy::First,
        Ordering::Less => false,
    };
    let (counted, outcome, other) = if counts_later {
        (later_copy, later, outcome)
    } else {
        (copy, outcome, later)
    };
    RaceEnd {
        race,
        counted,
        outcome,
        other: Some(other),
    }
}

/// Records how long the first copy took, or how long it had taken when it was cancelled.
fn record_response(context: RequestContext<'_>, first: &SlotGuard<'_>, end: &RaceEnd) {
    let gateway = context.gateway;
    if !end.tells_response_time() || gateway.is_overloaded() {
        return;
    }
    let now = gateway.now();
    let time = now.duration_since(first.sent_at);
    let service = first.admitted.request.service;
    let mut scheduler = gateway.scheduler.borrow_mut();
    scheduler.hedging.record_response(service, time, now);
}

/// Records what the copies tell of their servers, and returns the outcome that counts.
///
/// The slot of the other copy is released.
fn settle<'a>(
    context: RequestContext<'a>,
    (progress, hedge_progress): (&mut RequestProgress, &mut RequestProgress),
    end: RaceEnd,
    slot: SlotGuard<'a>,
    hedge: Hedge<'a>,
) -> HedgedEnd<'a> {
    let winner = end.race.winner();
    hedge.log.end(winner);
    progress.sends += hedge_progress.sends - hedge.earlier_sends;
    let server = hedge.slot.placement.server;
    let first_responded = slot.responded;
    let (mut slot, mut other_slot, other_progress) = match end.counted {
        RequestCopy::First => (slot, hedge.slot, &mut *hedge_progress),
        RequestCopy::Hedge => (hedge.slot, slot, &mut *progress),
    };
    if end.other.is_none() {
        other_slot.end_early();
    }
    let mut error_response = None;
    if let Some(other) = end.other {
        let counts = end.race.counts_failures();
        error_response = record_failure(context, other_progress, &other_slot, other, counts);
    }
    progress.add_hedge(hedge_progress, server, context.gateway.server_name(server));
    if end.counted == RequestCopy::Hedge && !first_responded {
        slot.is_hedge = false;
        if slot.responded {
            slot.count_start();
        }
    }
    HedgedEnd {
        outcome: end.outcome,
        slot,
        error_response: error_response.filter(|_| winner.is_none()),
    }
}

/// Records what a copy that broke off tells of its server, if it `counts`; returns the response of one that is complete.
fn record_failure(
    context: RequestContext<'_>,
    progress: &mut RequestProgress,
    slot: &SlotGuard<'_>,
    outcome: SendOutcome,
    counts: bool,
) -> Option<ServerResponse> {
    let server = slot.placement.server;
    let reason = match outcome {
        SendOutcome::Interrupted(interruption) => interruption.reason,
        SendOutcome::Response(response) => {
            let Some(end) = broken_body(&response) else {
                return Some(response).filter(is_complete);
            };
            progress.record_body_end(response.framing, end, 0);
            "the answer broke off".into()
        }
        _ => return None,
    };
    log_interruption(context, progress, server, &reason);
    if counts {
        retry::record_outcome(context.gateway, server, ServerOutcome::Failed);
    }
    None
}

/// Logs the end of a hedge when it is dropped, which happens also if the request ends before both copies.
struct HedgeLog<'a> {
    context: RequestContext<'a>,
    state: Rc<HedgeState>,
    service: Box<str>,
    servers: [Box<str>; 2],
    waited: Duration,
    sent_at: Instant,
    winner: &'static str,
}

impl<'a> HedgeLog<'a> {
    /// Logs that a hedge is sent.
    fn begin(
        context: RequestContext<'a>,
        request: &Request,
        slot: &SlotGuard<'_>,
        first_sent: Instant,
        state: &Rc<HedgeState>,
    ) -> Self {
        let gateway = context.gateway;
        let first = request.tried.last().map(|s| gateway.server_name(*s));
        let sent_at = slot.sent_at;
        let log = Self {
            context,
            state: Rc::clone(state),
            service: slot.admitted.service_name.clone(),
            servers: [
                first.unwrap_or_default(),
                gateway.server_name(slot.placement.server),
            ],
            waited: sent_at.duration_since(first_sent),
            sent_at,
            winner: "none",
        };
        let mut fields = log.fields();
        let expected = slot.placement.expected_ttft;
        fields["server"] = json!(log.servers[1]);
        fields["expected_ms"] = json!(expected.as_millis() as u64);
        event_log::request_step("hedge_sent", &context.request.attempt_id, fields);
        log
    }

    /// Records which copy won; `None` if both failed.
    fn end(mut self, winner: Option<RequestCopy>) {
        self.winner = winner.map_or("both_failed", RequestCopy::name);
        if winner == Some(RequestCopy::Hedge) {
            self.context.gateway.metrics.hedge_won(&self.service);
        }
    }

    fn fields(&self) -> Value {
        json!({"servers": self.servers, "waited_ms": self.waited.as_millis() as u64})
    }
}

impl Drop for HedgeLog<'_> {
    fn drop(&mut self) {
        let took = self.context.gateway.now().duration_since(self.sent_at);
        let mut fields = self.fields();
        fields["winner"] = json!(self.winner);
        fields["took_ms"] = json!(took.as_millis() as u64);
        self.state.fields.replace(fields.clone());
        event_log::request_step("hedge_ended", &self.context.request.attempt_id, fields);
    }
}
