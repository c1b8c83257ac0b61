//! Reading of client requests.

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

/// Part of the memory in the settings for all request bodies of the process.
const BODY_MEMORY_SHARE: f64 = 0.27;
/// Multiple of the time that a connection may be idle in which a body must be complete.
///
/// A sender of a byte now and then would otherwise hold its connection for hours.
const BODY_TIME_FACTOR: u32 = 20;

/// A request as received from a client.
#[derive(Debug)]
pub struct ClientRequest {
    /// Head of the request.
    pub head: RequestHead,
    /// Body of the request.
    pub body: Bytes,
    /// Id that the client gave this attempt.
    pub attempt_id: Box<str>,
    /// When the head was complete.
    pub head_received: Instant,
    /// When the body was complete.
    pub received: Instant,
    _memory: BodyMemory,
}

/// Memory that one request body uses, also while it is received; dropping it releases the memory.
#[derive(Debug)]
struct BodyMemory {
    gateway: Rc<Gateway>,
    bytes: usize,
}

impl BodyMemory {
    fn new(gateway: &Rc<Gateway>) -> Self {
        Self {
            gateway: Rc::clone(gateway),
            bytes: 0,
        }
    }

    /// Sets the bytes of the body; fails if the bodies of the process then use more memory than they may.
    fn set(&mut self, bytes: usize) -> Result<(), Code> {
        let total = &self.gateway.body_bytes;
        total.set(total.get() - self.bytes + bytes);
        self.bytes = bytes;
        if total.get() > max_body_memory(&self.gateway) {
            return Err(Code::InstanceFull);
        }
        Ok(())
    }
}

impl Drop for BodyMemory {
    fn drop(&mut self) {
        let total = &self.gateway.body_bytes;
        total.set(total.get() - self.bytes);
    }
}

fn max_body_memory(gateway: &Gateway) -> usize {
    (gateway.settings.borrow().memory_bytes as f64 * BODY_MEMORY_SHARE) as usize
}

/// Result of reading from a client connection.
#[derive(Debug)]
pub enum ReadOutcome {
    /// A complete request.
    Request(ClientRequest),
    /// A request to reject; the connection cannot be reused.
    Reject(Code),
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
    let head = tokio::time::timeout(
        limits.header_timeout,
        read_head(reader, limits.header_bytes),
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
    let declared = match framing {
        Framing::Length(bytes) => bytes as usize,
        _ => 0,
    };
    if declared > limits.body_bytes {
        return ReadOutcome::Reject(Code::BodyTooLarge);
    }
    if gateway.body_bytes.get() + declared > max_body_memory(gateway) {
        return ReadOutcome::Reject(Code::InstanceFull);
    }
    if framing != Framing::Empty && head.headers.has_token("expect", "100-continue") {
        let sent = out.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        if sent.is_err() {
            return ReadOutcome::Closed;
        }
    }
    let head_received = gateway.now();
    let mut memory = BodyMemory::new(gateway);
    match read_body(reader, framing, limits, &mut memory).await {
        Ok(Some(body)) => {
            let request = client_request(gateway, head, body, head_received, memory);
            ReadOutcome::Request(request)
        }
        Ok(None) => ReadOutcome::Closed,
        Err(code) => ReadOutcome::Reject(code),
    }
}

fn client_request(
    gateway: &Rc<Gateway>,
    head: RequestHead,
    body: Bytes,
    head_received: Instant,
    memory: BodyMemory,
) -> ClientRequest {
    let attempt = head
        .headers
        .get_str(gateway.adapter.headers.attempt_id)
        .unwrap_or_default();
    ClientRequest {
        attempt_id: attempt.into(),
        head,
        body,
        head_received,
        received: gateway.now(),
        _memory: memory,
    }
}

/// Waits for the first byte of a request; returns false if the connection is to be closed.
///
/// A process that shuts down closes its idle connections. A request sent at the same moment has not been
/// read, so its client can safely send it elsewhere.
async fn wait_for_data(gateway: &Gateway, reader: &mut RequestReader, idle: Duration) -> bool {
    let mut phases = gateway.subscribe_phase();
    tokio::select! {
        biased;
        read = tokio::time::timeout(idle, reader.read_more()) => matches!(read, Ok(Ok(bytes)) if bytes > 0),
        _ = phases.wait_for(|p| *p == Phase::Draining) => false,
    }
}

/// Reads a request head; `None` if the client closed its connection first.
async fn read_head(reader: &mut RequestReader, limit: usize) -> Result<Option<RequestHead>, Code> {
    loop {
        match head::parse_request(&reader.buffer) {
            Ok(Some((_, length))) if length > limit => return Err(Code::HeadersTooLarge),
            Ok(Some((head, length))) => {
                let _taken = reader.buffer.split_to(length);
                return if head.is_http11 {
                    Ok(Some(head))
                } else {
                    Err(Code::HttpVersionTooOld)
                };
            }
            Ok(None) if reader.buffer.len() > limit => return Err(Code::HeadersTooLarge),
            Ok(None) => {}
            // A head above the limit can fail to parse because it has too many headers.
            Err(_malformed) if reader.buffer.len() > limit => return Err(Code::HeadersTooLarge),
            Err(_malformed) => return Err(Code::BadHeader),
        }
        if !matches!(reader.read_more().await, Ok(bytes) if bytes > 0) {
            return Ok(None);
        }
    }
}

/// Reads a request body; `None` if the client closed its connection before the end.
async fn read_body(
    reader: &mut RequestReader,
    framing: Framing,
    limits: Limits,
    memory: &mut BodyMemory,
) -> Result<Option<Bytes>, Code> {
    let mut decoder = BodyDecoder::new(framing);
    let mut body = BytesMut::new();
    let body_end = tokio::time::Instant::now() + limits.idle_timeout * BODY_TIME_FACTOR;
    loop {
        match decoder.next(&mut reader.buffer) {
            Ok(Decoded::Data(data)) => body.extend_from_slice(&data),
            Ok(Decoded::End) => return Ok(Some(body.freeze())),
            Ok(Decoded::Incomplete) => {
                let pause_end = tokio::time::Instant::now() + limits.idle_timeout;
                match tokio::time::timeout_at(pause_end.min(body_end), reader.read_more()).await {
                    Ok(Ok(bytes)) if bytes > 0 => {}
                    Ok(_) => return Ok(None),
                    Err(_elapsed) => return Err(Code::RequestTooSlow),
                }
            }
            Err(_malformed) => return Err(Code::BadHeader),
        }
        if body.len() > limits.body_bytes {
            return Err(Code::BodyTooLarge);
        }
        memory.set(body.len())?;
    }
}
