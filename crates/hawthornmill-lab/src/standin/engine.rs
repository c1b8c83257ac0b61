//! A model engine: continuous batching, streams, usage, load reports with a lag.
//!
//! Every request that arrives is admitted at once and joins the batch. One step of the batch makes
//! one token for each request in it, and takes longer the more requests there are. A request whose
//! connection closes leaves the batch. `POST /generate` takes `{"tag", "tokens"}` and answers with one
//! line for each token and a last line with the usage; `from` skips lines that the caller has
//! already, so that a broken stream can be resumed.

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use hawthornmill_net::connections::{AbortHandle, Connections};
use poem::http::StatusCode;
use poem::web::{Data, Json};
use poem::{Body, Endpoint, EndpointExt, Request, Response, Route, get, handler, post};
use serde::{Deserialize, Serialize};
use tokio::time::{Sleep, sleep};

use super::ledger::Ledger;

/// Header that names the request on every hop.
pub const REQUEST_ID: &str = "hawthornmill-request-id";
/// Header with which a server says that it is about to go.
pub const LEAVING: &str = "hawthornmill-leaving";

/// Speed of an engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineModel {
    /// Time of a step with one request in the batch.
    pub step: Duration,
    /// Part of `step` that each further request adds.
    pub slowdown: f64,
    /// Age of a load report.
    pub lag: Duration,
    /// Tokens that are sent together.
    pub burst: u32,
}

impl Default for EngineModel {
    fn default() -> Self {
        Self {
            step: Duration::from_millis(3),
            slowdown: 0.04,
            lag: Duration::from_millis(200),
            burst: 8,
        }
    }
}

/// What a call asks for.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Generate {
    /// `account/call`; repeated in the answer.
    pub tag: Box<str>,
    /// Tokens to make.
    pub tokens: u32,
    /// Lines that the caller has already.
    #[serde(default)]
    pub from: u32,
    /// Answers with an event stream, each line as an event of its own.
    #[serde(default)]
    pub events: bool,
}

/// How an engine misbehaves in one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineFault {
    /// It breaks the connection after so many bytes.
    Cut(usize),
    /// It ends its answer in order after so many bytes.
    End(usize),
    /// It falls silent after so many bytes.
    Stall(usize),
    /// It names another request.
    WrongId,
}

/// A model engine.
#[derive(Debug)]
pub struct Engine {
    /// What it ran.
    pub ledger: Ledger,
    faults: Mutex<VecDeque<EngineFault>>,
    model: EngineModel,
    reported: AtomicU16,
}

impl Engine {
    /// An idle engine.
    pub fn new(model: EngineModel) -> Arc<Self> {
        Arc::new(Self {
            ledger: Ledger::default(),
            faults: Mutex::default(),
            model,
            reported: AtomicU16::new(0),
        })
    }

    /// The engine's HTTP calls. Must be called within a runtime.
    pub fn endpoint(self: &Arc<Self>) -> impl Endpoint + use<> {
        tokio::spawn(report_load(Arc::clone(self)));
        Route::new()
            .at("/generate", post(generate))
            .at("/bytes", post(send_bytes))
            .at("/load", get(load))
            .at("/admin/book", get(book))
            .at("/admin/leaving", post(set_leaving))
            .data(Arc::clone(self))
    }

    /// Misbehaves in the calls that come next, one fault for each; earlier faults are forgotten.
    pub fn misbehave(&self, faults: &[EngineFault]) {
        *self.faults() = faults.iter().copied().collect();
    }

    fn faults(&self) -> MutexGuard<'_, VecDeque<EngineFault>> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn step(&self) -> Duration {
        let running = self.ledger.lock().running;
        let others = f64::from(running.saturating_sub(1));
        self.model.step.mul_f64(1.0 + self.model.slowdown * others)
    }
}

async fn report_load(engine: Arc<Engine>) {
    loop {
        let running = engine.ledger.lock().running as u16;
        sleep(engine.model.lag).await;
        engine.reported.store(running, Ordering::Relaxed);
    }
}

#[handler]
fn load(Data(engine): Data<&Arc<Engine>>) -> Response {
    let running = engine.reported.load(Ordering::Relaxed);
    let leaving = engine.ledger.load().1;
    Response::builder()
        .content_type("application/json")
        .body(format!("{{\"running\":{running},\"leaving\":{leaving}}}"))
}

#[handler]
fn set_leaving(Json(leaving): Json<bool>, Data(engine): Data<&Arc<Engine>>) -> Json<bool> {
    engine.ledger.set_leaving(leaving);
    Json(leaving)
}

#[handler]
fn book(Data(engine): Data<&Arc<Engine>>) -> Json<serde_json::Value> {
    Json(serde_json::to_value(&*engine.ledger.lock()).unwrap_or_default())
}

