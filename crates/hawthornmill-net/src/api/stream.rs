//! Streams a response to the caller, and makes sure that the caller notices a truncated one.
//!
//! A response that is interrupted, stalls, or ends before it is complete by the service's rules is
//! resumed if the service allows it. Otherwise the caller's connection is aborted too, so that no
//! caller mistakes a truncated response for a complete one.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::{Buf, Bytes};
use futures_util::Stream;
use futures_util::future::BoxFuture;
use hawthornmill::codes::{Code, Outcome};
use hawthornmill::config::Completion;
use hawthornmill::response::{ResponseLines, ResumeFilter};
use poem::http::{Method, StatusCode};
use poem::{Body, Response};
use tokio::time::{Instant, Sleep, sleep};

use super::accounting::AttemptGuard;
use super::call::{Call, InFlightGuard, acquire_slot, attempt};
use super::call_result::{CallResult, finish, reported_cost};
use super::problem::Problem;
use crate::connections::AbortHandle;
use crate::event_check::EventCheck;
use crate::fleet::{Fleet, SlotGuard};
use crate::quarantine::{self, Progress};
use crate::upstream::{REQUEST_ID_HEADER, ResponseTail, forwarded_headers};

/// Maximum number of times that one response is resumed.
const MAX_RESUMES: u32 = 3;

type ByteStream = Pin<Box<dyn Stream<Item = reqwest::Result<Bytes>> + Send>>;
type ResumeResult = Result<(SlotGuard, reqwest::Response), Problem>;

enum Source {
    Chunks(ByteStream),
    Resuming(BoxFuture<'static, ResumeResult>),
    Finished,
}

struct ResponseStream {
    fleet: Arc<Fleet>,
    call: Call,
    slot: Option<SlotGuard>,
    source: Source,
    /// Tracked if the service's rules of completeness or resumption depend on lines.
    lines: Option<ResponseLines>,
    requires_last_line: bool,
    /// Tracked if the response is an event stream.
    events: Option<EventCheck>,
    resume_filter: ResumeFilter,
    resumes: u32,
    /// Pieces of the response that came.
    pieces: u32,
    tail: ResponseTail,
    reported: Option<f64>,
    idle_timer: Pin<Box<Sleep>>,
    is_idle: bool,
    connection: CallerConnection,
}

/// The caller's side of a streamed response.
#[derive(Debug)]
pub struct CallerConnection {
    /// Counts the call as in flight.
    pub in_flight: InFlightGuard,
    /// Aborts the caller's connection.
    pub abort_handle: AbortHandle,
}

impl ResponseStream {
    fn finish_attempt(&mut self, code: u16, outcome: Outcome) {
        if let Some(slot) = self.slot.take() {
            let reported = self.reported.or_else(|| self.tail.cost());
            finish(
                &self.fleet,
                &self.call,
                slot,
                reported,
                CallResult { code, outcome },
            );
        }
    }

    fn is_complete(&self) -> bool {
        let lines_complete =
            !self.requires_last_line || self.lines.as_ref().is_some_and(ResponseLines::is_complete);
        let events_complete = self.events.as_ref().is_none_or(EventCheck::may_end);
        lines_complete && events_complete && self.resume_filter.is_done()
    }

    /// Resumes an interrupted response, or returns the error that aborts the caller's stream.
    fn interrupted(&mut self, reason: &str) -> Result<(), io::Error> {
        if let Some(slot) = &self.slot {
            let progress = Progress {
                sent_at: slot.acquired_at,
                pieces: self.pieces,
            };
            quarantine::record_break(&self.fleet, &self.call, slot.dispatch.server, progress);
        }
        if let Some(call) = self.resume_call() {
            // The resumed response reports the cost of the whole call.
            self.reported = Some(0.0);
            self.finish_attempt(Code::UpstreamFailed.number(), Outcome::Unknown);
            self.resumes += 1;
            let fleet = Arc::clone(&self.fleet);
            self.source = Source::Resuming(Box::pin(resume(fleet, call)));
            return Ok(());
        }
        self.finish_attempt(Code::UpstreamFailed.number(), Outcome::Unknown);
        Err(self.abort(reason))
    }

