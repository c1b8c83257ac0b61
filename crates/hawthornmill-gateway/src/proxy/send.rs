//! Sends a request to its server and reads the head of the answer.
//!
//! What may be said of the request afterwards rests on one fact: whether a byte of it was handed to
//! a connection. Before that, another server may have it whatever its kind. After that, only the
//! server itself can say that it did not run it.

use std::io;
use std::time::Duration;

use bytes::BytesMut;
use hawthornmill::ident::ServerId;
use hawthornmill::routing::catalog::RetryPolicy;
use hawthornmill::routing::placement::Placement;
use tokio::net::TcpStream;

use super::admission::Admitted;
use super::progress::RequestProgress;
use super::read::ClientRequest;
use super::retry;
use crate::gateway::Gateway;
use crate::http::body::{BodyDecoder, Decoded};
use crate::http::head::{self, Framing, ResponseHead};
use crate::http::write::MessageBuffer;
use crate::pool::Upstream;

/// Status of a server that is not the one expected; it has not run the request.
const MISDIRECTED_REQUEST: u16 = 421;
/// Times the objective after which a silent server is given up; besides, twice the expected time.
///
/// By then the answer is late anyway. Sooner, a server that is merely busy would lose what it has read.
const SILENCE_FACTOR: f64 = 2.0;
/// Bytes of an answer's head at most.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Bytes of an answer to an earlier request that are read past at most.
const MAX_SKIPPED_BYTES: usize = 1 << 20;

/// The begin of a server's answer.
#[derive(Debug)]
pub struct ServerResponse {
    /// Its head.
    pub head: ResponseHead,
    /// How its body ends.
    pub framing: Framing,
    /// Where the rest comes from.
    pub upstream: Upstream,
    /// The server that answers.
    pub server: ServerId,
    /// The connection may carry another request afterwards.
    pub reusable: bool,
    /// The body, where it was read already.
    pub body: Option<BytesMut>,
}

/// What became of a send.
#[derive(Debug)]
pub enum SendOutcome {
    /// No byte was sent.
    Unreachable(Box<str>),
    /// The server says that it did not run the request; `misdirected`: it is another server by now.
    NotExecuted {
        /// Another server has the address.
        misdirected: bool,
    },
    /// It may have run.
    Interrupted(Box<str>),
    /// It answers.
    Response(ServerResponse),
}

/// Sends `request` to the server of `choice`.
pub async fn send(
    gateway: &Gateway,
    request: &ClientRequest,
    admitted: &Admitted,
    progress: &mut RequestProgress,
    choice: &Placement,
) -> SendOutcome {
    let server = choice.server;
    let target = {
        let scheduler = gateway.scheduler.borrow();
        let known = scheduler.registry.get(server);
        known.map(|k| (k.registration.address, k.registration.name.clone()))
    };
    let Some((address, name)) = target else {
        return SendOutcome::Unreachable("server is gone".into());
    };
    let now = gateway.now();
    let once = admitted.repeat == RetryPolicy::AtMostOnce;
    let taken = gateway.pool.acquire(server, address, once, now).await;
    if !taken.as_ref().is_ok_and(|u| u.reused) {
        let after = gateway.now();
        let took = after.duration_since(now);
        gateway
            .link
            .borrow_mut()
            .record_connect(address, took, after);
    }
    let mut upstream = match taken {
        Ok(upstream) => upstream,
        Err(error) => return SendOutcome::Unreachable(error.to_string().into()),
    };
    if !upstream.reused {
        gateway.metrics.server_connected();
    }
    let bytes = encode_request(gateway, request, admitted, progress, &name);
    let written = match write_request(&mut upstream, &bytes.0, progress).await {
        Ok(whole) => whole,
        Err(error) if !progress.bytes_sent() => {
            return SendOutcome::Unreachable(error.to_string().into());
        }
        Err(error) => return SendOutcome::Interrupted(error.to_string().into()),
    };
    let response = receive_response(gateway, request, upstream, server, written);
    if !retry::can_retry(admitted, progress) {
        return response.await;
    }
    // Dropping the connection cancels the request there before another server gets it.
    let response = tokio::time::timeout(silence_limit(admitted, choice), response).await;
    response.unwrap_or_else(|_elapsed| SendOutcome::Interrupted("no answer in time".into()))
}

/// Time for which a server may be silent before another one gets the request.
fn silence_limit(admitted: &Admitted, choice: &Placement) -> Duration {
    admitted.request.objective.mul_f64(SILENCE_FACTOR) + choice.expected_ttft * 2
}

/// The request as the server gets it.
fn encode_request(
    gateway: &Gateway,
    request: &ClientRequest,
    admitted: &Admitted,
    progress: &RequestProgress,
    server: &str,
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
    let left = admitted
        .request
        .deadline
        .saturating_duration_since(gateway.now());
    bytes.header(names.deadline, left.as_millis().to_string());
    bytes.header(names.expected_server, server);
    if let Some(account) = &admitted.account_name {
        bytes.header(names.account, account.as_bytes());
    }
    if let Some(event) = progress.last_event_id {
        bytes.header(names.last_event_id, event.to_string());
    }
    // A body in chunks was read whole; its length says the same in fewer ways.
    let sized = request.head.headers.get("content-length").is_some()
        || request.head.headers.get("transfer-encoding").is_some();
    if sized {
        bytes.framing_header(Framing::Length(request.body.len() as u64));
    }
    bytes.end_head();
    bytes.0.extend_from_slice(&request.body);
    bytes
}

