//! Admission checks, made before a request uses any resources.

use std::time::{Duration, Instant};

use hawthornmill::codes::Code;
use hawthornmill::config::{CostKind, ResponseRules, RetryPolicy};
use hawthornmill::ident::{AccountId, ServiceId};
use poem::Request;
use poem::http::HeaderMap;

use super::routes::is_ready;
use crate::fleet::Fleet;

/// Header with the time, in milliseconds, for which the caller still waits.
pub const TIMEOUT_HEADER: &str = "hawthornmill-timeout-ms";
/// Header with the caller's estimate of the cost.
pub const COST_HINT_HEADER: &str = "hawthornmill-cost-hint";
/// Longest timeout that a caller can set; longer ones are shortened to it.
const MAX_TIMEOUT: Duration = Duration::from_hours(1);

/// A request that passed the admission checks.
#[derive(Debug, Clone)]
pub struct Admitted {
    /// Client account that is charged.
    pub account: AccountId,
    /// Name of the client account.
    pub account_name: Box<str>,
    /// Service that is called.
    pub service: ServiceId,
    /// Name of the service.
    pub service_name: Box<str>,
    /// Whether the call may be retried.
    pub retry: RetryPolicy,
    /// How the call is charged.
    pub cost: CostKind,
    /// When its response is complete, and whether it can be resumed.
    pub response: ResponseRules,
    /// Path and query at the backend server.
    pub path: Box<str>,
    /// When the request arrived.
    pub arrived: Instant,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

/// The code of a rejection, and its explanation if it has one.
pub type Rejection = (Code, Option<Box<str>>);

/// Checks the headers, token, service and grant of a request.
///
/// # Errors
/// The code of the first check that failed; the request was not run.
pub fn admit(fleet: &Fleet, request: &Request) -> Result<Admitted, Rejection> {
    let now = fleet.clock.now();
    let headers = request.headers();
    if header_bytes(headers) > fleet.settings.limits.header_bytes {
        return Err((Code::HeadersTooLarge, None));
    }
    if !is_ready(fleet) {
        return Err((Code::NotReady, None));
    }
    let (service_name, path) = split_path(request);
    let requested = parse_timeout(headers)?;
    parse_cost_hint(headers)?;
    let token = bearer_token(headers).ok_or((Code::BadToken, None))?;
    fleet.view(|board| {
        let config = &board.config;
        // Tokens are looked up by hash, so the time that this takes leaks nothing about them.
        let account = config
            .tokens
            .get(blake3::hash(token.as_bytes()).as_bytes())
            .ok_or((Code::BadToken, None))?;
        let service = ServiceId::of(&service_name);
        let service_config = config
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
            service_name: service_config.name.clone(),
            retry: service_config.retry,
            cost: service_config.cost,
            response: service_config.response,
            path,
            arrived: now,
            deadline: now + requested.unwrap_or(service_config.timeout),
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
    let full_path = request
        .uri()
        .path_and_query()
        .map_or("", poem::http::uri::PathAndQuery::as_str);
    let rest = full_path.strip_prefix("/v1/call/").unwrap_or_default();
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, path) = rest.split_at(end);
    if path.starts_with('/') {
        (service.into(), path.into())
    } else {
        (service.into(), format!("/{path}").into())
    }
}

/// Returns the bearer token of a request.
pub fn bearer_token(headers: &HeaderMap) -> Option<&str> {
    let value = headers.get("authorization")?.to_str().ok()?;
    value.strip_prefix("Bearer ").map(str::trim)
}

fn parse_timeout(headers: &HeaderMap) -> Result<Option<Duration>, Rejection> {
    let Some(value) = headers.get(TIMEOUT_HEADER) else {
        return Ok(None);
    };
    let invalid = || {
        let detail = "Hawthornmill-Timeout-Ms is a whole number of milliseconds above 0";
        (Code::BadHeader, Some(detail.into()))
    };
    let millis: u64 = value
        .to_str()
        .ok()
        .and_then(|v| v.trim().parse().ok())
        .filter(|v| *v > 0)
        .ok_or_else(invalid)?;
    Ok(Some(Duration::from_millis(millis).min(MAX_TIMEOUT)))
}

fn parse_cost_hint(headers: &HeaderMap) -> Result<Option<f64>, Rejection> {
    let Some(value) = headers.get(COST_HINT_HEADER) else {
        return Ok(None);
    };
    let invalid = || {
        let detail = "Hawthornmill-Cost-Hint is a number above 0";
        (Code::BadHeader, Some(detail.into()))
    };
    value
        .to_str()
        .ok()
        .and_then(|v| v.trim().parse::<f64>().ok())
        .filter(|v| v.is_finite() && *v > 0.0)
        .map(Some)
        .ok_or_else(invalid)
}