#[handler]
async fn generate(
    request: &Request,
    body: Body,
    Data(engine): Data<&Arc<Engine>>,
    Data(connections): Data<&Connections>,
) -> Response {
    let asked = body.into_bytes().await.unwrap_or_default();
    let Ok(asked) = serde_json::from_slice::<Generate>(&asked) else {
        return Response::builder()
            .status(StatusCode::BAD_REQUEST)
            .body("not a generate call\n");
    };
    engine.ledger.start(&asked.tag);
    let fault = engine.faults().pop_front();
    let kind = if asked.events {
        "text/event-stream"
    } else {
        "application/x-ndjson"
    };
    let stream = Tokens {
        fault,
        abort_handle: connections.abort_handle(request),
        left: match fault {
            Some(EngineFault::Cut(n) | EngineFault::End(n) | EngineFault::Stall(n)) => n,
            _ => usize::MAX,
        },
        engine: Arc::clone(engine),
        next: asked.from,
        asked,
        timer: Box::pin(sleep(Duration::ZERO)),
        last: false,
        whole: false,
    };
    let mut answer = Response::builder().content_type(kind);
    if fault == Some(EngineFault::WrongId) {
        answer = answer.header(REQUEST_ID, "another");
    } else if let Some(id) = request.header(REQUEST_ID) {
        answer = answer.header(REQUEST_ID, id);
    }
    if engine.ledger.load().1 {
        answer = answer.header(LEAVING, "yes");
    }
    answer.body(Body::from_bytes_stream(stream))
}

struct Tokens {
    engine: Arc<Engine>,
    fault: Option<EngineFault>,
    abort_handle: AbortHandle,
    left: usize,
    asked: Generate,
    next: u32,
    timer: Pin<Box<Sleep>>,
    last: bool,
    whole: bool,
}

impl Stream for Tokens {
    type Item = Result<Bytes, std::io::Error>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.left == 0 {
            return match self.fault {
                Some(EngineFault::Cut(_)) => {
                    self.abort_handle.abort();
                    Poll::Ready(Some(Err(std::io::Error::other("cut on demand"))))
                }
                Some(EngineFault::End(_)) => Poll::Ready(None),
                // Nobody wakes it: it ends when its connection does.
                _ => Poll::Pending,
            };
        }
        if self.last {
            self.whole = true;
            return Poll::Ready(None);
        }
        if self.timer.as_mut().poll(cx).is_pending() {
            return Poll::Pending;
        }
        let count = self
            .engine
            .model
            .burst
            .min(self.asked.tokens - self.next.min(self.asked.tokens));
        let mut text = String::new();
        for _ in 0..count {
            text.push_str(&line(&self.asked.tag, self.next));
            self.next += 1;
        }
        self.engine
            .ledger
            .add_cost(&self.asked.tag, f64::from(count));
        if self.next >= self.asked.tokens {
            self.last = true;
            text.push_str(&last_line(&self.asked));
        } else {
            let wait = self.engine.step() * self.engine.model.burst;
            self.timer = Box::pin(sleep(wait));
        }
        if self.asked.events {
            text = as_events(&text);
        }
        text.truncate(self.left);
        self.left -= text.len().min(self.left);
        Poll::Ready(Some(Ok(text.into())))
    }
}

impl Drop for Tokens {
    fn drop(&mut self) {
        self.engine.ledger.end(&self.asked.tag, self.whole);
    }
}

/// Asks for an answer of bytes.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct BytesCall {
    /// `account/call`.
    pub tag: Box<str>,
    /// Length of the answer.
    pub bytes: usize,
    /// Length of the parts in which it is sent, above 0.
    pub chunk: usize,
}

/// Byte number `index` of an answer of bytes.
pub fn byte(index: usize) -> u8 {
    (index % 251) as u8
}

#[handler]
async fn send_bytes(request: &Request, body: Body, Data(engine): Data<&Arc<Engine>>) -> Response {
    let asked = body.into_bytes().await.unwrap_or_default();
    let Ok(asked) = serde_json::from_slice::<BytesCall>(&asked) else {
        return Response::builder()
            .status(StatusCode::BAD_REQUEST)
            .body("not a bytes call\n");
    };
    engine.ledger.start(&asked.tag);
    let engine = Arc::clone(engine);
    let parts = (0..asked.bytes).step_by(asked.chunk.max(1)).map(move |at| {
        let end = (at + asked.chunk).min(asked.bytes);
        Ok::<_, std::io::Error>((at..end).map(byte).collect::<Bytes>())
    });
    let tag = asked.tag;
    let end = futures_util::stream::once(async move {
        engine.ledger.end(&tag, true);
        Ok(Bytes::new())
    });
    let id = request.header(REQUEST_ID).unwrap_or_default().to_owned();
    Response::builder()
        .header(REQUEST_ID, id)
        .body(Body::from_bytes_stream(
            futures_util::stream::iter(parts).chain(end),
        ))
}

/// Line number `index` of the answer to `tag`.
pub fn line(tag: &str, index: u32) -> String {
    format!("{{\"tag\":\"{tag}\",\"token\":{index}}}\n")
}

/// The lines of an answer as events.
pub fn as_events(lines: &str) -> String {
    lines.lines().flat_map(|l| ["data: ", l, "\n\n"]).collect()
}

/// The last line of an answer, with the usage.
pub fn last_line(asked: &Generate) -> String {
    format!(
        "{{\"tag\":\"{}\",\"done\":true,\"usage\":{{\"cost\":{}}}}}\n",
        asked.tag, asked.tokens
    )
}
