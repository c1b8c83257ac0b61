//! Accepts client connections, and rejects some while the process is overloaded.
//!
//! [`hawthornmill::limits::load_shedding`] decides how many to reject, [`hawthornmill::limits::sender_shares`] whose. A rejected connection costs little: it gets no
//! task and is not registered with the runtime. If its request has arrived completely, the response tells when
//! to retry; otherwise the connection is closed unread, and the client may try another instance at once.

use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::rc::Rc;
use std::time::Duration;

use hawthornmill::codes::Code;
use hawthornmill::limits::sender_shares::Sender;
use nix::sys::socket::{MsgFlags, recv, send};
use serde_json::json;
use tokio::io::Interest;
use tokio::io::unix::AsyncFd;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use crate::connection;
use crate::event_log;
use crate::gateway::Gateway;
use crate::http::head::{self, Framing, RequestHead};
use crate::lifecycle::Phase;
use crate::proxy::admission::token_of;
use crate::proxy::error_response::{Answered, ErrorResponse};

/// Most open client connections; the remaining file descriptors are for servers.
const MAX_CONNECTIONS: usize = 2_600;
/// Delay after a failed accept; mostly the process is out of file descriptors, and others are closed meanwhile.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Longest request that is answered when rejected; the connection of a longer one is closed unread.
const MAX_PEEK_BYTES: usize = 16 << 10;
/// Time after which a rejected client may retry; by then the process has handled its backlog.
const RETRY_AFTER: Duration = Duration::from_millis(400);

/// Connections rejected because the process was overloaded.
#[derive(Debug, Default)]
pub struct RejectedConnections {
    /// Attempt ids of the requests that were answered with a time to retry.
    pub answered: Vec<Box<str>>,
    /// Number of connections closed without reading from them.
    pub unread: u64,
}

/// Accepts client connections until the process ends.
pub async fn accept_connections(gateway: Rc<Gateway>, listener: TcpListener) {
    let listener = match listener.into_std().and_then(register_listener) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!(target: "door", "can't accept connections: {error}");
            // The directory must not list an instance that accepts no connections.
            gateway.set_phase(Phase::Draining);
            return;
        }
    };
    loop {
        let Ok(mut ready) = listener.readable().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        match ready.try_io(|l| l.get_ref().accept()) {
            Ok(Ok((stream, _from))) => serve_or_reject(&gateway, stream),
            Ok(Err(error)) => {
                log::warn!(target: "door", "failed to accept a connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
            Err(_would_block) => {}
        }
    }
}

/// Registers `listener` with the runtime, so that accepted connections are only registered if they are served.
#[expect(
    unsafe_code,
    reason = "the safe constructor of the runtime is deprecated"
)]
fn register_listener(
    listener: std::net::TcpListener,
) -> std::io::Result<AsyncFd<std::net::TcpListener>> {
    // SAFETY: a standard listener owns its descriptor, returns the same one as long as it lives, and can't be
    // replaced through a shared reference.
    let watched = unsafe { AsyncFd::register_with_interest(listener, Interest::READABLE) };
    watched.map_err(Into::into)
}

fn serve_or_reject(gateway: &Rc<Gateway>, stream: TcpStream) {
    if gateway.connections.get() >= MAX_CONNECTIONS {
        // Nothing was read, so the client may try another instance at once.
        gateway.metrics.connection_rejected("full");
        return;
    }
    let now = gateway.now();
    let ratio = gateway.load_shedder.get().shed_ratio(now);
    if ratio > 0.0 {
        let peeked = peek_request(gateway, &stream);
        let mut shares = gateway.sender_shares.borrow_mut();
        let probability = shares.record(peeked.sender, ratio, now);
        if rand::random::<f64>() < probability {
            reject(gateway, &stream, peeked.whole);
            return;
        }
    }
    let stream = stream
        .set_nonblocking(true)
        .and_then(|()| tokio::net::TcpStream::from_std(stream));
    match stream {
        Ok(stream) => drop(spawn_local(connection::serve(Rc::clone(gateway), stream))),
        Err(error) => log::warn!(target: "door", "can't serve a connection: {error}"),
    }
}

