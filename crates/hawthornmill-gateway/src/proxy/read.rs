//! Reads one request of a caller.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use hawthornmill::codes::Code;
use hawthornmill::routing::catalog::Limits;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;

use crate::connection::RequestReader;
use crate::gateway::{Gateway, Phase};
use crate::http::body::{BodyDecoder, Decoded};
use crate::http::head::{self, Framing, RequestHead};

/// Bytes of bodies that one process holds at once; an instance has about a hundred megabytes.
const MOST_BODIES: usize = 32 << 20;

/// A request as it came.
#[derive(Debug)]
pub struct ClientRequest {
    /// Its head.
    pub head: RequestHead,
    /// Its body.
    pub body: Bytes,
    /// Identity that the caller gave this attempt.
    pub attempt_id: Box<str>,
    /// When its head had come.
    pub head_received: Instant,
    /// When it had come whole.
    pub received: Instant,
    gateway: Rc<Gateway>,
}

impl Drop for ClientRequest {
    fn drop(&mut self) {
        let body_bytes = &self.gateway.body_bytes;
        body_bytes.set(body_bytes.get() - self.body.len());
    }
}

/// What a connection brings next.
#[derive(Debug)]
pub enum ReadOutcome {
    /// A request.
    Request(ClientRequest),
    /// Something that must be refused; the connection can't be used further.
    Reject(Code),
    /// Nothing more.
    Closed,
}

/// Reads the next request of a connection.
pub async fn read_request(
    gateway: &Rc<Gateway>,
    reader: &mut RequestReader,
    out: &mut OwnedWriteHalf,
) -> ReadOutcome {
    let limits = gateway
        .table()
        .map_or_else(Limits::default, |t| *t.limits());
    if reader.buffer.is_empty() && !first_byte(gateway, reader, limits.idle_timeout).await {
        return ReadOutcome::Closed;
    }
    let head = tokio::time::timeout(
        limits.header_timeout,
        whole_head(reader, limits.header_bytes),
    );
    let head = match head.await {
        Ok(Ok(Some(head))) => head,
        Ok(Ok(None)) => return ReadOutcome::Closed,
        Ok(Err(code)) => return ReadOutcome::Reject(code),
        Err(_elapsed) => return ReadOutcome::Reject(Code::RequestTooSlow),
    };
    let Ok(framing) = head.framing() else {
        return ReadOutcome::Reject(Code::BadHeader);
    };
    let known = match framing {
        Framing::Length(bytes) => bytes as usize,
        _ => 0,
    };
    if known > limits.body_bytes {
        return ReadOutcome::Reject(Code::BodyTooLarge);
    }
    if gateway.body_bytes.get() + known > MOST_BODIES {
        return ReadOutcome::Reject(Code::InstanceFull);
    }
    if framing != Framing::Empty && head.headers.has_token("expect", "100-continue") {
        let go_on = out.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        if go_on.is_err() {
            return ReadOutcome::Closed;
        }
    }
    let began = gateway.now();
    let body = whole_body(reader, framing, limits.body_bytes, limits.idle_timeout).await;
    match body {
        Ok(Some(body)) => ReadOutcome::Request(client_request(gateway, head, body, began)),
        Ok(None) => ReadOutcome::Closed,
        Err(code) => ReadOutcome::Reject(code),
    }
}

fn client_request(
    gateway: &Rc<Gateway>,
    head: RequestHead,
    body: Bytes,
    began: Instant,
) -> ClientRequest {
    gateway
        .body_bytes
        .set(gateway.body_bytes.get() + body.len());
    let attempt = head
        .headers
        .get_str(gateway.adapter.headers.attempt_id)
        .unwrap_or_default();
    ClientRequest {
        attempt_id: attempt.into(),
        head,
        body,
        head_received: began,
        received: gateway.now(),
        gateway: Rc::clone(gateway),
    }
}

/// Waits for the first byte of a request; false when the connection is to end.
///
/// A process that takes no more requests closes idle connections; a request that crosses the close
/// was not read, and its caller may send it elsewhere.
async fn first_byte(gateway: &Gateway, reader: &mut RequestReader, idle: Duration) -> bool {
    let mut phases = gateway.subscribe_phase();
    tokio::select! {
        biased;
        read = tokio::time::timeout(idle, reader.read_more()) => matches!(read, Ok(Ok(bytes)) if bytes > 0),
        _ = phases.wait_for(|p| *p == Phase::Draining) => false,
    }
}

async fn whole_head(reader: &mut RequestReader, most: usize) -> Result<Option<RequestHead>, Code> {
    loop {
        match head::parse_request(&reader.buffer) {
            Ok(Some((_, length))) if length > most => return Err(Code::HeadersTooLarge),
            Ok(Some((head, length))) => {
                let _taken = reader.buffer.split_to(length);
                return if head.is_http11 {
                    Ok(Some(head))
                } else {
                    Err(Code::HttpVersionTooOld)
                };
            }
            Ok(None) if reader.buffer.len() > most => return Err(Code::HeadersTooLarge),
            Ok(None) => {}
            // A head over the bound may have more fields than can be read.
            Err(_malformed) if reader.buffer.len() > most => return Err(Code::HeadersTooLarge),
            Err(_malformed) => return Err(Code::BadHeader),
        }
        if !matches!(reader.read_more().await, Ok(bytes) if bytes > 0) {
            return Ok(None);
        }
    }
}

/// Reads the body; none when the caller closed before its end.
async fn whole_body(
    reader: &mut RequestReader,
    framing: Framing,
    most: usize,
    idle: Duration,
) -> Result<Option<Bytes>, Code> {
    let mut decoder = BodyDecoder::new(framing);
    let mut body = BytesMut::new();
    loop {
        match decoder.next(&mut reader.buffer) {
            Ok(Decoded::Data(data)) => body.extend_from_slice(&data),
            Ok(Decoded::End) => return Ok(Some(body.freeze())),
            Ok(Decoded::Incomplete) => match tokio::time::timeout(idle, reader.read_more()).await {
                Ok(Ok(bytes)) if bytes > 0 => {}
                Ok(_) => return Ok(None),
                Err(_elapsed) => return Err(Code::RequestTooSlow),
            },
            Err(_malformed) => return Err(Code::BadHeader),
        }
        if body.len() > most {
            return Err(Code::BodyTooLarge);
        }
    }
}
