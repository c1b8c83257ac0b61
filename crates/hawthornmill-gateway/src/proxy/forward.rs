//! Passes a server's answer on: whole, or visibly broken off.
//!
//! A short answer is read to its end before a byte of it goes to the caller, so that one that breaks
//! off can still be replaced by the truth. Streams and long answers go on as they come.

use bytes::BytesMut;
use hawthornmill::routing::loads::Verdict;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;

use super::admission::Admitted;
use super::events::Splitter;
use super::progress::RequestProgress;
use super::send::ServerResponse;
use super::{RequestContext, RequestOutcome, SlotGuard, retry};
use crate::gateway::Gateway;
use crate::http::body::{BodyDecoder, Decoded};
use crate::http::head::{Framing, ResponseHead};
use crate::http::write::MessageBuffer;

/// Bytes of an answer that is read whole before it is passed on.
const SHORT: usize = 64 << 10;

/// How the delivery ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivered {
    /// The caller has the whole answer.
    Whole,
    /// The caller is gone.
    CallerGone,
    /// The server broke off; what the caller has so far ends nowhere.
    Cut,
}

/// What the server's side of an answer brought.
enum Part {
    Data(bytes::Bytes),
    End,
    Cut,
}

async fn part(response: &mut ServerResponse, decoder: &mut BodyDecoder) -> Part {
    loop {
        match decoder.next(&mut response.upstream.buffer) {
            Ok(Decoded::Data(data)) => return Part::Data(data),
            Ok(Decoded::End) => return Part::End,
            Ok(Decoded::Incomplete) => {}
            Err(_malformed) => return Part::Cut,
        }
        match response.upstream.more().await {
            // Only an orderly close ends a body that has no length; a reset cuts it.
            Ok(0) if decoder.ends_at_close() => return Part::End,
            Ok(0) | Err(_) => return Part::Cut,
            Ok(_) => {}
        }
    }
}

/// Passes `answer` on.
pub async fn deliver(
    context: RequestContext<'_>,
    admitted: &Admitted,
    progress: &mut RequestProgress,
    response: ServerResponse,
    slot: &mut SlotGuard<'_>,
    out: &mut OwnedWriteHalf,
) -> Delivered {
    if progress.response_started() && response.head.status != 200 {
        return Delivered::Cut;
    }
    let kind = response
        .head
        .headers
        .get_str("content-type")
        .unwrap_or_default();
    if admitted.streams && response.head.status == 200 && kind.starts_with("text/event-stream") {
        return stream(context, progress, response, slot, out).await;
    }
    short(context, progress, response, slot, out).await
}

/// The head of the answer for the caller.
fn head(response: &ResponseHead, framing: Framing, last: bool) -> MessageBuffer {
    let mut bytes = MessageBuffer::response(response.status, &response.reason);
    bytes.forwarded_headers(&response.headers, &[]);
    if framing == Framing::Empty {
        // No body, but the length of what would be there may be told, as for HEAD.
        if let Some(length) = response.headers.get("content-length") {
            bytes.header("Content-Length", length);
        }
    }
    bytes.framing_header(framing);
    if last {
        bytes.header("Connection", "close");
    }
    bytes.end_head();
    bytes
}

/// How the reading of an answer ended.
enum Read {
    /// It is whole.
    Whole,
    /// It goes on, and is longer than what is held.
    Long,
    /// The server broke off.
    Cut,
}

/// Reads `answer` to its end, or until it is too long to be held; `part_came` is called with each part.
async fn read(
    response: &mut ServerResponse,
    decoder: &mut BodyDecoder,
    mut part_came: impl FnMut(),
) -> Read {
    let mut body = response.body.take().unwrap_or_default();
    let read = loop {
        match part(response, decoder).await {
            Part::Data(data) => body.extend_from_slice(&data),
            Part::Cut => break Read::Cut,
            Part::End => break Read::Whole,
        }
        part_came();
        if body.len() > SHORT {
            break Read::Long;
        }
    };
    response.body = Some(body);
    read
}

async fn short(
    context: RequestContext<'_>,
    progress: &mut RequestProgress,
    mut response: ServerResponse,
    slot: &mut SlotGuard<'_>,
    out: &mut OwnedWriteHalf,
) -> Delivered {
    let mut decoder = BodyDecoder::new(response.framing);
    match read(&mut response, &mut decoder, || slot.record_first_token()).await {
        Read::Whole => {}
        Read::Long => return long(context, progress, response, decoder, out).await,
        Read::Cut => return Delivered::Cut,
    }
    slot.record_first_token();
    judge_answer(context.gateway, &response);
    let end = pass_whole(context, progress, &response, out).await;
    response.recycle_connection(context.gateway);
    match end {
        RequestOutcome::Complete => Delivered::Whole,
        RequestOutcome::Truncated | RequestOutcome::ClientClosed => Delivered::CallerGone,
    }
}

