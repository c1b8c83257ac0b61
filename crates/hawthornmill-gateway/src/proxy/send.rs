//! Sends a request to a backend server and reads the head of the response.
//!
//! Whether a request can be retried depends on whether any byte of it was written to a connection. Before
//! that, any request can go to another server. After that, only the server itself can tell that it did
//! not execute the request.

use std::io;
use std::pin::{Pin, pin};
use std::time::Duration;

use bytes::BytesMut;
use hawthornmill::ident::ServerId;
use hawthornmill::quarantine::table::QuarantineStatus;
use hawthornmill::routing::catalog::RetryPolicy;
use hawthornmill::routing::placement::Placement;
use hawthornmill::routing::registry::ServerRun;
use hawthornmill::routing::request::Request;
use serde_json::json;

use super::admission::Admitted;
use super::forward::ReadAhead;
use super::held_bytes::{HeldBytes, shrink};
use super::progress::RequestProgress;
use super::read::ClientRequest;
use super::request_writer::{encode_head, write_request};
use super::reservation::Reservation;
use super::response_limits::{CutReason, MAX_REFUSAL_BYTES, MAX_REFUSAL_TIME};
use super::response_reader::{AnswerHead, Expected, ResponseReader};
use super::{RequestContext, connect, hedge, quarantine, retry};
use crate::event_log;
use crate::gateway::Gateway;
use crate::http::body::{BodyDecoder, Decoded};
use crate::http::head::{Framing, ResponseHead};
use crate::pool::{self, Upstream};
use crate::server_runs::{self, RunProof};
use crate::server_speeds;

/// Status of a server that is not the expected one and did not execute the request.
const MISDIRECTED_REQUEST: u16 = 421;
/// Multiple of the latency objective after which a silent server is abandoned, in addition to twice the
/// expected time.
///
/// The response is late by then in any case. With a shorter limit, a server that is only busy would lose
/// the prompts that it has already processed.
const ABANDON_FACTOR: f64 = 2.0;
/// A server's response whose head has been read.
#[derive(Debug)]
pub struct ServerResponse {
    /// Head of the response.
    pub head: ResponseHead,
    /// Framing of the body.
    pub framing: Framing,
    /// Connection from which the rest is read.
    pub upstream: Upstream,
    /// Server that sent the response.
    pub server: ServerId,
    /// Whether the connection can carry another request afterwards.
    pub reusable: bool,
    /// The body, as far as it has been buffered.
    pub body: Option<BytesMut>,
    /// Where buffering the body ended, if it was buffered before the response is forwarded.
    pub read_ahead: Option<Box<ReadAhead>>,
    /// Reservation of an error response that is kept while the request is sent to another server.
    pub kept: Option<Box<Reservation>>,
    /// Whether it gives the id of the request.
    pub names_request: bool,
    /// Whether it is recorded what the response tells of the server.
    pub outcome_recorded: bool,
}

/// Why no usable response came.
#[derive(Debug)]
pub struct Interruption {
    /// Reason for the log.
    pub reason: Box<str>,
    /// The connection ended, as all connections of a server do that ends itself.
    pub connection_lost: bool,
    /// Why the gateway closed the connection, if it did.
    pub cut: Option<CutReason>,
}

impl Interruption {
    /// The connection ended before a response.
    fn connection_lost(reason: impl Into<Box<str>>) -> Self {
        Self {
            reason: reason.into(),
            connection_lost: true,
            cut: None,
        }
    }

    /// The server is there, and what it sent or didn't send is no response.
    fn no_response(reason: &str) -> Self {
        Self {
            reason: reason.into(),
            connection_lost: false,
            cut: None,
        }
    }

    /// What the server sent exceeds a bound or is no response.
    fn cut(reason: CutReason) -> Self {
        Self {
            cut: Some(reason),
            ..Self::no_response(reason.description())
        }
    }
}

/// Outcome of sending a request to a server.
#[derive(Debug)]
pub enum SendOutcome {
    /// No byte was sent, for the reason given.
    Unreachable(Box<str>),
    /// No byte was sent, since the server takes no requests by now.
    Withheld,
    /// The server reports that it did not execute the request.
    NotExecuted {
        /// Whether another server now has the address.
        misdirected: bool,
    },
    /// The request may have been executed, and failed.
    Interrupted(Interruption),
    /// The server responds.
    Response(ServerResponse),
}

