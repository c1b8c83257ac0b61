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

use super::admit::Admitted;
use super::again;
use super::read::Call;
use super::settle::Trip;
use crate::gateway::Gateway;
use crate::http::body::{Decoder, Piece};
use crate::http::head::{self, AnswerHead, Framing};
use crate::http::write::Bytes;
use crate::pool::Upstream;

/// Status of a server that is not the one expected; it has not run the request.
const MISDIRECTED: u16 = 421;
/// Times the objective after which a silent server is given up; besides, twice the expected time.
///
/// By then the answer is late anyway. Sooner, a server that is merely busy would lose what it has read.
const GIVEN_UP: f64 = 2.0;
/// Bytes of an answer's head at most.
const MOST_HEAD: usize = 64 << 10;
/// Bytes of an answer to an earlier request that are read past at most.
const MOST_STRAY: usize = 1 << 20;

/// The begin of a server's answer.
#[derive(Debug)]
pub struct Answer {
    /// Its head.
    pub head: AnswerHead,
    /// How its body ends.
    pub framing: Framing,
    /// Where the rest comes from.
    pub upstream: Upstream,
    /// The server that answers.
    pub server: ServerId,
    /// The connection may carry another request afterwards.
    pub clean: bool,
    /// The body, where it was read already.
    pub body: Option<BytesMut>,
}

/// What became of a send.
#[derive(Debug)]
pub enum Sent {
    /// No byte was sent.
    Unreached(Box<str>),
    /// The server says that it did not run the request; `moved`: it is another server by now.
    NotRun {
        /// Another server has the address.
        moved: bool,
    },
    /// It may have run.
    Broken(Box<str>),
    /// It answers.
    Answer(Answer),
}

/// Sends `call` to the server of `choice`.
pub async fn send(
    gateway: &Gateway,
    call: &Call,
    admitted: &Admitted,
    trip: &mut Trip,
    choice: &Placement,
) -> Sent {
    let server = choice.server;
    let target = {
        let scheduler = gateway.scheduler.borrow();
        let known = scheduler.registry.get(server);
        known.map(|k| (k.registration.address, k.registration.name.clone()))
    };
    let Some((address, name)) = target else {
        return Sent::Unreached("server is gone".into());
    };
    let now = gateway.now();
    let once = admitted.repeat == RetryPolicy::AtMostOnce;
    let taken = gateway.pool.take(server, address, once, now).await;
    if !taken.as_ref().is_ok_and(|u| u.reused) {
        let after = gateway.now();
        let took = after.duration_since(now);
        gateway.link.borrow_mut().attempt(address, took, after);
    }
    let mut upstream = match taken {
        Ok(upstream) => upstream,
        Err(error) => return Sent::Unreached(error.to_string().into()),
    };
    if !upstream.reused {
        gateway.meters.connected();
    }
    let bytes = request(gateway, call, admitted, trip, &name);
    let written = match write(&mut upstream, &bytes.0, trip).await {
        Ok(whole) => whole,
        Err(error) if !trip.is_sent() => {
            return Sent::Unreached(error.to_string().into());
        }
        Err(error) => return Sent::Broken(error.to_string().into()),
    };
    let answer = receive(gateway, call, upstream, server, written);
    if !again::is_left(admitted, trip) {
        return answer.await;
    }
    // Dropping the connection cancels the request there before another server gets it.
    let answer = tokio::time::timeout(patience(admitted, choice), answer).await;
    answer.unwrap_or_else(|_elapsed| Sent::Broken("no answer in time".into()))
}

/// Time for which a server may be silent before another one gets the request.
fn patience(admitted: &Admitted, choice: &Placement) -> Duration {
    admitted.request.objective.mul_f64(GIVEN_UP) + choice.expected_ttft * 2
}

/// The request as the server gets it.
fn request(
    gateway: &Gateway,
    call: &Call,
    admitted: &Admitted,
    trip: &Trip,
    server: &str,
) -> Bytes {
    let names = &gateway.dialect.names;
    let mut not: Vec<&str> = vec![names.deadline, names.expect, names.account];
    not.extend(names.reserved);
    if admitted.hide_token {
        not.push(names.token);
    }
    if trip.last_event.is_some() {
        not.push(names.resume);
    }
    let mut bytes = Bytes::request(&call.head.method, &call.head.target);
    bytes.fields(&call.head.fields, &not);
    let left = admitted
        .request
        .deadline
        .saturating_duration_since(gateway.now());
    bytes.field(names.deadline, left.as_millis().to_string());
    bytes.field(names.expect, server);
    if let Some(account) = &admitted.account {
        bytes.field(names.account, account.as_bytes());
    }
    if let Some(event) = trip.last_event {
        bytes.field(names.resume, event.to_string());
    }
    // A body in chunks was read whole; its length says the same in fewer ways.
    let sized = call.head.fields.get("content-length").is_some()
        || call.head.fields.get("transfer-encoding").is_some();
    if sized {
        bytes.framing(Framing::Length(call.body.len() as u64));
    }
    bytes.end();
    bytes.0.extend_from_slice(&call.body);
    bytes
}

