//! Answers of the gateway's own.

use std::time::Duration;

use hawthornmill::codes::Code;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;

use crate::gateway::Gateway;
use crate::http::write::Bytes;

/// An answer that no server gave.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Reply {
    /// Numbered reason; its status is the answer's.
    pub code: Code,
    /// When to come back, where the request has not run.
    pub again: Option<Duration>,
}

impl Reply {
    /// An answer without a time to come back.
    pub const fn new(code: Code) -> Self {
        Self { code, again: None }
    }

    /// An answer to a request that has not run, with the time to come back.
    pub const fn again(code: Code, after: Duration) -> Self {
        Self {
            code,
            again: Some(after),
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
        out.write_all(&self.bytes(gateway, attempt, last).0).await
    }

    /// Its bytes; `attempt` is the request's identity where it could be read.
    pub fn bytes(&self, gateway: &Gateway, attempt: Option<&str>, last: bool) -> Bytes {
        let names = &gateway.adapter.headers;
        let body = json!({"code": self.code.number(), "title": self.code.title()}).to_string();
        let mut bytes = Bytes::answer(self.code.status(), self.code.title());
        if let Some(attempt) = attempt.filter(|a| !a.is_empty()) {
            bytes.field(names.attempt_id, attempt);
        }
        if let Some(again) = self.again {
            bytes.field(names.retry_after, format!("{:.3}", again.as_secs_f64()));
        }
        bytes.field("Content-Type", "application/problem+json");
        bytes.field("Content-Length", body.len().to_string());
        if last {
            bytes.field("Connection", "close");
        }
        bytes.end();
        bytes.0.extend_from_slice(body.as_bytes());
        bytes
    }
}
