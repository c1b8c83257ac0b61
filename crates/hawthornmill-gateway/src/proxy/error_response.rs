//! Error responses that the gateway generates itself.

use std::time::Duration;

use hawthornmill::codes::Code;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;

use crate::gateway::Gateway;
use crate::http::write::MessageBuffer;

/// Why an instance takes a request later only; the log and the metrics show the variant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum NotReady {
    /// It is about to stop.
    Stopping,
    /// It has no catalog yet.
    NoCatalog,
    /// It has no registrations yet.
    NoRegistrations,
    /// Its catalog should have been replaced by now.
    Outdated,
    /// Its catalog lacks the route or the token, and a newer one exists.
    MaybeNewer,
    /// It hears neither the store nor the others, so its registrations may be late.
    CutOff,
}

impl NotReady {
    /// Returns the name that log lines and metrics use.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Stopping => "stopping",
            Self::NoCatalog => "no_catalog",
            Self::NoRegistrations => "no_registrations",
            Self::Outdated => "outdated",
            Self::MaybeNewer => "maybe_newer",
            Self::CutOff => "cut_off",
        }
    }
}

/// The request that a response answers.
#[derive(Debug, Clone, Copy, Default)]
pub struct Answered<'a> {
    /// Its attempt id, or nothing if that could not be read.
    pub attempt_id: &'a str,
    /// A body would be taken for the next response.
    pub forbids_body: bool,
}

/// An error response of the gateway, with a problem document as its body.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ErrorResponse {
    /// Error code, which determines the status.
    pub code: Code,
    /// Delay after which the client may retry; set only if the request has not been executed.
    pub retry_after: Option<Duration>,
    /// Set where the instance takes the request later only.
    pub not_ready: Option<NotReady>,
}

impl ErrorResponse {
    /// Creates a response without a retry delay.
    pub const fn new(code: Code) -> Self {
        Self {
            code,
            retry_after: None,
            not_ready: None,
        }
    }

    /// Creates a response to a request that has not been executed, with a retry delay.
    pub const fn with_retry_after(code: Code, after: Duration) -> Self {
        Self {
            code,
            retry_after: Some(after),
            not_ready: None,
        }
    }

    /// Creates the response of an instance that takes the request, which has not been executed, `after` a while only.
    pub const fn not_ready(reason: NotReady, after: Duration) -> Self {
        Self {
            code: Code::NotReady,
            retry_after: Some(after),
            not_ready: Some(reason),
        }
    }

    /// Writes the response to `request`.
    ///
    /// # Errors
    /// Fails if the client has closed its connection.
    pub async fn write(
        &self,
        gateway: &Gateway,
        request: Answered<'_>,
        close: bool,
        out: &mut OwnedWriteHalf,
    ) -> std::io::Result<()> {
        out.write_all(&self.encode(gateway, request, close).0).await
    }

    /// Encodes the response to `request`.
    pub fn encode(&self, gateway: &Gateway, request: Answered<'_>, close: bool) -> MessageBuffer {
        let names = &gateway.adapter.headers;
        let body = json!({"code": self.code.number(), "title": self.code.title()}).to_string();
        let mut bytes = MessageBuffer::response(self.code.status(), self.code.title());
        if !request.attempt_id.is_empty() {
            bytes.header(names.attempt_id, request.attempt_id);
        }
        if let Some(retry_after) = self.retry_after {
            bytes.header(
                names.retry_after,
                format!("{:.3}", retry_after.as_secs_f64()),
            );
        }
        bytes.header("Content-Type", "application/problem+json");
        bytes.header("Content-Length", body.len().to_string());
        if close {
            bytes.header("Connection", "close");
        }
        bytes.end_head();
        if !request.forbids_body {
            bytes.0.extend_from_slice(body.as_bytes());
        }
        bytes
    }
}
