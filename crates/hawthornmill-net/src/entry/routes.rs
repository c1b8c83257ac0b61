//! The HTTP calls of an instance.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use poem::http::StatusCode;
use poem::web::Data;
use poem::{Body, Endpoint, EndpointExt, Request, Response, Route, handler};

use super::problem::Problem;
use super::{addresses, call, status};
use crate::fleet::Fleet;
use hawthornmill::codes::Code;

/// Every call of an instance.
pub fn routes(fleet: &Arc<Fleet>) -> impl Endpoint + use<> {
    Route::new()
        .at("/v1/addresses", list_addresses)
        .at("/v1/call/*rest", run_call)
        .at("/v1/health", health)
        .at("/v1/ready", ready)
        .at("/v1/status", show_status)
        .at("/*rest", nothing)
        .data(Arc::clone(fleet))
}

#[handler]
async fn run_call(request: &Request, body: Body, Data(fleet): Data<&Arc<Fleet>>) -> Response {
    call::run(fleet, request, body).await
}

#[handler]
fn list_addresses(Data(fleet): Data<&Arc<Fleet>>) -> Response {
    json(&addresses::answer(fleet))
}

#[handler]
fn show_status(request: &Request, Data(fleet): Data<&Arc<Fleet>>) -> Response {
    json(&status::answer(fleet, request.headers()))
}

#[handler]
fn health() -> &'static str {
    "ok\n"
}

#[handler]
fn ready(Data(fleet): Data<&Arc<Fleet>>) -> Response {
    if is_ready(fleet) {
        return Response::builder().body("ready\n");
    }
    Response::builder()
        .status(StatusCode::SERVICE_UNAVAILABLE)
        .body("not ready\n")
}

/// Tells whether this instance takes new calls.
pub fn is_ready(fleet: &Fleet) -> bool {
    fleet.ready.load(Ordering::Relaxed) && !fleet.closed.load(Ordering::Relaxed)
}

#[handler]
fn nothing(Data(fleet): Data<&Arc<Fleet>>) -> Response {
    Problem::not_run(Code::NotFound, &fleet.request_id()).answer()
}

fn json(value: &serde_json::Value) -> Response {
    Response::builder()
        .content_type("application/json")
        .body(value.to_string())
}