/// Writes the request; false when the server answered before it had all of it.
async fn write_request(
    upstream: &mut Upstream,
    mut bytes: &[u8],
    progress: &mut RequestProgress,
) -> io::Result<bool> {
    while !bytes.is_empty() {
        if progress.bytes_sent() {
            tokio::select! {
                biased;
                ready = upstream.stream.writable() => ready?,
                read = read_some(&upstream.stream, &mut upstream.buffer) => {
                    return match read? {
                        0 => Err(io::ErrorKind::UnexpectedEof.into()),
                        _ => Ok(false),
                    };
                }
            }
        } else {
            upstream.stream.writable().await?;
        }
        match upstream.stream.try_write(bytes) {
            Ok(written) => {
                progress.record_sent();
                bytes = &bytes[written..];
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(true)
}

/// Reads what there is, and waits when there is nothing; for use while the connection is also written to.
///
/// # Errors
/// When the connection broke.
async fn read_some(stream: &TcpStream, buffer: &mut BytesMut) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        match stream.try_read_buf(buffer) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            result => return result,
        }
    }
}

async fn receive_response(
    gateway: &Gateway,
    request: &ClientRequest,
    mut upstream: Upstream,
    server: ServerId,
    written: bool,
) -> SendOutcome {
    let names = &gateway.adapter.headers;
    let mut reusable = written;
    loop {
        let head = match read_head(&mut upstream).await {
            Ok(head) => head,
            Err(why) => return SendOutcome::Interrupted(why),
        };
        if (100..200).contains(&head.status) {
            continue;
        }
        let Ok(framing) = head.framing(&request.head.method) else {
            return SendOutcome::Interrupted("answer's length can be read in two ways".into());
        };
        let response_id = head.headers.get_str(names.attempt_id);
        if response_id.is_some_and(|id| id != &*request.attempt_id) {
            // The answer to an earlier request on this connection, come late or twice.
            reusable = false;
            if skip_body(&mut upstream, framing).await.is_err() {
                return SendOutcome::Interrupted("an answer to another request doesn't end".into());
            }
            continue;
        }
        if let Some(load) = (gateway.adapter.parse_load)(&head.headers) {
            gateway
                .scheduler
                .borrow_mut()
                .loads
                .apply_server_report(server, load, gateway.now());
        }
        let misdirected = head.status == MISDIRECTED_REQUEST;
        if misdirected || head.headers.get(names.not_executed).is_some() {
            let response = server_response(head, framing, upstream, server, reusable);
            if !misdirected {
                reuse_after_rejection(gateway, response).await;
            }
            return SendOutcome::NotExecuted { misdirected };
        }
        if response_id.is_none() && head.status < 400 {
            return SendOutcome::Interrupted("answer names no request".into());
        }
        return SendOutcome::Response(server_response(head, framing, upstream, server, reusable));
    }
}

fn server_response(
    head: ResponseHead,
    framing: Framing,
    upstream: Upstream,
    server: ServerId,
    reusable: bool,
) -> ServerResponse {
    let reusable = reusable && !head.closes_connection() && framing != Framing::UntilClose;
    ServerResponse {
        head,
        framing,
        upstream,
        server,
        reusable,
        body: None,
    }
}

async fn read_head(upstream: &mut Upstream) -> Result<ResponseHead, Box<str>> {
    loop {
        match head::parse_response(&upstream.buffer) {
            Ok(Some((head, length))) => {
                let _taken = upstream.buffer.split_to(length);
                return Ok(head);
            }
            Ok(None) if upstream.buffer.len() <= MAX_HEAD_BYTES => {}
            Ok(None) => return Err("answer's head is too long".into()),
            Err(_malformed) => return Err("what came is no answer".into()),
        }
        match upstream.read_more().await {
            Ok(0) => return Err("connection closed before an answer".into()),
            Ok(_) => {}
            Err(error) => return Err(error.to_string().into()),
        }
    }
}

async fn skip_body(upstream: &mut Upstream, framing: Framing) -> Result<(), ()> {
    if framing == Framing::UntilClose {
        return Err(());
    }
    let mut decoder = BodyDecoder::new(framing);
    let mut skipped = 0;
    loop {
        match decoder.next(&mut upstream.buffer) {
            Ok(Decoded::End) => return Ok(()),
            Ok(Decoded::Data(data)) => skipped += data.len(),
            Ok(Decoded::Incomplete) => {
                let read = upstream.read_more().await;
                if !matches!(read, Ok(bytes) if bytes > 0) {
                    return Err(());
                }
            }
            Err(_malformed) => return Err(()),
        }
        if skipped > MAX_SKIPPED_BYTES {
            return Err(());
        }
    }
}

/// Time for which the rest of a server's refusal is read, to keep its connection.
const REJECTION_DRAIN: Duration = Duration::from_millis(50);

/// Keeps the connection of a server that refused, if the rest of its answer comes at once.
async fn reuse_after_rejection(gateway: &Gateway, mut response: ServerResponse) {
    let rest = skip_body(&mut response.upstream, response.framing);
    if matches!(
        tokio::time::timeout(REJECTION_DRAIN, rest).await,
        Ok(Ok(()))
    ) {
        response.recycle_connection(gateway);
    }
}

impl ServerResponse {
    /// The body is complete: keeps the connection if it can carry another request.
    pub fn recycle_connection(self, gateway: &Gateway) {
        if self.reusable {
            let keep_alive = keep_alive_timeout(&self.head);
            let (max_idle, now) = (gateway.max_idle(self.server), gateway.now());
            gateway
                .pool
                .put_back(self.server, self.upstream, keep_alive, max_idle, now);
        }
    }
}

/// How long the server says that it keeps an idle connection.
fn keep_alive_timeout(head: &ResponseHead) -> Option<Duration> {
    let text = head.headers.get_str("keep-alive")?;
    let timeout = text
        .split(',')
        .find_map(|p| p.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}
