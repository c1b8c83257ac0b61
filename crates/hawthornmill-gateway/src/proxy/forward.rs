//! Forwards a server's response to the client, complete or visibly truncated.
//!
//! A short response is buffered to its end before any of it is sent, so that one that is cut off can
//! still be retried or replaced by an error. Streams and long responses are forwarded as they arrive.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use hawthornmill::event_stream::is_event_stream;
use hawthornmill::limits::request_memory::RequestPart;
use hawthornmill::routing::catalog::RetryPolicy;
use hawthornmill::routing::loads::ServerOutcome;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;

use super::admission::Admitted;
use super::events::EventSplitter;
use super::held_bytes::HeldBytes;
use super::progress::{BodyEnd, RequestProgress};
use super::reservation::Reservation;
use super::response_limits::{CutReason, MAX_ERROR_BYTES, MAX_ERROR_TIME};
use super::send::{ReadError, ServerResponse, read_more, record_cut};
use super::{RequestContext, RequestOutcome, SlotGuard, quarantine, retry};
use crate::gateway::Gateway;
use crate::http::body::{BodyDecoder, Decoded};
use crate::http::head::{Framing, ResponseHead};
use crate::http::write::{MAX_COPIED_BYTES, MessageBuffer};

/// Maximum size of a response body that is buffered before it is forwarded.
const MAX_BUFFERED_BYTES: usize = 64 << 10;
/// Bytes from which on a request's body is released before the request ends.
const MIN_RELEASED_BYTES: usize = 16 << 10;
/// Time in which a client takes what is buffered of a long response when there is no memory for it.
const EVICTED_WRITE_TIME: Duration = Duration::from_secs(1);

/// How forwarding a response ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForwardOutcome {
    /// The client has the complete response.
    Complete,
    /// The client closed its connection.
    ClientClosed,
    /// The server's response was cut off; what the client has received so far is incomplete.
    Truncated,
}

/// The next part of a response body.
enum BodyPart {
    Data(bytes::Bytes),
    End(BodyEnd),
    Truncated(BodyEnd),
    /// The response must end because it holds the most memory.
    Evicted,
}

async fn next_part(
    response: &mut ServerResponse,
    decoder: &mut BodyDecoder,
    held: &HeldBytes,
) -> BodyPart {
    loop {
        match decoder.next(&mut response.upstream.buffer) {
            Ok(Decoded::Data(data)) => return BodyPart::Data(data),
            Ok(Decoded::End) => return BodyPart::End(BodyEnd::Framing),
            Ok(Decoded::Incomplete) => {}
            Err(_malformed) => return BodyPart::Truncated(BodyEnd::Malformed),
        }
        match read_more(&mut response.upstream, held, None).await {
            // Only an orderly close completes a body without a length; a reset truncates it.
            Ok(0) if decoder.ends_at_close() => {
                return if response.upstream.is_closed_in_order().await {
                    BodyPart::End(BodyEnd::Closed)
                } else {
                    BodyPart::Truncated(BodyEnd::Failed)
                };
            }
            Ok(0) => return BodyPart::Truncated(BodyEnd::Closed),
            Err(ReadError::Evicted) => return BodyPart::Evicted,
            Err(_failed) => return BodyPart::Truncated(BodyEnd::Failed),
            Ok(_) => {}
        }
    }
}

/// Forwards `response` to the client.
pub async fn forward_response(
    context: RequestContext<'_>,
    progress: &mut RequestProgress,
    response: ServerResponse,
    slot: &mut SlotGuard<'_>,
    out: &mut OwnedWriteHalf,
) -> ForwardOutcome {
    if has_events(&response) {
        return forward_stream(context, progress, response, slot, out).await;
    }
    if progress.response_started() {
        return ForwardOutcome::Truncated;
    }
    forward_buffered(context, progress, response, slot, out).await
}

