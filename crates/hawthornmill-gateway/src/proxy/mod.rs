//! Handling of one request, from its first byte to its log line.
//!
//! | step | input | output |
//! |---|---|---|
//! | [`read`] | bytes from a client | a [`read::ClientRequest`] |
//! | [`request_body`], [`reservation`] | the rest of a request | its body, once its memory is reserved |
//! | [`start_wait`] | a request of a process that has just started | the same, once it can be admitted |
//! | [`admission`] | a request and the catalog | an [`admission::Admitted`], or an [`error_response::ErrorResponse`] |
//! | [`take_up`] | a request that takes up a stream | the same, bound to the version of its servers |
//! | queue | an admitted request | a server chosen by the scheduler |
//! | [`connect`], [`mod@send`], [`request_writer`] | a request and its server | a [`send::SendOutcome`] |
//! | [`hedge`] | a request that may be repeated, and its server | the same, of the first good answer of two servers |
//! | [`response_reader`], [`response_limits`], [`held_bytes`] | bytes of a server | the head of its answer, or why its connection is closed |
//! | [`forward`], [`events`] | a server's response | bytes to the client |
//! | [`progress`] | the outcome | log line, counters |
//!
//! Only [`retry`] decides whether a request is sent again.

pub mod admission;
pub mod begin;
pub mod connect;
pub mod error_response;
pub mod events;
pub mod first_ask;
pub mod forward;
pub mod hedge;
pub mod held_bytes;
pub mod progress;
pub mod quarantine;
pub mod read;
pub mod request_body;
pub mod request_writer;
pub mod reservation;
pub mod response_limits;
pub mod response_reader;
pub mod retry;
pub mod send;
pub mod start_wait;
pub mod take_up;

use std::cell::Cell;
use std::num::NonZeroU64;
use std::rc::Rc;
use std::time::{Duration, Instant};

use admission::{Admitted, StreamOrigin};
use error_response::{Answered, ErrorResponse};
use events::CompleteEvents;
use forward::{ForwardOutcome, forward_response, write_buffered};
use hawthornmill::codes::Code;
use hawthornmill::ident::{ServerId, VersionId};
use hawthornmill::quarantine::evidence::RunningRequest;
use hawthornmill::routing::loads;
use hawthornmill::routing::placement::Placement;
use hawthornmill::routing::registry::ServerRun;
use hawthornmill::routing::request::{Cause, Refusal, Request};
use hawthornmill::routing::stream_versions::{StreamKey, StreamVersion, UNDECIDED};
use hedge::send_hedged;
use progress::RequestProgress;
use read::ClientRequest;
use retry::RetryDecision;
use send::{SendOutcome, ServerResponse, silence_limit};
use serde_json::json;
use tokio::net::tcp::OwnedWriteHalf;

use crate::event_log;
use crate::gateway::Gateway;
use crate::lifecycle::Phase;
use crate::server_crashes::BrokenRequest;
use crate::server_runs;

/// How a request ended, which determines whether its connection can be reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The client received a complete response; the connection can carry another request.
    Complete,
    /// The response was cut off, which the client can tell from its framing.
    Truncated,
    /// The client closed its connection before it received a complete response.
    ClientClosed,
}

/// Whether to close the client connection after the response.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionClose {
    /// Close after any response.
    pub always: bool,
    /// Close after a rejection with a retry delay.
    pub on_rejection: bool,
}

/// Context that every step of a request shares.
#[derive(Debug, Clone, Copy)]
pub struct RequestContext<'a> {
    /// State of the process.
    pub gateway: &'a Rc<Gateway>,
    /// The request as received.
    pub request: &'a ClientRequest,
    /// Whether to close the connection after the response.
    pub close: ConnectionClose,
}