/// What has arrived on a connection before anything was read from it.
struct PeekedRequest {
    sender: Sender,
    /// The request, if exactly one whole request has arrived.
    whole: Option<WholeRequest>,
}

/// What the response to a whole request depends on.
struct WholeRequest {
    attempt_id: Box<str>,
    forbids_body: bool,
}

/// Answers with a time to retry if the whole request has arrived; otherwise closes the connection unread.
fn reject(gateway: &Gateway, stream: &TcpStream, request: Option<WholeRequest>) {
    let Some(request) = request else {
        gateway.rejected.borrow_mut().unread += 1;
        gateway.metrics.connection_rejected("unread");
        return;
    };
    // Closing a connection with unread bytes resets it, and the reset may overtake the response.
    let mut bytes = [0; MAX_PEEK_BYTES];
    if recv(stream.as_raw_fd(), &mut bytes, MsgFlags::MSG_DONTWAIT).is_err() {
        return;
    }
    let answered = Answered {
        attempt_id: &request.attempt_id,
        forbids_body: request.forbids_body,
    };
    let response = ErrorResponse::with_retry_after(Code::InstanceFull, RETRY_AFTER);
    let bytes = response.encode(gateway, answered, true);
    // A client that has disconnected needs no response, and a short one fits into the empty send buffer.
    let _sent = send(stream.as_raw_fd(), &bytes.0, MsgFlags::MSG_DONTWAIT);
    gateway
        .rejected
        .borrow_mut()
        .answered
        .push(request.attempt_id);
    gateway.metrics.connection_rejected("told");
}

/// Returns what has arrived on `stream`, and leaves it in the socket.
fn peek_request(gateway: &Gateway, stream: &TcpStream) -> PeekedRequest {
    let mut buffer = [0; MAX_PEEK_BYTES];
    let flags = MsgFlags::MSG_DONTWAIT | MsgFlags::MSG_PEEK;
    let length = recv(stream.as_raw_fd(), &mut buffer, flags).unwrap_or(0);
    let Ok(Some((head, end))) = head::parse_request(&buffer[..length]) else {
        return PeekedRequest {
            sender: Sender::Unknown,
            whole: None,
        };
    };
    PeekedRequest {
        sender: sender_of(gateway, &head),
        whole: whole_request(gateway, &head, length - end, length),
    }
}

fn sender_of(gateway: &Gateway, head: &RequestHead) -> Sender {
    let table = gateway.table();
    let account =
        token_of(gateway, head).and_then(|token| Some(table.as_ref()?.account(token)?.id));
    account.map_or(Sender::Anonymous, Sender::Account)
}

/// Returns the request if the `body` bytes behind its head are its whole body, of `length` bytes in all that have arrived.
fn whole_request(
    gateway: &Gateway,
    head: &RequestHead,
    body: usize,
    length: usize,
) -> Option<WholeRequest> {
    let expected = match head.framing().ok()? {
        Framing::Empty => 0,
        Framing::Length(bytes) => usize::try_from(bytes).ok()?,
        Framing::Chunked | Framing::UntilClose => return None,
    };
    let is_complete = expected == body && length < MAX_PEEK_BYTES;
    let attempt = head.headers.get_str(gateway.adapter.headers.attempt_id)?;
    is_complete.then(|| WholeRequest {
        attempt_id: attempt.into(),
        forbids_body: head.forbids_body(),
    })
}

/// Logs all rejected connections since the last call in one line: a flood has thousands per second.
pub fn log_rejected(gateway: &Gateway, late: Duration) {
    let rejected = gateway.rejected.take();
    if rejected.unread == 0 && rejected.answered.is_empty() {
        return;
    }
    let fields = json!({
        "code": Code::InstanceFull.number(), "late_ms": late.as_millis() as u64, "unread": rejected.unread,
        "connections": gateway.connections.get(), "requests": rejected.answered,
    });
    event_log::state_change("turned_away", fields);
}