/// Releases the body of a request that can't be sent again; its fingerprints stay known.
fn release_body(context: RequestContext<'_>, admitted: &Admitted) {
    if context.request.body_bytes >= MIN_RELEASED_BYTES {
        let _known = quarantine::fingerprints(context.request, admitted);
        context.request.release_body();
    }
}

/// Returns whether the body of `response` is an event stream.
fn has_events(response: &ServerResponse) -> bool {
    let head = &response.head;
    head.status == 200
        && response.framing != Framing::Empty
        && head
            .headers
            .get_str("content-type")
            .is_some_and(is_event_stream)
}

/// Encodes the head of the response for the client.
fn encode_head(response: &ResponseHead, framing: Framing, close: bool) -> MessageBuffer {
    let mut bytes = MessageBuffer::response(response.status, &response.reason);
    bytes.forwarded_headers(&response.headers, &[]);
    if framing == Framing::Empty {
        // A response without a body may still give the length that a body would have, as for HEAD.
        if let Some(length) = response.headers.get("content-length") {
            bytes.header("Content-Length", length);
        }
    }
    bytes.framing_header(framing);
    if close {
        bytes.header("Connection", "close");
    }
    bytes.end_head();
    bytes
}

/// How buffering a response ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Buffered {
    /// The response is complete.
    Complete(BodyEnd),
    /// The response has not ended, and exceeds the buffer limit.
    TooLong,
    /// The response has not ended, and holds the most of the memory, which others need.
    Evicted,
    /// The response was cut off.
    Truncated(BodyEnd),
}

/// A body that was buffered to its end or to the limit.
#[derive(Debug)]
pub struct ReadAhead {
    decoder: BodyDecoder,
    /// How buffering ended.
    pub end: Buffered,
    /// Accounts the body.
    held: HeldBytes,
}

/// Buffers the body of `response` and calls `on_data` after each part; does nothing if it is a stream of events.
pub async fn read_ahead(gateway: &Gateway, response: &mut ServerResponse, on_data: impl FnMut()) {
    if !has_events(response) {
        let buffered = take_buffered(gateway, response, usize::MAX, on_data).await;
        response.read_ahead = Some(Box::new(buffered));
    }
}

/// Takes what was read ahead of the body, or buffers it now.
async fn take_buffered(
    gateway: &Gateway,
    response: &mut ServerResponse,
    max_received: usize,
    on_data: impl FnMut(),
) -> ReadAhead {
    if let Some(mut buffered) = response.read_ahead.take() {
        let bytes = response.body.as_ref().map_or(0, BytesMut::capacity);
        if buffered.held.set(bytes).is_err() && buffered.end == Buffered::TooLong {
            buffered.end = Buffered::Evicted;
        }
        return *buffered;
    }
    let (mut decoder, mut held) = (BodyDecoder::new(response.framing), gateway.hold_response());
    let end = buffer_body(response, &mut decoder, &mut held, max_received, on_data).await;
    ReadAhead { decoder, end, held }
}

/// Buffers the body of `response` to its end or to the limit, and calls `on_data` after each part.
///
/// At most `max_received` bytes are read, framing included.
async fn buffer_body(
    response: &mut ServerResponse,
    decoder: &mut BodyDecoder,
    held: &mut HeldBytes,
    max_received: usize,
    mut on_data: impl FnMut(),
) -> Buffered {
    let mut body = response.body.take().unwrap_or_default();
    if let Framing::Length(bytes) = response.framing {
        let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
        body.reserve(bytes.min(MAX_BUFFERED_BYTES));
    }
    let limit = response.upstream.received.saturating_add(max_received);
    let outcome = loop {
        match next_part(response, decoder, held).await {
            BodyPart::Data(data) => body.extend_from_slice(&data),
            BodyPart::Truncated(end) => break Buffered::Truncated(end),
            BodyPart::End(end) => break Buffered::Complete(end),
            BodyPart::Evicted => break Buffered::Evicted,
        }
        on_data();
        if body.len() > MAX_BUFFERED_BYTES || response.upstream.received > limit {
            break Buffered::TooLong;
        }
        if held.set(body.capacity()).is_err() {
            break Buffered::Evicted;
        }
    };
    response.body = Some(body);
    outcome
}

