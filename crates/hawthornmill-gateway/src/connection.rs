//! Client connections: handles one request after the other, and detects that the client disconnects.

use std::mem::MaybeUninit;
use std::rc::Rc;
use std::time::Duration;

use bytes::{BufMut, BytesMut};
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use crate::gateway::Gateway;
use crate::lifecycle::Phase;
use crate::proxy::error_response::Answered;
use crate::proxy::progress::RequestProgress;
use crate::proxy::read::{ReadOutcome, Rejection, read_request};
use crate::proxy::{ConnectionClose, RequestContext, RequestOutcome, handle_request};

/// Number of connections above which the connection of a rejected client is closed.
///
/// Such a client retries on a new connection, and the old one would stay idle until its timeout.
const CROWDED_CONNECTIONS: usize = 500;
/// Most bytes that are read ahead of the response; further ones are left in the socket.
const MAX_PIPELINED_BYTES: usize = 4 << 10;
/// Time for which bytes of a rejected client are read and dropped, so that the response arrives.
///
/// Closing a connection with unread bytes resets it, and the reset may overtake the response.
/// No bound on bytes: a client that writes its whole body first would block on it and never read the response.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(300);

/// The receiving half of a client connection.
#[derive(Debug)]
pub struct RequestReader {
    half: OwnedReadHalf,
    /// Bytes received and not parsed yet.
    pub buffer: BytesMut,
}

impl RequestReader {
    /// Reads more bytes into the buffer; returns 0 if the client closed the connection.
    ///
    /// # Errors
    /// If the connection fails.
    pub async fn read_more(&mut self) -> std::io::Result<usize> {
        self.half.read_buf(&mut self.buffer).await
    }

    /// Reads bytes of a body past the buffer, which is empty; returns 0 if the client closed the connection.
    ///
    /// # Errors
    /// If the connection fails.
    pub async fn read_into(&mut self, to: &mut impl BufMut) -> std::io::Result<usize> {
        self.half.read_buf(to).await
    }

    /// Tells whether the client has closed its connection already.
    ///
    /// After a process got no CPU time for a while, the clients of some requests have disconnected. Asks the
    /// socket itself, because the runtime would notice only after the request was forwarded.
    fn is_closed(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        match SockRef::from(self.half.as_ref()).peek(&mut byte) {
            Ok(bytes) => bytes == 0,
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        }
    }

    /// Waits until the client closes its connection.
    async fn wait_closed(&mut self) {
        loop {
            if self.buffer.len() >= MAX_PIPELINED_BYTES {
                // Reading on would use memory for a client that sends without waiting. That it
                // disconnects shows when the response can't be written.
                std::future::pending::<()>().await;
            }
            match self.read_more().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }
}

/// Counts its own lifetime in a cell.
struct CountGuard<'a>(&'a std::cell::Cell<usize>);

impl<'a> CountGuard<'a> {
    fn count(cell: &'a std::cell::Cell<usize>) -> Self {
        cell.set(cell.get() + 1);
        Self(cell)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Serves a client connection until it ends.
pub async fn serve(gateway: Rc<Gateway>, stream: TcpStream) {
    let (half, mut out) = stream.into_split();
    handle_requests(&gateway, half, &mut out).await;
    // The read half closes the descriptor; shutting down the write half would cost one more system call per
    // connection.
    out.forget();
}

async fn handle_requests(gateway: &Rc<Gateway>, half: OwnedReadHalf, out: &mut OwnedWriteHalf) {
    let _connection = CountGuard::count(&gateway.connections);
    let mut reader = RequestReader {
        half,
        buffer: BytesMut::with_capacity(2048),
    };
    loop {
        let request = match read_request(gateway, &mut reader, out).await {
            ReadOutcome::Request(request) => request,
            ReadOutcome::Reject(rejection) => {
                return reject(gateway, &rejection, &mut reader, out).await;
            }
            ReadOutcome::Closed => return,
        };
        let _in_flight = CountGuard::count(&gateway.in_flight);
        let reconnect = gateway.phase() >= Phase::LameDuck || gateway.is_outdated();
        let last = request.head.closes_connection() || reconnect;
        let crowded = gateway.connections.get() > CROWDED_CONNECTIONS;
        let mut progress = RequestProgress::default();
        let context = RequestContext {
            gateway,
            request: &request,
            close: ConnectionClose {
                always: last,
                on_rejection: crowded,
            },
        };
        let end = if reader.is_closed() {
            RequestOutcome::ClientClosed
        } else {
            tokio::select! {
                biased;
                end = handle_request(context, &mut progress, out) => end,
                () = reader.wait_closed() => RequestOutcome::ClientClosed,
            }
        };
        progress.finish(gateway, &request, end);
        if end != RequestOutcome::Complete || last || (crowded && progress.has_retry_after()) {
            return;
        }
    }
}

/// Answers a request that can't be read, and reads on for a moment so that the response arrives.
async fn reject(
    gateway: &Gateway,
    rejection: &Rejection,
    reader: &mut RequestReader,
    out: &mut OwnedWriteHalf,
) {
    let answered = Answered {
        attempt_id: &rejection.attempt_id,
        forbids_body: rejection.forbids_body,
    };
    let response = &rejection.response;
    if response.write(gateway, answered, true, out).await.is_err() {
        return;
    }
    let drain = async {
        loop {
            reader.buffer.clear();
            if !matches!(reader.read_more().await, Ok(bytes) if bytes > 0) {
                return;
            }
        }
    };
    let _ended = tokio::time::timeout(DRAIN_TIMEOUT, drain).await;
}