/// Reads the rest of a short answer; none when it breaks off or is long.
pub async fn collect(mut response: ServerResponse) -> Option<ServerResponse> {
    let mut decoder = BodyDecoder::new(response.framing);
    match read(&mut response, &mut decoder, || {}).await {
        Read::Whole => Some(response),
        Read::Long | Read::Cut => None,
    }
}

fn judge_answer(gateway: &Gateway, response: &ServerResponse) {
    let verdict = if retry::is_server_error(response) {
        Verdict::Failed
    } else {
        Verdict::Sound
    };
    retry::record_verdict(gateway, response.server, verdict);
}

/// Writes an answer whose body was read.
pub async fn pass_whole(
    context: RequestContext<'_>,
    progress: &mut RequestProgress,
    response: &ServerResponse,
    out: &mut OwnedWriteHalf,
) -> RequestOutcome {
    let none = BytesMut::new();
    let body = response.body.as_ref().unwrap_or(&none);
    let framing = match response.framing {
        Framing::Empty => Framing::Empty,
        _ => Framing::Length(body.len() as u64),
    };
    let mut bytes = head(&response.head, framing, context.close.always);
    bytes.0.extend_from_slice(body);
    progress.start_response(response.head.status, context.gateway.now());
    match out.write_all(&bytes.0).await {
        Ok(()) => RequestOutcome::Complete,
        Err(_gone) => RequestOutcome::ClientClosed,
    }
}

/// Passes on an answer too long to be held.
async fn long(
    context: RequestContext<'_>,
    progress: &mut RequestProgress,
    mut response: ServerResponse,
    mut decoder: BodyDecoder,
    out: &mut OwnedWriteHalf,
) -> Delivered {
    let chunked = !matches!(response.framing, Framing::Length(_));
    let mut bytes = head(&response.head, response.framing, context.close.always);
    progress.start_response(response.head.status, context.gateway.now());
    let mut data = response.body.take().unwrap_or_default().freeze();
    loop {
        if chunked {
            bytes.chunk(&data);
        } else {
            bytes.0.extend_from_slice(&data);
        }
        if out.write_all(&bytes.0).await.is_err() {
            return Delivered::CallerGone;
        }
        bytes.0.clear();
        match part(&mut response, &mut decoder).await {
            Part::Data(next) => data = next,
            Part::Cut => return Delivered::Cut,
            Part::End => break,
        }
    }
    judge_answer(context.gateway, &response);
    if chunked {
        bytes.last_chunk();
        if out.write_all(&bytes.0).await.is_err() {
            return Delivered::CallerGone;
        }
    }
    response.recycle_connection(context.gateway);
    Delivered::Whole
}

/// Passes on a stream, event by event.
///
/// The head waits for the first whole event: until then another server may still have the request.
async fn stream(
    context: RequestContext<'_>,
    progress: &mut RequestProgress,
    mut response: ServerResponse,
    slot: &mut SlotGuard<'_>,
    out: &mut OwnedWriteHalf,
) -> Delivered {
    let mut decoder = BodyDecoder::new(response.framing);
    let mut splitter = Splitter::default();
    let mut bytes = MessageBuffer::default();
    let number = context.gateway.dialect.event;
    loop {
        let (whole, ended) = match part(&mut response, &mut decoder).await {
            Part::Data(data) => (splitter.push(&data, number, progress.last_event_id), false),
            Part::End => (None, true),
            Part::Cut => return Delivered::Cut,
        };
        if splitter.is_overlong() {
            return Delivered::Cut;
        }
        let Some(whole) = whole else {
            if ended {
                break;
            }
            continue;
        };
        slot.record_first_token();
        if !progress.response_started() {
            bytes = head(&response.head, Framing::Chunked, context.close.always);
            progress.start_response(response.head.status, context.gateway.now());
        }
        bytes.chunk(&whole.bytes);
        if out.write_all(&bytes.0).await.is_err() {
            return Delivered::CallerGone;
        }
        bytes.0.clear();
        progress.last_event_id = whole.last.or(progress.last_event_id);
    }
    if !progress.response_started() {
        bytes = head(&response.head, Framing::Chunked, context.close.always);
        progress.start_response(response.head.status, context.gateway.now());
    }
    bytes.chunk(&splitter.rest());
    bytes.last_chunk();
    judge_answer(context.gateway, &response);
    if out.write_all(&bytes.0).await.is_err() {
        return Delivered::CallerGone;
    }
    response.recycle_connection(context.gateway);
    Delivered::Whole
}