async fn forward_buffered(
    context: RequestContext<'_>,
    progress: &mut RequestProgress,
    mut response: ServerResponse,
    slot: &mut SlotGuard<'_>,
    out: &mut OwnedWriteHalf,
) -> ForwardOutcome {
    let status = response.head.status;
    let on_data = || slot.record_first_token(status);
    let buffered = take_buffered(context.gateway, &mut response, usize::MAX, on_data);
    let ReadAhead { decoder, end, held } = buffered.await;
    match end {
        Buffered::Complete(end) => progress.record_body_end(response.framing, end, 0),
        Buffered::TooLong | Buffered::Evicted => {
            // What follows begins the client's response, after which the request isn't sent again.
            release_body(context, slot.admitted);
            drop(held);
            return forward_long(context, progress, response, decoder, out).await;
        }
        Buffered::Truncated(end) => return truncate(context, progress, &response, end, 0),
    }
    slot.record_first_token(status);
    record_server_outcome(context.gateway, &mut response);
    release_body(context, slot.admitted);
    let outcome = tokio::select! {
        biased;
        outcome = write_buffered(context, progress, &response, out) => outcome,
        () = held.evicted() => {
            // The server's answer is complete; it is the client that reads too slowly.
            log_cut(context, &response, CutReason::Memory);
            return ForwardOutcome::ClientClosed;
        }
    };
    response.recycle_connection(context.gateway);
    match outcome {
        RequestOutcome::Complete => ForwardOutcome::Complete,
        RequestOutcome::Truncated | RequestOutcome::ClientClosed => ForwardOutcome::ClientClosed,
    }
}

/// Records that a response was cut off, and by what.
fn truncate(
    context: RequestContext<'_>,
    progress: &mut RequestProgress,
    response: &ServerResponse,
    end: BodyEnd,
    rest_bytes: usize,
) -> ForwardOutcome {
    progress.record_body_end(response.framing, end, rest_bytes);
    if end == BodyEnd::Malformed {
        log_cut(context, response, CutReason::Malformed);
        progress.record_cut(Some(CutReason::Malformed));
    }
    ForwardOutcome::Truncated
}

/// Records that the gateway closes the connection because of what the server sent.
fn cut(
    context: RequestContext<'_>,
    progress: &mut RequestProgress,
    response: &ServerResponse,
    reason: CutReason,
    rest_bytes: usize,
) -> ForwardOutcome {
    progress.record_body_end(response.framing, BodyEnd::Cut, rest_bytes);
    progress.record_cut(Some(reason));
    log_cut(context, response, reason);
    ForwardOutcome::Truncated
}

fn log_cut(context: RequestContext<'_>, response: &ServerResponse, reason: CutReason) {
    let (server, bytes) = (response.server, response.upstream.received);
    record_cut(context.gateway, context.request, server, reason, bytes);
}

/// Reads a short error response to its end; `None` if it is cut off, or exceeds a limit.
pub async fn read_to_end(
    context: RequestContext<'_>,
    mut response: ServerResponse,
) -> Option<ServerResponse> {
    let gateway = context.gateway;
    let body = take_buffered(gateway, &mut response, MAX_ERROR_BYTES, || {});
    let body = tokio::time::timeout(MAX_ERROR_TIME, body).await;
    let reason = match body.map(|read| read.end) {
        Ok(Buffered::Complete(_)) => return keep(gateway, response),
        Ok(Buffered::Truncated(BodyEnd::Malformed)) => CutReason::Malformed,
        Ok(Buffered::Truncated(_)) => return None,
        Ok(Buffered::TooLong) => CutReason::ErrorBytes,
        Ok(Buffered::Evicted) => CutReason::Memory,
        Err(_elapsed) => CutReason::ErrorTime,
    };
    log_cut(context, &response, reason);
    None
}