    /// Aborts the caller's connection so that the truncation is visible, and ends the stream.
    fn abort(&mut self, reason: &str) -> io::Error {
        self.source = Source::Finished;
        self.connection.abort_handle.abort();
        io::Error::other(reason)
    }

    /// Builds the call that requests the rest of the response; `None` if it can't be resumed.
    fn resume_call(&mut self) -> Option<Call> {
        let rules = self.call.admitted.response;
        if !rules.resume || self.resumes >= MAX_RESUMES {
            return None;
        }
        let (count, partial) = self.lines.as_ref()?.resume_point()?;
        let mut body: serde_json::Value = serde_json::from_slice(&self.call.outbound.body).ok()?;
        let first_line = body
            .as_object()?
            .get("from")
            .and_then(serde_json::Value::as_u64);
        body["from"] = (first_line.unwrap_or(0) + count).into();
        self.resume_filter = ResumeFilter::new(partial);
        let mut call = self.call.clone();
        call.outbound.body = body.to_string().into();
        call.admitted.deadline = self.fleet.clock.now() + rules.idle_timeout;
        Some(call)
    }

    fn continue_with(&mut self, slot: SlotGuard, response: reqwest::Response) {
        self.reported = reported_cost(&response);
        self.tail = ResponseTail::default();
        self.slot = Some(slot);
        self.is_idle = false;
        self.source = Source::Chunks(Box::pin(response.bytes_stream()));
    }

    /// Returns the part of `chunk` that the caller has not received yet.
    fn filter_chunk(&mut self, mut chunk: Bytes) -> Result<Bytes, &'static str> {
        let skip = self.resume_filter.skip(&chunk);
        chunk.advance(skip.ok_or("the resumed response differs from the original")?);
        self.tail.push(&chunk);
        self.pieces += 1;
        if let Some(slot) = &mut self.slot {
            slot.add_bytes(chunk.len());
        }
        if let Some(lines) = &mut self.lines {
            lines.push(&chunk);
        }
        if let Some(events) = &mut self.events {
            events.push(&chunk);
        }
        Ok(chunk)
    }

    /// Polls for the next chunk of the response, up to the service's idle timeout.
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<NextChunk> {
        let Source::Chunks(chunks) = &mut self.source else {
            return Poll::Ready(NextChunk::End);
        };
        match chunks.as_mut().poll_next(cx) {
            Poll::Ready(next) => {
                self.is_idle = false;
                Poll::Ready(match next {
                    Some(Ok(chunk)) => NextChunk::Chunk(chunk),
                    Some(Err(_)) => NextChunk::Failed("the response was interrupted"),
                    None => NextChunk::End,
                })
            }
            Poll::Pending => {
                if !self.is_idle {
                    // The timeout starts when the caller is ready for more data, so a slow
                    // reader doesn't count as an idle server.
                    self.is_idle = true;
                    let timeout_at = Instant::now() + self.call.admitted.response.idle_timeout;
                    self.idle_timer.as_mut().reset(timeout_at);
                }
                ready!(self.idle_timer.as_mut().poll(cx));
                Poll::Ready(NextChunk::Failed(
                    "the server sent no data within the idle timeout",
                ))
            }
        }
    }
}

