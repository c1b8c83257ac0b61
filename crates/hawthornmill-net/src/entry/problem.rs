//! Refusals as `application/problem+json` (RFC 9457).

use std::time::Duration;

use hawthornmill::codes::{Code, Outcome};
use poem::Response;
use poem::http::StatusCode;

use crate::upstream::REQUEST_ID_HEADER;

/// A refusal.
#[derive(Debug, Clone)]
pub struct Problem {
    /// Numbered result.
    pub code: Code,
    /// What is known of the request, or of its key where it has one.
    pub outcome: Outcome,
    /// What is known of this copy of the request.
    pub attempt: Outcome,
    /// Request id.
    pub request: Box<str>,
    /// When to come back.
    pub retry: Option<Duration>,
    /// Fresh key prefix, for a call that may go on with a new key.
    pub prefix: Option<Box<str>>,
    /// Other addresses to use.
    pub addresses: Vec<Box<str>>,
    /// More words.
    pub detail: Option<Box<str>>,
}

impl Problem {
    /// A refusal of a request of which no byte can have reached a server.
    pub fn not_run(code: Code, request: &str) -> Self {
        Self::new(code, Outcome::NotRun, request)
    }

    /// A refusal with `outcome` for the request and this copy of it alike.
    pub fn new(code: Code, outcome: Outcome, request: &str) -> Self {
        Self {
            code,
            outcome,
            attempt: outcome,
            request: request.into(),
            retry: None,
            prefix: None,
            addresses: Vec::new(),
            detail: None,
        }
    }

    /// Adds when to come back.
    #[must_use]
    pub fn retry(mut self, after: Duration) -> Self {
        self.retry = Some(after);
        self
    }

    /// Adds words.
    #[must_use]
    pub fn detail(mut self, words: impl Into<Box<str>>) -> Self {
        self.detail = Some(words.into());
        self
    }

    /// Sets what is known of this copy of the request.
    #[must_use]
    pub fn attempt(mut self, attempt: Outcome) -> Self {
        self.attempt = attempt;
        self
    }

    /// Adds a fresh key prefix.
    #[must_use]
    pub fn prefix(mut self, prefix: Box<str>) -> Self {
        self.prefix = Some(prefix);
        self
    }

    /// The HTTP answer.
    pub fn answer(&self) -> Response {
        let status =
            StatusCode::from_u16(self.code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut body = serde_json::json!({
            "type": "about:blank",
            "title": self.code.title(),
            "status": status.as_u16(),
            "code": self.code.number(),
            "outcome": self.outcome.name(),
            "attempt": self.attempt.name(),
            "request_id": self.request,
        });
        if let Some(prefix) = &self.prefix {
            body["key_prefix"] = prefix.to_string().into();
        }
        if let Some(detail) = &self.detail {
            body["detail"] = detail.to_string().into();
        }
        if !self.addresses.is_empty() {
            body["addresses"] = self.addresses.iter().map(ToString::to_string).collect();
        }
        let mut answer = Response::builder()
            .status(status)
            .header(REQUEST_ID_HEADER, &*self.request);
        if let Some(after) = self.retry {
            body["retry_after_ms"] = (after.as_millis() as u64).into();
            // The header counts whole seconds; the body says it to the millisecond.
            answer = answer.header(
                "retry-after",
                after.as_secs_f64().ceil().max(1.0).to_string(),
            );
        }
        answer
            .content_type("application/problem+json")
            .body(body.to_string())
    }
}