/// Sends `request` to the chosen server.
pub async fn send(
    context: RequestContext<'_>,
    pending: &Request,
    admitted: &Admitted,
    progress: &mut RequestProgress,
    placement: &Placement,
) -> SendOutcome {
    let RequestContext {
        gateway, request, ..
    } = context;
    let server = placement.server;
    let target = {
        let scheduler = gateway.scheduler.borrow();
        let known = scheduler.registry.get(server);
        let source = placement
            .fetch
            .and_then(|f| scheduler.registry.get(f.source));
        let source = source.map(|s| s.registration.address);
        known.map(|k| {
            let run = ServerRun {
                server,
                start_ms: k.registration.start_ms,
            };
            let address = k.registration.address;
            (run, address, k.registration.name.clone(), source)
        })
    };
    let Some((run, address, name, source)) = target else {
        return SendOutcome::Unreachable("server is gone".into());
    };
    // It may have been registered before this instance heard of the other one.
    if gateway.is_instance(address) {
        return SendOutcome::Unreachable("an instance listens at its address".into());
    }
    let now = gateway.now();
    let once = admitted.retry_policy == RetryPolicy::AtMostOnce;
    let taken = if hedge::is_hedgeable(context, admitted) {
        connect::acquire_detached(context, server, address).await
    } else {
        gateway.pool.acquire(server, address, once, now).await
    };
    if !taken.as_ref().is_ok_and(|u| u.reused) {
        let after = gateway.now();
        let elapsed = after.duration_since(now);
        gateway
            .link_monitor
            .borrow_mut()
            .record_connect(address, elapsed, after);
    }
    let mut upstream = match taken {
        Ok(upstream) => upstream,
        Err(error) => return SendOutcome::Unreachable(error.to_string().into()),
    };
    if !upstream.reused {
        gateway.metrics.server_connected();
    }
    // A server in doubt is being asked already, and a stream that begins there gets its version when that is known.
    let is_doubted = gateway.scheduler.borrow().doubts.is_doubted(server);
    if admitted.stream.is_some() && (pending.version.is_some() || !is_doubted) {
        match server_runs::prove(gateway, run, address, &mut upstream).await {
            RunProof::Registered => {}
            RunProof::Other if pending.version.is_none() => {}
            RunProof::Unanswered if pending.version.is_none() => {
                match pool::connect(address).await {
                    Ok(stream) => upstream = Upstream::new(stream),
                    Err(error) => return SendOutcome::Unreachable(error.to_string().into()),
                }
            }
            RunProof::Other | RunProof::Unanswered => return SendOutcome::Withheld,
        }
    }
    // While the connection was being opened, a response to another request may have said that the
    // server wants no more, or servers may have ended under this request.
    let now = gateway.now();
    let is_clear = quarantine::status(context, admitted) == QuarantineStatus::Clear;
    let may_send = {
        let scheduler = gateway.scheduler.borrow();
        let has_version = |version| scheduler.has_version(run, version);
        scheduler.may_send(server, now) && pending.version.is_none_or(has_version)
    };
    if !is_clear || !may_send {
        let max_idle = gateway.max_idle(server);
        gateway.pool.put_back(server, upstream, None, max_idle, now);
        return SendOutcome::Withheld;
    }
    let head = encode_head(gateway, request, admitted, progress, &name, source);
    let written = match write_request(&mut upstream, head, request.body(), progress).await {
        Ok(complete) => complete,
        Err(error) if !progress.bytes_sent() => {
            return SendOutcome::Unreachable(error.to_string().into());
        }
        Err(error) => {
            let interruption = Interruption::connection_lost(error.to_string());
            return SendOutcome::Interrupted(interruption);
        }
    };
    let response = pin!(receive_response(gateway, request, upstream, run, written));
    let outcome = if retry::can_retry(admitted, progress) {
        let limit = silence_limit(admitted, placement);
        wait_within_limit(admitted, progress, limit, response).await
    } else {
        response.await
    };
    if let SendOutcome::Interrupted(interruption) = &outcome {
        progress.record_cut(interruption.cut);
    }
    outcome
}

/// Waits for a response for as long as the server may be silent while the request can be sent to another one.
async fn wait_within_limit(
    admitted: &Admitted,
    progress: &RequestProgress,
    limit: Duration,
    mut response: Pin<&mut impl Future<Output = SendOutcome>>,
) -> SendOutcome {
    loop {
        if let Ok(outcome) = tokio::time::timeout(limit, &mut response).await {
            return outcome;
        }
        // Returning drops the connection, which cancels the request before it is sent to another server. A hedge may have
        // used the last attempt meanwhile.
        if retry::can_retry(admitted, progress) {
            return SendOutcome::Interrupted(Interruption::no_response("no answer in time"));
        }
    }
}

/// Returns how long a server may be silent before the request is sent to another one.
pub fn silence_limit(admitted: &Admitted, placement: &Placement) -> Duration {
    admitted.request.objective.mul_f64(ABANDON_FACTOR) + placement.expected_ttft * 2
}