/// Handles a request within the time that its route and its client allow.
pub async fn handle_request(
    context: RequestContext<'_>,
    progress: &mut RequestProgress,
    out: &mut OwnedWriteHalf,
) -> RequestOutcome {
    start_wait::wait_for_state(context.gateway, context.request).await;
    let admitted = match admission::admit(context.gateway, context.request) {
        Ok(admitted) => admitted,
        Err(response) => return send_error(context, progress, &response, out).await,
    };
    if may_be_cut(context, &admitted) {
        return send_error(context, progress, &admission::stopping(), out).await;
    }
    progress.record_admitted(context.request, &admitted);
    let deadline = tokio::time::Instant::from_std(admitted.request.deadline);
    let late_code = tokio::select! {
        biased;
        outcome = try_servers(context, &admitted, progress, out) => return outcome,
        () = tokio::time::sleep_until(deadline) => Code::DeadlineWhileRunning,
        () = context.gateway.lifecycle.ending() => Code::InstanceStopped,
    };
    if progress.response_started() {
        progress.set_code(late_code);
        return RequestOutcome::Truncated;
    }
    let response = match late_code {
        code if progress.may_have_executed() => ErrorResponse::new(code),
        Code::InstanceStopped => admission::stopping(),
        _ => ErrorResponse::with_retry_after(Code::QueueTooLong, admitted.request.objective),
    };
    send_error(context, progress, &response, out).await
}

/// Returns whether this instance may stop before it has the answer to a request that its client can't safely repeat.
fn may_be_cut(context: RequestContext<'_>, admitted: &Admitted) -> bool {
    let lifecycle = &context.gateway.lifecycle;
    !admitted.retry_policy.allows_retry() && lifecycle.may_cut(admitted.request.deadline)
}

/// A slot of a server that one request occupies; dropping it releases the slot.
#[derive(Debug)]
pub struct SlotGuard<'a> {
    gateway: &'a Gateway,
    admitted: &'a Admitted,
    placement: Placement,
    sent_at: Instant,
    /// Version of the server when the request was sent.
    version: Option<VersionId>,
    /// Run of the server to which the request was sent; `None` if it is not registered.
    run: Option<ServerRun>,
    responded: bool,
    /// It belongs to a hedge, whose first token counts for the request only if it wins.
    is_hedge: bool,
    /// Time without a response from which the server counts as failed.
    silence_limit: Duration,
    /// The slot is released already.
    released: bool,
    /// The end of its connection is recorded.
    break_recorded: Cell<bool>,
}

/// Multiple of the latency objective after which a server without a response counts as failed.
///
/// A server that accepts requests and never responds would look idle and attract more of them. Under
/// load, all servers are late by the same measure, so none of them is put at a disadvantage.
const UNRESPONSIVE_FACTOR: f64 = 1.5;

/// Least status of a response that is an error.
const FIRST_ERROR_STATUS: u16 = 400;

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        self.release();
    }
}

impl<'a> SlotGuard<'a> {
    /// Occupies the slot of a placed request from now on.
    fn new(gateway: &'a Gateway, admitted: &'a Admitted, placement: Placement) -> Self {
        Self {
            gateway,
            admitted,
            placement,
            sent_at: gateway.now(),
            version: gateway.server_version(placement.server),
            run: gateway.server_run(placement.server),
            responded: false,
            is_hedge: false,
            silence_limit: admitted.request.objective.mul_f64(UNRESPONSIVE_FACTOR),
            released: false,
            break_recorded: Cell::new(false),
        }
    }
}