enum NextChunk {
    Chunk(Bytes),
    End,
    Failed(&'static str),
}

impl Stream for ResponseStream {
    type Item = Result<Bytes, io::Error>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = &mut *self;
        loop {
            let result = match &mut this.source {
                Source::Finished => return Poll::Ready(None),
                Source::Resuming(future) => match ready!(future.as_mut().poll(cx)) {
                    Ok((slot, response)) => {
                        this.continue_with(slot, response);
                        Ok(())
                    }
                    Err(problem) => Err(this.abort(problem.code.title())),
                },
                Source::Chunks(_) => match ready!(this.poll_chunk(cx)) {
                    NextChunk::Chunk(chunk) => match this.filter_chunk(chunk) {
                        Ok(chunk) if chunk.is_empty() => Ok(()),
                        Ok(chunk) => return Poll::Ready(Some(Ok(chunk))),
                        Err(reason) => this.interrupted(reason),
                    },
                    NextChunk::End if this.is_complete() => {
                        this.finish_attempt(0, Outcome::Ran);
                        this.source = Source::Finished;
                        Ok(())
                    }
                    // The response was complete before the connection failed.
                    NextChunk::Failed(_) if this.requires_last_line && this.is_complete() => {
                        this.finish_attempt(0, Outcome::Ran);
                        this.source = Source::Finished;
                        Ok(())
                    }
                    NextChunk::End => this.interrupted("the response ended before it was complete"),
                    NextChunk::Failed(reason) => this.interrupted(reason),
                },
            };
            if let Err(error) = result {
                return Poll::Ready(Some(Err(error)));
            }
        }
    }
}

impl Drop for ResponseStream {
    fn drop(&mut self) {
        // The caller disconnected. Dropping the source closes the connection to the server, which
        // cancels the call.
        self.finish_attempt(Code::UpstreamFailed.number(), Outcome::Unknown);
    }
}

/// Requests the rest of a response, in a new slot.
async fn resume(fleet: Arc<Fleet>, call: Call) -> ResumeResult {
    let mut guard = AttemptGuard::new(&fleet, &call, acquire_slot(&fleet, &call).await?);
    let problem = match attempt(&fleet, &call, guard.slot(), false).await {
        Ok(response) if response.status().is_success() => return Ok((guard.into_slot(), response)),
        Ok(_) => Problem::new(Code::UpstreamFailed, Outcome::Unknown, &call.outbound.id),
        Err(problem) => problem,
    };
    let result = CallResult {
        code: problem.code.number(),
        outcome: problem.outcome,
    };
    finish(&fleet, &call, guard.into_slot(), None, result);
    Err(problem)
}

/// Returns whether a response with `status` is complete only with its last line.
pub fn requires_last_line(call: &Call, status: StatusCode) -> bool {
    call.admitted.response.completion == Completion::DoneLine && has_content(call, status)
}

/// Returns whether a response with `status` has content whose end is judged.
fn has_content(call: &Call, status: StatusCode) -> bool {
    status.is_success() && status != StatusCode::NO_CONTENT && call.outbound.method != Method::HEAD
}

/// Returns the check for `response` if its content is an event stream.
pub fn event_check(call: &Call, response: &reqwest::Response) -> Option<EventCheck> {
    has_content(call, response.status())
        .then(|| EventCheck::of(response.headers()))
        .flatten()
}

/// Builds the caller's response, which streams the server's.
pub fn respond(
    call: Call,
    slot: SlotGuard,
    upstream: reqwest::Response,
    connection: CallerConnection,
) -> Response {
    let mut response = Response::builder()
        .status(upstream.status())
        .header(REQUEST_ID_HEADER, &*call.outbound.id)
        .finish();
    response
        .headers_mut()
        .extend(forwarded_headers(upstream.headers()));
    let length = upstream.headers().get("content-length").cloned();
    if let Some(length) = length {
        response.headers_mut().insert("content-length", length);
    }
    let requires_last_line = requires_last_line(&call, upstream.status());
    let resume = call.admitted.response.resume && upstream.status().is_success();
    let stream = ResponseStream {
        fleet: Arc::clone(connection.in_flight.fleet()),
        slot: Some(slot),
        lines: (requires_last_line || resume).then(ResponseLines::default),
        requires_last_line,
        events: event_check(&call, &upstream),
        resume_filter: ResumeFilter::default(),
        resumes: 0,
        pieces: 0,
        tail: ResponseTail::default(),
        reported: reported_cost(&upstream),
        idle_timer: Box::pin(sleep(call.admitted.response.idle_timeout)),
        is_idle: false,
        source: Source::Chunks(Box::pin(upstream.bytes_stream())),
        call,
        connection,
    };
    response.set_body(Body::from_bytes_stream(stream));
    response
}
