//! Accepts client connections, and rejects some while the process is overloaded.
//!
//! [`hawthornmill::limits::load_shedding`] decides how many to reject. A rejected connection costs little: it gets no
//! task and is not registered with the runtime. If its request has arrived completely, the response tells when
//! to retry; otherwise the connection is closed unread, and the client may try another instance at once.

use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::rc::Rc;
use std::time::Duration;

use hawthornmill::codes::Code;
use nix::sys::socket::{MsgFlags, recv, send};
use tokio::io::Interest;
use tokio::io::unix::AsyncFd;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use crate::connection;
use crate::gateway::{Gateway, Phase};
use crate::http::head::{self, Framing};
use crate::proxy::error_response::{Answered, ErrorResponse};

/// Most open client connections; the remaining file descriptors are for servers.
const MAX_CONNECTIONS: usize = 2_600;
/// Delay after a failed accept; mostly the process is out of file descriptors, and others are closed meanwhile.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Longest request that is answered when rejected; the connection of a longer one is closed unread.
const MAX_PEEK_BYTES: usize = 16 << 10;
/// Time after which a rejected client may retry; by then the process has handled its backlog.
const RETRY_AFTER: Duration = Duration::from_millis(400);

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
    let share = gateway.load_shedder.get().shed_ratio(gateway.now());
    if share > 0.0 && rand::random::<f64>() < share {
        reject(gateway, &stream);
        return;
    }
    let stream = stream
        .set_nonblocking(true)
        .and_then(|()| tokio::net::TcpStream::from_std(stream));
    match stream {
        Ok(stream) => drop(spawn_local(connection::serve(Rc::clone(gateway), stream))),
        Err(error) => log::warn!(target: "door", "can't serve a connection: {error}"),
    }
}

/// Answers with a time to retry if the whole request has arrived; otherwise closes the connection unread.
fn reject(gateway: &Gateway, stream: &TcpStream) {
    let Some((attempt, forbids_body)) = peek_request(gateway, stream) else {
        gateway.rejected.borrow_mut().unread += 1;
        gateway.metrics.connection_rejected("unread");
        return;
    };
    // Closing a connection with unread bytes resets it, and the reset may overtake the response.
    let mut request = [0; MAX_PEEK_BYTES];
    if recv(stream.as_raw_fd(), &mut request, MsgFlags::MSG_DONTWAIT).is_err() {
        return;
    }
    let answered = Answered {
        attempt_id: &attempt,
        forbids_body,
    };
    let response = ErrorResponse::with_retry_after(Code::InstanceFull, RETRY_AFTER);
    let bytes = response.encode(gateway, answered, true);
    // A client that has disconnected needs no response, and a short one fits into the empty send buffer.
    let _sent = send(stream.as_raw_fd(), &bytes.0, MsgFlags::MSG_DONTWAIT);
    gateway.rejected.borrow_mut().answered.push(attempt);
    gateway.metrics.connection_rejected("told");
}

/// Returns the attempt id of the request on `stream`, and whether its response has no body, if exactly one whole request
/// has arrived.
///
/// Leaves the bytes in the socket.
fn peek_request(gateway: &Gateway, stream: &TcpStream) -> Option<(Box<str>, bool)> {
    let mut buffer = [0; MAX_PEEK_BYTES];
    let flags = MsgFlags::MSG_DONTWAIT | MsgFlags::MSG_PEEK;
    let length = recv(stream.as_raw_fd(), &mut buffer, flags).ok()?;
    let bytes = &buffer[..length];
    let (head, end) = head::parse_request(bytes).ok()??;
    let body = match head.framing().ok()? {
        Framing::Empty => 0,
        Framing::Length(body) => usize::try_from(body).ok()?,
        Framing::Chunked | Framing::UntilClose => return None,
    };
    let is_complete = end + body == length && length < MAX_PEEK_BYTES;
    let attempt = head.headers.get_str(gateway.adapter.headers.attempt_id)?;
    is_complete.then(|| (attempt.into(), head.forbids_body()))
}
