//! A model engine: continuous batching, streams, usage, load reports with a lag.
//!
//! Every request that arrives is admitted at once and joins the batch. One step of the batch makes
//! one token for each request in it, and takes longer the more requests there are. A request whose
//! connection closes leaves the batch. `POST /generate` takes `{"tag", "tokens"}` and answers with one
//! line for each token and a last line with the usage; `from` skips lines that the caller has
//! already, so that a broken stream can be resumed.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
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
}

/// A model engine.
#[derive(Debug)]
pub struct Engine {
    /// What it ran.
    pub ledger: Ledger,
    model: EngineModel,
    reported: AtomicU16,
}

impl Engine {
    /// An idle engine.
    pub fn new(model: EngineModel) -> Arc<Self> {
        Arc::new(Self {
            ledger: Ledger::default(),
            model,
            reported: AtomicU16::new(0),
        })
    }

    /// The engine's HTTP calls. Must be called within a runtime.
    pub fn endpoint(self: &Arc<Self>) -> impl Endpoint + use<> {
        tokio::spawn(report_load(Arc::clone(self)));
        Route::new()
            .at("/generate", post(generate))
            .at("/load", get(load))
            .at("/admin/book", get(book))
            .at("/admin/leaving", post(set_leaving))
            .data(Arc::clone(self))
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
async fn generate(request: &Request, body: Body, Data(engine): Data<&Arc<Engine>>) -> Response {
    let asked = body.into_bytes().await.unwrap_or_default();
    let Ok(asked) = serde_json::from_slice::<Generate>(&asked) else {
        return Response::builder()
            .status(StatusCode::BAD_REQUEST)
            .body("not a generate call\n");
    };
    engine.ledger.start(&asked.tag);
    let stream = Tokens {
        engine: Arc::clone(engine),
        next: asked.from,
        asked,
        timer: Box::pin(sleep(Duration::ZERO)),
        last: false,
        whole: false,
    };
    let mut answer = Response::builder().content_type("application/x-ndjson");
    if let Some(id) = request.header(REQUEST_ID) {
        answer = answer.header(REQUEST_ID, id);
    }
    if engine.ledger.load().1 {
        answer = answer.header(LEAVING, "yes");
    }
    answer.body(Body::from_bytes_stream(stream))
}

struct Tokens {
    engine: Arc<Engine>,
    asked: Generate,
    next: u32,
    timer: Pin<Box<Sleep>>,
    last: bool,
    whole: bool,
}

impl Stream for Tokens {
    type Item = Result<Bytes, std::io::Error>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
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
        Poll::Ready(Some(Ok(text.into())))
    }
}

impl Drop for Tokens {
    fn drop(&mut self) {
        self.engine.ledger.end(&self.asked.tag, self.whole);
    }
}

/// Line number `index` of the answer to `tag`.
pub fn line(tag: &str, index: u32) -> String {
    format!("{{\"tag\":\"{tag}\",\"token\":{index}}}\n")
}

/// The last line of an answer, with the usage.
pub fn last_line(asked: &Generate) -> String {
    format!(
        "{{\"tag\":\"{}\",\"done\":true,\"usage\":{{\"cost\":{}}}}}\n",
        asked.tag, asked.tokens
    )
}
