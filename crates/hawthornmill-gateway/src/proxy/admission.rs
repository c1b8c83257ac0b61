//! Admission: checks a request against the catalog in force.

use std::cell::OnceCell;
use std::time::{Duration, Instant};

use hawthornmill::codes::Code;
use hawthornmill::ident::{AccountId, RouteId, ServiceId};
use hawthornmill::quarantine::fingerprint::Fingerprints;
use hawthornmill::routing::caller_times::CallerTime;
use hawthornmill::routing::catalog::RetryPolicy;
use hawthornmill::routing::request::Request;
use hawthornmill::routing::route_table::{Caller, RouteTable, pick_service};
use hawthornmill::routing::stream_versions::StreamKey;
use smallvec::SmallVec;

use super::error_response::{ErrorResponse, NotReady};
use super::read::ClientRequest;
use crate::gateway::Gateway;
use crate::http::head::{Headers, RequestHead};
use crate::lifecycle::Phase;

/// Retry delay sent while the process lacks the newest catalog; the store and peers answer in milliseconds.
const CATALOG_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Retry delay sent while the process shuts down; the client reconnects to another address.
const SHUTDOWN_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Maximum length of the name of an attempt.
const MAX_ATTEMPT_BYTES: usize = 256;

/// Which stream a request is about, on a route whose streams may go on at another server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamOrigin {
    /// It begins a stream.
    New(StreamKey),
    /// It takes up the stream of an earlier attempt, which its client named or not.
    Resumed(Option<StreamKey>),
}

/// A request that passed admission, with the terms of its route.
#[derive(Debug)]
pub struct Admitted {
    /// The request as the scheduler sees it when it chooses a server.
    pub request: Request,
    /// Whether the request may be executed more than once.
    pub retry_policy: RetryPolicy,
    /// The stream that it begins or takes up; `None` on routes whose streams end with their server.
    pub stream: Option<StreamOrigin>,
    /// What it tells of the time of its caller.
    pub caller: CallerTime,
    /// Services to which its route may send it.
    pub targets: SmallVec<[ServiceId; 1]>,
    /// Whether the response is a stream of events.
    pub streaming: bool,
    /// Longest pause between two events with which it is on time; `None` if the catalog doesn't tell.
    pub gap_target: Option<Duration>,
    /// Maximum number of servers to which the request may be sent.
    pub max_attempts: u32,
    /// Name of the client account, which is sent to the server.
    pub account_name: Option<Box<str>>,
    /// Whether to remove the token header, because clients of this catalog authenticate with tokens.
    pub strip_token: bool,
    /// Name of the route, for logs.
    pub route_name: Box<str>,
    /// Name of the service, for logs.
    pub service_name: Box<str>,
    /// Identity of what a server sees of it, once it was asked for.
    pub fingerprints: OnceCell<Fingerprints>,
}

/// Checks a request against the catalog in force.
///
/// # Errors
/// Returns the response that rejects the request, which has not been executed.
pub fn admit(gateway: &Gateway, request: &ClientRequest) -> Result<Admitted, ErrorResponse> {
    if gateway.phase() >= Phase::Draining {
        return Err(stopping());
    }
    let Some(table) = gateway.table() else {
        return Err(ErrorResponse::not_ready(
            NotReady::NoCatalog,
            CATALOG_RETRY_DELAY,
        ));
    };
    if !gateway.has_registrations.get() {
        return Err(ErrorResponse::not_ready(
            NotReady::NoRegistrations,
            CATALOG_RETRY_DELAY,
        ));
    }
    if gateway.is_outdated() {
        return Err(ErrorResponse::not_ready(
            NotReady::Outdated,
            CATALOG_RETRY_DELAY,
        ));
    }
    let headers = &request.head.headers;
    let names = &gateway.adapter.headers;
    let (host, path) = (host_of(request)?, request.head.path());
    let route = table
        .route(host, path)
        .ok_or_else(|| not_in_catalog(gateway, Code::NotFound))?;
    let token = token_of(gateway, &request.head);
    let caller = table
        .authenticate(route, token)
        .ok_or_else(|| refuse_caller(gateway, &table, headers, token))?;
    let remaining = parse_deadline(headers.get(names.deadline))?;
    let shape = (gateway.adapter.parse_shape)(headers)
        .map_err(|_invalid| ErrorResponse::new(Code::BadHeader))?;
    let service = pick_service(route, rand::random());
    let known_service = table.service(service);
    let account = match caller {
        Caller::Account(account) => Some(account),
        Caller::Anonymous => None,
    };
    let stream = (route.retry_policy == RetryPolicy::Resumable)
        .then(|| stream_origin(gateway, request, account.map(|a| a.id)))
        .transpose()?;
    let caller = CallerTime {
        account: account.map(|a| a.id),
        route: RouteId::of(&route.name),
        timeout: route.timeout,
        past_timeouts: None,
        left: remaining,
    };
    if stream.is_some() {
        let mut times = gateway.streams.caller_times.borrow_mut();
        times.record(caller, request.received);
    }
    let pending = Request {
        account: account.map(|a| a.id),
        route: RouteId::of(&route.name),
        service,
        engine: known_service.and_then(|s| s.engine),
        shape,
        priority: account.and_then(|a| a.priority).unwrap_or(route.priority),
        objective: route.objective,
        arrival: request.received,
        asked: first_asked(request.received, remaining, route.timeout),
        deadline: request.received + remaining.map_or(route.timeout, |l| l.min(route.timeout)),
        tried: SmallVec::new(),
        allowed_regions: match account {
            Some(account) => route.allowed_regions.intersect(&account.allowed_regions),
            None => route.allowed_regions.clone(),
        },
        version: None,
        goes_on: false,
        new_stream: match stream {
            Some(StreamOrigin::New(key)) => Some(key),
            _ => None,
        },
    };
    Ok(Admitted {
        request: pending,
        retry_policy: route.retry_policy,
        stream,
        caller,
        targets: route.targets.iter().map(|t| t.service).collect(),
        streaming: route.streaming,
        gap_target: route.gap_target,
        max_attempts: route.max_attempts.max(1),
        account_name: account.map(|a| a.name.clone()),
        strip_token: table.has_accounts(),
        route_name: route.name.clone(),
        service_name: known_service.map_or_else(|| "unknown".into(), |s| s.name.clone()),
        fingerprints: OnceCell::new(),
    })
}

