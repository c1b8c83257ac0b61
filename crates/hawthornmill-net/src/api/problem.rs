//! Error responses as `application/problem+json` (RFC 9457).

use std::time::Duration;

use hawthornmill::codes::{Code, Outcome};
use poem::Response;
use poem::http::StatusCode;

use crate::upstream::REQUEST_ID_HEADER;

/// An error response.
#[derive(Debug, Clone)]
pub struct Problem {
    /// Numbered code of the error.
    pub code: Code,
    /// Whether the request, or the call of its idempotency key if it has one, was run.
    pub outcome: Outcome,
    /// Whether this copy of the request was run.
    pub attempt: Outcome,
    /// Request ID.
    pub request_id: Box<str>,
    /// Delay after which the caller may retry.
    pub retry_after: Option<Duration>,
    /// New key prefix, with which the caller can make a new idempotency key.
    pub key_prefix: Option<Box<str>>,
    /// Addresses of other instances that accept calls.
    pub addresses: Vec<Box<str>>,
    /// Explanation of this occurrence of the error.
    pub detail: Option<Box<str>>,
}

impl Problem {
    /// An error for a request of which no byte can have reached a server.
    pub fn not_run(code: Code, request_id: &str) -> Self {
        Self::new(code, Outcome::NotRun, request_id)
    }

    /// An error with the same `outcome` for the request and for this copy of it.
    pub fn new(code: Code, outcome: Outcome, request_id: &str) -> Self {
        Self {
            code,
            outcome,
            attempt: outcome,
            request_id: request_id.into(),
            retry_after: None,
            key_prefix: None,
            addresses: Vec::new(),
            detail: None,
        }
    }

    /// Adds the delay after which the caller may retry.
    #[must_use]
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Adds an explanation.
    #[must_use]
    pub fn with_detail(mut self, detail: impl Into<Box<str>>) -> Self {
        self.detail = Some(detail.into());
        self
    }

    /// Sets whether this copy of the request was run.
    #[must_use]
    pub fn with_attempt(mut self, attempt: Outcome) -> Self {
        self.attempt = attempt;
        self
    }

    /// Adds a new key prefix.
    #[must_use]
    pub fn with_key_prefix(mut self, key_prefix: Box<str>) -> Self {
        self.key_prefix = Some(key_prefix);
        self
    }

    /// Builds the HTTP response.
    pub fn to_response(&self) -> Response {
        let status =
            StatusCode::from_u16(self.code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut body = serde_json::json!({
            "type": "about:blank",
            "title": self.code.title(),
            "status": status.as_u16(),
            "code": self.code.number(),
            "outcome": self.outcome.name(),
            "attempt": self.attempt.name(),
            "request_id": self.request_id,
        });
        if let Some(key_prefix) = &self.key_prefix {
            body["key_prefix"] = key_prefix.to_string().into();
        }
        if let Some(detail) = &self.detail {
            body["detail"] = detail.to_string().into();
        }
        if !self.addresses.is_empty() {
            body["addresses"] = self.addresses.iter().map(ToString::to_string).collect();
        }
        let mut response = Response::builder()
            .status(status)
            .header(REQUEST_ID_HEADER, &*self.request_id);
        if let Some(delay) = self.retry_after {
            body["retry_after_ms"] = (delay.as_millis() as u64).into();
            // The header holds whole seconds; the body has the delay in milliseconds.
            response = response.header(
                "retry-after",
                delay.as_secs_f64().ceil().max(1.0).to_string(),
            );
        }
        response
            .content_type("application/problem+json")
            .body(body.to_string())
    }
}
