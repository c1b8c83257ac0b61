//! Writes requests to servers: an encoded head, and the body from where it was received.

use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::BytesMut;
use smallvec::SmallVec;
use tokio::net::TcpStream;

use super::admission::Admitted;
use super::progress::RequestProgress;
use super::read::ClientRequest;
use super::request_body::RequestBody;
use crate::gateway::Gateway;
use crate::http::head::Framing;
use crate::http::write::{MAX_COPIED_BYTES, MessageBuffer};
use crate::pool::Upstream;

/// Parts of a request that are written at once.
const MAX_PARTS: usize = 64;

/// Encodes the head of the request for the server.
pub fn encode_head(
    gateway: &Gateway,
    request: &ClientRequest,
    admitted: &Admitted,
    progress: &RequestProgress,
    server: &str,
    fetch_source: Option<SocketAddr>,
) -> MessageBuffer {
    let names = &gateway.adapter.headers;
    let mut excluded: Vec<&str> = vec![names.deadline, names.expected_server, names.account];
    excluded.extend(names.reserved);
    if admitted.strip_token {
        excluded.push(names.token);
    }
    if progress.last_event_id.is_some() {
        excluded.push(names.last_event_id);
    }
    let mut bytes = MessageBuffer::request(&request.head.method, &request.head.target);
    bytes.forwarded_headers(&request.head.headers, &excluded);
    let remaining = admitted
        .request
        .deadline
        .saturating_duration_since(gateway.now());
    bytes.header(names.deadline, remaining.as_millis().to_string());
    bytes.header(names.expected_server, server);
    if let Some(source) = fetch_source {
        bytes.header(names.fetch_source, source.to_string());
    }
    if let Some(account) = &admitted.account_name {
        bytes.header(names.account, account.as_bytes());
    }
    if let Some(event) = progress.last_event_id {
        bytes.header(names.last_event_id, event.to_string());
    }
    // A chunked body has been read completely, so it is sent with its length, which is less ambiguous.
    let has_body = request.head.headers.get("content-length").is_some()
        || request.head.headers.get("transfer-encoding").is_some();
    if has_body {
        bytes.framing_header(Framing::Length(request.body_bytes as u64));
    }
    bytes.end_head();
    bytes
}

/// Writes the request, whose head is freed afterwards; returns false if the server responded before all of it was written.
///
/// # Errors
/// Fails if the connection breaks.
pub async fn write_request(
    upstream: &mut Upstream,
    mut head: MessageBuffer,
    body: Option<Rc<RequestBody>>,
    progress: &mut RequestProgress,
) -> io::Result<bool> {
    debug_assert!(
        body.is_some(),
        "a request whose body was released isn't sent"
    );
    let blocks = body.as_ref().map(|b| &b.blocks);
    let mut parts: SmallVec<[IoSlice<'_>; 2]> = SmallVec::new();
    match blocks {
        Some(blocks) if blocks.len() > MAX_COPIED_BYTES => {
            parts.push(IoSlice::new(&head.0));
            parts.extend(blocks.parts().map(IoSlice::new));
        }
        Some(blocks) => {
            blocks.parts().for_each(|p| head.0.extend_from_slice(p));
            parts.push(IoSlice::new(&head.0));
        }
        None => parts.push(IoSlice::new(&head.0)),
    }
    let mut unsent = &mut *parts;
    while !unsent.is_empty() {
        if progress.bytes_sent() {
            tokio::select! {
                biased;
                ready = upstream.stream.writable() => ready?,
                read = read_some(&upstream.stream, &mut upstream.buffer) => {
                    let read = read?;
                    upstream.received += read;
                    return match read {
                        0 => Err(io::ErrorKind::UnexpectedEof.into()),
                        _ => Ok(false),
                    };
                }
            }
        } else {
            upstream.stream.writable().await?;
        }
        match try_write(&upstream.stream, unsent) {
            Ok(written) => {
                progress.record_sent();
                IoSlice::advance_slices(&mut unsent, written);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(true)
}

/// Writes as much as the socket takes now.
fn try_write(stream: &TcpStream, parts: &[IoSlice<'_>]) -> io::Result<usize> {
    match parts {
        [part] => stream.try_write(part),
        parts => stream.try_write_vectored(&parts[..parts.len().min(MAX_PARTS)]),
    }
}

/// Reads available bytes, or waits for some, through a shared reference, so that a write can be pending.
///
/// # Errors
/// Fails if the connection broke.
async fn read_some(stream: &TcpStream, buffer: &mut BytesMut) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        match stream.try_read_buf(buffer) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            result => return result,
        }
    }
}
