//! Passes a server's answer on: whole, or visibly broken off.
//!
//! A short answer is read to its end before a byte of it goes to the caller, so that one that breaks
//! off can still be replaced by the truth. Streams and long answers go on as they come.

use bytes::BytesMut;
use hawthornmill::routing::loads::Verdict;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;

use super::admit::Admitted;
use super::events::Splitter;
use super::send::Answer;
use super::settle::Trip;
use super::{End, Held, Way, again};
use crate::gateway::Gateway;
use crate::http::body::{Decoder, Piece};
use crate::http::head::{AnswerHead, Framing};
use crate::http::write::Bytes;

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

async fn part(answer: &mut Answer, decoder: &mut Decoder) -> Part {
    loop {
        match decoder.next(&mut answer.upstream.buffer) {
            Ok(Piece::Data(data)) => return Part::Data(data),
            Ok(Piece::End) => return Part::End,
            Ok(Piece::More) => {}
            Err(_malformed) => return Part::Cut,
        }
        match answer.upstream.read_more().await {
            // Only an orderly close ends a body that has no length; a reset cuts it.
            Ok(0) if decoder.ends_with_connection() => return Part::End,
            Ok(0) | Err(_) => return Part::Cut,
            Ok(_) => {}
        }
    }
}

/// Passes `answer` on.
pub async fn deliver(
    way: Way<'_>,
    admitted: &Admitted,
    trip: &mut Trip,
    answer: Answer,
    held: &mut Held<'_>,
    out: &mut OwnedWriteHalf,
) -> Delivered {
    if trip.is_answering() && answer.head.status != 200 {
        return Delivered::Cut;
    }
    let kind = answer.head.fields.text("content-type").unwrap_or_default();
    if admitted.streams && answer.head.status == 200 && kind.starts_with("text/event-stream") {
        return stream(way, trip, answer, held, out).await;
    }
    short(way, trip, answer, held, out).await
}

/// The head of the answer for the caller.
fn head(answer: &AnswerHead, framing: Framing, last: bool) -> Bytes {
    let mut bytes = Bytes::answer(answer.status, &answer.reason);
    bytes.fields(&answer.fields, &[]);
    if framing == Framing::Empty {
        // No body, but the length of what would be there may be told, as for HEAD.
        if let Some(length) = answer.fields.get("content-length") {
            bytes.field("Content-Length", length);
        }
    }
    bytes.framing(framing);
    if last {
        bytes.field("Connection", "close");
    }
    bytes.end();
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
async fn read(answer: &mut Answer, decoder: &mut Decoder, mut part_came: impl FnMut()) -> Read {
    let mut body = answer.body.take().unwrap_or_default();
    let read = loop {
        match part(answer, decoder).await {
            Part::Data(data) => body.extend_from_slice(&data),
            Part::Cut => break Read::Cut,
            Part::End => break Read::Whole,
        }
        part_came();
        if body.len() > SHORT {
            break Read::Long;
        }
    };
    answer.body = Some(body);
    read
}

async fn short(
    way: Way<'_>,
    trip: &mut Trip,
    mut answer: Answer,
    held: &mut Held<'_>,
    out: &mut OwnedWriteHalf,
) -> Delivered {
    let mut decoder = Decoder::new(answer.framing);
    match read(&mut answer, &mut decoder, || held.begin()).await {
        Read::Whole => {}
        Read::Long => return long(way, trip, answer, decoder, out).await,
        Read::Cut => return Delivered::Cut,
    }
    held.begin();
    judge_answer(way.gateway, &answer);
    let end = pass_whole(way, trip, &answer, out).await;
    answer.finish(way.gateway);
    match end {
        End::Whole => Delivered::Whole,
        End::Broken | End::Left => Delivered::CallerGone,
    }
}

/// Reads the rest of a short answer; none when it breaks off or is long.
pub async fn collect(mut answer: Answer) -> Option<Answer> {
    let mut decoder = Decoder::new(answer.framing);
    match read(&mut answer, &mut decoder, || {}).await {
        Read::Whole => Some(answer),
        Read::Long | Read::Cut => None,
    }
}

fn judge_answer(gateway: &Gateway, answer: &Answer) {
    let verdict = if again::is_failure(answer) {
        Verdict::Failed
    } else {
        Verdict::Sound
    };
    again::judge(gateway, answer.server, verdict);
}

/// Writes an answer whose body was read.
pub async fn pass_whole(
    way: Way<'_>,
    trip: &mut Trip,
    answer: &Answer,
    out: &mut OwnedWriteHalf,
) -> End {
    let none = BytesMut::new();
    let body = answer.body.as_ref().unwrap_or(&none);
    let framing = match answer.framing {
        Framing::Empty => Framing::Empty,
        _ => Framing::Length(body.len() as u64),
    };
    let mut bytes = head(&answer.head, framing, way.closing.last);
    bytes.0.extend_from_slice(body);
    trip.answering(answer.head.status, way.gateway.now());
    match out.write_all(&bytes.0).await {
        Ok(()) => End::Whole,
        Err(_gone) => End::Left,
    }
}

/// Passes on an answer too long to be held.
async fn long(
    way: Way<'_>,
    trip: &mut Trip,
    mut answer: Answer,
    mut decoder: Decoder,
    out: &mut OwnedWriteHalf,
) -> Delivered {
    let chunked = !matches!(answer.framing, Framing::Length(_));
    let mut bytes = head(&answer.head, answer.framing, way.closing.last);
    trip.answering(answer.head.status, way.gateway.now());
    let mut data = answer.body.take().unwrap_or_default().freeze();
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
        match part(&mut answer, &mut decoder).await {
            Part::Data(next) => data = next,
            Part::Cut => return Delivered::Cut,
            Part::End => break,
        }
    }
    judge_answer(way.gateway, &answer);
    if chunked {
        bytes.last_chunk();
        if out.write_all(&bytes.0).await.is_err() {
            return Delivered::CallerGone;
        }
    }
    answer.finish(way.gateway);
    Delivered::Whole
}

/// Passes on a stream, event by event.
///
/// The head waits for the first whole event: until then another server may still have the request.
async fn stream(
    way: Way<'_>,
    trip: &mut Trip,
    mut answer: Answer,
    held: &mut Held<'_>,
    out: &mut OwnedWriteHalf,
) -> Delivered {
    let mut decoder = Decoder::new(answer.framing);
    let mut splitter = Splitter::default();
    let mut bytes = Bytes::default();
    let number = way.gateway.adapter.parse_event_id;
    loop {
        let (whole, ended) = match part(&mut answer, &mut decoder).await {
            Part::Data(data) => (splitter.push(&data, number, trip.last_event), false),
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
        held.begin();
        if !trip.is_answering() {
            bytes = head(&answer.head, Framing::Chunked, way.closing.last);
            trip.answering(answer.head.status, way.gateway.now());
        }
        bytes.chunk(&whole.bytes);
        if out.write_all(&bytes.0).await.is_err() {
            return Delivered::CallerGone;
        }
        bytes.0.clear();
        trip.last_event = whole.last.or(trip.last_event);
    }
    if !trip.is_answering() {
        bytes = head(&answer.head, Framing::Chunked, way.closing.last);
        trip.answering(answer.head.status, way.gateway.now());
    }
    bytes.chunk(&splitter.rest());
    bytes.last_chunk();
    judge_answer(way.gateway, &answer);
    if out.write_all(&bytes.0).await.is_err() {
        return Delivered::CallerGone;
    }
    answer.finish(way.gateway);
    Delivered::Whole
}
