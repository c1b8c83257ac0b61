//! One request, from its first byte to its settlement.
//!
//! | step | takes | gives |
//! |---|---|---|
//! | [`read`] | bytes of a caller | a [`read::ClientRequest`] |
//! | [`admission`] | a call and the catalog | an [`admission::Admitted`], or a [`error_response::ErrorResponse`] |
//! | wait | an admitted call | a server, from the desk |
//! | [`mod@send`] | a call and its server | a [`send::SendOutcome`] |
//! | [`forward`], [`events`] | a server's answer | bytes to the caller |
//! | [`progress`] | how it ended | log line, counters |
//!
//! [`retry`] alone decides whether a request is sent once more.

pub mod admission;
pub mod error_response;
pub mod events;
pub mod forward;
pub mod progress;
pub mod read;
pub mod retry;
pub mod send;

use std::time::Instant;

use admission::Admitted;
use error_response::ErrorResponse;
use forward::{ForwardOutcome, forward_response, write_buffered};
use hawthornmill::codes::Code;
use hawthornmill::ident::ServerId;
use hawthornmill::routing::loads;
use hawthornmill::routing::placement::Placement;
use hawthornmill::routing::request::{Cause, Refusal};
use progress::RequestProgress;
use read::ClientRequest;
use retry::RetryDecision;
use send::{SendOutcome, ServerResponse, send};
use serde_json::json;
use tokio::net::tcp::OwnedWriteHalf;

use crate::event_log;
use crate::gateway::Gateway;

/// How a request ended for its caller's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The caller has a whole answer; the connection may carry another request.
    Complete,
    /// The answer was broken off, visibly.
    Truncated,
    /// The caller closed its connection before it had its answer.
    ClientClosed,
}

/// Whether the connection ends after the answer.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionClose {
    /// After any answer.
    pub always: bool,
    /// After a refusal.
    pub on_rejection: bool,
}

/// What every step of a request looks at.
#[derive(Debug, Clone, Copy)]
pub struct RequestContext<'a> {
    /// The process.
    pub gateway: &'a Gateway,
    /// The request as it came.
    pub request: &'a ClientRequest,
    /// Whether the connection ends after the answer.
    pub close: ConnectionClose,
}

/// Carries a request to its end, in the time that its route and its caller allow.
pub async fn handle_request(
    context: RequestContext<'_>,
    progress: &mut RequestProgress,
    out: &mut OwnedWriteHalf,
) -> RequestOutcome {
    let admitted = match admission::admit(context.gateway, context.request) {
        Ok(admitted) => admitted,
        Err(response) => return send_error(context, progress, &response, out).await,
    };
    progress.record_admitted(context.request, &admitted);
    let ends = tokio::time::Instant::from_std(admitted.request.deadline);
    let try_servers = try_servers(context, &admitted, progress, out);
    if let Ok(end) = tokio::time::timeout_at(ends, try_servers).await {
        return end;
    }
    if progress.response_started() {
        progress.set_code(Code::DeadlineWhileRunning);
        return RequestOutcome::Truncated;
    }
    let response = if progress.may_have_executed() {
        ErrorResponse::new(Code::DeadlineWhileRunning)
    } else {
        ErrorResponse::with_retry_after(Code::QueueTooLong, admitted.request.objective)
    };
    send_error(context, progress, &response, out).await
}

/// A server's place for one request, released however that ends.
#[derive(Debug)]
pub struct SlotGuard<'a> {
    gateway: &'a Gateway,
    admitted: &'a Admitted,
    choice: Placement,
    sent_at: Instant,
    responded: bool,
}

/// Times the objective after which a server that has not begun counts as silent.
///
/// A server that takes requests and answers none looks idle, and would draw more of them; no answer
/// of its own ever says so. Under load all servers are late alike, so none is passed over for it.
const SILENT_FACTOR: f64 = 1.5;

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        let silent = self.admitted.request.objective.mul_f64(SILENT_FACTOR);
        let time = self.gateway.now().duration_since(self.sent_at);
        if !self.responded && time > silent {
            retry::record_verdict(
                self.gateway,
                self.choice.server,
                loads::ServerOutcome::Failed,
            );
        }
        self.gateway.release(&self.choice, self.responded);
    }
}

