//! Answers of the gateway's own.

use std::time::Duration;

use hawthornmill::codes::Code;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;

use crate::gateway::Gateway;
use crate::http::write::MessageBuffer;

/// An answer that no server gave.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ErrorResponse {
    /// Numbered reason; its status is the answer's.
    pub code: Code,
    /// When to come back, where the request has not run.
    pub retry_after: Option<Duration>,
}

impl ErrorResponse {
    /// An answer without a time to come back.
    pub const fn new(code: Code) -> Self {
        Self {
            code,
            retry_after: None,
        }
    }

    /// An answer to a request that has not run, with the time to come back.
    pub const fn with_retry_after(code: Code, after: Duration) -> Self {
        Self {
            code,
            retry_after: Some(after),
        }
    }

    /// Writes it; `attempt` is the request's identity where it could be read.
    ///
    /// # Errors
    /// When the caller is gone.
    pub async fn write(
        &self,
        gateway: &Gateway,
        attempt: Option<&str>,
        last: bool,
        out: &mut OwnedWriteHalf,
    ) -> std::io::Result<()> {
        out.write_all(&self.encode(gateway, attempt, last).0).await
    }

    /// Its bytes; `attempt` is the request's identity where it could be read.
    pub fn encode(&self, gateway: &Gateway, attempt: Option<&str>, last: bool) -> MessageBuffer {
        let names = &gateway.adapter.headers;
        let body = json!({"code": self.code.number(), "title": self.code.title()}).to_string();
        let mut bytes = MessageBuffer::response(self.code.status(), self.code.title());
        if let Some(attempt) = attempt.filter(|a| !a.is_empty()) {
            bytes.header(names.attempt_id, attempt);
        }
        if let Some(retry_after) = self.retry_after {
            bytes.header(
                names.retry_after,
                format!("{:.3}", retry_after.as_secs_f64()),
            );
        }
        bytes.header("Content-Type", "application/problem+json");
        bytes.header("Content-Length", body.len().to_string());
        if last {
            bytes.header("Connection", "close");
        }
        bytes.end_head();
        bytes.0.extend_from_slice(body.as_bytes());
        bytes
    }
}
