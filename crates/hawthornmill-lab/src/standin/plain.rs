//! A plain service whose calls may not repeat: a booking, an issuance.
//!
//! `POST /run` takes `{"tag"}`, works for a while, and answers with the serial number that this run
//! took. It counts every run by tag and never refuses a second one, so that a repeated call shows.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use poem::http::StatusCode;
use poem::web::{Data, Json};
use poem::{Body, Endpoint, EndpointExt, Request, Response, Route, get, handler, post};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use super::engine::{LEAVING, REQUEST_ID};
use super::ledger::Ledger;

/// What a call asks for.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct RunCall {
    /// `account/call`; repeated in the answer.
    pub tag: Box<str>,
}

/// A plain service.
#[derive(Debug)]
pub struct Plain {
    /// What it ran.
    pub ledger: Ledger,
    work: Duration,
    serial: AtomicU64,
}

impl Plain {
    /// An idle service whose calls take `work`.
    pub fn new(work: Duration) -> Arc<Self> {
        Arc::new(Self {
            ledger: Ledger::default(),
            work,
            // Numbers of different servers must not meet.
            serial: AtomicU64::new(u64::from(rand::random::<u32>()) << 20),
        })
    }

    /// The service's HTTP calls.
    pub fn endpoint(self: &Arc<Self>) -> impl Endpoint + use<> {
        Route::new()
            .at("/run", post(run))
            .at("/load", get(load))
            .at("/admin/book", get(book))
            .at("/admin/leaving", post(set_leaving))
            .data(Arc::clone(self))
    }
}

#[handler]
fn load(Data(plain): Data<&Arc<Plain>>) -> Response {
    let (running, leaving) = plain.ledger.load();
    Response::builder()
        .content_type("application/json")
        .body(format!("{{\"running\":{running},\"leaving\":{leaving}}}"))
}

#[handler]
fn set_leaving(Json(leaving): Json<bool>, Data(plain): Data<&Arc<Plain>>) -> Json<bool> {
    plain.ledger.set_leaving(leaving);
    Json(leaving)
}

#[handler]
fn book(Data(plain): Data<&Arc<Plain>>) -> Json<serde_json::Value> {
    Json(serde_json::to_value(&*plain.ledger.lock()).unwrap_or_default())
}

#[handler]
async fn run(request: &Request, body: Body, Data(plain): Data<&Arc<Plain>>) -> Response {
    let asked = body.into_bytes().await.unwrap_or_default();
    let Ok(asked) = serde_json::from_slice::<RunCall>(&asked) else {
        return Response::builder()
            .status(StatusCode::BAD_REQUEST)
            .body("not a run call\n");
    };
    let id: Option<Box<str>> = request.header(REQUEST_ID).map(Into::into);
    // The work goes on when the caller breaks off, as a booking does.
    let worker = Arc::clone(plain);
    let work = tokio::spawn(async move {
        worker.ledger.start(&asked.tag);
        sleep(worker.work).await;
        let serial = worker.serial.fetch_add(1, Ordering::Relaxed) + 1;
        let cost = worker.work.as_secs_f64() * 1000.0;
        worker.ledger.add_cost(&asked.tag, cost);
        worker.ledger.end(&asked.tag, true);
        format!(
            "{{\"tag\":\"{}\",\"serial\":{serial},\"done\":true}}\n",
            asked.tag
        )
    });
    let Ok(text) = work.await else {
        return Response::builder()
            .status(StatusCode::INTERNAL_SERVER_ERROR)
            .finish();
    };
    let mut answer = Response::builder().content_type("application/json");
    if let Some(id) = id {
        answer = answer.header(REQUEST_ID, &*id);
    }
    if plain.ledger.load().1 {
        answer = answer.header(LEAVING, "yes");
    }
    answer.body(text)
}