/// Writes the request; false when the server answered before it had all of it.
async fn write(upstream: &mut Upstream, mut bytes: &[u8], trip: &mut Trip) -> io::Result<bool> {
    while !bytes.is_empty() {
        if trip.is_sent() {
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
                trip.sent_bytes();
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

async fn receive(
    gateway: &Gateway,
    call: &Call,
    mut upstream: Upstream,
    server: ServerId,
    written: bool,
) -> Sent {
    let names = &gateway.dialect.names;
    let mut clean = written;
    loop {
        let head = match answer_head(&mut upstream).await {
            Ok(head) => head,
            Err(why) => return Sent::Broken(why),
        };
        if (100..200).contains(&head.status) {
            continue;
        }
        let Ok(framing) = head.framing(&call.head.method) else {
            return Sent::Broken("answer's length can be read in two ways".into());
        };
        let named = head.fields.text(names.attempt);
        if named.is_some_and(|id| id != &*call.attempt) {
            // The answer to an earlier request on this connection, come late or twice.
            clean = false;
            if skip(&mut upstream, framing).await.is_err() {
                return Sent::Broken("an answer to another request doesn't end".into());
            }
            continue;
        }
        if let Some(load) = (gateway.dialect.load)(&head.fields) {
            gateway
                .scheduler
                .borrow_mut()
                .loads
                .apply_server_report(server, load, gateway.now());
        }
        let moved = head.status == MISDIRECTED;
        if moved || head.fields.get(names.not_run).is_some() {
            let answer = answer(head, framing, upstream, server, clean);
            if !moved {
                keep_after_refusal(gateway, answer).await;
            }
            return Sent::NotRun { moved };
        }
        if named.is_none() && head.status < 400 {
            return Sent::Broken("answer names no request".into());
        }
        return Sent::Answer(answer(head, framing, upstream, server, clean));
    }
}

fn answer(
    head: AnswerHead,
    framing: Framing,
    upstream: Upstream,
    server: ServerId,
    clean: bool,
) -> Answer {
    let clean = clean && !head.closes() && framing != Framing::UntilClose;
    Answer {
        head,
        framing,
        upstream,
        server,
        clean,
        body: None,
    }
}

async fn answer_head(upstream: &mut Upstream) -> Result<AnswerHead, Box<str>> {
    loop {
        match head::answer(&upstream.buffer) {
            Ok(Some((head, length))) => {
                let _taken = upstream.buffer.split_to(length);
                return Ok(head);
            }
            Ok(None) if upstream.buffer.len() <= MOST_HEAD => {}
            Ok(None) => return Err("answer's head is too long".into()),
            Err(_malformed) => return Err("what came is no answer".into()),
        }
        match upstream.more().await {
            Ok(0) => return Err("connection closed before an answer".into()),
            Ok(_) => {}
            Err(error) => return Err(error.to_string().into()),
        }
    }
}

async fn skip(upstream: &mut Upstream, framing: Framing) -> Result<(), ()> {
    if framing == Framing::UntilClose {
        return Err(());
    }
    let mut decoder = Decoder::new(framing);
    let mut skipped = 0;
    loop {
        match decoder.next(&mut upstream.buffer) {
            Ok(Piece::End) => return Ok(()),
            Ok(Piece::Data(data)) => skipped += data.len(),
            Ok(Piece::More) => {
                let read = upstream.more().await;
                if !matches!(read, Ok(bytes) if bytes > 0) {
                    return Err(());
                }
            }
            Err(_malformed) => return Err(()),
        }
        if skipped > MOST_STRAY {
            return Err(());
        }
    }
}

/// Time for which the rest of a server's refusal is read, to keep its connection.
const REFUSAL_REST: Duration = Duration::from_millis(50);

/// Keeps the connection of a server that refused, if the rest of its answer comes at once.
async fn keep_after_refusal(gateway: &Gateway, mut answer: Answer) {
    let rest = skip(&mut answer.upstream, answer.framing);
    if matches!(tokio::time::timeout(REFUSAL_REST, rest).await, Ok(Ok(()))) {
        answer.finish(gateway);
    }
}

impl Answer {
    /// The body is complete: keeps the connection if it can carry another request.
    pub fn finish(self, gateway: &Gateway) {
        if self.clean {
            let said = keep_alive(&self.head);
            let (most, now) = (gateway.idle_bound(self.server), gateway.now());
            gateway
                .pool
                .give(self.server, self.upstream, said, most, now);
        }
    }
}

/// How long the server says that it keeps an idle connection.
fn keep_alive(head: &AnswerHead) -> Option<Duration> {
    let text = head.fields.text("keep-alive")?;
    let timeout = text
        .split(',')
        .find_map(|p| p.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}