impl SlotGuard<'_> {
    /// The answer's first token is here; later calls change nothing.
    pub fn record_first_token(&mut self) {
        if std::mem::replace(&mut self.responded, true) {
            return;
        }
        let now = self.gateway.now();
        let request = &self.admitted.request;
        let time = (!self.gateway.is_overloaded()).then(|| now.duration_since(self.sent_at));
        self.gateway.scheduler.borrow_mut().record_first_token(
            request.service,
            &self.choice,
            time,
            now,
        );
        self.gateway.announce_work();
        let whole = now.duration_since(request.arrival);
        self.gateway
            .metrics
            .response_started(&self.admitted.service_name, whole);
    }
}

/// Sends the request to one server after another until it ends.
async fn try_servers(
    context: RequestContext<'_>,
    admitted: &Admitted,
    progress: &mut RequestProgress,
    out: &mut OwnedWriteHalf,
) -> RequestOutcome {
    let mut request = admitted.request.clone();
    let mut fallback: Option<ServerResponse> = None;
    loop {
        let choice = match context.gateway.select_server(&request).await {
            Ok(choice) => choice,
            Err(refusal) => {
                progress::log_rejection(context, &request, &refusal);
                return end_without_server(context, progress, fallback, refusal, out).await;
            }
        };
        request.tried.push(choice.server);
        let decision = match attempt(context, admitted, progress, choice, &mut fallback, out).await
        {
            Ok(end) => return end,
            Err(decision) => decision,
        };
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
                progress.set_code(Code::UpstreamFailed);
                return RequestOutcome::Truncated;
            }
            RetryDecision::Fail => {
                return send_error(
                    context,
                    progress,
                    &ErrorResponse::new(Code::UpstreamFailed),
                    out,
                )
                .await;
            }
        }
    }
}

/// Sends the request to one server; an error says what follows its failure there.
async fn attempt(
    context: RequestContext<'_>,
    admitted: &Admitted,
    progress: &mut RequestProgress,
    choice: Placement,
    fallback: &mut Option<ServerResponse>,
    out: &mut OwnedWriteHalf,
) -> Result<RequestOutcome, RetryDecision> {
    let (gateway, server) = (context.gateway, choice.server);
    progress.start_attempt(gateway, context.request, &choice);
    let mut slot = SlotGuard {
        gateway,
        admitted,
        choice,
        sent_at: gateway.now(),
        responded: false,
    };
    match send(gateway, context.request, admitted, progress, &choice).await {
        SendOutcome::Response(response)
            if retry::is_server_error(&response)
                && retry::try_retry(gateway, admitted, progress) =>
        {
            retry::record_verdict(gateway, server, loads::ServerOutcome::Failed);
            if let Some(response) = forward::read_to_end(response).await {
                *fallback = Some(response);
            }
            Err(RetryDecision::Retry)
        }
        SendOutcome::Response(response) => {
            match forward_response(context, admitted, progress, response, &mut slot, out).await {
                ForwardOutcome::Complete => Ok(RequestOutcome::Complete),
                ForwardOutcome::ClientClosed => Ok(RequestOutcome::ClientClosed),
                ForwardOutcome::Truncated => {
                    log_interruption(context, server, "the answer broke off");
                    Err(retry::on_interrupted(gateway, admitted, progress, server))
                }
            }
        }
        SendOutcome::Unreachable(why) => Err(retry::on_unreachable(
            gateway,
            context.request,
            progress,
            server,
            &why,
        )),
        SendOutcome::NotExecuted { misdirected } => Err(retry::on_not_executed(
            gateway,
            admitted,
            progress,
            server,
            misdirected,
        )),
        SendOutcome::Interrupted(why) => {
            log_interruption(context, server, &why);
            Err(retry::on_interrupted(gateway, admitted, progress, server))
        }
    }
}

fn log_interruption(context: RequestContext<'_>, server: ServerId, why: &str) {
    let fields = json!({"server": context.gateway.server_name(server), "why": why});
    event_log::request_problem("server_broke_off", &context.request.attempt_id, fields);
}

/// Ends a request for which there is no further server: with a failure that a server gave, or with
/// the truth about whether it may have run.
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
        ErrorResponse::new(Code::UpstreamFailed)
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
    let last = context.close.always || (context.close.on_rejection && progress.has_retry_after());
    match response
        .write(
            context.gateway,
            Some(&context.request.attempt_id),
            last,
            out,
        )
        .await
    {
        Ok(()) => RequestOutcome::Complete,
        Err(_gone) => RequestOutcome::ClientClosed,
    }
}