impl SlotGuard<'_> {
    /// Records that a copy of a hedged request was cancelled or failed, so that its server had less time than usual.
    fn end_early(&mut self) {
        self.silence_limit = silence_limit(self.admitted, &self.placement);
    }

    /// Releases the slot, and records a server that was silent for too long as failed; later calls have no effect.
    fn release(&mut self) {
        if std::mem::replace(&mut self.released, true) {
            return;
        }
        let elapsed = self.gateway.now().duration_since(self.sent_at);
        if !self.responded && elapsed > self.silence_limit {
            retry::record_outcome(
                self.gateway,
                self.placement.server,
                loads::ServerOutcome::Failed,
            );
        }
        self.gateway.release(&self.placement, self.responded);
    }

    /// Binds a stream whose first event came from this server to the server's version, or later if that is in doubt.
    ///
    /// `proven` is the start of the run that the server reported on the connection of the stream, if it did.
    pub fn bind_stream(&self, proven: Option<NonZeroU64>, progress: &mut RequestProgress) {
        let gateway = self.gateway;
        progress.version = self.known_version(proven);
        let key = match self.admitted.stream {
            Some(StreamOrigin::New(key)) => key,
            Some(StreamOrigin::Resumed(Some(key))) => return self.record_resumed(key, progress),
            _ => return,
        };
        let version = progress.version.unwrap_or(UNDECIDED);
        gateway
            .streams
            .begin(gateway, StreamVersion { key, version });
        if version == UNDECIDED {
            let mut scheduler = gateway.scheduler.borrow_mut();
            let server = self.placement.server;
            scheduler.doubts.record_stream(server, key, proven);
        }
    }

    /// Records the version at which a stream goes on of which nobody had a record, so that it needs no date when it breaks again.
    fn record_resumed(&self, key: StreamKey, progress: &RequestProgress) {
        let streams = &self.gateway.streams;
        if let Some(version) = progress.version.filter(|_| streams.known(key).is_none()) {
            streams.begin(self.gateway, StreamVersion { key, version });
        }
    }

    /// Returns the version of the run that answers; `None` if another run may have taken the request.
    fn known_version(&self, proven: Option<NonZeroU64>) -> Option<VersionId> {
        let (run, version) = (self.run?, self.version?);
        let scheduler = self.gateway.scheduler.borrow();
        let Some(start_ms) = proven.map(NonZeroU64::get) else {
            return scheduler.has_version(run, version).then_some(version);
        };
        if start_ms == run.start_ms {
            return Some(version);
        }
        // Its entry may have come since the request was sent.
        let registered = &scheduler.registry.get(run.server)?.registration;
        (registered.start_ms == start_ms).then_some(registered.version)
    }

    /// Records that the connection ended on which the server ran the request; later calls have no effect.
    fn record_break(&self, request: &ClientRequest, progress: &RequestProgress) {
        let Some(run) = self.run.filter(|_| !self.break_recorded.replace(true)) else {
            return;
        };
        let gateway = self.gateway;
        server_runs::record_break(gateway, run, gateway.now(), "broken");
        let broken = BrokenRequest {
            attempt_id: request.attempt_id.clone(),
            sent_at: self.sent_at,
            ran: self.gateway.now().duration_since(self.sent_at),
            running: RunningRequest {
                attempt: quarantine::attempt_hash(request),
                fingerprints: quarantine::fingerprints(request, self.admitted).clone(),
                events: progress.server_events,
                position: progress.last_event_id.unwrap_or(0),
            },
        };
        self.gateway
            .server_crashes
            .record_break(self.gateway, run, broken);
    }

    /// Records that a stream went on.
    pub fn record_events(
        &self,
        context: RequestContext<'_>,
        progress: &RequestProgress,
        events: &CompleteEvents,
    ) {
        self.record_life();
        quarantine::record_events(context, self.admitted, progress.server_events, events.count);
    }

    fn record_life(&self) {
        if let Some(run) = self.run {
            let crashes = &self.gateway.server_crashes;
            crashes.record_life(self.gateway, run, self.sent_at);
        }
    }

    /// Records the first token of the response with `status`; later calls have no effect.
    pub fn record_first_token(&mut self, status: u16) {
        if std::mem::replace(&mut self.responded, true) {
            return;
        }
        self.record_life();
        if !self.released {
            self.observe_first_token(status);
        }
        if !self.is_hedge {
            self.count_start();
        }
    }

    fn observe_first_token(&self, status: u16) {
        let now = self.gateway.now();
        let request = &self.admitted.request;
        // An error comes sooner than a response, and would credit the server as fast.
        let is_untimed = status >= FIRST_ERROR_STATUS && self.placement.speed.is_some();
        let is_timed = !is_untimed && !self.gateway.is_overloaded();
        let elapsed = is_timed.then(|| now.duration_since(self.sent_at));
        self.gateway.scheduler.borrow_mut().record_first_token(
            request.service,
            &self.placement,
            elapsed,
            now,
        );
        self.gateway.announce_work();
    }

    /// Counts the time from the arrival of the request to the begin of its response.
    fn count_start(&self) {
        let arrival = self.admitted.request.arrival;
        let latency = self.gateway.now().duration_since(arrival);
        self.gateway
            .metrics
            .response_started(&self.admitted.service_name, latency);
    }
}

