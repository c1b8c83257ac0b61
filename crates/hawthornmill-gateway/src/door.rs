//! Taking new connections of callers, or turning them away while the process is behind.
//!
//! What [`hawthornmill::limits::load_shedding`] decides is done here at the least cost: a connection that is turned
//! away gets no task and no place in the runtime. If its request is there already, it is told when to come
//! back; if not, the connection is closed unread, and its caller may go to another instance at once.

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

use crate::gateway::{Gateway, Phase};
use crate::http::head::{self, Framing};
use crate::serve;
use crate::trip::reply::Reply;

/// Connections that are served at once; the rest of the descriptors is for servers.
const MOST_CONNECTIONS: usize = 2_600;
/// Time to wait when no connection can be taken: out of descriptors, most likely; others are given back
/// meanwhile.
const NO_DESCRIPTOR: Duration = Duration::from_millis(20);
/// Bytes of a request that is read to be turned away; a longer one is closed unread.
const MOST_READ: usize = 16 << 10;
/// Time after which a caller that is turned away may come back: by then the process is through with what it has.
const COME_BACK: Duration = Duration::from_millis(400);

/// Takes callers for as long as the process lives.
pub async fn accept(gateway: Rc<Gateway>, listener: TcpListener) {
    let listener = match listener.into_std().and_then(watch) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!(target: "door", "callers can't be taken: {error}");
            // Callers must not be sent to an instance that takes none.
            gateway.enter(Phase::Closed);
            return;
        }
    };
    loop {
        let Ok(mut ready) = listener.readable().await else {
            tokio::time::sleep(NO_DESCRIPTOR).await;
            continue;
        };
        match ready.try_io(|l| l.get_ref().accept()) {
            Ok(Ok((stream, _from))) => take(&gateway, stream),
            Ok(Err(error)) => {
                log::warn!(target: "door", "no connection can be taken: {error}");
                tokio::time::sleep(NO_DESCRIPTOR).await;
            }
            Err(_would_block) => {}
        }
    }
}

/// Watches `listener` without the runtime entering each connection into its poll before it can be judged.
#[expect(unsafe_code, reason = "the runtime's safe way is deprecated")]
fn watch(listener: std::net::TcpListener) -> std::io::Result<AsyncFd<std::net::TcpListener>> {
    // SAFETY: a standard listener owns its descriptor, gives the same one as long as it lives, and nothing
    // replaces it behind a shared reference.
    let watched = unsafe { AsyncFd::register_with_interest(listener, Interest::READABLE) };
    watched.map_err(Into::into)
}

fn take(gateway: &Rc<Gateway>, stream: TcpStream) {
    if gateway.connections.get() >= MOST_CONNECTIONS {
        // Closed without a byte of a request read, so its caller may go elsewhere at once.
        gateway.meters.turned_away("full");
        return;
    }
    let part = gateway.strain.get().shed_ratio(gateway.now());
    if part > 0.0 && rand::random::<f64>() < part {
        turn_away(gateway, &stream);
        return;
    }
    let stream = stream
        .set_nonblocking(true)
        .and_then(|()| tokio::net::TcpStream::from_std(stream));
    match stream {
        Ok(stream) => drop(spawn_local(serve::serve(Rc::clone(gateway), stream))),
        Err(error) => log::warn!(target: "door", "a connection can't be served: {error}"),
    }
}

/// Tells the caller when to come back, if its whole request is there; else closes the connection unread.
fn turn_away(gateway: &Gateway, stream: &TcpStream) {
    let Some(attempt) = whole_request(gateway, stream) else {
        gateway.turned.borrow_mut().unread += 1;
        gateway.meters.turned_away("unread");
        return;
    };
    // Closed with unread bytes, the connection would be reset, and the reset overtake the answer.
    let mut request = [0; MOST_READ];
    if recv(stream.as_raw_fd(), &mut request, MsgFlags::MSG_DONTWAIT).is_err() {
        return;
    }
    let bytes = Reply::again(Code::InstanceFull, COME_BACK).bytes(gateway, Some(&attempt), true);
    // A caller that is gone needs no answer, and the little that is written fits an empty socket.
    let _sent = send(stream.as_raw_fd(), &bytes.0, MsgFlags::MSG_DONTWAIT);
    gateway.turned.borrow_mut().told.push(attempt);
    gateway.meters.turned_away("told");
}

/// The identity of the request on `stream`, if all of it has come and nothing else; nothing is taken from the
/// stream.
fn whole_request(gateway: &Gateway, stream: &TcpStream) -> Option<Box<str>> {
    let mut buffer = [0; MOST_READ];
    let look = MsgFlags::MSG_DONTWAIT | MsgFlags::MSG_PEEK;
    let length = recv(stream.as_raw_fd(), &mut buffer, look).ok()?;
    let bytes = &buffer[..length];
    let (head, end) = head::request(bytes).ok()??;
    let body = match head.framing().ok()? {
        Framing::Empty => 0,
        Framing::Length(body) => usize::try_from(body).ok()?,
        Framing::Chunked | Framing::UntilClose => return None,
    };
    let whole = end + body == length && length < MOST_READ;
    let attempt = head.fields.text(gateway.dialect.names.attempt)?;
    whole.then(|| attempt.into())
}
