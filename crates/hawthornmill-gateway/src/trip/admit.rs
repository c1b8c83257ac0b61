//! Decides whether a request may be served at all, and under which terms.

use std::time::Duration;

use hawthornmill::codes::Code;
use hawthornmill::routing::catalog::RetryPolicy;
use hawthornmill::routing::request::Request;
use hawthornmill::routing::route_table::{Caller, pick_service};
use smallvec::SmallVec;

use super::read::Call;
use super::reply::Reply;
use crate::gateway::{Gateway, Phase};

/// Time to come back when the process lacks the newest catalog; the store and peers answer in milliseconds.
const UNKNOWN_AGAIN: Duration = Duration::from_millis(300);
/// Time to come back when the process is about to end: at once, to another address.
const CLOSED_AGAIN: Duration = Duration::from_millis(10);

/// A request that may be served.
#[derive(Debug)]
pub struct Admitted {
    /// What the scheduler decides on.
    pub request: Request,
    /// How often it may run.
    pub repeat: RetryPolicy,
    /// Its answer is a stream of events.
    pub streams: bool,
    /// Servers to which it may be sent at most.
    pub attempts: u32,
    /// Account name that servers are shown.
    pub account: Option<Box<str>>,
    /// Callers carry tokens here, so servers must not see the field that holds them.
    pub hide_token: bool,
    /// Route name for logs.
    pub route: Box<str>,
    /// Service name for logs.
    pub service_name: Box<str>,
}

/// Checks a request against the catalog in force.
///
/// # Errors
/// The answer that refuses it; it has not run then.
pub fn admit(gateway: &Gateway, call: &Call) -> Result<Admitted, Reply> {
    if gateway.phase() == Phase::Closed {
        return Err(Reply::again(Code::NotReady, CLOSED_AGAIN));
    }
    let Some(table) = gateway.table() else {
        return Err(Reply::again(Code::NotReady, UNKNOWN_AGAIN));
    };
    if !gateway.listed.get() || gateway.is_outdated() {
        return Err(Reply::again(Code::NotReady, UNKNOWN_AGAIN));
    }
    let fields = &call.head.fields;
    let names = &gateway.dialect.names;
    let mut hosts = fields.all("host");
    let (Some(host), None) = (hosts.next(), hosts.next()) else {
        return Err(Reply::new(Code::BadHeader));
    };
    let host = std::str::from_utf8(host).map_err(|_bytes| Reply::new(Code::BadHeader))?;
    let path = call.head.path();
    let route = table
        .route(host, path)
        .ok_or_else(|| unknown(gateway, Code::NoSuchCall))?;
    let token = fields
        .get(names.token)
        .and_then(|v| bearer(v, names.scheme));
    let caller = table
        .authenticate(route, token)
        .ok_or_else(|| unknown(gateway, Code::BadToken))?;
    let left = time_left(fields.get(names.deadline))?;
    let shape = (gateway.dialect.shape)(fields).map_err(|_why| Reply::new(Code::BadHeader))?;
    let service = pick_service(route, rand::random());
    let known = table.service(service);
    let account = match caller {
        Caller::Account(account) => Some(account),
        Caller::Anonymous => None,
    };
    let request = Request {
        account: account.map(|a| a.id),
        service,
        engine: known.and_then(|s| s.engine),
        shape,
        priority: account.and_then(|a| a.priority).unwrap_or(route.priority),
        objective: route.objective,
        arrival: call.came,
        deadline: call.came + left.map_or(route.timeout, |l| l.min(route.timeout)),
        tried: SmallVec::new(),
    };
    Ok(Admitted {
        request,
        repeat: route.retry_policy,
        streams: route.streaming,
        attempts: route.max_attempts.max(1),
        account: account.map(|a| a.name.clone()),
        hide_token: table.has_accounts(),
        route: route.name.clone(),
        service_name: known.map_or_else(|| "unknown".into(), |s| s.name.clone()),
    })
}

/// Answers that the catalog in force doesn't know a route or a token.
///
/// Only the newest catalog can say so for good.
fn unknown(gateway: &Gateway, code: Code) -> Reply {
    if gateway.lag.borrow().is_behind() {
        Reply::again(Code::NotReady, UNKNOWN_AGAIN)
    } else {
        Reply::new(code)
    }
}

fn bearer<'a>(value: &'a [u8], scheme: &str) -> Option<&'a [u8]> {
    let (word, rest) = value.split_at_checked(scheme.len())?;
    let token = rest.trim_ascii();
    (word.eq_ignore_ascii_case(scheme.as_bytes()) && rest.starts_with(b" ") && !token.is_empty())
        .then_some(token)
}

fn time_left(value: Option<&[u8]>) -> Result<Option<Duration>, Reply> {
    let Some(value) = value else {
        return Ok(None);
    };
    let text = std::str::from_utf8(value).map_err(|_bytes| Reply::new(Code::BadHeader))?;
    let millis: u64 = text
        .trim()
        .parse()
        .map_err(|_number| Reply::new(Code::BadHeader))?;
    Ok(Some(Duration::from_millis(millis)))
}