/// Sends the request to one server after another until one responds or the retries are used up.
async fn try_servers(
    context: RequestContext<'_>,
    admitted: &Admitted,
    progress: &mut RequestProgress,
    out: &mut OwnedWriteHalf,
) -> RequestOutcome {
    let mut request = admitted.request.clone();
    match admitted.stream {
        Some(StreamOrigin::Resumed(key)) => {
            match take_up::stream_version(context, admitted, key).await {
                Ok(stream) => {
                    request.version = Some(stream.version);
                    request.goes_on = stream.is_genuine;
                }
                Err(delay) => {
                    // Another attempt may reach an instance that knows it.
                    let unknown = ErrorResponse::with_retry_after(Code::VersionUnknown, delay);
                    return send_error(context, progress, &unknown, out).await;
                }
            }
        }
        Some(StreamOrigin::New(_)) => {
            if let Err(response) = begin::wait_for_registrations(context, admitted).await {
                return send_error(context, progress, &response, out).await;
            }
        }
        None => {}
    }
    let mut fallback: Option<ServerResponse> = None;
    loop {
        request.version = progress.version.or(request.version);
        if progress.response_started() && request.version.is_none() {
            request.version = version_learned(context.gateway, admitted);
            if request.version.is_none() {
                progress.set_code(Code::VersionUnknown);
                return RequestOutcome::Truncated;
            }
        }
        if let Err(refusal) = quarantine::wait_until_clear(context, admitted).await {
            return refuse(
                context, admitted, progress, &request, fallback, refusal, out,
            )
            .await;
        }
        let placement = match context.gateway.select_server(&request).await {
            Ok(placement) => placement,
            Err(refusal) => {
                return refuse(
                    context, admitted, progress, &request, fallback, refusal, out,
                )
                .await;
            }
        };
        request.tried.push(placement.server);
        let slot = SlotGuard::new(context.gateway, admitted, placement);
        if context.gateway.phase() >= Phase::Draining
            && may_be_cut(context, admitted)
            && !progress.may_have_executed()
        {
            return send_error(context, progress, &admission::stopping(), out).await;
        }
        let decision = match attempt(context, &request, progress, slot, &mut fallback, out).await {
            Ok(outcome) => return outcome,
            Err(decision) => decision,
        };
        request.tried.extend(progress.take_hedge_server());
        match decision {
            RetryDecision::Retry => {}
            RetryDecision::Reject => {
                let refusal = Refusal {
                    code: Code::UpstreamUnreachable,
                    cause: Cause::NoServer,
                    retry_after: admitted.request.objective / 2,
                };
                return end_without_server(context, progress, fallback, refusal, out).await;
            }
            RetryDecision::Fail if progress.response_started() => {
                progress.set_code(progress.failure_code());
                return RequestOutcome::Truncated;
            }
            RetryDecision::Fail => {
                let response = ErrorResponse::new(progress.failure_code());
                return send_error(context, progress, &response, out).await;
            }
        }
    }
}

/// Returns the version of a stream that began here while that of its server was in doubt; `None` while it still is.
fn version_learned(gateway: &Gateway, admitted: &Admitted) -> Option<VersionId> {
    match admitted.stream? {
        StreamOrigin::New(key) => gateway.streams.known(key).filter(|v| *v != UNDECIDED),
        StreamOrigin::Resumed(_) => None,
    }
}

/// Sends the request to one server, and to a second one where a hedge is due; the error is the decision that follows a
/// failure.
async fn attempt(
    context: RequestContext<'_>,
    request: &Request,
    progress: &mut RequestProgress,
    slot: SlotGuard<'_>,
    fallback: &mut Option<ServerResponse>,
    out: &mut OwnedWriteHalf,
) -> Result<RequestOutcome, RetryDecision> {
    let (gateway, admitted) = (context.gateway, slot.admitted);
    progress.start_attempt(
        gateway,
        context.request,
        admitted,
        &slot.placement,
        request.version,
    );
    let mut resumption = take_up::Resumption::start(context, progress, slot.placement.server);
    let end = send_hedged(context, request, progress, slot).await;
    let (mut slot, error_response) = (end.slot, end.error_response);
    let ended = conclude(context, progress, end.outcome, &mut slot, fallback, out).await;
    resumption.record_end(ended);
    match (ended, error_response) {
        (Err(RetryDecision::Fail), Some(response)) if !progress.response_started() => {
            Ok(write_buffered(context, progress, &response, out).await)
        }
        (Err(decision), Some(response)) => {
            *fallback = forward::keep(gateway, response);
            Err(decision)
        }
        (ended, _) => ended,
    }
}

