//! Checks before a request costs anything.

use std::time::{Duration, Instant};

use hawthornmill::codes::Code;
use hawthornmill::config::{CostKind, ResponseRules, RetryPolicy};
use hawthornmill::ident::{AccountId, ServiceId};
use poem::Request;
use poem::http::HeaderMap;

use super::routes::is_ready;
use crate::fleet::Fleet;

/// Header with the milliseconds that the caller still waits.
pub const TIMEOUT: &str = "hawthornmill-timeout-ms";
/// Header with the caller's guess of the cost.
pub const HINT: &str = "hawthornmill-cost-hint";
/// Longest deadline that a caller may set.
const MOST_TIMEOUT: Duration = Duration::from_hours(1);

/// A request that was let in.
#[derive(Debug, Clone)]
pub struct Admitted {
    /// Account that pays.
    pub account: AccountId,
    /// Its name.
    pub account_name: Box<str>,
    /// Service that it calls.
    pub service: ServiceId,
    /// Its name.
    pub service_name: Box<str>,
    /// May the call be run again.
    pub repeat: RetryPolicy,
    /// How it is charged.
    pub cost: CostKind,
    /// What its answer must be like.
    pub answer: ResponseRules,
    /// Path and query at the backend server.
    pub path: Box<str>,
    /// When it arrived.
    pub arrived: Instant,
    /// When the caller gives up.
    pub deadline: Instant,
}

/// A refusal with the words to go with it.
pub type Refused = (Code, Option<Box<str>>);

/// Checks headers, token, service and grant.
///
/// # Errors
/// The code of the first fault; the request was not run.
pub fn admit(fleet: &Fleet, request: &Request) -> Result<Admitted, Refused> {
    let now = fleet.clock.now();
    let headers = request.headers();
    if header_bytes(headers) > fleet.settings.limits.headers {
        return Err((Code::HeadersTooLarge, None));
    }
    if !is_ready(fleet) {
        return Err((Code::NotReady, None));
    }
    let (service_name, path) = split_path(request);
    let asked = timeout(headers)?;
    hint(headers)?;
    let token = bearer(headers).ok_or((Code::BadToken, None))?;
    fleet.view(|board| {
        let config = &board.config;
        // The lookup compares hashes, so its timing tells nothing of a token.
        let account = config
            .tokens
            .get(blake3::hash(token.as_bytes()).as_bytes())
            .ok_or((Code::BadToken, None))?;
        let service = ServiceId::of(&service_name);
        let known = config
            .services
            .get(&service)
            .ok_or((Code::UnknownService, None))?;
        if !config.can_use_service(*account, service) {
            return Err((Code::NotGranted, None));
        }
        Ok(Admitted {
            account: *account,
            account_name: config.accounts[account].name.clone(),
            service,
            service_name: known.name.clone(),
            repeat: known.retry,
            cost: known.cost,
            answer: known.response,
            path,
            arrived: now,
            deadline: now + asked.unwrap_or(known.timeout),
        })
    })
}

fn header_bytes(headers: &HeaderMap) -> usize {
    headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum()
}

fn split_path(request: &Request) -> (Box<str>, Box<str>) {
    let whole = request
        .uri()
        .path_and_query()
        .map_or("", poem::http::uri::PathAndQuery::as_str);
    let rest = whole.strip_prefix("/v1/call/").unwrap_or_default();
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, path) = rest.split_at(end);
    if path.starts_with('/') {
        (service.into(), path.into())
    } else {
        (service.into(), format!("/{path}").into())
    }
}

/// The bearer token of a request.
pub fn bearer(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get("authorization")?.to_str().ok()?;
    value.strip_prefix("Bearer ").map(str::trim)
}

fn timeout(headers: &HeaderMap) -> Result<Option<Duration>, Refused> {
    let Some(value) = headers.get(TIMEOUT) else {
        return Ok(None);
    };
    let bad = || {
        let what = "Hawthornmill-Timeout-Ms is a whole number of milliseconds above 0";
        (Code::BadHeader, Some(what.into()))
    };
    let millis: u64 = value
        .to_str()
        .ok()
        .and_then(|v| v.trim().parse().ok())
        .filter(|v| *v > 0)
        .ok_or_else(bad)?;
    Ok(Some(Duration::from_millis(millis).min(MOST_TIMEOUT)))
}

fn hint(headers: &HeaderMap) -> Result<Option<f64>, Refused> {
    let Some(value) = headers.get(HINT) else {
        return Ok(None);
    };
    let bad = || {
        let what = "Hawthornmill-Cost-Hint is a number above 0";
        (Code::BadHeader, Some(what.into()))
    };
    value
        .to_str()
        .ok()
        .and_then(|v| v.trim().parse::<f64>().ok())
        .filter(|v| v.is_finite() && *v > 0.0)
        .map(Some)
        .ok_or_else(bad)
}
