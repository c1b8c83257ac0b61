//! Sends a second copy of a request that has had no answer for some time, and cancels the copy that is not needed.
//!
//! A copy is cancelled by dropping it, which closes its connection; servers stop work for a closed connection.

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
/// Returns the outcome that counts, with the slot of its server.
pub async fn send_hedged<'a>(
    context: RequestContext<'a>,
    request: &Request,
    progress: &mut RequestProgress,
    mut slot: SlotGuard<'a>,
) -> (SendOutcome, SlotGuard<'a>) {
    let admitted = slot.admitted;
    if !is_hedgeable(context, admitted) {
        let outcome = send(context, admitted, progress, &slot.placement).await;
        return (outcome, slot);
    }
    let state = progress.hedge_state();
    let mut hedge_progress = progress.for_hedge();
    let mut hedge = None;
    let end = {
        let mut first = pin!(send_copy(context, progress, &mut slot));
        match send_until_due(context, admitted, first.as_mut()).await {
            Some(outcome) => RaceEnd::without_hedge(outcome),
            None => match place_hedge(context, admitted, request, hedge_progress.sends, &state) {
                Ok(placed) => {
                    let placed = hedge.insert(placed);
                    let second = send_copy(context, &mut hedge_progress, &mut placed.slot);
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
        None => (end.into_first(), slot),
    }
}

/// Returns whether the request may be sent to two servers at the same time.
fn is_hedgeable(context: RequestContext<'_>, admitted: &Admitted) -> bool {
    let scheduler = context.gateway.scheduler.borrow();
    scheduler.hedges_service(admitted.request.service)
        && admitted.retry_policy == RetryPolicy::Idempotent
        && !admitted.streaming
}

/// Sends one copy, and reads its answer as far as it is buffered.
async fn send_copy(
    context: RequestContext<'_>,
    progress: &mut RequestProgress,
    slot: &mut SlotGuard<'_>,
) -> SendOutcome {
    let (admitted, placement) = (slot.admitted, slot.placement);
    let mut outcome = send(context, admitted, progress, &placement).await;
    if let SendOutcome::Response(response) = &mut outcome {
        let is_error = retry::is_server_error(response);
        let on_data = || {
            if !is_error {
                slot.record_first_token();
            }
        };
        forward::read_ahead(response, on_data).await;
    }
    // Recorded before the other copy ends: it may be about to crash a second server.
    if is_connection_lost(&outcome) {
        slot.record_break(context.request, progress);
    }
    outcome
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
}

/// Chooses the server of a hedge, which counts as sent from then on.
///
/// # Errors
/// Why no hedge may be sent.
fn place_hedge<'a>(
    context: RequestContext<'a>,
    admitted: &'a Admitted,
    request: &Request,
    sends: u32,
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
    let log = HedgeLog::begin(context, request, &slot, state);
    Ok(Hedge { slot, log })
}

/// How the copies of a request ended.
struct RaceEnd {
    race: Race,
    copies: CopyOutcomes,
}

/// The outcome that counts, and that of the other copy if it ended before.
enum CopyOutcomes {
    First {
        outcome: SendOutcome,
        hedge: Option<SendOutcome>,
    },
    Hedge {
        answer: SendOutcome,
        first: Option<SendOutcome>,
    },
}

impl RaceEnd {
    /// The end of a request that was sent once.
    fn without_hedge(outcome: SendOutcome) -> Self {
        let mut race = Race::default();
        race.record(RequestCopy::First, is_good(&outcome));
        let copies = CopyOutcomes::First {
            outcome,
            hedge: None,
        };
        Self { race, copies }
    }

    /// Returns the outcome that counts.
    fn into_first(self) -> SendOutcome {
        match self.copies {
            CopyOutcomes::First { outcome, .. } => outcome,
            CopyOutcomes::Hedge { answer, .. } => answer,
        }
    }

    /// Returns whether the first copy answered, or was still running when the hedge won.
    fn tells_response_time(&self) -> bool {
        match &self.copies {
            CopyOutcomes::First { .. } => self.race.winner().is_some(),
            CopyOutcomes::Hedge { first, .. } => first.is_none(),
        }
    }
}

/// Returns whether an outcome is an answer for the caller: complete, or too long to wait for its end.
fn is_good(outcome: &SendOutcome) -> bool {
    let SendOutcome::Response(response) = outcome else {
        return false;
    };
    !retry::is_server_error(response) && broken_body(response).is_none()
}

/// Returns how the body of a response that was read ahead was cut off.
fn broken_body(response: &ServerResponse) -> Option<BodyEnd> {
    match response.read_ahead.as_ref()?.end {
        Buffered::Truncated(end) => Some(end),
        Buffered::Complete(_) | Buffered::TooLong => None,
    }
}

/// Waits for the first good answer of two copies, or for both failures; if both end at the same time, the first counts.
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
    let step = race.record(copy, is_good(&outcome));
    let copies = match (copy, step) {
        (RequestCopy::First, RaceStep::Wait) => {
            let other = hedge.await;
            match race.record(RequestCopy::Hedge, is_good(&other)) {
                RaceStep::Deliver(_) => CopyOutcomes::Hedge {
                    answer: other,
                    first: Some(outcome),
                },
                _ => CopyOutcomes::First {
                    outcome,
                    hedge: Some(other),
                },
            }
        }
        (RequestCopy::Hedge, RaceStep::Wait) => {
            let other = first.await;
            race.record(RequestCopy::First, is_good(&other));
            CopyOutcomes::First {
                outcome: other,
                hedge: Some(outcome),
            }
        }
        (RequestCopy::First, _) => CopyOutcomes::First {
            outcome,
            hedge: None,
        },
        (RequestCopy::Hedge, _) => CopyOutcomes::Hedge {
            answer: outcome,
            first: None,
        },
    };
    RaceEnd { race, copies }
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

/// Records what the copies tell of their servers, and returns the outcome that counts with the slot of its server.
///
/// The slot of the other copy is released.
fn settle<'a>(
    context: RequestContext<'a>,
    (progress, hedge_progress): (&mut RequestProgress, &mut RequestProgress),
    end: RaceEnd,
    mut slot: SlotGuard<'a>,
    hedge: Hedge<'a>,
) -> (SendOutcome, SlotGuard<'a>) {
    let Hedge {
        slot: mut hedge_slot,
        log,
    } = hedge;
    log.end(end.race.winner());
    progress.sends += u32::from(hedge_progress.bytes_sent());
    let counts = end.race.counts_failures();
    let server = hedge_slot.placement.server;
    let name = context.gateway.server_name(server);
    match end.copies {
        CopyOutcomes::First { outcome, hedge } => {
            hedge_slot.cancelled = hedge.is_none();
            if let Some(failed) = hedge {
                record_failure(context, hedge_progress, &hedge_slot, failed, counts);
            }
            progress.add_hedge(hedge_progress, server, name);
            (outcome, slot)
        }
        CopyOutcomes::Hedge { answer, first } => {
            slot.cancelled = first.is_none();
            if let Some(failed) = first {
                record_failure(context, progress, &slot, failed, counts);
            }
            progress.add_hedge(hedge_progress, server, name);
            if !slot.responded {
                hedge_slot.count_start();
            }
            (answer, hedge_slot)
        }
    }
}

/// Records what the failure of one copy tells of its server; a broken answer only if `counts`.
fn record_failure(
    context: RequestContext<'_>,
    progress: &mut RequestProgress,
    slot: &SlotGuard<'_>,
    outcome: SendOutcome,
    counts: bool,
) {
    let (gateway, server) = (context.gateway, slot.placement.server);
    let reason = match outcome {
        SendOutcome::Unreachable(reason) => {
            return retry::record_unreachable(gateway, context.request, server, &reason);
        }
        SendOutcome::Withheld => return retry::log_withheld(gateway, context.request, server),
        SendOutcome::NotExecuted { misdirected } => {
            progress.record_not_executed();
            return retry::record_not_executed(gateway, server, misdirected);
        }
        SendOutcome::Interrupted(interruption) => interruption.reason,
        SendOutcome::Response(response) => {
            let Some(end) = broken_body(&response) else {
                return retry::record_outcome(gateway, server, ServerOutcome::Failed);
            };
            progress.record_body_end(response.framing, end, 0);
            "the answer broke off".into()
        }
    };
    log_interruption(context, progress, server, &reason);
    if counts {
        retry::record_outcome(gateway, server, ServerOutcome::Failed);
    }
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
            waited: sent_at.duration_since(request.arrival),
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
