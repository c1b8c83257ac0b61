//! Reads one request of a caller.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use hawthornmill::codes::Code;
use hawthornmill::routing::catalog::Limits;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;

use crate::gateway::{Gateway, Phase};
use crate::http::body::{Decoder, Piece};
use crate::http::head::{self, Framing, RequestHead};
use crate::serve::Reader;

/// Bytes of bodies that one process holds at once; an instance has about a hundred megabytes.
const MOST_BODIES: usize = 32 << 20;

/// A request as it came.
#[derive(Debug)]
pub struct Call {
    /// Its head.
    pub head: RequestHead,
    /// Its body.
    pub body: Bytes,
    /// Identity that the caller gave this attempt.
    pub attempt: Box<str>,
    /// When its head had come.
    pub began: Instant,
    /// When it had come whole.
    pub came: Instant,
    held: Rc<Gateway>,
}

impl Drop for Call {
    fn drop(&mut self) {
        let bodies = &self.held.bodies;
        bodies.set(bodies.get() - self.body.len());
    }
}

/// What a connection brings next.
#[derive(Debug)]
pub enum Next {
    /// A request.
    Call(Call),
    /// Something that must be refused; the connection can't be used further.
    Refuse(Code),
    /// Nothing more.
    Closed,
}

/// Reads the next request of a connection.
pub async fn next(gateway: &Rc<Gateway>, reader: &mut Reader, out: &mut OwnedWriteHalf) -> Next {
    let limits = gateway
        .table()
        .map_or_else(Limits::default, |t| *t.limits());
    if reader.buffer.is_empty() && !first_byte(gateway, reader, limits.idle_timeout).await {
        return Next::Closed;
    }
    let head = tokio::time::timeout(
        limits.header_timeout,
        whole_head(reader, limits.header_bytes),
    );
    let head = match head.await {
        Ok(Ok(Some(head))) => head,
        Ok(Ok(None)) => return Next::Closed,
        Ok(Err(code)) => return Next::Refuse(code),
        Err(_elapsed) => return Next::Refuse(Code::HeadTooSlow),
    };
    let Ok(framing) = head.framing() else {
        return Next::Refuse(Code::BadHeader);
    };
    let known = match framing {
        Framing::Length(bytes) => bytes as usize,
        _ => 0,
    };
    if known > limits.body_bytes {
        return Next::Refuse(Code::BodyTooLarge);
    }
    if gateway.bodies.get() + known > MOST_BODIES {
        return Next::Refuse(Code::InstanceFull);
    }
    if framing != Framing::Empty && head.fields.lists("expect", "100-continue") {
        let go_on = out.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        if go_on.is_err() {
            return Next::Closed;
        }
    }
    let began = gateway.now();
    let body = whole_body(reader, framing, limits.body_bytes, limits.idle_timeout).await;
    match body {
        Ok(Some(body)) => Next::Call(call(gateway, head, body, began)),
        Ok(None) => Next::Closed,
        Err(code) => Next::Refuse(code),
    }
}

fn call(gateway: &Rc<Gateway>, head: RequestHead, body: Bytes, began: Instant) -> Call {
    gateway.bodies.set(gateway.bodies.get() + body.len());
    let attempt = head
        .fields
        .text(gateway.dialect.names.attempt)
        .unwrap_or_default();
    Call {
        attempt: attempt.into(),
        head,
        body,
        began,
        came: gateway.now(),
        held: Rc::clone(gateway),
    }
}

/// Waits for the first byte of a request; false when the connection is to end.
///
/// A process that takes no more requests closes idle connections; a request that crosses the close
/// was not read, and its caller may send it elsewhere.
async fn first_byte(gateway: &Gateway, reader: &mut Reader, idle: Duration) -> bool {
    let mut phases = gateway.phases();
    tokio::select! {
        biased;
        read = tokio::time::timeout(idle, reader.more()) => matches!(read, Ok(Ok(bytes)) if bytes > 0),
        _ = phases.wait_for(|p| *p == Phase::Closed) => false,
    }
}

async fn whole_head(reader: &mut Reader, most: usize) -> Result<Option<RequestHead>, Code> {
    loop {
        match head::request(&reader.buffer) {
            Ok(Some((_, length))) if length > most => return Err(Code::HeadersTooLarge),
            Ok(Some((head, length))) => {
                let _taken = reader.buffer.split_to(length);
                return if head.current {
                    Ok(Some(head))
                } else {
                    Err(Code::OldVersion)
                };
            }
            Ok(None) if reader.buffer.len() > most => return Err(Code::HeadersTooLarge),
            Ok(None) => {}
            // A head over the bound may have more fields than can be read.
            Err(_malformed) if reader.buffer.len() > most => return Err(Code::HeadersTooLarge),
            Err(_malformed) => return Err(Code::BadHeader),
        }
        if !matches!(reader.more().await, Ok(bytes) if bytes > 0) {
            return Ok(None);
        }
    }
}

/// Reads the body; none when the caller closed before its end.
async fn whole_body(
    reader: &mut Reader,
    framing: Framing,
    most: usize,
    idle: Duration,
) -> Result<Option<Bytes>, Code> {
    let mut decoder = Decoder::new(framing);
    let mut body = BytesMut::new();
    loop {
        match decoder.next(&mut reader.buffer) {
            Ok(Piece::Data(data)) => body.extend_from_slice(&data),
            Ok(Piece::End) => return Ok(Some(body.freeze())),
            Ok(Piece::More) => match tokio::time::timeout(idle, reader.more()).await {
                Ok(Ok(bytes)) if bytes > 0 => {}
                Ok(_) => return Ok(None),
                Err(_elapsed) => return Err(Code::HeadTooSlow),
            },
            Err(_malformed) => return Err(Code::BadHeader),
        }
        if body.len() > most {
            return Err(Code::BodyTooLarge);
        }
    }
}