/// Records and logs what a response says of its server: that it wants a rest, or that it leaves.
fn record_notices(gateway: &Gateway, run: ServerRun, head: &ResponseHead) {
    let (adapter, now) = (&gateway.adapter, gateway.now());
    let mut scheduler = gateway.scheduler.borrow_mut();
    let ServerRun { server, start_ms } = run;
    let rest = (adapter.parse_rest)(head);
    let until = rest.map(|rest| scheduler.notices.record_rest(server, start_ms, rest, now));
    if until.is_none() {
        scheduler.notices.record_response(server, now);
    }
    let is_new = (adapter.says_leaving)(&head.headers)
        && scheduler.notices.record_leaving(server, start_ms, now);
    drop(scheduler);
    if let Some(until) = until {
        let rest = until.saturating_duration_since(now);
        let fields =
            json!({"server": gateway.server_name(server), "rest_ms": rest.as_millis() as u64});
        event_log::state_change("server_rests", fields);
    }
    if is_new {
        let fields = json!({"server": gateway.server_name(server)});
        event_log::state_change("server_leaves", fields);
    }
}

/// Reads the head of the response, and skips interim responses and those to earlier requests.
async fn receive_response(
    gateway: &Gateway,
    request: &ClientRequest,
    mut upstream: Upstream,
    run: ServerRun,
    written: bool,
) -> SendOutcome {
    let server = run.server;
    let names = &gateway.adapter.headers;
    let mut reader = ResponseReader::new(Expected {
        method: &request.head.method,
        attempt_id: &request.attempt_id,
        id_header: names.attempt_id,
    });
    let answer = match read_answer(gateway, &mut reader, &mut upstream).await {
        Ok(answer) => answer,
        Err(interruption) => {
            if let Some(reason) = interruption.cut {
                record_cut(gateway, request, server, reason, upstream.received);
            }
            return SendOutcome::Interrupted(interruption);
        }
    };
    shrink(&mut upstream.buffer, answer.length);
    let AnswerHead {
        head,
        framing,
        is_named,
        ..
    } = answer;
    let reusable = written && !reader.skipped_other();
    if let Some(load) = (gateway.adapter.parse_load)(&head.headers) {
        server_speeds::apply_report(gateway, server, load);
    }
    let misdirected = head.status == MISDIRECTED_REQUEST;
    if !misdirected {
        record_notices(gateway, run, &head);
    }
    if misdirected || head.headers.get(names.not_executed).is_some() {
        let fields = json!({
            "server": gateway.server_name(server), "status": head.status,
            "rest_s": head.headers.get_str(names.retry_after),
        });
        event_log::request_step("server_rejected", &request.attempt_id, fields);
        let response = server_response(head, framing, upstream, server, reusable);
        if !misdirected {
            reuse_after_rejection(gateway, request, response).await;
        }
        return SendOutcome::NotExecuted { misdirected };
    }
    if !is_named && head.status < 400 {
        return SendOutcome::Interrupted(Interruption::no_response("answer names no request"));
    }
    SendOutcome::Response(ServerResponse {
        names_request: is_named,
        ..server_response(head, framing, upstream, server, reusable)
    })
}

/// Reads up to the head of the answer, within the bounds of `reader` and of the memory of all connections.
async fn read_answer(
    gateway: &Gateway,
    reader: &mut ResponseReader<'_>,
    upstream: &mut Upstream,
) -> Result<AnswerHead, Interruption> {
    let mut held = gateway.hold_response();
    loop {
        match reader.next(&mut upstream.buffer, gateway.now()) {
            Ok(Some(answer)) => return Ok(answer),
            Ok(None) => {}
            Err(CutReason::SkipTime) if extend_if_late(gateway, reader) => continue,
            Err(reason) => return Err(Interruption::cut(reason)),
        }
        held.set(upstream.buffer.len()).map_err(Interruption::cut)?;
        let deadline = reader.deadline().map(tokio::time::Instant::from_std);
        let read = read_more(upstream, &held, deadline).await;
        match read {
            // While this process is late, the rest of the head may wait in the socket.
            Err(ReadError::Late) if extend_if_late(gateway, reader) => {}
            Err(ReadError::Late) => return Err(Interruption::cut(reader.late_reason())),
            Err(ReadError::Evicted) => return Err(Interruption::cut(CutReason::Memory)),
            Err(ReadError::Failed(error)) => {
                return Err(Interruption::connection_lost(error.to_string()));
            }
            Ok(0) => {
                let reason = "connection closed before an answer";
                return Err(Interruption::connection_lost(reason));
            }
            Ok(_) => {}
        }
    }
}

/// Grants the reader more time if this process is late; returns whether it did.
fn extend_if_late(gateway: &Gateway, reader: &mut ResponseReader<'_>) -> bool {
    gateway.is_overloaded() && reader.extend(gateway.now())
}

