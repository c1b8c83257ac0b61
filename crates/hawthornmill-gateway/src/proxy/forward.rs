//! Forwards a server's response to the client, complete or visibly truncated.
//!
//! A short response is buffered to its end before any of it is sent, so that one that is cut off can
//! still be retried or replaced by an error. Streams and long responses are forwarded as they arrive.

use bytes::BytesMut;
use hawthornmill::event_stream::is_event_stream;
use hawthornmill::routing::loads::ServerOutcome;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;

use super::events::EventSplitter;
use super::progress::{BodyEnd, RequestProgress};
use super::send::ServerResponse;
use super::{RequestContext, RequestOutcome, SlotGuard, retry};
use crate::gateway::Gateway;
use crate::http::body::{BodyDecoder, Decoded};
use crate::http::head::{Framing, ResponseHead};
use crate::http::write::MessageBuffer;

/// Maximum size of a response body that is buffered before it is forwarded.
const MAX_BUFFERED_BYTES: usize = 64 << 10;

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
}

async fn next_part(response: &mut ServerResponse, decoder: &mut BodyDecoder) -> BodyPart {
    loop {
        match decoder.next(&mut response.upstream.buffer) {
            Ok(Decoded::Data(data)) => return BodyPart::Data(data),
            Ok(Decoded::End) => return BodyPart::End(BodyEnd::Framing),
            Ok(Decoded::Incomplete) => {}
            Err(_malformed) => return BodyPart::Truncated(BodyEnd::Malformed),
        }
        match response.upstream.read_more().await {
            // Only an orderly close completes a body without a length; a reset truncates it.
            Ok(0) if decoder.ends_at_close() => return BodyPart::End(BodyEnd::Closed),
            Ok(0) => return BodyPart::Truncated(BodyEnd::Closed),
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
    /// The response exceeds the buffer limit and has not ended.
    TooLong,
    /// The response was cut off.
    Truncated(BodyEnd),
}

/// A body that was buffered to its end or to the limit.
#[derive(Debug)]
pub struct ReadAhead {
    decoder: BodyDecoder,
    /// How buffering ended.
    pub end: Buffered,
}

/// Buffers the body of `response` and calls `on_data` after each part; does nothing if it is a stream of events.
pub async fn read_ahead(response: &mut ServerResponse, on_data: impl FnMut()) {
    if !has_events(response) {
        let buffered = take_buffered(response, on_data).await;
        response.read_ahead = Some(buffered);
    }
}

/// Takes what was read ahead of the body, or buffers it now.
async fn take_buffered(response: &mut ServerResponse, on_data: impl FnMut()) -> ReadAhead {
    if let Some(buffered) = response.read_ahead.take() {
        return buffered;
    }
    let mut decoder = BodyDecoder::new(response.framing);
    let end = buffer_body(response, &mut decoder, on_data).await;
    ReadAhead { decoder, end }
}

/// Buffers the body of `response` to its end or to the limit, and calls `on_data` after each part.
async fn buffer_body(
    response: &mut ServerResponse,
    decoder: &mut BodyDecoder,
    mut on_data: impl FnMut(),
) -> Buffered {
    let mut body = response.body.take().unwrap_or_default();
    let outcome = loop {
        match next_part(response, decoder).await {
            BodyPart::Data(data) => body.extend_from_slice(&data),
            BodyPart::Truncated(end) => break Buffered::Truncated(end),
            BodyPart::End(end) => break Buffered::Complete(end),
        }
        on_data();
        if body.len() > MAX_BUFFERED_BYTES {
            break Buffered::TooLong;
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
    let ReadAhead { decoder, end } = take_buffered(&mut response, on_data).await;
    match end {
        Buffered::Complete(end) => progress.record_body_end(response.framing, end, 0),
        Buffered::TooLong => return forward_long(context, progress, response, decoder, out).await,
        Buffered::Truncated(end) => {
            progress.record_body_end(response.framing, end, 0);
            return ForwardOutcome::Truncated;
        }
    }
    slot.record_first_token(status);
    record_server_outcome(context.gateway, &mut response);
    let outcome = write_buffered(context, progress, &response, out).await;
    response.recycle_connection(context.gateway);
    match outcome {
        RequestOutcome::Complete => ForwardOutcome::Complete,
        RequestOutcome::Truncated | RequestOutcome::ClientClosed => ForwardOutcome::ClientClosed,
    }
}

/// Reads a short response to its end; `None` if it is cut off or exceeds the limit.
pub async fn read_to_end(mut response: ServerResponse) -> Option<ServerResponse> {
    match take_buffered(&mut response, || {}).await.end {
        Buffered::Complete(_) => Some(response),
        Buffered::TooLong | Buffered::Truncated(_) => None,
    }
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
    bytes.0.extend_from_slice(body);
    progress.start_response(response.head.status, context.gateway.now());
    match out.write_all(&bytes.0).await {
        Ok(()) => RequestOutcome::Complete,
        Err(_closed) => RequestOutcome::ClientClosed,
    }
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
    loop {
        if chunked {
            bytes.chunk(&data);
        } else {
            bytes.0.extend_from_slice(&data);
        }
        if out.write_all(&bytes.0).await.is_err() {
            return ForwardOutcome::ClientClosed;
        }
        bytes.0.clear();
        match next_part(&mut response, &mut decoder).await {
            BodyPart::Data(next) => data = next,
            BodyPart::Truncated(end) => {
                progress.record_body_end(response.framing, end, 0);
                return ForwardOutcome::Truncated;
            }
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
    let mut splitter = EventSplitter::default();
    let mut bytes = MessageBuffer::default();
    let event_id = context.gateway.adapter.parse_event_id;
    loop {
        let (events, ended) = match next_part(&mut response, &mut decoder).await {
            BodyPart::Data(data) => (
                splitter.push(&data, event_id, progress.last_event_id),
                false,
            ),
            BodyPart::End(end) => {
                progress.record_body_end(response.framing, end, splitter.rest_bytes());
                if !splitter.may_end(response.framing != Framing::UntilClose) {
                    return ForwardOutcome::Truncated;
                }
                (None, true)
            }
            BodyPart::Truncated(end) => {
                progress.record_body_end(response.framing, end, splitter.rest_bytes());
                return ForwardOutcome::Truncated;
            }
        };
        if splitter.exceeds_limit() {
            return ForwardOutcome::Truncated;
        }
        let Some(events) = events else {
            if ended {
                break;
            }
            continue;
        };
        slot.record_first_token(response.head.status);
        if !progress.response_started() {
            slot.bind_stream(progress);
            bytes = encode_head(&response.head, Framing::Chunked, context.close.always);
            progress.start_response(response.head.status, context.gateway.now());
        }
        bytes.chunk(&events.bytes);
        if out.write_all(&bytes.0).await.is_err() {
            return ForwardOutcome::ClientClosed;
        }
        bytes.0.clear();
        progress.record_events(&events);
        slot.record_events(context, progress, &events);
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