/// Forwards the response of a server; the error is the decision that follows a failure.
async fn conclude(
    context: RequestContext<'_>,
    progress: &mut RequestProgress,
    outcome: SendOutcome,
    slot: &mut SlotGuard<'_>,
    fallback: &mut Option<ServerResponse>,
    out: &mut OwnedWriteHalf,
) -> Result<RequestOutcome, RetryDecision> {
    let (gateway, admitted) = (context.gateway, slot.admitted);
    let server = slot.placement.server;
    match outcome {
        SendOutcome::Response(mut response)
            if retry::is_server_error(&response)
                && retry::try_retry(gateway, admitted, progress) =>
        {
            forward::record_server_outcome(gateway, &mut response);
            if let Some(response) = forward::read_to_end(context, response).await {
                *fallback = Some(response);
            }
            Err(RetryDecision::Retry)
        }
        SendOutcome::Response(response) => {
            match forward_response(context, progress, response, slot, out).await {
                ForwardOutcome::Complete => {
                    quarantine::record_answer(context, admitted, progress.status);
                    Ok(RequestOutcome::Complete)
                }
                ForwardOutcome::ClientClosed => Ok(RequestOutcome::ClientClosed),
                ForwardOutcome::Truncated => {
                    log_interruption(context, progress, server, "the answer broke off");
                    if progress.connection_lost() {
                        slot.record_break(context.request, progress);
                    }
                    Err(retry::on_interrupted(context, admitted, progress, server))
                }
            }
        }
        SendOutcome::Unreachable(_) => Err(retry::on_unreachable(progress)),
        SendOutcome::Withheld => Err(RetryDecision::Retry),
        SendOutcome::NotExecuted { .. } => Err(retry::on_not_executed(gateway, admitted, progress)),
        SendOutcome::Interrupted(interruption) => {
            log_interruption(context, progress, server, &interruption.reason);
            if interruption.connection_lost {
                slot.record_break(context.request, progress);
            }
            Err(retry::on_interrupted(context, admitted, progress, server))
        }
    }
}

fn log_interruption(
    context: RequestContext<'_>,
    progress: &RequestProgress,
    server: ServerId,
    reason: &str,
) {
    let fields = json!({
        "server": context.gateway.server_name(server), "why": reason, "body": progress.body_fields(),
    });
    event_log::request_problem("server_broke_off", &context.request.attempt_id, fields);
}

/// Logs and counts a refusal, and ends the request.
async fn refuse(
    context: RequestContext<'_>,
    admitted: &Admitted,
    progress: &mut RequestProgress,
    request: &Request,
    fallback: Option<ServerResponse>,
    refusal: Refusal,
    out: &mut OwnedWriteHalf,
) -> RequestOutcome {
    progress::log_rejection(context, admitted, request, &refusal);
    let metrics = &context.gateway.metrics;
    metrics.request_refused(&admitted.service_name, refusal.cause);
    end_without_server(context, progress, fallback, refusal, out).await
}

/// Ends a request for which there is no further server.
///
/// The client receives the error response of a server if there is one, else an error that tells whether
/// the request may have been executed.
async fn end_without_server(
    context: RequestContext<'_>,
    progress: &mut RequestProgress,
    fallback: Option<ServerResponse>,
    refusal: Refusal,
    out: &mut OwnedWriteHalf,
) -> RequestOutcome {
    if progress.response_started() {
        progress.set_code(refusal.code);
        return RequestOutcome::Truncated;
    }
    if let Some(response) = fallback {
        return write_buffered(context, progress, &response, out).await;
    }
    let response = if progress.may_have_executed() {
        ErrorResponse::new(progress.failure_code())
    } else {
        ErrorResponse::with_retry_after(refusal.code, refusal.retry_after)
    };
    send_error(context, progress, &response, out).await
}

async fn send_error(
    context: RequestContext<'_>,
    progress: &mut RequestProgress,
    response: &ErrorResponse,
    out: &mut OwnedWriteHalf,
) -> RequestOutcome {
    progress.record_error(response);
    let close = context.close.always || (context.close.on_rejection && progress.has_retry_after());
    let answered = Answered {
        attempt_id: &context.request.attempt_id,
        forbids_body: context.request.head.forbids_body(),
    };
    match response.write(context.gateway, answered, close, out).await {
        Ok(()) => RequestOutcome::Complete,
        Err(_closed) => RequestOutcome::ClientClosed,
    }
}
