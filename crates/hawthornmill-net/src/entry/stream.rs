//! Passes an answer on as it comes, and sees to it that a cut shows.
//!
//! An answer that breaks off, falls silent, or ends without what its service calls whole is resumed
//! where the service allows it; otherwise the caller's stream is broken off too, so that no caller
//! takes a part for the whole.

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

use super::call::{Call, Flying, attempt, slot};
use super::problem::Problem;
use super::record::Tried;
use super::relay::{Finished, finish, reported};
use crate::connections::Cutter;
use crate::fleet::{Fleet, SlotGuard};
use crate::upstream::{REQUEST_ID, Tail, passed_on};

/// Times that one answer is resumed at most.
const RESUMES: u32 = 3;

type Chunks = Pin<Box<dyn Stream<Item = reqwest::Result<Bytes>> + Send>>;
type Resumed = Result<(SlotGuard, reqwest::Response), Problem>;

enum Source {
    Chunks(Chunks),
    Resuming(BoxFuture<'static, Resumed>),
    Over,
}

struct Relayed {
    fleet: Arc<Fleet>,
    call: Call,
    slot: Option<SlotGuard>,
    source: Source,
    /// Followed where a whole answer or a resumption depends on lines.
    lines: Option<ResponseLines>,
    done: bool,
    splice: ResumeFilter,
    resumes: u32,
    tail: Tail,
    reported: Option<f64>,
    silence: Pin<Box<Sleep>>,
    silent: bool,
    delivery: Delivery,
}

/// The caller's end of an answer.
#[derive(Debug)]
pub struct Delivery {
    /// Counts the call as in flight.
    pub flying: Flying,
    /// Breaks the caller's connection off.
    pub cutter: Cutter,
}

impl Relayed {
    fn settle(&mut self, code: u16, outcome: Outcome) {
        if let Some(slot) = self.slot.take() {
            let reported = self.reported.or_else(|| self.tail.cost());
            finish(
                &self.fleet,
                &self.call,
                slot,
                reported,
                Finished { code, outcome },
            );
        }
    }

    fn whole(&self) -> bool {
        let said = !self.done || self.lines.as_ref().is_some_and(ResponseLines::is_complete);
        said && self.splice.is_done()
    }

    /// The answer broke: it is resumed, or the error with which the caller's stream breaks too.
    fn broken(&mut self, why: &str) -> Result<(), io::Error> {
        if let Some(call) = self.continued() {
            // The server reports the cost of the whole call with the part that is still to come.
            self.reported = Some(0.0);
            self.settle(Code::UpstreamFailed.number(), Outcome::Unknown);
            self.resumes += 1;
            let fleet = Arc::clone(&self.fleet);
            self.source = Source::Resuming(Box::pin(resume(fleet, call)));
            return Ok(());
        }
        self.settle(Code::UpstreamFailed.number(), Outcome::Unknown);
        Err(self.cut(why))
    }

    /// Ends the caller's stream so that the cut shows.
    fn cut(&mut self, why: &str) -> io::Error {
        self.source = Source::Over;
        self.delivery.cutter.cut();
        io::Error::other(why)
    }

    /// The call that asks for the rest of the answer; none where that can't be had.
    fn continued(&mut self) -> Option<Call> {
        let rule = self.call.admitted.answer;
        if !rule.resume || self.resumes >= RESUMES {
            return None;
        }
        let (count, partial) = self.lines.as_ref()?.resume_point()?;
        let mut body: serde_json::Value = serde_json::from_slice(&self.call.out.body).ok()?;
        let from = body
            .as_object()?
            .get("from")
            .and_then(serde_json::Value::as_u64);
        body["from"] = (from.unwrap_or(0) + count).into();
        self.splice = ResumeFilter::new(partial);
        let mut call = self.call.clone();
        call.out.body = body.to_string().into();
        call.admitted.deadline = self.fleet.clock.now() + rule.idle_timeout;
        Some(call)
    }

    fn take_up(&mut self, slot: SlotGuard, answer: reqwest::Response) {
        self.reported = reported(&answer);
        self.tail = Tail::default();
        self.slot = Some(slot);
        self.silent = false;
        self.source = Source::Chunks(Box::pin(answer.bytes_stream()));
    }

    /// What of `chunk` the caller has not had.
    fn pass(&mut self, mut chunk: Bytes) -> Result<Bytes, &'static str> {
        let skip = self.splice.skip(&chunk);
        chunk.advance(skip.ok_or("the resumed answer is another one")?);
        self.tail.push(&chunk);
        if let Some(slot) = &mut self.slot {
            slot.add_bytes(chunk.len());
        }
        if let Some(lines) = &mut self.lines {
            lines.push(&chunk);
        }
        Ok(chunk)
    }

