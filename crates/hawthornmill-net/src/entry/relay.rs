//! Passes an answer on as it comes and settles the call at its end.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::Stream;
use hawthornmill::codes::{Code, Outcome};
use poem::{Body, Response};

use super::call::{Call, Flying};
pub use super::record::finish;
use crate::fleet::{Fleet, SlotGuard};
use crate::upstream::{COST, REQUEST_ID, Tail, passed_on};

/// How a call ended.
#[derive(Debug, Clone, Copy)]
pub struct Finished {
    /// Numbered code; 0 for a whole answer.
    pub code: u16,
    /// What is known of the request.
    pub outcome: Outcome,
}

type Chunks = Pin<Box<dyn Stream<Item = reqwest::Result<Bytes>> + Send>>;

struct Relayed {
    fleet: Arc<Fleet>,
    call: Call,
    slot: Option<SlotGuard>,
    chunks: Chunks,
    tail: Tail,
    reported: Option<f64>,
    _flying: Flying,
}

impl Relayed {
    fn settle(&mut self, finished: Finished) {
        if let Some(slot) = self.slot.take() {
            let reported = self.reported.or_else(|| self.tail.cost());
            finish(&self.fleet, &self.call, slot, reported, finished);
        }
    }
}

impl Stream for Relayed {
    type Item = Result<Bytes, io::Error>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        match self.chunks.as_mut().poll_next(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(Ok(chunk))) => {
                self.tail.push(&chunk);
                if let Some(slot) = &mut self.slot {
                    slot.add_bytes(chunk.len());
                }
                Poll::Ready(Some(Ok(chunk)))
            }
            Poll::Ready(Some(Err(error))) => {
                // The caller must see that the answer is cut, so its stream is broken off too.
                self.settle(Finished {
                    code: Code::UpstreamFailed.number(),
                    outcome: Outcome::Unknown,
                });
                Poll::Ready(Some(Err(io::Error::other(error))))
            }
            Poll::Ready(None) => {
                self.settle(Finished {
                    code: 0,
                    outcome: Outcome::Ran,
                });
                Poll::Ready(None)
            }
        }
    }
}

impl Drop for Relayed {
    fn drop(&mut self) {
        // The caller went away; dropping the chunks closes the connection, which cancels the call.
        self.settle(Finished {
            code: Code::UpstreamFailed.number(),
            outcome: Outcome::Unknown,
        });
    }
}

/// The cost that the head of an answer reports.
pub fn reported(answer: &reqwest::Response) -> Option<f64> {
    let value = answer.headers().get(COST)?.to_str().ok()?;
    value
        .parse()
        .ok()
        .filter(|c: &f64| c.is_finite() && *c >= 0.0)
}

/// The caller's answer: the server's, streamed.
pub fn stream(
    fleet: &Arc<Fleet>,
    call: Call,
    slot: SlotGuard,
    answer: reqwest::Response,
    flying: Flying,
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
    let reported = reported(&answer);
    let relayed = Relayed {
        fleet: Arc::clone(fleet),
        call,
        slot: Some(slot),
        chunks: Box::pin(answer.bytes_stream()),
        tail: Tail::default(),
        reported,
        _flying: flying,
    };
    response.set_body(Body::from_bytes_stream(relayed));
    response
}