/// Returns the response to a request that this instance, which stops, doesn't send to a server.
pub const fn stopping() -> ErrorResponse {
    ErrorResponse::not_ready(NotReady::Stopping, SHUTDOWN_RETRY_DELAY)
}

/// Returns when a caller first asked that counts down from the route's `timeout`.
fn first_asked(arrival: Instant, left: Option<Duration>, timeout: Duration) -> Instant {
    let spent = left.map(|left| timeout.saturating_sub(left));
    let asked = arrival.checked_sub(spent.unwrap_or_default());
    asked.unwrap_or(arrival)
}

/// Tells whether a request begins a stream, or which one it takes up.
fn stream_origin(
    gateway: &Gateway,
    request: &ClientRequest,
    account: Option<AccountId>,
) -> Result<StreamOrigin, ErrorResponse> {
    let (headers, names) = (&request.head.headers, &gateway.adapter.headers);
    let mut values = headers.get_all(names.resumes);
    let (first, repeated) = (values.next(), values.next().is_some());
    let is_valid = |v: &[u8]| !v.is_empty() && v.len() <= MAX_ATTEMPT_BYTES;
    if repeated || first.is_some_and(|v| !is_valid(v)) {
        return Err(ErrorResponse::new(Code::BadHeader));
    }
    let first = first
        .map(std::str::from_utf8)
        .transpose()
        .map_err(|_bytes| ErrorResponse::new(Code::BadHeader))?;
    if headers.get(names.last_event_id).is_none() {
        let key = StreamKey::of(account, &request.attempt_id);
        return Ok(StreamOrigin::New(key));
    }
    let key = first.map(|attempt| StreamKey::of(account, attempt));
    Ok(StreamOrigin::Resumed(key))
}

/// Returns the host that a request names.
pub(super) fn host_of(request: &ClientRequest) -> Result<&str, ErrorResponse> {
    let mut hosts = request.head.headers.get_all("host");
    let (Some(host), None) = (hosts.next(), hosts.next()) else {
        return Err(ErrorResponse::new(Code::BadHeader));
    };
    std::str::from_utf8(host).map_err(|_bytes| ErrorResponse::new(Code::BadHeader))
}

/// Returns the response to a request whose caller isn't known.
fn refuse_caller(
    gateway: &Gateway,
    table: &RouteTable,
    headers: &Headers,
    token: Option<&[u8]>,
) -> ErrorResponse {
    match token {
        // A newer catalog hardly brings it back, and the caller would try again until it is there.
        Some(token) if table.has_removed(token) => ErrorResponse::new(Code::BadToken),
        // Another instance took the token off, and sends the request elsewhere after this response only.
        None if headers
            .get(gateway.adapter.headers.expected_server)
            .is_some() =>
        {
            ErrorResponse::new(Code::Misdirected)
        }
        _ => not_in_catalog(gateway, Code::BadToken),
    }
}

/// Rejects a request whose route or token is not in the catalog in force.
///
/// The rejection is temporary while a newer catalog exists, since that one may contain it.
fn not_in_catalog(gateway: &Gateway, code: Code) -> ErrorResponse {
    if gateway.catalog_lag.borrow().is_behind() {
        ErrorResponse::not_ready(NotReady::MaybeNewer, CATALOG_RETRY_DELAY)
    } else {
        ErrorResponse::new(code)
    }
}

/// Returns the token that a request gives.
pub fn token_of<'a>(gateway: &Gateway, head: &'a RequestHead) -> Option<&'a [u8]> {
    let names = &gateway.adapter.headers;
    let value = head.headers.get(names.token)?;
    parse_token(value, names.auth_scheme)
}

fn parse_token<'a>(value: &'a [u8], scheme: &str) -> Option<&'a [u8]> {
    let (prefix, rest) = value.split_at_checked(scheme.len())?;
    let token = rest.trim_ascii();
    (prefix.eq_ignore_ascii_case(scheme.as_bytes()) && rest.starts_with(b" ") && !token.is_empty())
        .then_some(token)
}

/// Parses the time that a caller gives a request, in milliseconds; `None` where it names none.
///
/// # Errors
/// The response to a malformed number.
pub(super) fn parse_deadline(value: Option<&[u8]>) -> Result<Option<Duration>, ErrorResponse> {
    let Some(value) = value else {
        return Ok(None);
    };
    let text = std::str::from_utf8(value).map_err(|_bytes| ErrorResponse::new(Code::BadHeader))?;
    let milliseconds: u64 = text
        .trim()
        .parse()
        .map_err(|_number| ErrorResponse::new(Code::BadHeader))?;
    Ok(Some(Duration::from_millis(milliseconds)))
}
