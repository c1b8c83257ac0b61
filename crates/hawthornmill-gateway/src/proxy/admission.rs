//! Decides whether a request may be served at all, and under which terms.

use std::time::Duration;

use hawthornmill::codes::Code;
use hawthornmill::routing::catalog::RetryPolicy;
use hawthornmill::routing::request::Request;
use hawthornmill::routing::route_table::{Caller, pick_service};
use smallvec::SmallVec;

use super::error_response::ErrorResponse;
use super::read::ClientRequest;
use crate::gateway::{Gateway, Phase};

/// Time to come back when the process lacks the newest catalog; the store and peers answer in milliseconds.
const CATALOG_RETRY: Duration = Duration::from_millis(300);
/// Time to come back when the process is about to end: at once, to another address.
const SHUTDOWN_RETRY: Duration = Duration::from_millis(10);

/// A request that may be served.
#[derive(Debug)]
pub struct Admitted {
    /// What the scheduler decides on.
    pub request: Request,
    /// How often it may run.
    pub repeat: RetryPolicy,
    /// Its answer is a stream of events.
    pub streaming: bool,
    /// Servers to which it may be sent at most.
    pub max_attempts: u32,
    /// Account name that servers are shown.
    pub account_name: Option<Box<str>>,
    /// Callers carry tokens here, so servers must not see the field that holds them.
    pub strip_token: bool,
    /// Route name for logs.
    pub route_name: Box<str>,
    /// Service name for logs.
    pub service_name: Box<str>,
}

/// Checks a request against the catalog in force.
///
/// # Errors
/// The answer that refuses it; it has not run then.
pub fn admit(gateway: &Gateway, request: &ClientRequest) -> Result<Admitted, ErrorResponse> {
    if gateway.phase() == Phase::Draining {
        return Err(ErrorResponse::with_retry_after(
            Code::NotReady,
            SHUTDOWN_RETRY,
        ));
    }
    let Some(table) = gateway.table() else {
        return Err(ErrorResponse::with_retry_after(
            Code::NotReady,
            CATALOG_RETRY,
        ));
    };
    if !gateway.has_registrations.get() || gateway.is_outdated() {
        return Err(ErrorResponse::with_retry_after(
            Code::NotReady,
            CATALOG_RETRY,
        ));
    }
    let headers = &request.head.headers;
    let names = &gateway.adapter.headers;
    let mut hosts = headers.get_all("host");
    let (Some(host), None) = (hosts.next(), hosts.next()) else {
        return Err(ErrorResponse::new(Code::BadHeader));
    };
    let host = std::str::from_utf8(host).map_err(|_bytes| ErrorResponse::new(Code::BadHeader))?;
    let path = request.head.path();
    let route = table
        .route(host, path)
        .ok_or_else(|| not_in_catalog(gateway, Code::NotFound))?;
    let token = headers
        .get(names.token)
        .and_then(|v| parse_token(v, names.auth_scheme));
    let caller = table
        .authenticate(route, token)
        .ok_or_else(|| not_in_catalog(gateway, Code::BadToken))?;
    let left = parse_deadline(headers.get(names.deadline))?;
    let shape = (gateway.adapter.parse_shape)(headers)
        .map_err(|_why| ErrorResponse::new(Code::BadHeader))?;
    let service = pick_service(route, rand::random());
    let known = table.service(service);
    let account = match caller {
        Caller::Account(account) => Some(account),
        Caller::Anonymous => None,
    };
    let pending = Request {
        account: account.map(|a| a.id),
        service,
        engine: known.and_then(|s| s.engine),
        shape,
        priority: account.and_then(|a| a.priority).unwrap_or(route.priority),
        objective: route.objective,
        arrival: request.received,
        deadline: request.received + left.map_or(route.timeout, |l| l.min(route.timeout)),
        tried: SmallVec::new(),
    };
    Ok(Admitted {
        request: pending,
        repeat: route.retry_policy,
        streaming: route.streaming,
        max_attempts: route.max_attempts.max(1),
        account_name: account.map(|a| a.name.clone()),
        strip_token: table.has_accounts(),
        route_name: route.name.clone(),
        service_name: known.map_or_else(|| "unknown".into(), |s| s.name.clone()),
    })
}

/// Answers that the catalog in force doesn't know a route or a token.
///
/// Only the newest catalog can say so for good.
fn not_in_catalog(gateway: &Gateway, code: Code) -> ErrorResponse {
    if gateway.catalog_lag.borrow().is_behind() {
        ErrorResponse::with_retry_after(Code::NotReady, CATALOG_RETRY)
    } else {
        ErrorResponse::new(code)
    }
}

fn parse_token<'a>(value: &'a [u8], scheme: &str) -> Option<&'a [u8]> {
    let (word, rest) = value.split_at_checked(scheme.len())?;
    let token = rest.trim_ascii();
    (word.eq_ignore_ascii_case(scheme.as_bytes()) && rest.starts_with(b" ") && !token.is_empty())
        .then_some(token)
}

fn parse_deadline(value: Option<&[u8]>) -> Result<Option<Duration>, ErrorResponse> {
    let Some(value) = value else {
        return Ok(None);
    };
    let text = std::str::from_utf8(value).map_err(|_bytes| ErrorResponse::new(Code::BadHeader))?;
    let millis: u64 = text
        .trim()
        .parse()
        .map_err(|_number| ErrorResponse::new(Code::BadHeader))?;
    Ok(Some(Duration::from_millis(millis)))
}