/// Why no more bytes were read.
#[derive(Debug)]
pub enum ReadError {
    /// The deadline has passed.
    Late,
    /// The response must end because it holds the most memory.
    Evicted,
    /// The connection failed.
    Failed(io::Error),
}

/// Reads more bytes until the deadline, if there is one, unless the response must end before.
///
/// # Errors
/// [`ReadError`].
pub async fn read_more(
    upstream: &mut Upstream,
    held: &HeldBytes,
    deadline: Option<tokio::time::Instant>,
) -> Result<usize, ReadError> {
    held.wait_for_evictions().await;
    let late = async {
        match deadline {
            Some(deadline) => tokio::time::sleep_until(deadline).await,
            None => std::future::pending().await,
        }
    };
    // Bytes that have arrived are read even after the deadline, which may have passed while the process was late.
    tokio::select! {
        biased;
        () = held.evicted() => Err(ReadError::Evicted),
        read = upstream.read_more() => read.map_err(ReadError::Failed),
        () = late => Err(ReadError::Late),
    }
}

/// Counts and logs that the connection to a server is closed because of what it sent.
pub fn record_cut(
    gateway: &Gateway,
    request: &ClientRequest,
    server: ServerId,
    reason: CutReason,
    bytes: usize,
) {
    gateway.metrics.response_cut(reason);
    let fields = json!({
        "server": gateway.server_name(server), "reason": reason.name(), "bytes": bytes,
    });
    event_log::request_problem("response_cut", &request.attempt_id, fields);
}

fn server_response(
    head: ResponseHead,
    framing: Framing,
    upstream: Upstream,
    server: ServerId,
    reusable: bool,
) -> ServerResponse {
    let reusable = reusable && !head.closes_connection() && framing != Framing::UntilClose;
    ServerResponse {
        head,
        framing,
        upstream,
        server,
        reusable,
        body: None,
        read_ahead: None,
        kept: None,
        names_request: false,
        outcome_recorded: false,
    }
}

/// Reads and discards a body of at most `max_bytes`, with its framing.
///
/// # Errors
/// The bound that is exceeded, or `None` if the connection ends.
async fn skip_body(
    upstream: &mut Upstream,
    framing: Framing,
    max_bytes: usize,
) -> Result<(), Option<CutReason>> {
    let is_too_long = matches!(framing, Framing::Length(bytes) if bytes > max_bytes as u64);
    if is_too_long || framing == Framing::UntilClose {
        return Err(Some(CutReason::RefusalBytes));
    }
    let mut decoder = BodyDecoder::new(framing);
    let mut skipped = 0;
    loop {
        let before = upstream.buffer.len();
        let decoded = decoder.next(&mut upstream.buffer);
        skipped += before - upstream.buffer.len();
        match decoded.map_err(|_body| Some(CutReason::Malformed))? {
            Decoded::End => return Ok(()),
            _ if skipped > max_bytes => return Err(Some(CutReason::RefusalBytes)),
            Decoded::Data(_) => {}
            Decoded::Incomplete => {
                let read = upstream.read_more().await;
                if !matches!(read, Ok(bytes) if bytes > 0) {
                    return Err(None);
                }
            }
        }
    }
}

/// Returns the connection of a server that rejected a request to the pool, if its response ends in time.
async fn reuse_after_rejection(
    gateway: &Gateway,
    request: &ClientRequest,
    mut response: ServerResponse,
) {
    if !response.reusable {
        return;
    }
    let rest = skip_body(&mut response.upstream, response.framing, MAX_REFUSAL_BYTES);
    let reason = match tokio::time::timeout(MAX_REFUSAL_TIME, rest).await {
        Ok(Ok(())) => return response.recycle_connection(gateway),
        Ok(Err(None)) => return,
        Ok(Err(Some(reason))) => reason,
        Err(_elapsed) => CutReason::RefusalTime,
    };
    let (server, bytes) = (response.server, response.upstream.received);
    record_cut(gateway, request, server, reason, bytes);
}

impl ServerResponse {
    /// Returns the connection to the pool after a complete body, if it can be reused.
    pub fn recycle_connection(self, gateway: &Gateway) {
        if self.reusable {
            let keep_alive = keep_alive_timeout(&self.head);
            let (max_idle, now) = (gateway.max_idle(self.server), gateway.now());
            gateway
                .pool
                .put_back(self.server, self.upstream, keep_alive, max_idle, now);
        }
    }
}

/// Returns the idle timeout that the server announces in `Keep-Alive`.
fn keep_alive_timeout(head: &ResponseHead) -> Option<Duration> {
    let text = head.headers.get_str("keep-alive")?;
    let timeout = text
        .split(',')
        .find_map(|p| p.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}