/// Keeps a complete error response while the request is sent again; `None` if there is no memory for it.
pub fn keep(gateway: &Rc<Gateway>, mut response: ServerResponse) -> Option<ServerResponse> {
    let bytes = response.body.as_ref().map_or(0, BytesMut::capacity);
    let mut memory = Reservation::empty(gateway, RequestPart::KeptError);
    memory.grow_to(bytes).ok()?;
    response.kept = Some(Box::new(memory));
    response.read_ahead = None;
    Some(response)
}

/// Records whether a complete response is an error; later calls have no effect.
pub fn record_server_outcome(gateway: &Gateway, response: &mut ServerResponse) {
    if std::mem::replace(&mut response.outcome_recorded, true) {
        return;
    }
    let outcome = if retry::is_server_error(response) {
        ServerOutcome::Failed
    } else {
        ServerOutcome::Success
    };
    retry::record_outcome(gateway, response.server, outcome);
}

/// Writes a response whose body was buffered.
pub async fn write_buffered(
    context: RequestContext<'_>,
    progress: &mut RequestProgress,
    response: &ServerResponse,
    out: &mut OwnedWriteHalf,
) -> RequestOutcome {
    let empty = BytesMut::new();
    let body = response.body.as_ref().unwrap_or(&empty);
    let framing = match response.framing {
        Framing::Empty => Framing::Empty,
        _ => Framing::Length(body.len() as u64),
    };
    let mut bytes = encode_head(&response.head, framing, context.close.always);
    progress.start_response(response.head.status, context.gateway.now());
    match write_part(&mut bytes, body, false, out).await {
        Ok(()) => RequestOutcome::Complete,
        Err(_closed) => RequestOutcome::ClientClosed,
    }
}

/// Writes `head`, if there is any, and a part of the body behind it, without a copy of a long part.
async fn write_part(
    head: &mut MessageBuffer,
    data: &[u8],
    chunked: bool,
    out: &mut OwnedWriteHalf,
) -> io::Result<()> {
    if data.len() <= MAX_COPIED_BYTES {
        if chunked {
            head.chunk(data);
        } else {
            head.0.extend_from_slice(data);
        }
        return out.write_all(&head.0).await;
    }
    let mut end: &[u8] = &[];
    if chunked {
        end = head.begin_chunk(data.len());
    }
    let mut all = head.0.as_slice().chain(data).chain(end);
    out.write_all_buf(&mut all).await
}

/// Forwards a response that exceeds the buffer limit.
async fn forward_long(
    context: RequestContext<'_>,
    progress: &mut RequestProgress,
    mut response: ServerResponse,
    mut decoder: BodyDecoder,
    out: &mut OwnedWriteHalf,
) -> ForwardOutcome {
    let chunked = !matches!(response.framing, Framing::Length(_));
    let mut bytes = encode_head(&response.head, response.framing, context.close.always);
    progress.start_response(response.head.status, context.gateway.now());
    let mut data = response.body.take().unwrap_or_default().freeze();
    let mut held = context.gateway.hold_response();
    loop {
        // The first part is all that was buffered. Where memory lacks already, its client has some time to take it.
        let is_evicted = held.set(data.len()).is_err();
        let must_end = async {
            held.evicted().await;
            if is_evicted {
                tokio::time::sleep(EVICTED_WRITE_TIME).await;
            }
        };
        tokio::select! {
            biased;
            written = write_part(&mut bytes, &data, chunked, out) => {
                if written.is_err() {
                    return ForwardOutcome::ClientClosed;
                }
            }
            () = must_end => return cut(context, progress, &response, CutReason::Memory, 0),
        }
        drop(data);
        bytes.clear();
        held.clear();
        match next_part(&mut response, &mut decoder, &held).await {
            BodyPart::Data(next) => data = next,
            BodyPart::Truncated(end) => return truncate(context, progress, &response, end, 0),
            BodyPart::Evicted => return cut(context, progress, &response, CutReason::Memory, 0),
            BodyPart::End(end) => {
                progress.record_body_end(response.framing, end, 0);
                break;
            }
        }
    }
    record_server_outcome(context.gateway, &mut response);
    if chunked {
        bytes.last_chunk();
        if out.write_all(&bytes.0).await.is_err() {
            return ForwardOutcome::ClientClosed;
        }
    }
    response.recycle_connection(context.gateway);
    ForwardOutcome::Complete
}