    /// Waits for the answer's next part, for as long as the service's silence may last.
    fn next_part(&mut self, cx: &mut Context<'_>) -> Poll<Part> {
        let Source::Chunks(chunks) = &mut self.source else {
            return Poll::Ready(Part::End);
        };
        match chunks.as_mut().poll_next(cx) {
            Poll::Ready(part) => {
                self.silent = false;
                Poll::Ready(match part {
                    Some(Ok(chunk)) => Part::Chunk(chunk),
                    Some(Err(_)) => Part::Broken("the answer was broken off"),
                    None => Part::End,
                })
            }
            Poll::Pending => {
                if !self.silent {
                    // Counted from the moment that the caller is ready for more: a slow reader
                    // is not the server's silence.
                    self.silent = true;
                    let until = Instant::now() + self.call.admitted.answer.idle_timeout;
                    self.silence.as_mut().reset(until);
                }
                ready!(self.silence.as_mut().poll(cx));
                Poll::Ready(Part::Broken("the server fell silent"))
            }
        }
    }
}

enum Part {
    Chunk(Bytes),
    End,
    Broken(&'static str),
}

impl Stream for Relayed {
    type Item = Result<Bytes, io::Error>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = &mut *self;
        loop {
            let result = match &mut this.source {
                Source::Over => return Poll::Ready(None),
                Source::Resuming(resumed) => match ready!(resumed.as_mut().poll(cx)) {
                    Ok((slot, answer)) => {
                        this.take_up(slot, answer);
                        Ok(())
                    }
                    Err(problem) => Err(this.cut(problem.code.title())),
                },
                Source::Chunks(_) => match ready!(this.next_part(cx)) {
                    Part::Chunk(chunk) => match this.pass(chunk) {
                        Ok(chunk) if chunk.is_empty() => Ok(()),
                        Ok(chunk) => return Poll::Ready(Some(Ok(chunk))),
                        Err(why) => this.broken(why),
                    },
                    Part::End if this.whole() => {
                        this.settle(0, Outcome::Ran);
                        this.source = Source::Over;
                        Ok(())
                    }
                    // The server said all and then broke the connection.
                    Part::Broken(_) if this.done && this.whole() => {
                        this.settle(0, Outcome::Ran);
                        this.source = Source::Over;
                        Ok(())
                    }
                    Part::End => this.broken("the answer ended without its last line"),
                    Part::Broken(why) => this.broken(why),
                },
            };
            if let Err(error) = result {
                return Poll::Ready(Some(Err(error)));
            }
        }
    }
}

impl Drop for Relayed {
    fn drop(&mut self) {
        // The caller went away; dropping the source closes the connection, which cancels the call.
        self.settle(Code::UpstreamFailed.number(), Outcome::Unknown);
    }
}

/// Asks for the rest of an answer, in a slot of its own.
async fn resume(fleet: Arc<Fleet>, call: Call) -> Resumed {
    let mut tried = Tried::new(&fleet, &call, slot(&fleet, &call).await?);
    let problem = match attempt(&fleet, &call, tried.slot(), false).await {
        Ok(answer) if answer.status().is_success() => return Ok((tried.into_slot(), answer)),
        Ok(_) => Problem::new(Code::UpstreamFailed, Outcome::Unknown, &call.out.id),
        Err(problem) => problem,
    };
    let finished = Finished {
        code: problem.code.number(),
        outcome: problem.outcome,
    };
    finish(&fleet, &call, tried.into_slot(), None, finished);
    Err(problem)
}

/// Tells whether an answer with `status` is whole only with its last line.
pub fn needs_done(call: &Call, status: StatusCode) -> bool {
    call.admitted.answer.completion == Completion::DoneLine
        && status.is_success()
        && status != StatusCode::NO_CONTENT
        && call.out.method != Method::HEAD
}

/// The caller's answer: the server's, streamed.
pub fn answer(
    call: Call,
    slot: SlotGuard,
    answer: reqwest::Response,
    delivery: Delivery,
) -> Response {
    let mut response = Response::builder()
        .status(answer.status())
        .header(REQUEST_ID, &*call.out.id)
        .finish();
    response.headers_mut().extend(passed_on(answer.headers()));
    let length = answer.headers().get("content-length").cloned();
    if let Some(length) = length {
        response.headers_mut().insert("content-length", length);
    }
    let done = needs_done(&call, answer.status());
    let resume = call.admitted.answer.resume && answer.status().is_success();
    let relayed = Relayed {
        fleet: Arc::clone(delivery.flying.fleet()),
        slot: Some(slot),
        lines: (done || resume).then(ResponseLines::default),
        done,
        splice: ResumeFilter::default(),
        resumes: 0,
        tail: Tail::default(),
        reported: reported(&answer),
        silence: Box::pin(sleep(call.admitted.answer.idle_timeout)),
        silent: false,
        source: Source::Chunks(Box::pin(answer.bytes_stream())),
        call,
        delivery,
    };
    response.set_body(Body::from_bytes_stream(relayed));
    response
}
