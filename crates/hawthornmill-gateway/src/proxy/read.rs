//! Reading of client requests.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hawthornmill::codes::Code;
use hawthornmill::limits::request_memory::RequestPart;
use hawthornmill::routing::catalog::Limits;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;

use super::error_response::ErrorResponse;
use super::held_bytes::shrink;
use super::request_body::{RequestBody, Upload};
use super::reservation::{self, Reservation};
use crate::connection::RequestReader;
use crate::gateway::Gateway;
use crate::http::head::{self, Framing, RequestHead};

/// Bytes up to which no memory is reserved for a head; nearly all are shorter.
const MIN_HEAD_BYTES: usize = 4 << 10;

/// A request as received from a client.
#[derive(Debug)]
pub struct ClientRequest {
    /// Head of the request.
    pub head: RequestHead,
    /// Bytes of the body.
    pub body_bytes: usize,
    /// Id that the client gave this attempt.
    pub attempt_id: Box<str>,
    /// When the head was complete.
    pub head_received: Instant,
    /// When the body was complete.
    pub received: Instant,
    /// The body, until the request can't be sent any more.
    body: RefCell<Option<Rc<RequestBody>>>,
    _head_memory: Reservation,
}

impl ClientRequest {
    /// Returns the body; `None` once it was released.
    pub fn body(&self) -> Option<Rc<RequestBody>> {
        self.body.borrow().clone()
    }

    /// Releases the memory of the body of a request that can't be sent any more.
    pub fn release_body(&self) {
        self.body.borrow_mut().take();
    }
}

/// A request that can't be read.
#[derive(Debug)]
pub struct Rejection {
    /// The response.
    pub response: ErrorResponse,
    /// Id of the attempt, if the head could be read.
    pub attempt_id: Box<str>,
    /// The response has no body.
    pub forbids_body: bool,
}

impl From<Code> for Rejection {
    fn from(code: Code) -> Self {
        Self {
            response: ErrorResponse::new(code),
            attempt_id: Box::default(),
            forbids_body: false,
        }
    }
}

/// Result of reading from a client connection.
#[derive(Debug)]
pub enum ReadOutcome {
    /// A complete request.
    Request(ClientRequest),
    /// A request to reject; the connection cannot be reused.
    Reject(Rejection),
    /// The connection ends without another request.
    Closed,
}

/// Reads the next request of a client connection.
pub async fn read_request(
    gateway: &Rc<Gateway>,
    reader: &mut RequestReader,
    out: &mut OwnedWriteHalf,
) -> ReadOutcome {
    let limits = gateway
        .table()
        .map_or_else(Limits::default, |t| *t.limits());
    if reader.buffer.is_empty() && !wait_for_data(gateway, reader, limits.idle_timeout).await {
        return ReadOutcome::Closed;
    }
    let mut memory = Reservation::empty(gateway, RequestPart::Head);
    let head = read_head(gateway, reader, limits.header_bytes, &mut memory);
    let head = match tokio::time::timeout(limits.header_timeout, head).await {
        Ok(Ok(Some(head))) => head,
        Ok(Ok(None)) => return ReadOutcome::Closed,
        Ok(Err(rejection)) => return ReadOutcome::Reject(rejection),
        Err(_elapsed) => return ReadOutcome::Reject(Code::RequestTooSlow.into()),
    };
    let Ok(framing) = head.framing() else {
        return ReadOutcome::Reject(Code::BadHeader.into());
    };
    let head_received = gateway.now();
    let attempt = head
        .headers
        .get_str(gateway.adapter.headers.attempt_id)
        .unwrap_or_default();
    let attempt_id: Box<str> = attempt.into();
    let body = match Upload::begin(gateway, framing, limits) {
        Ok(upload) if is_continue_expected(&head, framing) => {
            let sent = out.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
            if sent.is_err() {
                return ReadOutcome::Closed;
            }
            upload.read(reader).await
        }
        Ok(upload) => upload.read(reader).await,
        Err(error) => Err(error),
    };
    match body {
        Ok(body) => ReadOutcome::Request(ClientRequest {
            head,
            body_bytes: body.blocks.len(),
            attempt_id,
            head_received,
            received: gateway.now(),
            body: RefCell::new(Some(Rc::new(body))),
            _head_memory: memory,
        }),
        Err(error) => match error.response(gateway, &attempt_id, framing) {
            Some(response) => ReadOutcome::Reject(Rejection {
                response,
                attempt_id,
                forbids_body: head.forbids_body(),
            }),
            None => ReadOutcome::Closed,
        },
    }
}

fn is_continue_expected(head: &RequestHead, framing: Framing) -> bool {
    framing != Framing::Empty && head.headers.has_token("expect", "100-continue")
}

/// Waits for the first byte of a request; returns false if the connection is to be closed.
///
/// A process that shuts down closes its idle connections. A request sent at the same moment has not been
/// read, so its client can safely send it elsewhere.
async fn wait_for_data(gateway: &Gateway, reader: &mut RequestReader, idle: Duration) -> bool {
    tokio::select! {
        biased;
        read = tokio::time::timeout(idle, reader.read_more()) => matches!(read, Ok(Ok(bytes)) if bytes > 0),
        () = gateway.lifecycle.draining() => false,
    }
}

/// Reads a request head, for which `memory` is reserved if it is long; `None` if the client closed its connection first.
async fn read_head(
    gateway: &Gateway,
    reader: &mut RequestReader,
    limit: usize,
    memory: &mut Reservation,
) -> Result<Option<RequestHead>, Rejection> {
    loop {
        match head::parse_request(&reader.buffer) {
            Ok(Some((_, length))) if length > limit => return Err(Code::HeadersTooLarge.into()),
            Ok(Some((head, length))) => {
                let _taken = reader.buffer.split_to(length);
                shrink(&mut reader.buffer, length);
                return if head.is_http11 {
                    Ok(Some(head))
                } else {
                    Err(Code::HttpVersionTooOld.into())
                };
            }
            Ok(None) if reader.buffer.len() > limit => return Err(Code::HeadersTooLarge.into()),
            Ok(None) => {}
            // A head above the limit can fail to parse because it has too many headers.
            Err(_malformed) if reader.buffer.len() > limit => {
                return Err(Code::HeadersTooLarge.into());
            }
            Err(_malformed) => return Err(Code::BadHeader.into()),
        }
        if !matches!(reader.read_more().await, Ok(bytes) if bytes > 0) {
            return Ok(None);
        }
        if reader.buffer.len() > MIN_HEAD_BYTES
            && let Err(error) = memory.grow_to(reader.buffer.capacity())
        {
            return Err(Rejection {
                response: reservation::refuse(gateway, "", None, error),
                attempt_id: Box::default(),
                forbids_body: false,
            });
        }
    }
}
