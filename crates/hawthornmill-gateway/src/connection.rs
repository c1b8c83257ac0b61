//! Connections of callers: one request after the other, and noticing when the caller leaves.

use std::mem::MaybeUninit;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use hawthornmill::codes::Code;
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use crate::gateway::{Gateway, Phase};
use crate::trip::read::{Next, next};
use crate::trip::reply::Reply;
use crate::trip::settle::Trip;
use crate::trip::{Closing, End, Way, carry};

/// Connections from which a refused caller's is closed: it comes back on a new one, and the old one
/// would lie idle until its time is over.
const MANY_CONNECTIONS: usize = 500;
/// Bytes that a caller may send ahead of its answer; more are left in the socket.
const MOST_AHEAD: usize = 16 << 10;
/// Time for which what a refused caller still sends is read, so that it can read its answer.
///
/// Closing a connection with unread bytes resets it, and the reset overtakes the answer.
const LINGER: Duration = Duration::from_millis(300);

/// What a caller sends.
#[derive(Debug)]
pub struct Reader {
    half: OwnedReadHalf,
    /// Bytes received and not used yet.
    pub buffer: BytesMut,
}

impl Reader {
    /// Reads more; 0 when the caller has closed.
    ///
    /// # Errors
    /// When the connection broke.
    pub async fn read_more(&mut self) -> std::io::Result<usize> {
        self.half.read_buf(&mut self.buffer).await
    }

    /// Tells whether the caller has closed its connection already.
    ///
    /// A process that got no processor for a while finds requests whose callers have left meanwhile. The
    /// socket itself is asked: the runtime hears of the end only after the request was sent on.
    fn has_left(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(self.half.as_ref()).peek(&mut byte) {
            Ok(bytes) => bytes == 0,
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        }
    }

    /// Ends when the caller has closed its connection.
    async fn gone(&mut self) {
        loop {
            if self.buffer.len() >= MOST_AHEAD {
                // Reading on would take memory for a caller that sends without waiting; its
                // leaving is noticed when the answer can't be written.
                std::future::pending::<()>().await;
            }
            match self.read_more().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }
}

struct Open<'a>(&'a std::cell::Cell<usize>);

impl<'a> Open<'a> {
    fn count(cell: &'a std::cell::Cell<usize>) -> Self {
        cell.set(cell.get() + 1);
        Self(cell)
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Serves one connection to its end.
pub async fn serve(gateway: Rc<Gateway>, stream: TcpStream) {
    let (half, mut out) = stream.into_split();
    calls(&gateway, half, &mut out).await;
    // The descriptor is closed with the half that was read; shut down before, it would take one more system
    // call a connection.
    out.forget();
}

async fn calls(gateway: &Rc<Gateway>, half: OwnedReadHalf, out: &mut OwnedWriteHalf) {
    let _open = Open::count(&gateway.connections);
    let mut reader = Reader {
        half,
        buffer: BytesMut::with_capacity(2048),
    };
    loop {
        let call = match next(gateway, &mut reader, out).await {
            Next::Call(call) => call,
            Next::Refuse(code) => return turn_away(gateway, code, &mut reader, out).await,
            Next::Closed => return,
        };
        let _flying = Open::count(&gateway.in_flight);
        let elsewhere = gateway.phase() >= Phase::LameDuck || gateway.is_outdated();
        let last = call.head.closes() || elsewhere;
        let crowded = gateway.connections.get() > MANY_CONNECTIONS;
        let mut trip = Trip::default();
        let way = Way {
            gateway,
            call: &call,
            closing: Closing { last, crowded },
        };
        let end = if reader.has_left() {
            End::Left
        } else {
            tokio::select! {
                biased;
                end = carry(way, &mut trip, out) => end,
                () = reader.gone() => End::Left,
            }
        };
        trip.settle(gateway, &call, end);
        if end != End::Whole || last || (crowded && trip.is_refused()) {
            return;
        }
    }
}

/// Answers what is no request, and reads on for a moment so that the answer arrives.
async fn turn_away(gateway: &Gateway, code: Code, reader: &mut Reader, out: &mut OwnedWriteHalf) {
    let reply = Reply::new(code);
    if reply.write(gateway, None, true, out).await.is_err() {
        return;
    }
    let rest = async {
        loop {
            reader.buffer.clear();
            if !matches!(reader.read_more().await, Ok(bytes) if bytes > 0) {
                return;
            }
        }
    };
    let _ended = tokio::time::timeout(LINGER, rest).await;
}