/// Forwards an event stream, one complete event at a time.
///
/// The head is sent with the first complete event: until then the request may still be retried.
async fn forward_stream(
    context: RequestContext<'_>,
    progress: &mut RequestProgress,
    mut response: ServerResponse,
    slot: &mut SlotGuard<'_>,
    out: &mut OwnedWriteHalf,
) -> ForwardOutcome {
    let mut decoder = BodyDecoder::new(response.framing);
    let mut splitter = EventSplitter::resuming(progress.event_bytes);
    let mut held = context.gateway.hold_response();
    let mut bytes = MessageBuffer::default();
    let event_id = context.gateway.adapter.parse_event_id;
    loop {
        let rest_bytes = splitter.rest_bytes();
        let (events, ended) = match next_part(&mut response, &mut decoder, &held).await {
            BodyPart::Data(data) => (
                splitter.push(&data, event_id, progress.last_event_id),
                false,
            ),
            BodyPart::End(end) => {
                progress.record_body_end(response.framing, end, rest_bytes);
                if !splitter.may_end(response.framing != Framing::UntilClose) {
                    return ForwardOutcome::Truncated;
                }
                (None, true)
            }
            BodyPart::Truncated(end) => {
                return truncate(context, progress, &response, end, rest_bytes);
            }
            BodyPart::Evicted => {
                return cut(context, progress, &response, CutReason::Memory, rest_bytes);
            }
        };
        let rest_bytes = splitter.rest_bytes();
        let exceeded = splitter.exceeded_limit();
        if let Some(reason) = exceeded.or_else(|| held.set(rest_bytes).err()) {
            return cut(context, progress, &response, reason, rest_bytes);
        }
        let Some(mut events) = events else {
            if ended {
                break;
            }
            continue;
        };
        slot.record_first_token(response.head.status);
        if !progress.response_started() {
            slot.bind_stream(response.upstream.run, progress);
            if slot.admitted.retry_policy != RetryPolicy::Resumable {
                release_body(context, slot.admitted);
            }
            bytes = encode_head(&response.head, Framing::Chunked, context.close.always);
            progress.start_response(response.head.status, context.gateway.now());
        }
        let size = events.bytes.len();
        bytes.chunk(&std::mem::take(&mut events.bytes));
        if let Err(reason) = held.set(rest_bytes + bytes.0.capacity()) {
            return cut(context, progress, &response, reason, rest_bytes);
        }
        let written = tokio::select! {
            biased;
            written = out.write_all(&bytes.0) => written,
            () = held.evicted() => {
                // A part of a chunk may be written, after which nothing can be resumed.
                progress.last_event_id = None;
                return cut(context, progress, &response, CutReason::Memory, rest_bytes);
            }
        };
        if written.is_err() {
            return ForwardOutcome::ClientClosed;
        }
        bytes.clear();
        progress.record_events(&events, size);
        slot.record_events(context, progress, &events);
        if let Err(reason) = held.set(rest_bytes) {
            return cut(context, progress, &response, reason, rest_bytes);
        }
    }
    if !progress.response_started() {
        bytes = encode_head(&response.head, Framing::Chunked, context.close.always);
        progress.start_response(response.head.status, context.gateway.now());
    }
    bytes.chunk(&splitter.take_rest());
    bytes.last_chunk();
    record_server_outcome(context.gateway, &mut response);
    if out.write_all(&bytes.0).await.is_err() {
        return ForwardOutcome::ClientClosed;
    }
    response.recycle_connection(context.gateway);
    ForwardOutcome::Complete
}
